"""Upload slots of one agent."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from ._limits import TransferLimits


@dataclass(slots=True)
class Uploads:
    """Hold the chunks being sent until their receivers confirm them."""

    limits: TransferLimits
    slots_: int = 1
    deadline_by_key_: dict[tuple[str, int], datetime] | None = None

    def start(self, peer: str, index: int, now: datetime, *, extra: int = 0) -> bool:
        """Reserve an upload slot if one is free."""
        active = self._unexpired(now)
        key = (peer, index)
        if key not in active and len(active) >= self.slots_ + extra:
            return False
        active[key] = now + self.limits.chunk_timeout
        return True

    def end(self, peer: str, index: int) -> None:
        """Free the slot of one chunk."""
        if self.deadline_by_key_:
            self.deadline_by_key_.pop((peer, index), None)

    def confirm(self, peer: str, bitmap: int) -> None:
        """Free the slots of chunks that the peer now holds."""
        for key in list(self.deadline_by_key_ or ()):
            if key[0] == peer and bitmap >> key[1] & 1:
                self.end(*key)

    def clear(self) -> None:
        """Free all slots."""
        self.deadline_by_key_ = {}

    @property
    def active(self) -> int:
        """Return the number of slots in use."""
        return len(self.deadline_by_key_ or ())

    def _unexpired(self, now: datetime) -> dict[tuple[str, int], datetime]:
        self.deadline_by_key_ = {
            key: deadline
            for key, deadline in (self.deadline_by_key_ or {}).items()
            if deadline > now
        }
        return self.deadline_by_key_
