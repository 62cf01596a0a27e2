"""Choice of the members that fetch from the origin, and of the chunk each takes next.

All members compute the same order from the announced chunk maps, without messages.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from itertools import zip_longest

from ..core import rendezvous_order

# Members that fetch from the origin at once, one chunk each. With more of them each
# chunk takes longer, as requests share the link, and reaches the other members later.
MAX_ORIGIN_FETCHERS = 16
# Part of the connections that the origin accepts. The rest is left for manifests and
# for connections that have not closed yet.
CONNECTION_SHARE = 0.5
# A request counts as overdue after this many times the time that own requests took.
OVERDUE_REQUEST_TIMES = 2.0
# Time until other members know of a chunk: a round of messages between regions takes up
# to 0.65 s. Chunks of others are taken over no sooner, as they may have arrived there.
MAP_DELAY = timedelta(milliseconds=700)
# Time without a new chunk in the swarm after which further members try the origin. It
# is also the least such time before the first measurement.
MIN_STALL = timedelta(milliseconds=1500)
STALL_REQUEST_TIMES = 4.0
# A request to the origin times out after this many times the time that it should take,
# and not before `MIN_TIMEOUT`. The limit doubles with each time-out in a row.
TIMEOUT_REQUEST_TIMES = 3.0
MIN_TIMEOUT = timedelta(seconds=2)
MAX_TIMEOUT_DOUBLINGS = 3


@dataclass(slots=True, frozen=True)
class SwarmMember:
    """Identify a process that runs the same model."""

    id: str
    region: str


@dataclass(slots=True, frozen=True)
class OriginLimits:
    """Hold what the origin can send; `None` where it is not known."""

    bytes_per_s: float | None = None
    max_connections: int | None = None

    @property
    def fetchers(self) -> int:
        """Return the number of members that may fetch at once."""
        if self.max_connections is None:
            return MAX_ORIGIN_FETCHERS
        connections = int(CONNECTION_SHARE * self.max_connections)
        return max(1, min(connections, MAX_ORIGIN_FETCHERS))


def origin_order(key: str, members: Iterable[SwarmMember]) -> list[str]:
    """Return the ids in the order in which members fetch, the regions in turn."""
    regions_by_id = {member.id: member.region for member in members}
    ids_by_region: dict[str, list[str]] = {}
    for member_id in rendezvous_order(key, regions_by_id):
        ids_by_region.setdefault(regions_by_id[member_id], []).append(member_id)
    return [
        member_id
        for ids in zip_longest(*ids_by_region.values())
        for member_id in ids
        if member_id is not None
    ]


class OriginSchedule:
    """Tell one member which chunk to fetch from the origin.

    Each chunk belongs to one of the fetchers, who takes its chunks from the front. A
    fetcher that has none left takes over chunks of the others from the back, so a
    member that is slow, dead or behind a narrow link delays no chunk for long.
    """

    __slots__ = (
        "expected_time_",
        "fetchers_",
        "fronts_",
        "idle_since_",
        "key",
        "limits",
        "own_id",
        "rank_",
        "request_time_",
        "timeouts_",
    )

    def __init__(
        self, own_id: str, key: str, limits: OriginLimits, chunk_bytes: int
    ) -> None:
        self.own_id = own_id
        self.key = key
        self.limits = limits
        self.fetchers_ = [own_id]
        self.rank_ = 0
        # The chunk that each fetcher is expected to take next, and since when.
        self.fronts_: dict[int, tuple[int, datetime]] = {}
        # Time of a request when all fetchers share the link.
        self.expected_time_ = timedelta()
        if limits.bytes_per_s:
            seconds = limits.fetchers * chunk_bytes / limits.bytes_per_s
            self.expected_time_ = timedelta(seconds=seconds)
        self.request_time_ = self.expected_time_
        self.timeouts_ = 0
        self.idle_since_: datetime | None = None

    @property
    def timeout(self) -> timedelta:
        """Return the time after which a request to the origin is given up."""
        longest = max(self.expected_time_, self.request_time_)
        return max(MIN_TIMEOUT, TIMEOUT_REQUEST_TIMES * longest) * 2**self.timeouts_

    @property
    def patience(self) -> timedelta:
        """Return the time without a new chunk after which more members try."""
        return max(MIN_STALL, STALL_REQUEST_TIMES * self.request_time_)

    def set_members(self, members: Iterable[SwarmMember]) -> None:
        """Set the members that are alive, among them this one."""
        order = origin_order(self.key, members)
        self.rank_ = order.index(self.own_id)
        fetchers = order[: self.limits.fetchers]
        if fetchers != self.fetchers_:
            self.fetchers_ = fetchers
            self.fronts_.clear()

    def fetcher(self, index: int) -> str:
        """Return the member to which a chunk belongs."""
        return self.fetchers_[index % len(self.fetchers_)]

    def record_received(self, elapsed: timedelta, now: datetime) -> None:
        """Record how long a request to the origin took."""
        self.request_time_ = elapsed
        self.idle_since_ = now
        self.timeouts_ = 0

    def record_failed(self, elapsed: timedelta) -> None:
        """Record how long a request to the origin took until it failed."""
        if elapsed >= self.timeout and self.timeouts_ < MAX_TIMEOUT_DOUBLINGS:
            self.timeouts_ += 1

    def next_chunk(
        self, absent: Sequence[int], now: datetime, progressed_at: datetime
    ) -> int | None:
        """Return the chunk to request, or `None` to leave the origin to others.

        `absent` lists in ascending order the chunks that no member holds and this one
        has not requested; `progressed_at` is when the last chunk came into the swarm.
        """
        count = len(self.fetchers_)
        absent_by_slot: dict[int, list[int]] = {}
        for index in absent:
            absent_by_slot.setdefault(index % count, []).append(index)
        overdue = self._update_fronts(absent_by_slot, now)
        if self.rank_ in absent_by_slot:
            return absent_by_slot[self.rank_][0]
        idle = [slot for slot in range(count) if slot not in absent_by_slot]
        if self.idle_since_ is not None and now - self.idle_since_ < MAP_DELAY:
            return None
        stall = now - progressed_at
        if self.rank_ < count:
            position = idle.index(self.rank_)
        elif self.rank_ < count * (1 + stall // self.patience):
            position = len(idle) + self.rank_ - count
        else:
            return None
        in_flight = {
            indices[0]
            for slot, indices in absent_by_slot.items()
            if slot not in overdue
        }
        candidates = [index for index in absent if index not in in_flight]
        if not candidates:
            return None
        surplus = position - len(candidates) + 1
        if surplus > 0 and stall < (1 + surplus) * self.patience:
            return None
        return candidates[-1 - position % len(candidates)]

    def _update_fronts(
        self, absent_by_slot: dict[int, list[int]], now: datetime
    ) -> set[int]:
        """Update what the fetchers take next; return those whose chunk is overdue."""
        limit = OVERDUE_REQUEST_TIMES * self.request_time_ + MAP_DELAY
        fronts = {}
        overdue = set()
        for slot, indices in absent_by_slot.items():
            known = self.fronts_.get(slot)
            if known is None or known[0] != indices[0]:
                known = (indices[0], now)
            elif now - known[1] > limit:
                overdue.add(slot)
            fronts[slot] = known
        self.fronts_ = fronts
        return overdue
