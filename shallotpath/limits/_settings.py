"""Settings of the admission gate."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class GateSettings:
    """Configure one gate; `memory_bytes` applies until the engine reports its own."""

    cold_limit: int = 2
    max_limit: int = 16
    # Completed runs that the engine needs before its caches are warm.
    warm_up_runs: int = 16
    queue_capacity: int = 256
    memory_bytes: int = 0
    # The rest is headroom for what the engine holds besides prompts and tokens.
    memory_share: float = 0.95
    report_lag: timedelta = timedelta(seconds=2)
    # A pace above the usual one by this factor shows a cold engine, which is about
    # three times slower; batching slows an engine more gradually.
    cold_pace_ratio: float = 2.0
    refuse_retry_after: timedelta = timedelta(milliseconds=500)
