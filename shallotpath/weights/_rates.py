"""Rate limits of the VM's link and of this agent's share of the region link."""

from __future__ import annotations

from ._bucket import TokenBucket
from ._layout import Layout
from ._limits import TransferLimits
from ._manifest import Manifest


class Rates:
    """Limit what one agent requests over its own link and from other regions."""

    __slots__ = ("limits", "link_bucket_", "region_bucket_")

    def __init__(self, limits: TransferLimits) -> None:
        self.limits = limits
        self.link_bucket_ = TokenBucket(0, 0)
        self.region_bucket_ = TokenBucket(0, 0)

    def update(self, manifest: Manifest, layout: Layout, share: float) -> None:
        """Adapt the rates to the manifest, the receivers and the preset's share."""
        burst = 2 * manifest.chunk_bytes
        if (self.link_bucket_.rate, self.link_bucket_.burst) != (
            self.limits.link_rate,
            burst,
        ):
            self.link_bucket_ = TokenBucket(self.limits.link_rate, burst)
        # Each receiver gets a share of the limit in proportion to its designated
        # chunks, so the sum stays within the limit and all receivers finish together.
        count = len(manifest.chunks)
        own = sum(layout.designated(index) for index in range(count))
        rate = self.limits.region_rate * share * max(own, 1) / count
        if self.region_bucket_.rate != rate:
            self.region_bucket_ = TokenBucket(rate, manifest.chunk_bytes)
