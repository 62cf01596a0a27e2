"""Whether engines are overloaded for longer than a burst."""

from __future__ import annotations

# Weight of the newest first attempt: the share is that of the last twenty or so, some
# three seconds of one entry's traffic.
NEWEST_ATTEMPT_WEIGHT = 0.05
# Above this share of refused first attempts there is no spare time for callers that
# came back. Simulated load crosses it between the capacity and 1.2 times of it.
SUSTAINED_OVERLOAD_SHARE = 0.2


class OverloadDetector:
    """Follow the share of first attempts that were refused, by service."""

    __slots__ = ("rejected_share_by_service_",)

    def __init__(self) -> None:
        self.rejected_share_by_service_: dict[str, float] = {}

    def record_first_attempt(self, service: str, *, rejected: bool) -> None:
        """Record the decision on a first attempt."""
        share = self.rejected_share_by_service_.get(service, 0.0)
        self.rejected_share_by_service_[service] = share + NEWEST_ATTEMPT_WEIGHT * (
            rejected - share
        )

    def sustained(self, service: str) -> bool:
        """Check whether first attempts alone are more than the engines can serve."""
        return (
            self.rejected_share_by_service_.get(service, 0.0) > SUSTAINED_OVERLOAD_SHARE
        )
