"""Members as this process knows them, and updates queued for gossip."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from math import ceil, log2

from ..core import Count, Effect, Emit, MemberChanged, MemberUpdate
from ._model import Member, MemberState
from ._relay import choose_relays
from ._ring import Rings
from ._spread import GossipQueue
from ._table import MemberTable, precedence, to_member, to_update, with_state

# Leaves a suspected member time to learn of the suspicion and to refute it.
SUSPICION_TIMEOUT = timedelta(seconds=4)
# Dead members are kept while stale updates circulate that would bring them back.
TOMBSTONE_AGE = timedelta(minutes=10)


class Roster:
    """Merge updates of members and queue what changed for gossip."""

    __slots__ = (
        "changed_at_by_domain_",
        "dead_at_by_id_",
        "me_",
        "members_by_id_",
        "neighbours_",
        "relay_updates_by_id_",
        "relays_by_domain_",
        "rings_",
        "gossip_queue_",
        "suspected_until_by_id_",
        "table_",
        "unreachable_domains_",
    )

    def __init__(self, me: Member) -> None:
        self.me_ = replace(me, version=max(1, me.version))
        self.table_ = MemberTable()
        self.members_by_id_: dict[str, Member] = {}
        self.rings_ = Rings(me.id)
        self.gossip_queue_: GossipQueue[MemberUpdate] = GossipQueue()
        self.relay_updates_by_id_: dict[str, MemberUpdate] = {}
        self.neighbours_: list[Member] | None = None
        self.relays_by_domain_: dict[str, list[Member]] | None = None
        self.unreachable_domains_: frozenset[str] = frozenset()
        self.suspected_until_by_id_: dict[str, datetime] = {}
        self.dead_at_by_id_: dict[str, datetime] = {}
        self.changed_at_by_domain_: dict[str, datetime] = {}
        self.put(self.me_)

    @property
    def domain(self) -> str:
        """Return the failure domain of this process."""
        return self.me_.domain

    @property
    def is_relay(self) -> bool:
        """Check whether this process keeps contact with other domains."""
        return any(m.id == self.me_.id for m in self.relays()[self.domain])

    def get(self, member_id: str) -> Member | None:
        """Return a member as gossip describes it."""
        return self.table_.members_by_id_.get(member_id)

    def sends_per_delta(self) -> int:
        """Return how many times each member sends a delta."""
        return 3 + ceil(log2(len(self.table_.members_by_id_) + 1))

    def merge(
        self, update: MemberUpdate, now: datetime
    ) -> tuple[list[Effect], MemberUpdate | None]:
        """Apply an update; return effects and a newer update if it was outdated."""
        member = to_member(update)
        if member is None:
            return [Count("gossip_unknown_values")], None
        if member.id == self.me_.id:
            return self._refute(member, now), None
        known = self.get(member.id)
        if known is None or precedence(member) > precedence(known):
            return self.accept(member, now), None
        if member.version < known.version or member.incarnation != known.incarnation:
            return [], to_update(known)
        return [], None

    def accept(self, member: Member, now: datetime) -> list[Effect]:
        """Store a member and queue its update for gossip."""
        previous = self.members_by_id_.get(member.id)
        self.put(member)
        self._update_timers(member, now)
        update = to_update(member)
        self.gossip_queue_.put(member.id, update, self.sends_per_delta())
        if member.domain == self.domain and member.state is not MemberState.SUSPECT:
            self.relay_updates_by_id_[member.id] = update
        self.changed_at_by_domain_[member.domain] = now
        return self._emit_change(previous, member.id)

    def suspect(self, member: Member, now: datetime) -> list[Effect]:
        """Mark a member that did not answer any probe."""
        if member.state is MemberState.LEAVING:
            return self.accept(with_state(member, MemberState.DEAD), now)
        if member.state is not MemberState.ALIVE:
            return []
        suspected = with_state(member, MemberState.SUSPECT)
        return [Count("member_suspicions"), *self.accept(suspected, now)]

    def expire(self, now: datetime) -> list[Effect]:
        """Declare members dead that have not refuted in time."""
        effects: list[Effect] = []
        for id, until in list(self.suspected_until_by_id_.items()):
            if now >= until:
                effects.append(Count("member_deaths"))
                member = with_state(self.table_.members_by_id_[id], MemberState.DEAD)
                effects += self.accept(member, now)
        return effects

    def restart_suspicions(self, now: datetime) -> None:
        """Restart the suspicion timeouts of all suspected members after a pause."""
        for id in self.suspected_until_by_id_:
            self.suspected_until_by_id_[id] = now + SUSPICION_TIMEOUT
        for id in self.dead_at_by_id_:
            self.dead_at_by_id_[id] = now

    def drop_tombstones(self, now: datetime) -> None:
        """Remove members that have been dead for `TOMBSTONE_AGE`."""
        for id, at in list(self.dead_at_by_id_.items()):
            if now - at >= TOMBSTONE_AGE:
                del self.dead_at_by_id_[id]
                del self.members_by_id_[id]
                self.table_.remove(id)
                self.rings_.forget(id)

    def set_unreachable(self, domains: frozenset[str]) -> list[Effect]:
        """Show the members of unreachable domains as suspect."""
        changed = domains ^ self.unreachable_domains_
        self.unreachable_domains_ = domains
        effects: list[Effect] = []
        for domain in changed:
            for member in self.table_.in_domain(domain):
                previous = self.members_by_id_[member.id]
                self.members_by_id_[member.id] = self._visible(member)
                effects += self._emit_change(previous, member.id)
        return effects

    def neighbours(self) -> list[Member]:
        """Return the members of the own domain that this process probes."""
        if self.neighbours_ is None:
            members = [m for m in self.table_.in_domain(self.domain) if is_live(m)]
            ids = self.rings_.successors(m.id for m in members)
            self.neighbours_ = [self.table_.members_by_id_[id] for id in ids]
        return self.neighbours_

    def relays(self) -> dict[str, list[Member]]:
        """Return the relays of each domain."""
        if self.relays_by_domain_ is None:
            members_by_domain: dict[str, list[Member]] = {self.domain: []}
            for member in self.table_.members_by_id_.values():
                members_by_domain.setdefault(member.domain, []).append(member)
            self.relays_by_domain_ = {
                domain: choose_relays(domain, members)
                for domain, members in members_by_domain.items()
            }
        return self.relays_by_domain_

    def put(self, member: Member) -> None:
        """Store a member without queueing an update."""
        if member.id == self.me_.id:
            self.me_ = member
        known = self.get(member.id)
        self.table_.put(member)
        self.members_by_id_[member.id] = self._visible(member)
        if known != member:
            self.relays_by_domain_ = None
            if member.domain == self.domain:
                self.neighbours_ = None

    def _refute(self, member: Member, now: datetime) -> list[Effect]:
        me = self.me_
        if member.version < me.version:
            return []
        same = member.incarnation == me.incarnation
        if same and precedence(member) <= precedence(me):
            return []
        newer = replace(me, version=member.version + 1)
        return [Count("member_refutations"), *self.accept(newer, now)]

    def _update_timers(self, member: Member, now: datetime) -> None:
        self.suspected_until_by_id_.pop(member.id, None)
        self.dead_at_by_id_.pop(member.id, None)
        if member.state is MemberState.DEAD:
            self.dead_at_by_id_[member.id] = now
        elif member.state is MemberState.SUSPECT and member.domain == self.domain:
            self.suspected_until_by_id_[member.id] = now + SUSPICION_TIMEOUT

    def _visible(self, member: Member) -> Member:
        unreachable = member.domain in self.unreachable_domains_
        if unreachable and member.state is MemberState.ALIVE:
            return with_state(member, MemberState.SUSPECT)
        return member

    def _emit_change(self, previous: Member | None, member_id: str) -> list[Effect]:
        member = self.members_by_id_[member_id]
        if previous is not None and (
            previous.state,
            previous.incarnation,
            previous.address,
        ) == (
            member.state,
            member.incarnation,
            member.address,
        ):
            return []
        return [Emit(MemberChanged(member.id, member.state, member.incarnation))]


def is_live(member: Member) -> bool:
    """Check whether a member may still answer."""
    return member.state is not MemberState.DEAD
