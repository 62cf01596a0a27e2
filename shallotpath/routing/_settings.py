"""Settings of the upstream selection."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Bounds of one entry's selection."""

    # Upstreams per service and failure domain that calls without affinity use.
    subset_size: int = 32
    # Assumed limit of an upstream that has not reported: a cold one can take two.
    unknown_limit: int = 2
    # Upstreams whose load and health are kept; idle ones are evicted first.
    tracked_members: int = 512
    # Share of the traffic that a returning failure domain gets at once.
    ramp_start: float = 0.1
    repeat_window: timedelta = timedelta(seconds=30)
    tracked_fingerprints: int = 4096
