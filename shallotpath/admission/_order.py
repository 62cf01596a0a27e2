"""Rank of a request among those that compete with it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

T = TypeVar("T", bound=Any)

# Engines run lower numbers first; a request without a priority has 5.
FIRST_ATTEMPT_PRIORITY = 4
RETRY_PRIORITY = 7
# The numbers from 0 to 9 hold five ranks of first attempts and retries.
MAX_RANK = 4
# Above this share of an engine's time taken by more urgent requests the estimate of
# their effect on a queued request says only that it waits very long.
MAX_BUSY_SHARE = 0.9
# Bounds of the factor by which the work of a request changes its longest wait. They
# keep large requests from being refused always while small ones are served.
WORK_FACTOR_RANGE = (0.85, 1.1)


@dataclass(slots=True, frozen=True)
class Rank:
    """Hold the place of a priority among those of a service, 0 for the most urgent."""

    position: int
    count: int

    @classmethod
    def of(cls, priority: T, priorities: Sequence[T]) -> Rank:
        """Return the rank of a priority among the sorted ones of a service."""
        if len(priorities) < 2:
            return UNRANKED
        position = sum(other < priority for other in priorities)
        return cls(min(position, len(priorities) - 1), len(priorities))

    @property
    def ordered(self) -> bool:
        """Check whether the service has several priorities."""
        return self.count > 1

    def engine_priority(self, *, is_retry: bool) -> int:
        """Return the number that engines order requests by.

        A retry has missed its target, so it comes after the first attempts of its own
        rank. With one priority only retries are set apart.
        """
        if not self.ordered:
            return RETRY_PRIORITY if is_retry else FIRST_ATTEMPT_PRIORITY
        return 2 * min(self.position, MAX_RANK) + is_retry


UNRANKED = Rank(0, 1)


def expected_wait(wait: timedelta, queueing: timedelta, busy_share: float) -> timedelta:
    """Return a wait including that for more urgent requests that come later.

    These take a share of the engine's time, so only the rest of it shortens the queue
    that a less urgent request waits in.
    """
    left = 1 - min(max(busy_share, 0.0), MAX_BUSY_SHARE)
    return wait + queueing * (1 / left - 1)


def work_factor(work: timedelta, usual_work: timedelta) -> float:
    """Return the factor on the longest wait of a request that needs some work."""
    low, high = WORK_FACTOR_RANGE
    if work <= timedelta():
        return 1.0
    return min(max((usual_work / work) ** 0.5, low), high)


def retry_window(
    rank: Rank, earliest: timedelta, latest: timedelta
) -> tuple[timedelta, timedelta]:
    """Return between which delays refused callers may retry.

    Each rank has a part of the time, the most urgent the first, so that callers neither
    return together nor compete with more urgent ones.
    """
    part = (latest - earliest) / rank.count
    return earliest + part * rank.position, earliest + part * (rank.position + 1)
