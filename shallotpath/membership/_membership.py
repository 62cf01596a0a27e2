"""Membership of a process: probes, gossip and links between domains."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from ..core import (
    DomainSummary,
    DrainRequested,
    Effect,
    Emit,
    Event,
    Gossip,
    ListUpdated,
    Load,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    Pong,
    QuarantineAnnounced,
    QuarantineReceived,
    Received,
    Send,
    Tick,
)
from ._links import MAX_MEMBERS_PER_MESSAGE, DomainLinks
from ._model import Member, MemberState
from ._probe import INDIRECT_PROBES, Prober
from ._quarantine import QuarantineGossip
from ._roster import Roster, is_live
from ._table import to_update, with_state

PROBE_INTERVAL = timedelta(seconds=1)
SUMMARY_INTERVAL = timedelta(seconds=5)
# For this long after a change every heartbeat carries summaries, so that members
# that missed the change are found.
CHANGE_SUMMARY_PERIOD = timedelta(seconds=10)
# A full list of a domain of 250 members takes 45 KB. Lists are therefore sent
# rarely, and only after the deltas had time to arrive.
SYNC_INTERVAL = timedelta(seconds=5)
SETTLE_PERIOD = timedelta(seconds=2)
# A peer that lacks many members gets lists more often: processes that start
# together would otherwise need many sync intervals to know each other.
CATCH_UP_INTERVAL = timedelta(seconds=1)
CATCH_UP_RATIO = 1.1
SEED_INTERVAL = timedelta(seconds=30)
# A longer gap between ticks means that this process was paused. Timeouts that
# expired meanwhile then say nothing about the other members.
PAUSE_THRESHOLD = timedelta(milliseconds=1500)
GOSSIP_FANOUT = 3
JOIN_FANOUT = 3
MAX_CONTACTS_PER_MESSAGE = 16
MISSES_BEFORE_RECONNECT = 2
IDLE_LOAD = Load(0, 0)
REFUTABLE_STATES = (MemberState.SUSPECT, MemberState.DEAD)


class Membership:
    """Track which processes exist and which of them accept work."""

    __slots__ = (
        "config_offset",
        "joined_",
        "links_",
        "last_tick_",
        "listed_addresses_",
        "load",
        "next_catch_up_at_",
        "next_probe_at_",
        "next_seed_at_",
        "next_summary_at_",
        "next_sync_at_",
        "prober_",
        "quarantine_",
        "random",
        "roster_",
        "seeds",
        "probe_index_",
    )

    def __init__(
        self,
        *,
        me: Member,
        random: Random,
        seeds: Sequence[str] = (),
        config_offset: Callable[[], int] = lambda: -1,
        load: Callable[[], Load] = lambda: IDLE_LOAD,
    ) -> None:
        self.random = random
        self.seeds = seeds
        self.config_offset = config_offset
        self.load = load
        self.roster_ = Roster(me)
        self.prober_ = Prober(random.getrandbits(31) << 31)
        self.links_ = DomainLinks(self.roster_, self._gossip, random.getrandbits(16))
        self.quarantine_ = QuarantineGossip()
        self.listed_addresses_: list[str] = []
        self.last_tick_: datetime | None = None
        self.next_probe_at_: datetime | None = None
        self.next_summary_at_: datetime | None = None
        self.next_sync_at_: datetime | None = None
        self.next_catch_up_at_: datetime | None = None
        self.next_seed_at_: datetime | None = None
        self.joined_ = False
        self.probe_index_ = random.getrandbits(16)

    @property
    def me(self) -> Member:
        """Return this process as it describes itself."""
        return self.roster_.me_

    @property
    def members_by_id(self) -> Mapping[str, Member]:
        """Return all known members; those of an unreachable domain are suspect."""
        return self.roster_.members_by_id_

    @property
    def unreachable_domains(self) -> frozenset[str]:
        """Return the domains from which no relay of this domain receives gossip."""
        return self.roster_.unreachable_domains_

    def neighbours(self) -> list[str]:
        """Return the addresses to which this process sends gossip."""
        return [member.address for member in self.roster_.neighbours()]

    def unanswered(self) -> list[str]:
        """Return the addresses to reconnect to: direct probes failed repeatedly."""
        misses = self.prober_.misses_by_address_
        return [a for a, n in misses.items() if n >= MISSES_BEFORE_RECONNECT]

    def bind(self, address: str, bulk_address: str) -> None:
        """Set the addresses to which the sockets were bound."""
        self.roster_.put(replace(self.me, address=address, bulk_address=bulk_address))

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        self._reset_after_pause(now)
        if not self._is_bound():
            return []
        effects = self._expire_probes(now)
        effects += self.roster_.expire(now)
        if _is_due(self.next_probe_at_, now):
            self.next_probe_at_ = now + PROBE_INTERVAL
            effects += self._probe(now)
            effects += self.links_.contact_domains(now)
            effects += self._contact_seeds(now)
            self.roster_.drop_tombstones(now)
        effects += self.links_.relay_deltas(self.quarantine_.take_fresh(now))
        effects += self._send_deltas(now)
        return effects

    @reduce.register
    def _(self, event: Received, now: datetime) -> list[Effect]:
        return self._receive(event.message, event.peer, now)

    @reduce.register
    def _(self, event: ListUpdated, now: datetime) -> list[Effect]:
        self.listed_addresses_ = [
            vm.address for vm in event.vms if vm.state == "live" and vm.address
        ]
        return []

    @reduce.register
    def _(self, event: DrainRequested, now: datetime) -> list[Effect]:
        me = self.me
        if me.state is MemberState.LEAVING:
            return []
        leaving = with_state(me, MemberState.LEAVING)
        effects = self.roster_.accept(replace(leaving, version=me.version + 1), now)
        # Neighbours and relays are notified directly; gossip reaches the others.
        members = self.roster_.neighbours() + self.links_.all_relays()
        targets = dict.fromkeys(m.address for m in members if m.id != me.id)
        gossip = self._gossip([to_update(self.me)])
        return effects + [Send(address, gossip) for address in targets]

    @reduce.register
    def _(self, event: QuarantineAnnounced, now: datetime) -> list[Effect]:
        self.quarantine_.merge(event.updates, self.roster_.sends_per_delta(), now)
        return []

    @singledispatchmethod
    def _receive(self, message: Message, peer: str, now: datetime) -> list[Effect]:
        return []

    @_receive.register
    def _(self, message: Ping, peer: str, now: datetime) -> list[Effect]:
        pong = Pong(message.nonce, self.load(), self.me.id, self.me.incarnation)
        return [Send(peer, pong)]

    @_receive.register
    def _(self, message: PingRequest, peer: str, now: datetime) -> list[Effect]:
        return [self.prober_.forward(message, peer, now)]

    @_receive.register
    def _(self, message: Pong, peer: str, now: datetime) -> list[Effect]:
        probe, sends = self.prober_.handle_pong(message)
        if probe is None:
            return sends
        known = self.roster_.get(probe.member_id)
        probed = (probe.member_id, probe.incarnation)
        if known is None or known.incarnation != probe.incarnation:
            return sends
        if message.id and (message.id, message.incarnation) != probed:
            # Another process answers at this address, so the old one is gone.
            return self.roster_.accept(with_state(known, MemberState.DEAD), now)
        return sends

    @_receive.register
    def _(self, message: Gossip, peer: str, now: datetime) -> list[Effect]:
        self.joined_ = True
        effects: list[Effect] = []
        missed: list[MemberUpdate] = []
        for update in message.members:
            merged, newer = self.roster_.merge(update, now)
            effects += merged
            if newer is not None:
                missed.append(newer)
        sender = self.roster_.get(message.sender)
        if sender is not None and sender.state in REFUTABLE_STATES:
            # Tells the sender how it is seen here, so that it can refute at once.
            missed.append(to_update(sender))
        if missed:
            effects.append(Send(peer, self._gossip(missed)))
        if sender is not None and sender.domain != self.roster_.domain:
            self.links_.reports_.record_contact(sender.domain, now)
        else:
            effects += self.links_.merge(message.contacts)
        fresh = self.quarantine_.merge(
            message.quarantine, self.roster_.sends_per_delta(), now
        )
        if fresh:
            effects.append(Emit(QuarantineReceived(fresh)))
        return effects + self._sync(message.summaries, peer, now)

    def _reset_after_pause(self, now: datetime) -> None:
        last, self.last_tick_ = self.last_tick_, now
        if last is None or timedelta(0) <= now - last < PAUSE_THRESHOLD:
            return
        self.prober_.reset()
        self.roster_.restart_suspicions(now)
        self.links_.reports_.reset(now)
        self.next_probe_at_ = None
        self.next_summary_at_ = self.next_seed_at_ = None
        self.next_sync_at_ = self.next_catch_up_at_ = None

    def _is_bound(self) -> bool:
        return bool(self.me.address) and not self.me.address.endswith(":0")

    def _probe(self, now: datetime) -> list[Effect]:
        neighbours = self.roster_.neighbours()
        if not neighbours:
            return []
        self.probe_index_ += 1
        target = neighbours[self.probe_index_ % len(neighbours)]
        probe = self.prober_.probe(target.id, target.incarnation, target.address, now)
        refutable = [to_update(target)] if target.state in REFUTABLE_STATES else []
        return [probe, Send(target.address, self._heartbeat(refutable, now))]

    def _heartbeat(self, members: list[MemberUpdate], now: datetime) -> Gossip:
        changing = any(
            timedelta(0) <= now - at < CHANGE_SUMMARY_PERIOD
            for at in self.roster_.changed_at_by_domain_.values()
        )
        if not changing and not _is_due(self.next_summary_at_, now):
            return self._gossip(members)
        self.next_summary_at_ = now + SUMMARY_INTERVAL
        return self._gossip(members, self.roster_.table_.summaries())

    def _gossip(
        self, members: list[MemberUpdate], summaries: list[DomainSummary] | None = None
    ) -> Gossip:
        return Gossip(
            self.me.id,
            members,
            config_offset=self.config_offset(),
            summaries=summaries or [],
        )

    def _expire_probes(self, now: datetime) -> list[Effect]:
        if not self.prober_.has_open_probes:
            return []
        neighbours = self.neighbours()
        count = min(INDIRECT_PROBES, len(neighbours))
        failed, sends = self.prober_.expire(self.random.sample(neighbours, count), now)
        effects: list[Effect] = list(sends)
        for probe in failed:
            known = self.roster_.get(probe.member_id)
            if known is not None and known.incarnation == probe.incarnation:
                effects += self._suspect(known, now)
        return effects

    def _suspect(self, member: Member, now: datetime) -> list[Effect]:
        effects = self.roster_.suspect(member, now)
        if effects:
            # Notifies the suspected member directly, so that it can refute at once.
            suspected = to_update(self.roster_.table_.members_by_id_[member.id])
            effects.append(Send(member.address, self._gossip([suspected])))
        return effects

    def _send_deltas(self, now: datetime) -> list[Effect]:
        roster, quarantine, links = self.roster_, self.quarantine_, self.links_
        if not (
            roster.gossip_queue_ or quarantine.gossip_queue_ or links.gossip_queue_
        ):
            return []
        neighbours = self.roster_.neighbours()
        targets = self.random.sample(neighbours, min(GOSSIP_FANOUT, len(neighbours)))
        effects: list[Effect] = []
        for target in targets:
            members = self.roster_.gossip_queue_.take(MAX_MEMBERS_PER_MESSAGE)
            gossip = replace(
                self._gossip(members),
                quarantine=self.quarantine_.take(now),
                contacts=self.links_.gossip_queue_.take(MAX_CONTACTS_PER_MESSAGE),
            )
            effects.append(Send(target.address, gossip))
        return effects

    def _contact_seeds(self, now: datetime) -> list[Effect]:
        if self.joined_ and not _is_due(self.next_seed_at_, now):
            return []
        if self.joined_:
            self.next_seed_at_ = now + SEED_INTERVAL
        known = {m.address for m in self.members_by_id.values() if is_live(m)}
        addresses = dict.fromkeys([*self.seeds, *self.listed_addresses_])
        unknown = [address for address in addresses if address not in known]
        count = 1 if self.joined_ else JOIN_FANOUT
        chosen = self.random.sample(unknown, min(count, len(unknown)))
        gossip = self._gossip([to_update(self.me)], self.roster_.table_.summaries())
        return [Send(address, gossip) for address in chosen]

    def _sync(
        self, summaries: list[DomainSummary], peer: str, now: datetime
    ) -> list[Effect]:
        if not summaries:
            return []
        peer_summary_by_domain = {summary.domain: summary for summary in summaries}
        own = self.roster_.table_.summaries()
        different = [s for s in own if s != peer_summary_by_domain.get(s.domain)]
        behind = [
            s
            for s in different
            if self._is_behind(peer_summary_by_domain.get(s.domain), s, now)
        ]
        if behind and _is_due(self.next_catch_up_at_, now):
            self.next_catch_up_at_ = now + CATCH_UP_INTERVAL
            return [e for s in behind for e in self._send_members(s, peer)]
        different = [s for s in different if self._is_settled(s.domain, now)]
        if not different or not _is_due(self.next_sync_at_, now):
            return []
        self.next_sync_at_ = now + SYNC_INTERVAL
        return self._send_members(self.random.choice(different), peer)

    def _is_behind(
        self, peer_summary: DomainSummary | None, own: DomainSummary, now: datetime
    ) -> bool:
        """Check whether a peer lacks members, not just the latest changes."""
        known = 0 if peer_summary is None else peer_summary.members
        if known * CATCH_UP_RATIO < own.members:
            return True
        return known < own.members and self._is_settled(own.domain, now)

    def _is_settled(self, domain: str, now: datetime) -> bool:
        changed_at = self.roster_.changed_at_by_domain_.get(domain)
        return (
            changed_at is None or not timedelta(0) <= now - changed_at < SETTLE_PERIOD
        )

    def _send_members(self, summary: DomainSummary, peer: str) -> list[Effect]:
        members = self.roster_.table_.in_domain(summary.domain)
        updates = [to_update(member) for member in members]
        return [
            Send(peer, self._gossip(updates[start : start + MAX_MEMBERS_PER_MESSAGE]))
            for start in range(0, len(updates), MAX_MEMBERS_PER_MESSAGE)
        ]


def _is_due(at: datetime | None, now: datetime) -> bool:
    return at is None or now >= at
