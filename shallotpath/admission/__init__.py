"""Order of requests that compete for the room of a service.

The most urgent priority goes first; within it, requests that can still meet their
target; within those, the ones that need least work. All parts are free of I/O and of a
clock.
"""

from ._demand import Demand, DemandKey, DemandTracker
from ._order import (
    FIRST_ATTEMPT_PRIORITY,
    RETRY_PRIORITY,
    UNRANKED,
    Rank,
    expected_wait,
    retry_window,
    work_factor,
)
from ._policy import Applicant, Level, Obstacle, PriorityAdmission, find_obstacle
from ._shares import MinimumShares

__all__ = [
    "Applicant",
    "Demand",
    "DemandKey",
    "DemandTracker",
    "FIRST_ATTEMPT_PRIORITY",
    "Level",
    "MinimumShares",
    "Obstacle",
    "PriorityAdmission",
    "RETRY_PRIORITY",
    "Rank",
    "UNRANKED",
    "expected_wait",
    "find_obstacle",
    "retry_window",
    "work_factor",
]
