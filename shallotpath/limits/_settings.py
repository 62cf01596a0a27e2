"""Settings of the admission gate."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class GateSettings:
    """Bounds of one gate; `memory_bytes` applies until the engine reports."""

    cold_limit: int = 2
    max_limit: int = 16
    # The engine needs this many completed runs before its caches are warm.
    warm_up_runs: int = 16
    queue_capacity: int = 256
    memory_bytes: int = 0
    # Headroom for what the engine holds beside the prompts and tokens.
    memory_share: float = 0.95
    report_lag: timedelta = timedelta(seconds=2)
    # A cold engine is about three times slower; batching slows it more gradually.
    cold_pace_ratio: float = 2.0
    refuse_retry_after: timedelta = timedelta(milliseconds=500)
