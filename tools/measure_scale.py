"""Measure what decisions cost in fleets of several sizes, without a network.

usage: python tools/measure_scale.py

Prints for each size the time of a placement, of a new list of entries and of planning a
transfer, and how much of a cold limit and of a retry budget the entries may use.
"""

import time
from datetime import timedelta
from random import Random

from shallotpath.core import EPOCH
from shallotpath.gateway import ColdLimit
from shallotpath.gateway.tests.helpers import (
    make_call,
    make_dispatcher,
    make_record,
    make_subsets,
)
from shallotpath.swarm import SwarmMember, SwarmPlan

# Entries and upstreams.
SIZES = ((8, 10), (37, 23), (100, 45), (350, 900))
DECISIONS = 400
COLD_LIMIT = ColdLimit(requests_per_s=17, excess=1.5, slack=5)
RETRIES = 904
CHUNKS = 96


def placement_ms(entries: int, upstreams: int) -> tuple[float, float]:
    """Return the time of the first and of each later decision in milliseconds."""
    records = [make_record(n, "abc"[n % 3] + "-1") for n in range(upstreams)]
    dispatcher = make_dispatcher(records, subsets=make_subsets(0, entries))
    now, times = EPOCH, []
    for number in range(DECISIONS):
        # A tenth of a second apart, as at the peak of an entry's traffic.
        now += timedelta(milliseconds=100)
        call = make_call(number, now=now)
        start = time.perf_counter()
        decision = dispatcher.choose(call, (), now)
        times.append(time.perf_counter() - start)
        if hasattr(decision, "upstream"):
            dispatcher.loads.sent(call.request_id, decision.upstream.id, 979, now)
        if number >= 10:
            dispatcher.loads.ended(f"q{number - 10}")
    return 1000 * times[0], 1000 * sorted(times[1:])[DECISIONS // 2]


def planning_ms(members: int) -> float:
    """Return the time of one planning round of a transfer in milliseconds."""
    random = Random(1)
    own, *others = [SwarmMember(f"m{n}", "abcde"[n % 5]) for n in range(members)]
    digests = ["0" * 64] * CHUNKS
    plan = SwarmPlan(
        own=own, model="m", version=2, digests=digests, started_at=EPOCH, random=random
    )
    rounds = 50
    start = time.perf_counter()
    for number in range(rounds):
        now = EPOCH + number * timedelta(milliseconds=100)
        plan.set_members(others)
        plan.peer_has(random.choice(others), random.getrandbits(CHUNKS), now)
        for fetch in plan.next_fetches(now):
            plan.busy(fetch, now)
    return 1000 * (time.perf_counter() - start) / rounds


def main() -> None:
    """Print the table."""
    print("entries upstreams first_ms later_ms planning_ms cold_used budget_used")
    for entries, upstreams in SIZES:
        first, later = placement_ms(entries, upstreams)
        views = [make_subsets(number, entries) for number in range(entries)]
        cold = sum(v.upstream_share("u", "a", COLD_LIMIT.planned) for v in views)
        budget = sum(view.share("s", RETRIES) for view in views)
        print(
            f"{entries:7} {upstreams:9} {first:8.2f} {later:8.3f}"
            f" {planning_ms(upstreams):11.2f} {cold:6}/{COLD_LIMIT.planned}"
            f" {budget:7}/{RETRIES}"
        )


if __name__ == "__main__":
    main()
