"""Rolling update of the engines of one service."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from functools import singledispatchmethod
from random import Random

from ..config import ConfigurationView
from ..core import (
    Effect,
    Event,
    Send,
    Tick,
    rendezvous_order,
)
from ..membership import Member, MembershipView, MemberState, Role
from ._events import WeightsStatusReceived
from ._orders import EngineOrders
from ._plan import TransferPlan
from ._status import StatusTable, member_key, short_hash

MAINTENANCE_PRESET = "maintenance"


@dataclass(slots=True, frozen=True)
class Permission:
    """Tell which steps of the update the agent may take now."""

    transfer: bool = False
    switch: bool = False
    drain: bool = False


class Rollout:
    """Decide when this agent may drain its engine or switch it to the target.

    All agents of a service sort its members in the same way. An agent may act
    when fewer than `slack` other agents are unready, or unfinished and before it;
    `slack` is the number of members above `min_ready`. An agent that has not yet
    learnt that another one has finished waits longer, so stale information never
    lowers the number of ready members. If the engine has memory for the old and
    the new version, it switches without being drained, so one agent at a time may
    do so even without slack. Otherwise a service without slack is updated only
    under the maintenance preset.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: str,
        service: str,
        configuration: ConfigurationView,
        membership: MembershipView,
        plan: TransferPlan,
        orders: EngineOrders,
        random: Random,
    ) -> None:
        self.member_id = member_id
        self.incarnation = incarnation
        self.service = service
        self.configuration = configuration
        self.membership = membership
        self.plan = plan
        self.orders = orders
        self.random = random
        self.table_ = StatusTable(member_id, incarnation, random)
        self.draining_ = False
        self.sorted_members_: list[str] = []
        self.sorted_members_key_: tuple[str, str, frozenset[str]] | None = None

    @property
    def admitting(self) -> bool:
        """Check whether the engine may receive new requests."""
        return not self.draining_ and self.orders.confirmed_digest != ""

    @property
    def finished(self) -> bool:
        """Check whether all known agents of the service serve the target."""
        members = self._members()
        return bool(members) and all(self._finished(member) for member in members)

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        self._update_own()
        members = self.membership.members_by_id
        self.table_.prune(members)
        return [
            Send(members[neighbour].address, message)
            for neighbour, message in self.table_.messages(
                self.plan.digest, self.plan.neighbours, now
            )
            if neighbour in members
        ]

    @reduce.register
    def _(self, event: WeightsStatusReceived, now: datetime) -> list[Effect]:
        others = self.plan.neighbours - {event.member}
        self.table_.receive(event.digest, event.entries, self._incarnation, others)
        return []

    def permission(self, now: datetime) -> Permission:
        """Return what this agent may do now; a drain that has begun is completed."""
        target = self.plan.digest
        service = self.configuration.services_by_id.get(self.service)
        if not target or service is None or self.orders.engine_ is None:
            return Permission()
        if self.orders.serving_digest == target:
            self.draining_ = False
            return Permission(transfer=True)
        serving = self.orders.serving_digest != ""
        no_drain = not serving or self._fits_in_free_memory()
        if self.draining_:
            # The engine is out of service; completing the update brings it back.
            return Permission(transfer=True, switch=True, drain=True)
        paused = self.service in self.configuration.paused_services
        if paused or not self._may_act(no_drain, service.min_ready):
            return Permission(transfer=no_drain)
        if no_drain:
            return Permission(transfer=True, switch=True)
        self.draining_ = True
        self._update_own()
        return Permission(drain=True, transfer=True, switch=True)

    def may_switch_now(self, now: datetime) -> bool:
        """Check whether the engine may switch to the complete target now."""
        if not self.plan.complete or self.orders.engine_ is None:
            return False
        waiting = self.orders.serving_digest != self.plan.digest
        return waiting and self.permission(now).switch

    def _may_act(self, no_drain: bool, min_ready: int) -> bool:
        if self.orders.serving_digest == "":
            return True
        members = self._members()
        slack = len(members) - min_ready
        maintenance = self.configuration.preset.id == MAINTENANCE_PRESET
        if no_drain or maintenance:
            slack = max(1, slack)
        return self._count_agents_ahead(members) < slack

    def _count_agents_ahead(self, members: list[str]) -> int:
        """Count other agents that are unready, or unfinished and before this one."""
        count = 0
        before = True
        for member in self._sort_members(members):
            if member == self.member_id:
                before = False
                continue
            status = self.table_.status_by_key_.get(member_key(member))
            unready = status is not None and not status.ready
            if unready or (before and not self._finished(member)):
                count += 1
        return count

    def _sort_members(self, members: list[str]) -> list[str]:
        key = (self.plan.digest, self.plan.origin_region, frozenset(members))
        if key != self.sorted_members_key_:
            order = rendezvous_order(self.plan.digest, members)
            # An engine without memory for two versions stores no chunks until it is
            # drained, so the agents that fetch from the origin come first.
            order.sort(key=lambda member: not self._in_origin_region(member))
            self.sorted_members_, self.sorted_members_key_ = order, key
        return self.sorted_members_

    def _in_origin_region(self, member: str) -> bool:
        region = self.membership.members_by_id[member].region
        return region == self.plan.origin_region

    def _finished(self, member: str) -> bool:
        status = self.table_.status_by_key_.get(member_key(member))
        return (
            status is not None and status.ready and status.finished == self.plan.digest
        )

    def _incarnation(self, key: bytes) -> bytes | None:
        """Return the hashed incarnation of a member, if the membership knows it."""
        for member in self.membership.members_by_id.values():
            if member_key(member.id) == key:
                return short_hash(member.incarnation, 3)
        return None

    def _members(self) -> list[str]:
        return [
            member.id
            for member in self.membership.members_by_id.values()
            if self._is_replica(member)
        ]

    def _is_replica(self, member: Member) -> bool:
        domain = self.configuration.domains_by_id.get(member.domain)
        return (
            member.role is Role.AGENT
            and member.service == self.service
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and not (domain is not None and domain.out)
        )

    def _fits_in_free_memory(self) -> bool:
        engine = self.orders.engine_
        free = engine.memory_bytes - engine.held_bytes
        return self.plan.target_.size <= free

    def _update_own(self) -> None:
        target = self.plan.digest
        finished = target if self.orders.confirmed_digest == target else ""
        self.table_.update_own(finished, self.admitting, self.plan.neighbours)
