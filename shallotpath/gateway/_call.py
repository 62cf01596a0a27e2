"""One attempt of a caller, as input for placement and retry decisions."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import blake2b

from ._catalog import Route

# A caller that arrives with less than this share of the route's timeout left is
# retrying after a rejection. The timeouts of first attempts vary by a seventh.
FIRST_ATTEMPT_TIMEOUT_SHARE = 0.85
# Other names are replaced by a digest, as names are kept and sent to peers.
MAX_PART_NAME_LENGTH = 40
PART_DIGEST_BYTES = 16


def shared_parts(model: str, prompt_parts: Sequence[str]) -> tuple[str, ...]:
    """Return the names of a prompt's parts except the last, which is its own."""
    names = (f"{model}/{part}" for part in prompt_parts[:-1])
    return tuple(dict.fromkeys(map(_limit_name, names)))


def _limit_name(name: str) -> str:
    if len(name) <= MAX_PART_NAME_LENGTH and name.isascii():
        return name
    encoded = name.encode("utf-8", "surrogateescape")
    return blake2b(encoded, digest_size=PART_DIGEST_BYTES).hexdigest()


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
    # Time for which the caller waits, counted from its arrival.
    caller_timeout: timedelta
    fingerprint: str
    # When this entry stops, if a stop is planned.
    stops_at: datetime | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Ids of the parts of the prompt in order.
    prompt_parts: tuple[str, ...] = ()
    # Names of the parts that other requests to the model may have too.
    shared_parts: tuple[str, ...] = ()

    @property
    def ends_at(self) -> datetime:
        """Return when the timeout of the caller or the route, or the entry, ends."""
        ends_at = self.arrived_at + min(self.caller_timeout, self.route.timeout)
        return ends_at if self.stops_at is None else min(ends_at, self.stops_at)

    @property
    def is_retry(self) -> bool:
        """Check whether the caller is retrying after a rejection."""
        return self.caller_timeout < FIRST_ATTEMPT_TIMEOUT_SHARE * self.route.timeout

    def min_recognizable_delay(self, now: datetime) -> timedelta:
        """Return the shortest delay after which a retry is recognized as one."""
        caller_time_left = self.arrived_at + self.caller_timeout - now
        delay = caller_time_left - FIRST_ATTEMPT_TIMEOUT_SHARE * self.route.timeout
        return max(timedelta(), delay + timedelta.resolution)

    def time_left(self, now: datetime) -> timedelta:
        """Return the time until `ends_at`."""
        return self.ends_at - now
