"""Embed the admission by priority without sockets, event loop or a clock of its own."""

from __future__ import annotations

from datetime import timedelta

from shallotpath.admission import (
    Applicant,
    DemandKey,
    Obstacle,
    PriorityAdmission,
    find_obstacle,
)
from shallotpath.core import ManualClock

URGENT, LEAST = DemandKey("llm", 0), DemandKey("llm", 1)
UPSTREAMS = 4
WORK = timedelta(milliseconds=100)


def applicant(wait: timedelta, target: timedelta) -> Applicant:
    """Return a request that waits behind all others."""
    return Applicant(
        wait=wait,
        queueing=wait,
        max_wait=target,
        most_urgent_wait=timedelta(),
        most_urgent_max_wait=target,
    )


def main() -> list[Obstacle | None]:
    """Print what keeps a least urgent request out as urgent ones get refused."""
    clock = ManualClock()
    admission = PriorityAdmission()
    target = timedelta(milliseconds=400)
    request = applicant(timedelta(milliseconds=150), target)
    obstacles = []
    for refused in range(5):
        for number in range(10):
            admission.demand.record(
                URGENT,
                target=target,
                work=WORK,
                refused=number < refused,
                now=clock.now(),
            )
        level = admission.level(LEAST, UPSTREAMS, clock.now())
        obstacles.append(find_obstacle(request, level))
        print(f"pressure {level.pressure:.2f}: {obstacles[-1] or 'admitted'}")
    return obstacles


if __name__ == "__main__":
    main()
