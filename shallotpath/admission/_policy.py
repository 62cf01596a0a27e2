"""Decision whether a request may take room that more urgent ones could need."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from ._demand import DemandKey, DemandTracker
from ._order import expected_wait
from ._shares import MinimumShares

# Share of refused more urgent requests at which a less urgent one gets only its minimum
# share. Below it the longest wait of the less urgent falls in proportion, as a sudden
# change at all entries would leave engines idle and then fill them at once.
FULL_PRESSURE = 0.2
# Part of the average share of admitted requests that each rank and team gets at
# least, so that none starves. These requests take room from the most urgent ones.
MIN_PART_OF_AVERAGE = 1 / 3


class Obstacle(StrEnum):
    """Describe why a request may not take the room."""

    # Its own predicted wait is too long.
    WAIT = "wait"
    # A more urgent request that arrived now would miss its target.
    MORE_URGENT_WAIT = "more_urgent_wait"
    # More urgent requests were refused recently.
    LEVEL = "level"


@dataclass(slots=True, frozen=True)
class Level:
    """Describe how much more urgent requests press on the room of a service."""

    # 0 without pressure, 1 if only the minimum share is left.
    pressure: float = 0.0
    # Share of the upstreams' time that more urgent requests take.
    busy_share: float = 0.0
    # Tightest target of the more urgent requests that were seen lately.
    target: timedelta | None = None


@dataclass(slots=True, frozen=True)
class Applicant:
    """Describe the waits that are predicted for a request."""

    wait: timedelta
    # Part of the wait that is spent in the queue for a slot.
    queueing: timedelta
    # Longest wait with which the request is admitted without pressure.
    max_wait: timedelta
    # Wait of the most urgent request that could arrive now.
    most_urgent_wait: timedelta
    # Longest such wait with which that request would be admitted.
    most_urgent_max_wait: timedelta


class PriorityAdmission:
    """Admit requests of a service so that the most urgent are refused last.

    Each entry computes the level from the sums over all entries.
    """

    __slots__ = ("demand", "shares")

    def __init__(self) -> None:
        self.demand = DemandTracker()
        self.shares = MinimumShares()

    def level(self, key: DemandKey, upstreams: int, now: datetime) -> Level:
        """Return the level for a rank of a service with some upstreams."""
        more_urgent = self.demand.more_urgent(key, now)
        if not more_urgent:
            return Level()
        refused_share = max(demand.refused_share for demand in more_urgent)
        work_per_s = sum(demand.work_per_s for demand in more_urgent)
        return Level(
            min(1.0, refused_share / FULL_PRESSURE),
            work_per_s / max(1, upstreams),
            min(demand.target for demand in more_urgent),
        )

    def refused_share(self, key: DemandKey, now: datetime) -> float:
        """Return the share of recent first attempts of a rank that were refused."""
        demand = self.demand.get(key, now)
        return demand.refused_share if demand is not None else 0.0

    def minimum_share(self, service: str, now: datetime) -> float:
        """Return the share of its requests that each rank and team may have."""
        demands = self.demand.by_rank(service, now).values()
        offered = sum(demand.offered for demand in demands)
        refused = sum(demand.refused for demand in demands)
        admitted_share = 1 - refused / offered if offered > 0 else 1.0
        return MIN_PART_OF_AVERAGE * admitted_share


def find_obstacle(applicant: Applicant, level: Level) -> Obstacle | None:
    """Return why a request is refused, `None` if it is admitted."""
    wait = expected_wait(applicant.wait, applicant.queueing, level.busy_share)
    if wait > applicant.max_wait:
        return Obstacle.WAIT
    if level.target is None:
        return None
    if applicant.most_urgent_wait > applicant.most_urgent_max_wait:
        return Obstacle.MORE_URGENT_WAIT
    if level.pressure:
        # A looser target of its own does not let it wait longer than more urgent ones.
        max_wait = min(applicant.max_wait, applicant.most_urgent_max_wait)
        if wait > max_wait * (1 - level.pressure):
            return Obstacle.LEVEL
    return None
