"""Detection of overload that lasts longer than a burst."""

from __future__ import annotations

# Averages over about the last 20 first attempts, some three seconds of an entry's
# traffic.
NEWEST_ATTEMPT_WEIGHT = 0.05
# Above this share of rejected first attempts the engines have no capacity left for
# retries.
SUSTAINED_OVERLOAD_SHARE = 0.2


class OverloadDetector:
    """Track the share of rejected first attempts of each service."""

    __slots__ = ("rejected_share_by_service_",)

    def __init__(self) -> None:
        self.rejected_share_by_service_: dict[str, float] = {}

    def record_first_attempt(self, service: str, *, rejected: bool) -> None:
        """Record whether a first attempt was rejected."""
        share = self.rejected_share_by_service_.get(service, 0.0)
        self.rejected_share_by_service_[service] = share + NEWEST_ATTEMPT_WEIGHT * (
            rejected - share
        )

    def sustained(self, service: str) -> bool:
        """Check whether first attempts alone exceed the capacity of the engines."""
        return (
            self.rejected_share_by_service_.get(service, 0.0) > SUSTAINED_OVERLOAD_SHARE
        )
