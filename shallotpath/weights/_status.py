"""Update states of the agents of a service, spread by gossip between neighbours."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import lru_cache
from hashlib import blake2b
from random import Random
from struct import Struct

from ..core import WeightsStatus
from ._bucket import TokenBucket
from ._sources import interval_passed

# Hash of the member id (48 bits), hash of the incarnation (24 bits), version, flags.
ENTRY_LAYOUT = Struct("<6s3sHB")
FINISHED_FLAG = 1
READY_FLAG = 2
VERSION_COUNT = 1 << 16
ENTRIES_PER_MESSAGE = 100
# Envelope, message kind, digest and TCP/IP headers.
MESSAGE_OVERHEAD_BYTES = 160
# A tenth of the control budget of 14 KB/s per node.
STATUS_BYTES_PER_SECOND = 1_400.0
STATUS_BURST_BYTES = 6_000.0
# Number of neighbours that a change is forwarded to; the periodic exchange makes up
# for lost messages.
FANOUT = 3
EXCHANGE_INTERVAL = timedelta(seconds=2)
ENTRIES_PER_EXCHANGE = 20
PRUNE_MARGIN_ENTRIES = 16


@dataclass(slots=True, frozen=True)
class Status:
    """Hold the update state of one agent: the digest it has finished, and readiness."""

    incarnation: bytes
    version: int
    finished: str
    ready: bool


def short_hash(text: str, size: int) -> bytes:
    """Return a short hash of an id that is the same in all processes."""
    return blake2b(text.encode(), digest_size=size).digest()


@lru_cache(maxsize=1 << 14)
def member_key(member_id: str) -> bytes:
    """Return the key of a member in update states."""
    return short_hash(member_id, 6)


class StatusTable:
    """Keep the newest state of each agent and forward changes."""

    __slots__ = (
        "bucket_",
        "exchanged_at_",
        "incarnation",
        "own_key",
        "queued_by_neighbour_",
        "random",
        "sent_bytes_",
        "status_by_key_",
    )

    def __init__(self, member_id: str, incarnation: str, random: Random) -> None:
        self.own_key = member_key(member_id)
        self.incarnation = short_hash(incarnation, 3)
        self.random = random
        self.bucket_ = TokenBucket(STATUS_BYTES_PER_SECOND, STATUS_BURST_BYTES)
        self.status_by_key_: dict[bytes, Status] = {}
        self.queued_by_neighbour_: dict[str, set[bytes]] = {}
        self.exchanged_at_: datetime | None = None
        self.sent_bytes_ = 0

    def update_own(
        self, finished: str, ready: bool, neighbours: Collection[str]
    ) -> None:
        """Record the state of this agent and forward it if it changed."""
        old = self.status_by_key_.get(self.own_key)
        if old is not None and (old.finished, old.ready) == (finished, ready):
            return
        version = (old.version + 1) % VERSION_COUNT if old else 1
        self.status_by_key_[self.own_key] = Status(
            self.incarnation, version, finished, ready
        )
        self._forward(self.own_key, neighbours)

    def receive(
        self,
        digest: str,
        entries: bytes,
        incarnation_of: Callable[[bytes], bytes | None],
        others: Collection[str],
    ) -> None:
        """Apply newer states from a neighbour and forward them to others."""
        whole_bytes = len(entries) - len(entries) % ENTRY_LAYOUT.size
        for key, incarnation, version, flags in ENTRY_LAYOUT.iter_unpack(
            entries[:whole_bytes]
        ):
            status = Status(
                incarnation,
                version,
                digest if flags & FINISHED_FLAG else "",
                bool(flags & READY_FLAG),
            )
            if key != self.own_key and self._newer(key, status, incarnation_of):
                self.status_by_key_[key] = status
                self._forward(key, others)

    def prune(self, members: Collection[str]) -> None:
        """Remove members that are gone once they outnumber the present ones."""
        if len(self.status_by_key_) <= 2 * len(members) + PRUNE_MARGIN_ENTRIES:
            return
        known = {self.own_key, *map(member_key, members)}
        for key in self.status_by_key_.keys() - known:
            del self.status_by_key_[key]
        for queued in self.queued_by_neighbour_.values():
            queued.intersection_update(known)

    def messages(
        self, digest: str, neighbours: Collection[str], now: datetime
    ) -> list[tuple[str, WeightsStatus]]:
        """Return the messages to send within the rate."""
        self._queue_exchange(neighbours, now)
        messages = []
        for neighbour in list(self.queued_by_neighbour_):
            queued = self.queued_by_neighbour_[neighbour]
            chosen = sorted(queued)[:ENTRIES_PER_MESSAGE]
            size = MESSAGE_OVERHEAD_BYTES + ENTRY_LAYOUT.size * len(chosen)
            if neighbour in neighbours:
                if not self.bucket_.take(size, now):
                    break
                self.sent_bytes_ += size
                messages.append((neighbour, self._pack(digest, chosen)))
                queued.difference_update(chosen)
            else:
                queued.clear()
            if not queued:
                del self.queued_by_neighbour_[neighbour]
        return messages

    def _pack(self, digest: str, keys: list[bytes]) -> WeightsStatus:
        entries = bytearray()
        for key in keys:
            status = self.status_by_key_[key]
            finished = FINISHED_FLAG if status.finished == digest else 0
            ready = READY_FLAG if status.ready else 0
            entries += ENTRY_LAYOUT.pack(
                key, status.incarnation, status.version, finished | ready
            )
        return WeightsStatus(digest, bytes(entries))

    def _newer(
        self,
        key: bytes,
        status: Status,
        incarnation_of: Callable[[bytes], bytes | None],
    ) -> bool:
        old = self.status_by_key_.get(key)
        if old is None:
            return True
        if old.incarnation == status.incarnation:
            return (
                0 < (status.version - old.version) % VERSION_COUNT < VERSION_COUNT // 2
            )
        return incarnation_of(key) == status.incarnation

    def _forward(self, key: bytes, neighbours: Collection[str]) -> None:
        others = sorted(neighbours)
        for neighbour in self.random.sample(others, min(FANOUT, len(others))):
            self.queued_by_neighbour_.setdefault(neighbour, set()).add(key)

    def _queue_exchange(self, neighbours: Collection[str], now: datetime) -> None:
        if not neighbours or not interval_passed(
            now, EXCHANGE_INTERVAL, self.exchanged_at_
        ):
            return
        self.exchanged_at_ = now
        keys = sorted(self.status_by_key_)
        chosen = self.random.sample(keys, min(ENTRIES_PER_EXCHANGE, len(keys)))
        neighbour = self.random.choice(sorted(neighbours))
        self.queued_by_neighbour_.setdefault(neighbour, set()).update(chosen)
