"""Outcome of a placement decision, and the settings that it follows."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from ._engine_model import Prediction
from ._upstreams import Upstream

# Engines run lower numbers first; a request without a priority has 5.
FIRST_ATTEMPT_PRIORITY = 4
RETRY_PRIORITY = 7


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

    @property
    def yielding(self) -> bool:
        """Check whether the engine runs more urgent requests first."""
        return self.priority == RETRY_PRIORITY


@dataclass(slots=True, frozen=True)
class Rejection:
    """Describe why a request is rejected and when its caller may retry."""

    reason: RejectReason
    retry_after: timedelta
    candidates: int = 0
    predicted: timedelta | None = None


@dataclass(slots=True, frozen=True)
class PlacementRules:
    """Hold the settings of the operators for placement."""

    domain: str
    regions_by_domain: Mapping[str, str]
    version_bound: timedelta
    cold_excess: float
    cold_slack: float
