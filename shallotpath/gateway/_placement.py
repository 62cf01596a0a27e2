"""Outcome of a placement decision, and the settings that it follows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from ..admission import RETRY_PRIORITY, UNRANKED, Level, Obstacle, Rank
from ._engine_model import Prediction
from ._upstreams import Upstream


class RejectReason(StrEnum):
    """Describe why a request gets no upstream."""

    NO_UPSTREAM = "no_upstream"
    NO_WEIGHTS = "no_weights"
    OVERLOADED = "overloaded"
    COLD = "cold"


@dataclass(slots=True, frozen=True)
class Placement:
    """Describe where and how a request is sent."""

    upstream: Upstream
    version: int | None
    priority: int
    prediction: Prediction
    # Latest start of the request if the weights are outdated.
    start_deadline: datetime | None = None
    rank: Rank = UNRANKED
    level: Level | None = None
    # Admitted as a part of the minimum share of its priority and team.
    minimum_share: bool = False

    @property
    def yielding(self) -> bool:
        """Check whether the engine runs more urgent requests first."""
        return not self.rank.ordered and self.priority == RETRY_PRIORITY

    @property
    def rank_priority(self) -> int | None:
        """Return the engine priority if the service has several priorities."""
        return self.priority if self.rank.ordered else None


@dataclass(slots=True, frozen=True)
class Rejection:
    """Describe why a request is rejected and when its caller may retry."""

    reason: RejectReason
    retry_after: timedelta
    candidates: int = 0
    predicted: timedelta | None = None
    # What decided, for services with several priorities.
    rank: Rank = UNRANKED
    obstacle: Obstacle | None = None
    level: Level | None = None


@dataclass(slots=True, frozen=True)
class PlacementRules:
    """Hold the settings of the operators for placement."""

    domain: str
    regions_by_domain: Mapping[str, str]
    version_bound: timedelta
    cold_excess: float
    cold_slack: float
