"""Rules that keep calls away from upstreams that recently refused or failed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from ..core import Code

# Codes caused by the call or its team, which do not count against the upstream.
CALL_CODES = frozenset(
    {
        Code.MALFORMED_REQUEST,
        Code.BODY_TOO_LARGE,
        Code.TEAM_LIMIT,
        Code.DEADLINE_UNREACHABLE,
        Code.DEADLINE_EXCEEDED,
        Code.QUARANTINED,
        Code.ISOLATED,
        Code.SLOW_READER,
        Code.CANCELLED,
        Code.CLAIM_ELSEWHERE,
        Code.CLAIM_IN_PROGRESS,
        Code.CLAIM_UNKNOWN,
    }
)
FAILURE_CODES = frozenset({Code.UPSTREAM_FAILED, Code.UPSTREAM_LOST})
DEFAULT_SKIP = timedelta(milliseconds=500)
MAX_SKIP = timedelta(seconds=8)


class HealthRule(Protocol):
    """Determine which upstreams may be tried."""

    def available(self, member_id: str, now: datetime) -> bool:
        """Check whether an upstream may be tried now."""
        ...

    def failed(
        self, member_id: str, code: Code, now: datetime, retry_after: timedelta | None
    ) -> None:
        """Record a refusal or failure."""
        ...

    def succeeded(self, member_id: str) -> None:
        """Record a successful call."""
        ...

    def forget(self, member_id: str) -> None:
        """Drop the state of an upstream."""
        ...


@dataclass(slots=True)
class _Skip:
    until: datetime
    failures: int = 0


class SkipRule:
    """Skip an upstream for its retry-after time, longer after repeated failures."""

    __slots__ = ("skips_by_id_",)

    def __init__(self) -> None:
        self.skips_by_id_: dict[str, _Skip] = {}

    def available(self, member_id: str, now: datetime) -> bool:
        """Check whether no skip is in progress."""
        skip = self.skips_by_id_.get(member_id)
        return skip is None or now >= skip.until

    def failed(
        self, member_id: str, code: Code, now: datetime, retry_after: timedelta | None
    ) -> None:
        """Start or extend the skip."""
        skip = self.skips_by_id_.setdefault(member_id, _Skip(now))
        delay = retry_after or DEFAULT_SKIP
        if code in FAILURE_CODES:
            delay = max(delay, DEFAULT_SKIP * 2 ** min(skip.failures, 8))
            skip.failures += 1
        skip.until = max(skip.until, now + min(delay, MAX_SKIP))

    def succeeded(self, member_id: str) -> None:
        """Reset the failure count; a skip in progress still runs out."""
        skip = self.skips_by_id_.get(member_id)
        if skip is not None:
            skip.failures = 0

    def forget(self, member_id: str) -> None:
        """Drop the state of an upstream."""
        self.skips_by_id_.pop(member_id, None)
