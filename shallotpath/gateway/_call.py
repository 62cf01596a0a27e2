"""One attempt of a caller, as the decisions see it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from ._catalog import Route

# A caller that has less than this share of the route's timeout left on arrival was
# refused before and has come back. The patience of first attempts varies by a seventh.
FIRST_ATTEMPT_TIMEOUT_SHARE = 0.85


@dataclass(slots=True)
class GatewayCall:
    """Describe a request of a caller."""

    request_id: str
    route: Route
    service: str
    team: str
    priority: int
    regions: frozenset[str]
    arrived_at: datetime
    # Time that the caller waits, counted from its arrival here.
    caller_timeout: timedelta
    fingerprint: str
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def ends_at(self) -> datetime:
        """Return when the caller or the operator stops waiting."""
        return self.arrived_at + min(self.caller_timeout, self.route.timeout)

    @property
    def is_retry(self) -> bool:
        """Tell whether the caller was refused before."""
        return self.caller_timeout < FIRST_ATTEMPT_TIMEOUT_SHARE * self.route.timeout

    def min_recognizable_delay(self, now: datetime) -> timedelta:
        """Return how long the caller must stay away to be known to have come back."""
        caller_time_left = self.arrived_at + self.caller_timeout - now
        delay = caller_time_left - FIRST_ATTEMPT_TIMEOUT_SHARE * self.route.timeout
        return max(timedelta(), delay + timedelta.resolution)

    def time_left(self, now: datetime) -> timedelta:
        """Return the time until the caller or the operator stops waiting."""
        return self.ends_at - now
