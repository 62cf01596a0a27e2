"""State of the sources that an agent requests chunks from."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from ._events import ChunkMapReceived
from ._limits import TransferLimits


@dataclass(slots=True)
class Source:
    """Hold the chunk map of a source, its open requests and its failures."""

    digest: str = ""
    bitmap: int = 0
    count: int = 0
    staged: bool = False
    received_at: datetime | None = None
    progressed_at: datetime | None = None
    announced_at: datetime | None = None
    avoid_until: datetime | None = None
    banned: bool = False
    open_requests: int = 0
    corrupt_chunks: int = 0
    failures: int = 0

    def holds(self, index: int) -> bool:
        """Check whether the source has announced a chunk."""
        return bool(self.bitmap >> index & 1)

    @property
    def complete(self) -> bool:
        """Check whether the source has announced all chunks."""
        return self.count > 0 and self.bitmap == (1 << self.count) - 1

    def holds_version(self, digest: str) -> bool:
        """Check whether the source holds all chunks of a version."""
        return self.digest == digest and self.complete

    def usable(self, limits: TransferLimits, now: datetime) -> bool:
        """Check whether a chunk may be requested from the source now."""
        if self.banned or self.open_requests >= limits.slots_per_peer:
            return False
        return self.avoid_until is None or now >= self.avoid_until

    def update_map(self, event: ChunkMapReceived, now: datetime) -> None:
        """Replace the chunk map."""
        digest, bitmap = event.digest, event.bitmap
        if digest != self.digest or bitmap & ~self.bitmap:
            self.progressed_at = now
        if digest != self.digest:
            self.corrupt_chunks = 0
            self.banned = False
        self.digest, self.bitmap, self.count = digest, bitmap, event.count
        self.staged = event.staged
        self.received_at = now

    def record_stored(self, *, reset_corrupt: bool) -> None:
        """Record a verified chunk; `reset_corrupt` is for the origin only.

        A peer keeps its count of corrupt chunks, so it is banned even if most of its
        chunks are good.
        """
        self.failures = 0
        if reset_corrupt:
            self.corrupt_chunks = 0

    def record_failure(self, limits: TransferLimits, now: datetime) -> None:
        """Avoid the source for an exponentially growing time."""
        self.failures += 1
        factor = 2 ** min(self.failures - 1, 10)
        delay = min(limits.failure_backoff * factor, limits.max_backoff)
        self._avoid(now + delay)

    def record_refusal(self, limits: TransferLimits, now: datetime) -> None:
        """Avoid the source until it may have a free upload slot."""
        self._avoid(now + limits.busy_backoff)

    def record_corrupt(self, limits: TransferLimits, now: datetime) -> None:
        """Count a corrupt chunk and ban the peer once there are too many."""
        self.corrupt_chunks += 1
        self.banned = self.corrupt_chunks >= limits.max_corrupt_chunks
        self._avoid(now + limits.ban_duration if self.banned else now)

    def end_ban(self, now: datetime) -> bool:
        """Lift an expired ban; one more corrupt chunk bans the peer at once.

        Permanent bans could leave an agent without any source after a temporary
        fault.
        """
        if not self.banned or now < self.avoid_until:
            return False
        self.banned = False
        return True

    def silent(self, since: datetime, limits: TransferLimits, now: datetime) -> bool:
        """Check whether the source has stopped reporting or makes no progress.

        An agent that has not staged the version counts as silent too: an engine
        without memory for two versions stores no chunks until it is drained, so its
        agent cannot bring any into the region.
        """
        if now - (self.received_at or since) > limits.silence_timeout:
            return True
        if not self.staged and now - since > limits.silence_timeout:
            return True
        progressed_at = max(self.progressed_at or since, since)
        return not self.complete and now - progressed_at > limits.stall_timeout

    def _avoid(self, until: datetime) -> None:
        if self.avoid_until is None or until > self.avoid_until:
            self.avoid_until = until


def interval_passed(now: datetime, delay: timedelta, last: datetime | None) -> bool:
    """Check whether an interval has passed since `last`, or `last` is not set."""
    return last is None or now - last >= delay
