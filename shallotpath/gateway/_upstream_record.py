"""Registration record of an upstream."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class UpstreamRecord:
    """Hold the registration record of an upstream."""

    id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    cold_remaining: timedelta
    started_ms: int
    versions_by_model: dict[str, int] = field(default_factory=dict)
