"""Decide which connections are closed when there is too little room, without I/O."""

from __future__ import annotations

import resource
from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import IntEnum
from heapq import nsmallest
from typing import Protocol

# Used where neither the settings nor the operating system have a limit.
UNLIMITED_DESCRIPTORS = 1 << 16
# Descriptors that are left for files, as on the users' machines.
FILE_DESCRIPTORS = 200
# A request of a caller takes a descriptor on each side, so callers get as much as is
# left for upstreams and the store.
CALLERS_SHARE = 7 / 16
PEERS_SHARE = 3 / 32
MONITORING_SHARE = 1 / 64
# More than are accepted in one iteration of the event loop, so that a new connection is
# read before others that come with it can close it.
MIN_CONNECTIONS = 24
# Share of the connections that are closed at once, since each choice looks at all.
CLOSED_SHARE = 1 / 64
DEFAULT_HEADER_BYTES = 64 * 1024
DEFAULT_HEADER_TIMEOUT = timedelta(seconds=10)
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=75)
# Time in which a client takes up to 64 KiB of its answer: the distance between the
# marks at which asyncio pauses and resumes writing, or the rest once all is written.
# Only checked if there is no room.
READ_TIMEOUT = timedelta(seconds=60)
# Least average rate of a body, beyond the idle timeout. A line of 2400 bit/s is faster.
MIN_BODY_BYTES_PER_S = 256
# Reasons to refuse a request whose head is not complete.
HEAD_REASONS = ("slow_head", "large_head")


class Phase(IntEnum):
    """Name what a connection waits for; those that are closed first come first."""

    # The rest of a body whose request was answered already.
    DISCARDED = 0
    # The first byte.
    SILENT = 1
    # The rest of a head.
    HEAD = 2
    # The rest of a body.
    BODY = 3
    # The next request.
    KEPT = 4
    # A client that has taken nothing of its answer for `READ_TIMEOUT`.
    UNREAD = 5
    # An answer, which an upstream may be working on. Such a connection is never closed.
    BUSY = 6


class Holder(Protocol):
    """Describe a connection to the decisions; bytes are those that clients send."""

    @property
    def phase(self) -> Phase:
        """Return what the connection waits for."""
        ...

    @property
    def held_since(self) -> datetime:
        """Return when the phase began."""
        ...

    @property
    def received_bytes(self) -> int:
        """Return the bytes of the incomplete head or body."""
        ...

    @property
    def last_received_at(self) -> datetime:
        """Return when the last bytes arrived."""
        ...

    @property
    def was_held(self) -> bool:
        """Check whether the process itself has delayed the bytes."""
        ...


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limit the connections of one listener and what each of them may take."""

    connections: int
    header_bytes: int = DEFAULT_HEADER_BYTES
    header_timeout: timedelta = DEFAULT_HEADER_TIMEOUT
    idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT


@dataclass(slots=True, frozen=True)
class DescriptorShares:
    """Divide the descriptors of a process among its listeners.

    The rest is left for connections to upstreams, peers and the store.
    """

    descriptors: int

    @classmethod
    def for_process(cls, max_descriptors: int | None = None) -> DescriptorShares:
        """Return the shares within the limit that the process has or is given."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            limit = UNLIMITED_DESCRIPTORS
        return cls(limit if max_descriptors is None else min(limit, max_descriptors))

    @property
    def sockets(self) -> int:
        """Return the descriptors that sockets may take."""
        return max(self.descriptors - FILE_DESCRIPTORS, self.descriptors // 2)

    @property
    def callers(self) -> int:
        """Return the connections that callers may keep."""
        return self._share(CALLERS_SHARE)

    @property
    def peers(self) -> int:
        """Return the connections that peers may keep."""
        return self._share(PEERS_SHARE)

    @property
    def monitoring(self) -> int:
        """Return the connections of each listener for probes, metrics or operators."""
        return self._share(MONITORING_SHARE)

    def _share(self, share: float) -> int:
        return max(MIN_CONNECTIONS, int(share * self.sockets))


def choose_closed(
    holders: Collection[Holder], limit: int, now: datetime
) -> list[Holder]:
    """Return the connections to close so that another one can be opened.

    The first to go is the one that holds most for longest. One with a request that an
    upstream may have is never chosen, so the result may be too short.
    """
    excess = len(holders) + 1 - limit
    if excess <= 0:
        return []
    candidates = [holder for holder in holders if holder.phase is not Phase.BUSY]
    count = max(excess, int(limit * CLOSED_SHARE))

    def order(holder: Holder) -> tuple[Phase, float]:
        age_s = (now - holder.held_since).total_seconds()
        return holder.phase, -age_s * (1 + holder.received_bytes)

    return nsmallest(count, candidates, key=order)


def overdue_reason(holder: Holder, limits: ConnectionLimits, now: datetime) -> str:
    """Return why a connection brings its head or body too slowly, or `""`."""
    phase = holder.phase
    if phase is Phase.HEAD:
        if now - holder.held_since > limits.header_timeout and not holder.was_held:
            return "slow_head"
    elif phase in (Phase.BODY, Phase.DISCARDED):
        if now - holder.last_received_at > limits.idle_timeout:
            return "slow_body"
        allowed_s = holder.received_bytes / MIN_BODY_BYTES_PER_S
        allowed = limits.idle_timeout + timedelta(seconds=allowed_s)
        if now - holder.held_since > allowed and not holder.was_held:
            return "slow_body"
    return ""
