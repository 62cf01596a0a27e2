"""Settings of the upstream selection."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Settings of the upstream selection of one entry."""

    # Upstreams per service and failure domain for calls without affinity.
    subset_size: int = 32
    # Assumed limit of an upstream that has not reported; a cold one accepts two calls.
    unknown_limit: int = 2
    # Upstreams whose load and health are tracked; idle ones are evicted first.
    tracked_members: int = 512
    # Initial share of the traffic for a failure domain that returns to service.
    ramp_start: float = 0.1
    repeat_window: timedelta = timedelta(seconds=30)
    tracked_fingerprints: int = 4096
