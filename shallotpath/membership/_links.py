"""Gossip between failure domains, sent by the relays of each domain."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime

from ..core import (
    DomainContact,
    DomainSummary,
    Effect,
    Gossip,
    MemberUpdate,
    QuarantineUpdate,
    Send,
)
from ._model import Member
from ._relay import ReachabilityReports
from ._roster import Roster
from ._spread import GossipQueue
from ._table import to_update

MAX_MEMBERS_PER_MESSAGE = 48

MakeGossip = Callable[[list[MemberUpdate], list[DomainSummary] | None], Gossip]


class DomainLinks:
    """Send member updates to other domains and watch which are reachable."""

    __slots__ = ("reports_", "make_gossip", "roster", "gossip_queue_", "relay_index_")

    def __init__(
        self, roster: Roster, make_gossip: MakeGossip, first_index: int
    ) -> None:
        self.roster = roster
        self.make_gossip = make_gossip
        self.reports_ = ReachabilityReports(roster.me_.incarnation)
        self.gossip_queue_: GossipQueue[DomainContact] = GossipQueue()
        self.relay_index_ = first_index

    def contact_domains(self, now: datetime) -> list[Effect]:
        """Send gossip to the other domains and update which are reachable."""
        relays = self.roster.relays()
        effects: list[Effect] = []
        if self.roster.is_relay:
            others = [d for d in relays if d != self.roster.domain and relays[d]]
            for contact in self.reports_.observe(others, self._observers(), now):
                self._queue(contact)
            gossip = self.make_gossip(
                [to_update(self.roster.me_)], self.roster.table_.summaries()
            )
            effects += [Send(m.address, gossip) for m in self._next_relays()]
        return effects + self._update_reachability()

    def merge(self, contacts: list[DomainContact]) -> list[Effect]:
        """Apply reachability reports of the relays of the own domain."""
        fresh = [contact for contact in contacts if self.reports_.merge(contact)]
        for contact in fresh:
            self._queue(contact)
        return self._update_reachability() if fresh else []

    def relay_deltas(self, quarantine: list[QuarantineUpdate]) -> list[Effect]:
        """Send new updates of the own domain to a relay of each other domain."""
        updates = list(self.roster.relay_updates_by_id_.values())
        self.roster.relay_updates_by_id_.clear()
        if not (updates or quarantine) or not self.roster.is_relay:
            return []
        messages = [
            self.make_gossip(updates[start : start + MAX_MEMBERS_PER_MESSAGE], None)
            for start in range(0, len(updates), MAX_MEMBERS_PER_MESSAGE)
        ]
        if quarantine:
            messages.append(replace(self.make_gossip([], None), quarantine=quarantine))
        relays = self._next_relays()
        return [Send(r.address, message) for r in relays for message in messages]

    def all_relays(self) -> list[Member]:
        """Return the relays of all domains."""
        return [m for relays in self.roster.relays().values() for m in relays]

    def _next_relays(self) -> list[Member]:
        # Round robin: three calls reach each of the three relays of a domain once.
        self.relay_index_ += 1
        return [
            relays[self.relay_index_ % len(relays)]
            for domain, relays in self.roster.relays().items()
            if domain != self.roster.domain and relays
        ]

    def _observers(self) -> list[str]:
        relays = self.roster.relays()[self.roster.domain]
        return [relay.incarnation for relay in relays]

    def _queue(self, contact: DomainContact) -> None:
        key = (contact.domain, contact.observer)
        self.gossip_queue_.put(key, contact, self.roster.sends_per_delta())

    def _update_reachability(self) -> list[Effect]:
        observers = self._observers()
        unreachable = frozenset(
            domain
            for domain in self.roster.relays()
            if domain != self.roster.domain
            and not self.reports_.reachable(domain, observers)
        )
        if unreachable == self.roster.unreachable_domains_:
            return []
        return self.roster.set_unreachable(unreachable)
