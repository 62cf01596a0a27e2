"""Detection of overload, and a limit on what it may spill over."""

from __future__ import annotations

# Averages over about the last 20 first attempts, some three seconds of an entry's
# traffic.
NEWEST_ATTEMPT_WEIGHT = 0.05
# Above this share of rejected first attempts the engines have no capacity left for
# retries.
SUSTAINED_OVERLOAD_SHARE = 0.2
# Share of the requests that may leave their preferred upstreams where all of those are
# too busy. Only old loads are known of the others, so a larger share fills engines that
# look idle, and the spilled requests are late together with those that preferred them.
SPILL_SHARE = 0.2
MAX_SPILL_TOKENS = 1.0


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


class SpillBudget:
    """Limit the requests of each service that leave their preferred upstreams."""

    __slots__ = ("tokens_by_service_",)

    def __init__(self) -> None:
        self.tokens_by_service_: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Count a request, whether it is placed or not."""
        tokens = self.tokens_by_service_.get(service, MAX_SPILL_TOKENS)
        self.tokens_by_service_[service] = min(MAX_SPILL_TOKENS, tokens + SPILL_SHARE)

    def available(self, service: str) -> bool:
        """Check whether a request may leave its preferred upstreams."""
        return self.tokens_by_service_.get(service, MAX_SPILL_TOKENS) >= 1.0

    def spend(self, service: str) -> None:
        """Count a request that has left its preferred upstreams."""
        tokens = self.tokens_by_service_.get(service, MAX_SPILL_TOKENS)
        self.tokens_by_service_[service] = tokens - 1.0
