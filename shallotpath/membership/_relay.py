"""Relays of a failure domain and their reports of which domains are reachable."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from ..core import DomainContact, rendezvous_order
from ._model import Member, MemberState

RELAYS_PER_DOMAIN = 3
# A relay receives gossip from every other domain about once a second. Five missed
# messages in a row are too many for a packet loss of 10%.
CONTACT_TIMEOUT = timedelta(seconds=5)


class ReachabilityReports:
    """Keep the reports of the own domain's relays on the other domains."""

    __slots__ = (
        "reports_by_key_",
        "received_at_by_domain_",
        "incarnation",
        "version_",
    )

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.reports_by_key_: dict[tuple[str, str], DomainContact] = {}
        self.received_at_by_domain_: dict[str, datetime] = {}
        self.version_ = 0

    def record_contact(self, domain: str, now: datetime) -> None:
        """Record the arrival of a message from another domain."""
        self.received_at_by_domain_[domain] = now

    def merge(self, contact: DomainContact) -> bool:
        """Apply a report and return whether it was new."""
        key = (contact.domain, contact.observer)
        known = self.reports_by_key_.get(key)
        if known is not None and known.version >= contact.version:
            return False
        self.reports_by_key_[key] = contact
        return True

    def observe(
        self, domains: Iterable[str], observers: Iterable[str], now: datetime
    ) -> list[DomainContact]:
        """Update the reports of this relay and return those that changed."""
        changed = []
        observers = list(observers)
        for domain in domains:
            received_at = self.received_at_by_domain_.get(domain)
            if received_at is None:
                # A new relay starts with the state that the other relays report.
                silent = not self.reachable(domain, observers)
                received_at = now - CONTACT_TIMEOUT if silent else now
                self.received_at_by_domain_[domain] = received_at
            reachable = now - received_at < CONTACT_TIMEOUT
            known = self.reports_by_key_.get((domain, self.incarnation))
            if known is not None and known.reachable == reachable:
                continue
            self.version_ += 1
            contact = DomainContact(domain, self.incarnation, self.version_, reachable)
            self.merge(contact)
            changed.append(contact)
        return changed

    def reachable(self, domain: str, observers: Iterable[str]) -> bool:
        """Check whether any of the given relays reports a domain as reachable."""
        reports = [
            contact.reachable
            for observer in observers
            if (contact := self.reports_by_key_.get((domain, observer))) is not None
        ]
        return not reports or any(reports)

    def reset(self, now: datetime) -> None:
        """Restart the contact timeouts, for example after this process was paused."""
        for domain in self.received_at_by_domain_:
            self.received_at_by_domain_[domain] = now


def choose_relays(domain: str, members: Iterable[Member]) -> list[Member]:
    """Choose the relays of a domain among its members."""
    by_id = {m.id: m for m in members if m.state is MemberState.ALIVE}
    order = rendezvous_order(f"relays {domain}", by_id)
    return [by_id[id] for id in order[:RELAYS_PER_DOMAIN]]
