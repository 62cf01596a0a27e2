"""Benchmark of claims: orders through log outages, restarts and a partition."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from statistics import quantiles
from time import perf_counter

from ..claims import ClaimSettings
from ..core import Code, End, Failed, RunState, rendezvous_order
from ._claims_world import SERVICE, ClaimsWorld, EntryProcess, make_submit

AGENTS = ["a1", "a2", "a3", "b1", "b2"]
ENTRIES = ["ae1", "ae2", "ae3", "be1", "be2", "be3"]
SEED = 7
ORDERS_PER_S = 40.0
RESEND_SHARE = 0.3
LOST_ANSWER_SHARE = 0.2
ANSWER_TIMEOUT_S = 2.5
ATTEMPTS = 3
RETRY_DELAY_S = 0.3
# Shorter than the defaults, so that two runs of all phases fit into 50 s.
SETTINGS = ClaimSettings(
    handover_timeout=timedelta(seconds=1.5),
    contact_interval=timedelta(seconds=1),
    decide_within=timedelta(seconds=2.2),
)
WARM_UP_S = 2.0
HEALTHY_S = 3.0
# The log counts as failed one reader retry after its last answer.
HANDOVER_S = 2.5
OUTAGE_STEADY_S = 4.0
OUTAGE_RESTART_S = 2.0
RETURN_S = 2.0
CUT_S = 4.0
SETTLE_S = 2.0


@dataclass(slots=True)
class Order:
    """Outcome of the first order of a key."""

    key: str
    phase: str
    outcome: str = "open"
    seconds: float = 0.0


@dataclass(slots=True)
class Totals:
    """Collect the orders and count resends and false refusals."""

    orders: list[Order] = field(default_factory=list)
    resends: int = 0
    false_refusals: int = 0


class OrderLoad:
    """Send orders and resends through entries."""

    def __init__(self, world: ClaimsWorld, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.totals = Totals()
        self.phase = ""
        self.serial = 0
        self.tasks: set[asyncio.Task] = set()

    async def run_phase(self, name: str, seconds: float) -> None:
        """Send orders at a fixed rate for a time."""
        self.phase = name
        end = perf_counter() + seconds
        while perf_counter() < end:
            self._spawn(self._first_order())
            await asyncio.sleep(1 / ORDERS_PER_S)

    async def finish(self) -> None:
        """Wait for all orders."""
        while self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def resend_all(self) -> None:
        """Send every key once more through another entry."""
        for order in self.totals.orders:
            self._spawn(self._resend(order.key, 0.0))
            await asyncio.sleep(0.002)
        await self.finish()

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _first_order(self) -> None:
        entry = self._entry()
        now = entry.shell.clock.now()
        fresh = self.random.random() < 0.5
        key = f"client-{len(self.totals.orders)}"
        if fresh and not self.world.naive:
            created = entry.homes.new_key(SERVICE, entry.domain, self.random, now)
            fresh = created is not None
            key = created or key
        order = Order(key, self.phase)
        self.totals.orders.append(order)
        if self.random.random() < RESEND_SHARE:
            delay = self.random.choice([0.0, 0.2, 1.0])
            if not fresh:
                self._spawn(self._resend(key, delay))
        started = perf_counter()
        order.outcome = await self._order(entry, key, fresh)
        order.seconds = perf_counter() - started

    async def _resend(self, key: str, delay: float) -> None:
        await asyncio.sleep(delay)
        self.totals.resends += 1
        await self._order(self._entry(), key, False)

    def _entry(self) -> EntryProcess:
        return self.random.choice(list(self.world.entries_by_id.values()))

    async def _order(self, entry: EntryProcess, key: str, fresh: bool) -> str:
        """Send an order until it ran, its claim is known or attempts run out."""
        outcome = "no_home"
        for attempt in range(ATTEMPTS):
            answer = await self._attempt(entry, key, fresh and attempt == 0, attempt)
            if isinstance(answer, End):
                return "run"
            outcome = self._classify(key, answer)
            if outcome == "known":
                return outcome
            await asyncio.sleep(RETRY_DELAY_S)
        return outcome

    def _classify(self, key: str, answer: Failed | None) -> str:
        if answer is None:
            return "unknown"
        if answer.code in (Code.CLAIM_IN_PROGRESS, Code.CLAIM_UNKNOWN):
            return "known"
        if answer.run is RunState.NO:
            self.totals.false_refusals += self.refused_falsely(key, answer)
        return f"refused_{answer.run}"

    def refused_falsely(self, key: str, answer: Failed) -> bool:
        """Check whether a key ran although its order was refused as not run."""
        return self.world.runs(key) > 0

    async def _attempt(
        self, entry: EntryProcess, key: str, fresh: bool, attempt: int
    ) -> End | Failed | None:
        address = self._address(entry, key, attempt)
        if address is None:
            return None
        self.serial += 1
        request = f"{entry.member}-{self.serial}"
        future = asyncio.get_running_loop().create_future()
        entry.answers_by_request[request] = future
        left = timedelta(seconds=ANSWER_TIMEOUT_S)
        call = make_submit(request, key, fresh=fresh, time_left=left)
        entry.shell.peer.send(address, call)
        try:
            return await asyncio.wait_for(future, ANSWER_TIMEOUT_S)
        except TimeoutError:
            entry.answers_by_request.pop(request, None)
            return None

    def _address(self, entry: EntryProcess, key: str, attempt: int) -> str | None:
        members = self.world.membership.members_by_id
        if self.world.naive:
            # The baseline tries the next agent when one does not answer.
            order = rendezvous_order(key, self.world.agents_by_id)
            return members[order[attempt % len(order)]].address
        home = entry.homes.home_of(SERVICE, key)
        return members[home].address if home in members else None


async def run_claims(*, seed: int = SEED) -> dict:
    """Run the protocol and the naive baseline through the same faults."""
    started = perf_counter()
    result, naive = await asyncio.gather(
        _run_once(seed, naive=False), _run_once(seed, naive=True)
    )
    for name in ("run_once", "run_twice", "keys"):
        result[f"naive_{name}"] = naive[name]
    result["seconds"] = round(perf_counter() - started, 1)
    return result


async def _run_once(seed: int, *, naive: bool) -> dict:
    world = ClaimsWorld(SETTINGS, naive=naive, seed=seed)
    await world.start(AGENTS, ENTRIES)
    try:
        load = OrderLoad(world, seed)
        outage = await _run_faults(world, load)
        return _report(world, load, outage)
    finally:
        await world.stop()


async def _run_faults(world: ClaimsWorld, load: OrderLoad) -> float:
    faults = world.platform.faults
    await asyncio.sleep(WARM_UP_S)
    faults.log_lose_answers = LOST_ANSWER_SHARE
    await load.run_phase("healthy", HEALTHY_S)
    await load.finish()
    outage_started = perf_counter()
    faults.log_down = True
    await load.run_phase("hand_over", HANDOVER_S)
    await load.run_phase("outage", OUTAGE_STEADY_S)
    await world.start_agent("a1")
    await load.run_phase("outage_restart", OUTAGE_RESTART_S)
    faults.log_down = False
    outage = perf_counter() - outage_started
    await load.run_phase("return", RETURN_S)
    world.links.cut_domains = {"b"}
    await load.run_phase("cut", CUT_S)
    world.links.cut_domains = set()
    await load.run_phase("healed", RETURN_S)
    await load.finish()
    faults.log_lose_answers = 0.0
    await asyncio.sleep(SETTLE_S)
    await load.resend_all()
    return outage


def _report(world: ClaimsWorld, load: OrderLoad, outage: float) -> dict:
    orders = load.totals.orders
    runs = Counter(world.runs(order.key) for order in orders)
    outcomes = Counter(order.outcome for order in orders)
    # If a resend is decided first, the order is answered with the state of that run.
    steady = [order for order in orders if order.phase == "outage"]
    steady_run = sum(order.outcome in ("run", "known") for order in steady)
    return {
        "keys": len(orders),
        "resends": load.totals.resends,
        "run_once": runs[1],
        "run_twice": sum(count for times, count in runs.items() if times > 1),
        "not_run": runs[0],
        "refused": sum(outcomes[name] for name in ("refused_no", "refused_unknown")),
        "refused_no": outcomes["refused_no"],
        "refused_unknown": outcomes["refused_unknown"],
        "unanswered": outcomes["unknown"],
        "false_refusals": load.totals.false_refusals,
        "outage_seconds": round(outage, 1),
        "outage_first_orders": len(steady),
        "outage_run_share": round(steady_run / max(1, len(steady)), 4),
        "healthy_p50_ms": _percentile_ms(orders, "healthy", 50),
        "healthy_p99_ms": _percentile_ms(orders, "healthy", 99),
        "outage_p50_ms": _percentile_ms(orders, "outage", 50),
        "outage_p99_ms": _percentile_ms(orders, "outage", 99),
        "lost_answers": world.platform.counters_["lost_answers"],
        "appends": world.platform.counters_["appends"],
    }


def _percentile_ms(orders: list[Order], phase: str, percent: int) -> float:
    times = [o.seconds for o in orders if o.phase == phase and o.outcome == "run"]
    if len(times) < 2:
        return 0.0
    return round(quantiles(times, n=100)[percent - 1] * 1000, 1)
