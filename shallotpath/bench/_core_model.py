"""Cost of routing decisions per event and state per upstream, by fleet size."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from time import perf_counter

from ..config import DomainState, Service, ServiceKind, StaticConfiguration, Team
from ..core import EPOCH, Code, Load, MemberChanged, Node
from ..limits import Call, Suspects
from ..membership import Member, Role, StaticMembership
from ..routing import AffinityRule, Router

FLEET_SIZES = (9, 90, 900)
DOMAINS = 5
PREFIXES = 200
# Enough calls that each affinity slot has its ranking, as on an entry in service.
WARM_UP_EVENTS = 32_000
STATE_CALLS = 4000
ROUNDS = 5
# Short enough that a fleet of 9 always has an upstream that is not skipped.
RETRY_AFTER = timedelta(milliseconds=20)


@dataclass(slots=True, frozen=True)
class CoreCost:
    """Figures of one fleet size."""

    upstreams: int
    seconds_per_event: float
    state_bytes: int


def measure_core(
    events: int = 20_000,
    sizes: tuple[int, ...] = FLEET_SIZES,
    rule: Callable = AffinityRule,
) -> list[CoreCost]:
    """Measure an entry's decisions with fleets of several sizes.

    The sizes take turns and the fastest round counts, so that other load on the
    machine does not fall on one of them. An event is a choice, a start, an end or a
    load; one in 2000 is a member change, far more than the 151 changes of a day.
    """
    drivers = [_RouterDriver(size, rule) for size in sizes]
    for driver in drivers:
        driver.run(WARM_UP_EVENTS)
    best = [float("inf")] * len(drivers)
    for _ in range(ROUNDS):
        for index, driver in enumerate(drivers):
            best[index] = min(best[index], driver.run(events // ROUNDS))
    return [
        CoreCost(size, seconds, _state_bytes(size, rule))
        for size, seconds in zip(sizes, best, strict=True)
    ]


def bytes_per_upstream(costs: list[CoreCost]) -> float:
    """Return by how much one more upstream raises an entry's state."""
    first, last = costs[0], costs[-1]
    return (last.state_bytes - first.state_bytes) / (last.upstreams - first.upstreams)


class _RouterDriver:
    """Send events of each type in turn to one router."""

    def __init__(self, upstreams: int, rule: Callable) -> None:
        self.ids = [f"a{number}" for number in range(upstreams)]
        self.membership = StaticMembership(
            {id_: _member(number, id_) for number, id_ in enumerate(self.ids)}
        )
        self.rng = Random(upstreams)
        self.router = Router(
            entry_id="e0",
            domain="d0",
            region="r0",
            configuration=_configuration(),
            membership=self.membership,
            rng=Random(1),
            rule=rule,
            suspects=Suspects(node_id="e0", incarnation="i1"),
        )
        self.node = Node("e0", [self.router])
        self.now = EPOCH
        self.call_count_ = 0

    def run(self, events: int) -> float:
        """Handle events and return the seconds for each."""
        calls = [self.make_call() for _ in range(events // 4)]
        started = perf_counter()
        for number, call in enumerate(calls):
            self._handle_call(call, refuse=number % 50 == 0)
            if number % 500 == 0:
                self._replace_member()
        return (perf_counter() - started) / events

    def make_call(self) -> Call:
        """Return a new call."""
        self.call_count_ += 1
        deadline = self.now + timedelta(hours=1)
        return Call(
            request_id=f"r{self.call_count_}",
            service="s",
            team="t",
            deadline=deadline,
            fingerprint=f"f{self.call_count_}",
            prefix=f"p{self.rng.randrange(PREFIXES)}",
        )

    def _handle_call(self, call: Call, *, refuse: bool) -> None:
        self.now += timedelta(milliseconds=1)
        member = self.router.choose(call, (), self.now)
        self.router.started(member.id)
        self.router.observe_load(member.id, Load(8, self.rng.randrange(8)), self.now)
        self.router.ended(member.id)
        if refuse:
            self.router.observe_failure(
                member.id, Code.OVERLOADED, self.now, RETRY_AFTER
            )

    def _replace_member(self) -> None:
        member_id = self.rng.choice(self.ids)
        member = self.membership.members_by_id.pop(member_id)
        self.node.reduce(MemberChanged(member_id, "dead", "i1"), self.now)
        self.membership.members_by_id[member_id] = member
        self.node.reduce(MemberChanged(member_id, "alive", "i2"), self.now)


def _state_bytes(upstreams: int, rule: Callable) -> int:
    """Return the bytes of an entry that has used its fleet, without membership."""
    tracemalloc.start()
    driver = _RouterDriver(upstreams, rule)
    before = tracemalloc.get_traced_memory()[0]
    router = Router(
        entry_id="e1",
        domain="d0",
        region="r0",
        configuration=_configuration(),
        membership=driver.membership,
        rng=Random(1),
        rule=rule,
    )
    for member_id in driver.ids:
        router.observe_load(member_id, Load(8, 1), EPOCH)
        router.observe_failure(member_id, Code.OVERLOADED, EPOCH)
    for _ in range(STATE_CALLS):
        router.choose(driver.make_call(), (), EPOCH + timedelta(minutes=1))
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


def _member(number: int, member_id: str) -> Member:
    domain = f"d{number % DOMAINS}"
    return Member(member_id, Role.AGENT, domain, "r0", member_id, "i1", service="s")


def _configuration() -> StaticConfiguration:
    return StaticConfiguration(
        teams_by_id={"t": Team("t", "")},
        services_by_id={"s": Service("s", ServiceKind.PLAIN)},
        domains_by_id={f"d{n}": DomainState(f"d{n}", "r0") for n in range(DOMAINS)},
    )
