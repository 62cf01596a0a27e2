"""Smallest share of its requests that each group of callers is admitted with."""

from __future__ import annotations

from collections.abc import Hashable

# Requests that a group may have saved up.
MAX_CREDIT = 2.0
# Bounds the number of groups; the one that was offered longest ago is dropped.
MAX_GROUPS = 4096


class MinimumShares:
    """Keep a group of requests from being refused entirely."""

    __slots__ = ("credit_by_group_",)

    def __init__(self) -> None:
        self.credit_by_group_: dict[Hashable, float] = {}

    def offer(self, group: Hashable, share: float) -> None:
        """Count a request of a group that may have a share of its requests."""
        credit = self.credit_by_group_.pop(group, 0.0)
        if len(self.credit_by_group_) >= MAX_GROUPS:
            del self.credit_by_group_[next(iter(self.credit_by_group_))]
        self.credit_by_group_[group] = min(MAX_CREDIT, credit + share)

    def available(self, group: Hashable) -> bool:
        """Check whether a group has had less than its share."""
        return self.credit_by_group_.get(group, 0.0) >= 1.0

    def admitted(self, group: Hashable) -> None:
        """Charge an admitted request to the share of its group."""
        if group in self.credit_by_group_:
            credit = self.credit_by_group_[group]
            self.credit_by_group_[group] = max(0.0, credit - 1.0)
