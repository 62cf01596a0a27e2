"""Choice of the chunk to fetch next and of its source.

The members of a swarm run the same model. Their links are narrow and the transfer of
announced weights has a time bound, so the origin should send each chunk only once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ..core import sha256_hex
from ._origin_schedule import OriginLimits, OriginSchedule, SwarmMember
from ._window import RequestWindow

ORIGIN = "origin"
# Requests to peers in flight. Fewer leave links idle. More are of use where the region
# has more peers to ask; elsewhere they only make peers busy.
MIN_PEER_REQUESTS = 5
MAX_PEER_REQUESTS = 7
# Parallel requests share the origin's link, so that each chunk arrives later and other
# members wait longer until they can fetch it from this one.
MAX_ORIGIN_REQUESTS = 1
MAX_REQUESTS_PER_PEER = 1
# Time after which one more member of a region may fetch a chunk from another region.
# A chunk takes up to a second when it shares a link with others.
IMPORT_STEP = timedelta(seconds=2)
# A member counts as slow if it holds less than this fraction of the chunks held here,
# once enough are held here for a comparison.
SLOW_MEMBER_FRACTION = 0.35
MIN_CHUNKS_TO_JUDGE_SPEED = 12
# Pause before the next request to a source that refused an upload as busy.
BUSY_BACKOFF = timedelta(milliseconds=80)
# Pause before the next request to a source that failed. For a peer it doubles with each
# failure, since a peer behind a network partition costs a timeout each time.
FAILURE_BACKOFF = timedelta(milliseconds=400)
MAX_FAILURE_BACKOFF = timedelta(milliseconds=3200)
# Number of corrupt chunks from which on each one causes the longer backoff.
MAX_CORRUPT_CHUNKS = 3
CORRUPT_PEER_BACKOFF = timedelta(seconds=10)
# A chunk that was corrupt this often may have a corrupt digest.
MAX_CORRUPT_COPIES = 3


@dataclass(slots=True, frozen=True)
class Fetch:
    """Describe the request of one chunk from one source."""

    source: str
    index: int


@dataclass(slots=True)
class _Source:
    bitmap: int = 0
    # The part of the bitmap that the numbers of copies contain.
    counted_bitmap: int = 0
    region: str = ""
    outstanding: int = 0
    corrupt: int = 0
    # Failures since the last verified chunk from this source.
    failures: int = 0
    avoid_until: datetime | None = None

    def usable(self, now: datetime, limit: int) -> bool:
        backs_off = self.avoid_until is not None and now < self.avoid_until
        return not backs_off and self.outstanding < limit


class SwarmPlan:
    """Plan the transfer of one version among the members of a swarm.

    For each chunk, one member fetches it from the origin, so that the origin sends a
    single copy, and one member of each other region fetches it into that region.
    """

    def __init__(
        self,
        *,
        own: SwarmMember,
        model: str,
        version: int,
        digests: list[str],
        started_at: datetime,
        random: Random,
        origin: OriginLimits | None = None,
        chunk_bytes: int = 0,
    ) -> None:
        self.own = own
        self.model = model
        self.version = version
        self.digests = digests
        self.chunk_bytes = chunk_bytes
        self.started_at = started_at
        self.random = random
        self.members_: list[SwarmMember] = [own]
        self.regional_members_: list[SwarmMember] = [own]
        self.regional_ids_: set[str] = {own.id}
        self.alive_ids_: set[str] = {own.id}
        # Position in the region, and how many members before each are not slow.
        self.own_position_ = 0
        self.fast_before_ = [0, 1]
        self.window_ = RequestWindow(MIN_PEER_REQUESTS)
        self.origin_schedule_ = OriginSchedule(
            own.id, f"{model}/{version}", origin or OriginLimits(), chunk_bytes
        )
        # When a chunk was last seen that no member had held before.
        self.progressed_at_ = started_at
        self.chunks_by_index_: dict[int, bytes] = {}
        # When the chunks in flight were requested.
        self.pending_by_index_: dict[int, datetime] = {}
        self.seen_at_by_index_: dict[int, datetime] = {}
        self.corrupt_copies_by_index_: Counter[int] = Counter()
        self.sources_by_id_: dict[str, _Source] = {ORIGIN: _Source()}
        # Numbers of other members that hold each chunk, in all regions and in the own.
        self.copies_by_index_ = [0] * len(digests)
        self.region_copies_by_index_ = [0] * len(digests)

    @property
    def complete(self) -> bool:
        """Check whether all chunks are held and verified."""
        return len(self.chunks_by_index_) == len(self.digests)

    @property
    def has_doubtful_digest(self) -> bool:
        """Check whether a chunk was corrupt so often that its digest may be wrong."""
        copies = self.corrupt_copies_by_index_.values()
        return max(copies, default=0) >= MAX_CORRUPT_COPIES

    @property
    def progress(self) -> float:
        """Return the fraction of the chunks that are held."""
        return len(self.chunks_by_index_) / max(1, len(self.digests))

    @property
    def coverage(self) -> float:
        """Return the fraction of the chunks that any reachable member holds."""
        self._update_copies()
        held = sum(
            index in self.chunks_by_index_ or copies > 0
            for index, copies in enumerate(self.copies_by_index_)
        )
        return held / max(1, len(self.digests))

    @property
    def size_bytes(self) -> float:
        """Return the size of the version, if need be estimated from what is held."""
        if self.chunk_bytes:
            return float(self.chunk_bytes * len(self.digests))
        held = self.chunks_by_index_.values()
        return sum(map(len, held)) * len(self.digests) / max(1, len(held))

    @property
    def bitmap(self) -> int:
        """Return the held chunks, one bit each."""
        return sum(1 << index for index in self.chunks_by_index_)

    def chunk(self, index: int) -> bytes | None:
        """Return a verified chunk, or `None` if it is not held."""
        return self.chunks_by_index_.get(index)

    @property
    def origin_timeout(self) -> timedelta:
        """Return the time after which a request to the origin is given up."""
        return self.origin_schedule_.timeout

    def stalled(self, now: datetime) -> bool:
        """Check whether chunks are missing that no member has got for a while.

        Only some members ask the origin, but all see which chunks come in.
        """
        waited = now - self.progressed_at_
        return waited > self.origin_schedule_.patience and self.coverage < 1

    def set_members(self, members: Iterable[SwarmMember]) -> None:
        """Set the members that are alive; this one is always included."""
        members = {self.own, *members}
        if len(members) == len(self.members_) and members.issuperset(self.members_):
            return
        self.members_ = sorted(members, key=lambda m: m.id)
        self.regional_members_ = [
            member for member in self.members_ if member.region == self.own.region
        ]
        self.own_position_ = self.regional_members_.index(self.own)
        self.regional_ids_ = {member.id for member in self.regional_members_}
        self.alive_ids_ = {member.id for member in self.members_}
        self.origin_schedule_.set_members(self.members_)
        regional_peers = len(self.regional_members_) - 1
        self.window_.maximum = max(
            MIN_PEER_REQUESTS, min(regional_peers, MAX_PEER_REQUESTS)
        )

    def peer_has(self, member: SwarmMember, bitmap: int, now: datetime) -> None:
        """Record the chunks that a member reports to hold."""
        source = self.sources_by_id_.setdefault(member.id, _Source())
        for index in _bits(bitmap & ~source.bitmap, len(self.digests)):
            self._seen(index, now)
        source.bitmap = bitmap
        if source.region != member.region:
            self._count_copies(source, 0)
            source.region = member.region

    def reuse(self, chunks: Iterable[bytes]) -> int:
        """Take over chunks of another version with equal digests; return how many."""
        indices_by_digest: dict[str, list[int]] = {}
        for index, digest in enumerate(self.digests):
            indices_by_digest.setdefault(digest, []).append(index)
        reused = 0
        for chunk in chunks:
            for index in indices_by_digest.get(sha256_hex(chunk), ()):
                self.chunks_by_index_[index] = chunk
                reused += 1
        return reused

    def next_fetches(self, now: datetime) -> list[Fetch]:
        """Return the requests to send now and mark their chunks as pending."""
        fetches = []
        self._update_copies()
        # The origin comes first: it may become unreachable, and all other members wait
        # for the chunks that only it holds.
        while fetch := self._next_origin_fetch(now) or self._next_peer_fetch(now):
            self.pending_by_index_[fetch.index] = now
            self.sources_by_id_[fetch.source].outstanding += 1
            fetches.append(fetch)
        return fetches

    def received(self, fetch: Fetch, payload: bytes, now: datetime) -> bool:
        """Verify and store a received chunk; return whether its digest matched."""
        requested_at = self.pending_by_index_.get(fetch.index, now)
        self._end_request(fetch)
        if fetch.source == ORIGIN:
            self.origin_schedule_.record_received(now - requested_at, now)
        else:
            self.window_.record_received(now - requested_at)
        source = self.sources_by_id_[fetch.source]
        if sha256_hex(payload) != self.digests[fetch.index]:
            source.corrupt += 1
            self.corrupt_copies_by_index_[fetch.index] += 1
            if fetch.source != ORIGIN and source.corrupt >= MAX_CORRUPT_CHUNKS:
                source.avoid_until = now + CORRUPT_PEER_BACKOFF
            return False
        source.failures = 0
        self._seen(fetch.index, now)
        self.chunks_by_index_[fetch.index] = payload
        return True

    def failed(self, fetch: Fetch, now: datetime) -> None:
        """End a request that failed and avoid its source for a while."""
        if fetch.source == ORIGIN:
            requested_at = self.pending_by_index_.get(fetch.index, now)
            self.origin_schedule_.record_failed(now - requested_at)
        self._end_request(fetch)
        source = self.sources_by_id_[fetch.source]
        pause = FAILURE_BACKOFF
        if fetch.source != ORIGIN:
            pause = min(FAILURE_BACKOFF * 2**source.failures, MAX_FAILURE_BACKOFF)
        source.failures += 1
        source.avoid_until = now + pause

    def busy(self, fetch: Fetch, now: datetime) -> None:
        """End a request that a source refused because its uploads are all in use."""
        self._end_request(fetch)
        self.sources_by_id_[fetch.source].avoid_until = now + BUSY_BACKOFF

    def _unrequested(self) -> list[int]:
        return [
            index
            for index in range(len(self.digests))
            if index not in self.chunks_by_index_
            and index not in self.pending_by_index_
        ]

    def _next_origin_fetch(self, now: datetime) -> Fetch | None:
        if not self.sources_by_id_[ORIGIN].usable(now, MAX_ORIGIN_REQUESTS):
            return None
        copies = self.copies_by_index_
        absent = [index for index in self._unrequested() if not copies[index]]
        index = self.origin_schedule_.next_chunk(absent, now, self.progressed_at_)
        return None if index is None else Fetch(ORIGIN, index)

    def _next_peer_fetch(self, now: datetime) -> Fetch | None:
        origin_requests = self.sources_by_id_[ORIGIN].outstanding
        if len(self.pending_by_index_) - origin_requests >= self.window_.size:
            return None
        usable = {
            peer: source
            for peer, source in self.sources_by_id_.items()
            if peer != ORIGIN
            and source.bitmap
            and source.usable(now, MAX_REQUESTS_PER_PEER)
        }
        if not usable:
            return None
        regional_bitmap = remote_bitmap = 0
        for source in usable.values():
            if source.region == self.own.region:
                regional_bitmap |= source.bitmap
            else:
                remote_bitmap |= source.bitmap
        slow = {peer for peer in usable if self._is_slow(peer)}
        # A chunk that the region lacks comes first, as its other members need it too.
        # What only slow members hold comes last: the origin sends it faster.
        missing = [
            (
                not self.copies_by_index_[i],
                self.region_copies_by_index_[i],
                self.copies_by_index_[i],
                i,
            )
            for i in self._unrequested()
            if (regional_bitmap | remote_bitmap) >> i & 1
        ]
        self.random.shuffle(missing)
        for absent, in_region, _, index in sorted(missing, key=lambda m: m[:3]):
            if not in_region and not self._may_import(index, now):
                continue
            holders = [
                peer
                for peer, source in usable.items()
                if source.bitmap >> index & 1
                and (source.region == self.own.region or not in_region)
                and (absent or peer not in slow)
            ]
            if holders:
                return Fetch(self.random.choice(holders), index)
        return None

    def _update_copies(self) -> None:
        """Count which chunks the other members hold.

        Members that are not alive, that failed since their last verified chunk or that
        are slow count as holding nothing, so that chunks which only they hold are
        fetched from the origin.
        """
        for peer, source in self.sources_by_id_.items():
            reachable = (
                peer in self.alive_ids_
                and not source.failures
                and not self._is_slow(peer)
            )
            self._count_copies(source, source.bitmap if reachable else 0)
        self.fast_before_ = [0]
        for member in self.regional_members_:
            slow = member.id != self.own.id and self._is_slow(member.id)
            self.fast_before_.append(self.fast_before_[-1] + (not slow))

    def _count_copies(self, source: _Source, bitmap: int) -> None:
        """Count the chunks of one source in place of those counted before."""
        in_region = source.region == self.own.region
        for index in _bits(bitmap ^ source.counted_bitmap, len(self.digests)):
            change = 1 if bitmap >> index & 1 else -1
            self.copies_by_index_[index] += change
            if in_region:
                self.region_copies_by_index_[index] += change
        source.counted_bitmap = bitmap

    def _seen(self, index: int, now: datetime) -> None:
        """Record that a member holds a chunk."""
        if index not in self.seen_at_by_index_:
            self.seen_at_by_index_[index] = now
            self.progressed_at_ = now

    def _may_import(self, index: int, now: datetime) -> bool:
        """Check whether this member may fetch a chunk from another region.

        One member of each region outside that of the origin fetcher is assigned to do
        so. After each `IMPORT_STEP` one more member may, as those before it may have
        failed or have a narrow link.
        """
        seen_at = self.seen_at_by_index_.get(index, now)
        importers = int((now - seen_at) / IMPORT_STEP)
        fetcher = self.origin_schedule_.fetcher(index)
        if fetcher not in self.regional_ids_:
            importers += 1
        return self._importers_before(index) < importers

    def _importers_before(self, index: int) -> int:
        """Return how many members of the region import a chunk before this one."""
        before = self.fast_before_
        first, own = index % (len(before) - 1), self.own_position_
        count = before[own] - before[first]
        return count if first <= own else count + before[-1]

    def _is_slow(self, member_id: str) -> bool:
        """Check whether a member holds far fewer chunks than this one."""
        source = self.sources_by_id_.get(member_id)
        own = len(self.chunks_by_index_)
        if source is None or own < MIN_CHUNKS_TO_JUDGE_SPEED:
            return False
        return source.bitmap.bit_count() < SLOW_MEMBER_FRACTION * own

    def _end_request(self, fetch: Fetch) -> None:
        if self.pending_by_index_.pop(fetch.index, None) is not None:
            source = self.sources_by_id_[fetch.source]
            source.outstanding = max(0, source.outstanding - 1)


def _bits(bitmap: int, count: int) -> Iterator[int]:
    """Return the set bits below a count, lowest first."""
    bitmap &= (1 << count) - 1
    while bitmap:
        lowest = bitmap & -bitmap
        yield lowest.bit_length() - 1
        bitmap ^= lowest
