"""Queue of deltas for gossip, each sent a limited number of times."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Delta = TypeVar("Delta")


@dataclass(slots=True)
class PendingDelta(Generic[Delta]):
    """Hold a delta and how many more times it will be sent."""

    delta: Delta
    sends_left: int


class GossipQueue(Generic[Delta]):
    """Return the least-sent deltas first; a newer delta replaces an older one."""

    __slots__ = ("pending_by_key_",)

    def __init__(self) -> None:
        self.pending_by_key_: dict[Hashable, PendingDelta[Delta]] = {}

    def __len__(self) -> int:
        return len(self.pending_by_key_)

    def put(self, key: Hashable, delta: Delta, sends: int) -> None:
        """Queue a delta for a number of sends."""
        self.pending_by_key_[key] = PendingDelta(delta, sends)

    def take(self, limit: int) -> list[Delta]:
        """Return up to `limit` deltas and count one send for each."""
        items = list(self.pending_by_key_.items())
        if len(items) > limit:
            items.sort(key=lambda item: -item[1].sends_left)
            items = items[:limit]
        for key, pending in items:
            pending.sends_left -= 1
            if pending.sends_left <= 0:
                del self.pending_by_key_[key]
        return [pending.delta for _, pending in items]
