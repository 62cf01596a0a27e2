"""Rolling update of the engines of one service."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from ..config import ConfigurationView
from ..core import (
    Effect,
    Event,
    Send,
    Tick,
    WeightsEntry,
    WeightsStatus,
    rendezvous_order,
)
from ..membership import Member, MembershipView, MemberState, Role
from ._events import StatusHeard
from ._orders import EngineOrders
from ._plan import TransferPlan
from ._sources import later

MAINTENANCE_PRESET = "maintenance"
# Digests in update states are shortened; equal prefixes of 64 bits do not occur
# among the few versions of one service.
DIGEST_CHARS = 16
ENTRIES_PER_MESSAGE = 40
ENTRY_BYTES = 110
MESSAGE_OVERHEAD_BYTES = 90
# Each change is passed on to this many neighbours; 4 reach all of 2,500 agents
# with a margin, and the periodic exchange repairs what was lost.
FANOUT = 4
EXCHANGE_INTERVAL = timedelta(seconds=2)
EXCHANGE_ENTRIES = 20


@dataclass(slots=True, frozen=True)
class Permission:
    """Tell what the agent may do to its engine now."""

    transfer: bool = False
    switch: bool = False
    drain: bool = False


class Rollout:
    """Decide when this agent may take its engine out of service or switch it.

    All agents of a service order themselves in the same way. An agent may act
    when fewer than `slack` agents before it are unfinished, with `slack` the
    number of replicas above `min_ready`. An agent that has not heard of a
    finished update waits longer, so stale information never lowers the number
    of ready replicas. A version that fits beside the old one is switched
    without a pause, so one agent at a time may do this even without slack.
    Otherwise a service without slack is updated only under the maintenance
    preset.
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
        self.entries_by_id_: dict[str, WeightsEntry] = {}
        self.queued_by_neighbour_: dict[str, set[str]] = {}
        self.exchanged_at_: datetime | None = None
        self.draining_ = False
        self.control_bytes_ = 0

    @property
    def admitting(self) -> bool:
        """Tell whether the engine may get new requests."""
        return not self.draining_ and self.orders.confirmed_digest != ""

    @property
    def finished(self) -> bool:
        """Tell whether all agents that this agent knows serve the target."""
        members = self._members()
        return bool(members) and all(self._finished(member) for member in members)

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Take an event and return effects."""
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        self._update_own()
        self._queue_exchange(now)
        return self._send(now)

    @reduce.register
    def _(self, event: StatusHeard, now: datetime) -> list[Effect]:
        for entry in event.entries:
            if entry.id != self.member_id and self._newer(entry):
                self.entries_by_id_[entry.id] = entry
                self._pass_on(entry.id, event.member)
        return []

    def permission(self, now: datetime) -> Permission:
        """Return what this agent may do now, and keep a drain until it is done."""
        target = self.plan.digest
        service = self.configuration.services_by_id.get(self.service)
        if not target or service is None or self.orders.engine_ is None:
            return Permission()
        if self.orders.serving_digest == target:
            self.draining_ = False
            return Permission(transfer=True)
        serving = self.orders.serving_digest != ""
        beside = not serving or self._fits_beside()
        if self.draining_:
            # A drained engine is not ready either way; finishing restores it.
            return Permission(transfer=True, switch=True, drain=True)
        if service.update_paused or not self._may_act(beside, service.min_ready):
            return Permission(transfer=beside)
        if beside:
            return Permission(transfer=True, switch=True)
        self.draining_ = True
        self._update_own()
        return Permission(drain=True, transfer=True, switch=True)

    def _may_act(self, beside: bool, min_ready: int) -> bool:
        if self.orders.serving_digest == "":
            return True
        members = self._members()
        slack = len(members) - min_ready
        maintenance = self.configuration.preset.id == MAINTENANCE_PRESET
        if beside or maintenance:
            slack = max(1, slack)
        return self._before_own(members) < slack

    def _before_own(self, members: list[str]) -> int:
        """Count agents that are unready, or unfinished and before this one."""
        order = rendezvous_order(f"update/{self.plan.digest}", members)
        count = 0
        before = True
        for member in order:
            if member == self.member_id:
                before = False
                continue
            entry = self.entries_by_id_.get(member)
            unready = entry is not None and not entry.ready
            if unready or (before and not self._finished(member)):
                count += 1
        return count

    def _finished(self, member: str) -> bool:
        entry = self.entries_by_id_.get(member)
        target = self.plan.digest[:DIGEST_CHARS]
        return entry is not None and entry.ready and entry.serving == target

    def _members(self) -> list[str]:
        return [
            member.id
            for member in self.membership.members_by_id.values()
            if self._counts(member)
        ]

    def _counts(self, member: Member) -> bool:
        domain = self.configuration.domains_by_id.get(member.domain)
        return (
            member.role is Role.AGENT
            and member.service == self.service
            and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and not (domain is not None and domain.out)
        )

    def _fits_beside(self) -> bool:
        engine = self.orders.engine_
        free = engine.memory_bytes - engine.held_bytes
        return self.plan.target_.size <= free

    def _update_own(self) -> None:
        staged = self.plan.digest if self.plan.complete else ""
        values = (
            self.orders.confirmed_digest[:DIGEST_CHARS],
            staged[:DIGEST_CHARS],
            self.admitting,
        )
        old = self.entries_by_id_.get(self.member_id)
        if old is not None and (old.serving, old.staged, old.ready) == values:
            return
        version = old.version + 1 if old else 1
        self.entries_by_id_[self.member_id] = WeightsEntry(
            self.member_id, self.incarnation, version, *values
        )
        self._pass_on(self.member_id, "")

    def _newer(self, entry: WeightsEntry) -> bool:
        old = self.entries_by_id_.get(entry.id)
        if old is None:
            return True
        if old.incarnation == entry.incarnation:
            return entry.version > old.version
        member = self.membership.members_by_id.get(entry.id)
        return member is not None and member.incarnation == entry.incarnation

    def _pass_on(self, entry_id: str, sender: str) -> None:
        others = sorted(self.plan.neighbours - {sender})
        for neighbour in self.random.sample(others, min(FANOUT, len(others))):
            self.queued_by_neighbour_.setdefault(neighbour, set()).add(entry_id)

    def _queue_exchange(self, now: datetime) -> None:
        neighbours = sorted(self.plan.neighbours)
        due = later(now, EXCHANGE_INTERVAL, self.exchanged_at_)
        if not neighbours or not due:
            return
        self.exchanged_at_ = now
        ids = sorted(self.entries_by_id_)
        chosen = self.random.sample(ids, min(EXCHANGE_ENTRIES, len(ids)))
        neighbour = self.random.choice(neighbours)
        queued = self.queued_by_neighbour_.setdefault(neighbour, set())
        queued.update(chosen, [self.member_id])

    def _send(self, now: datetime) -> list[Effect]:
        effects: list[Effect] = []
        for neighbour, queued in list(self.queued_by_neighbour_.items()):
            member = self.membership.members_by_id.get(neighbour)
            if member is None:
                del self.queued_by_neighbour_[neighbour]
                continue
            chosen = sorted(queued)[:ENTRIES_PER_MESSAGE]
            size = MESSAGE_OVERHEAD_BYTES + ENTRY_BYTES * len(chosen)
            if not self.plan.control.take(size, now):
                break
            self.control_bytes_ += size
            queued.difference_update(chosen)
            if not queued:
                del self.queued_by_neighbour_[neighbour]
            entries = [
                self.entries_by_id_[entry_id]
                for entry_id in chosen
                if entry_id in self.entries_by_id_
            ]
            effects.append(Send(member.address, WeightsStatus(entries)))
        return effects
