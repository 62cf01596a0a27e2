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
# Spreads neighbouring chunks over the members; coprime to any usual member count.
ASSIGNMENT_STRIDE = 31
# Time after which any member may fetch from the origin the chunks that no member holds.
DESIGNATION_TIMEOUT = timedelta(milliseconds=3200)
# Time after which any member of a region may fetch a chunk from another region.
IMPORT_TIMEOUT = timedelta(milliseconds=5000)
# A member counts as slow if it holds less than this fraction of the chunks held here,
# once enough are held here for a comparison.
SLOW_MEMBER_FRACTION = 0.5
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
class SwarmMember:
    """Identify a process that runs the same model."""

    id: str
    region: str


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
    ) -> None:
        self.own = own
        self.model = model
        self.version = version
        self.digests = digests
        self.started_at = started_at
        self.random = random
        self.members_: list[SwarmMember] = [own]
        self.regional_members_: list[SwarmMember] = [own]
        self.alive_ids_: set[str] = {own.id}
        self.window_ = RequestWindow(MIN_PEER_REQUESTS)
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
    def size_bytes(self) -> float:
        """Return the size of the version, estimated from the chunks that are held."""
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
    def stalled(self) -> bool:
        """Check whether chunks are missing that only a failing origin holds."""
        self._update_copies()
        copies = self.copies_by_index_
        absent = any(not copies[index] for index in self._unrequested())
        return absent and self.sources_by_id_[ORIGIN].failures > 0

    def set_members(self, members: Iterable[SwarmMember]) -> None:
        """Set the members that are alive; this one is always included."""
        members = {self.own, *members}
        if len(members) == len(self.members_) and members.issuperset(self.members_):
            return
        self.members_ = sorted(members, key=lambda m: m.id)
        self.regional_members_ = [
            member for member in self.members_ if member.region == self.own.region
        ]
        self.alive_ids_ = {member.id for member in self.members_}
        regional_peers = len(self.regional_members_) - 1
        self.window_.maximum = max(
            MIN_PEER_REQUESTS, min(regional_peers, MAX_PEER_REQUESTS)
        )

    def peer_has(self, member: SwarmMember, bitmap: int, now: datetime) -> None:
        """Record the chunks that a member reports to hold."""
        source = self.sources_by_id_.setdefault(member.id, _Source())
        for index in _bits(bitmap & ~source.bitmap, len(self.digests)):
            self.seen_at_by_index_.setdefault(index, now)
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
        if fetch.source != ORIGIN:
            self.window_.record_received(now - requested_at)
        source = self.sources_by_id_[fetch.source]
        if sha256_hex(payload) != self.digests[fetch.index]:
            source.corrupt += 1
            self.corrupt_copies_by_index_[fetch.index] += 1
            if fetch.source != ORIGIN and source.corrupt >= MAX_CORRUPT_CHUNKS:
                source.avoid_until = now + CORRUPT_PEER_BACKOFF
            return False
        source.failures = 0
        self.chunks_by_index_[fetch.index] = payload
        return True

    def failed(self, fetch: Fetch, now: datetime) -> None:
        """End a request that failed and avoid its source for a while."""
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
        candidates = [index for index in absent if self._fetches_from_origin(index)]
        if not candidates and now - self.started_at >= DESIGNATION_TIMEOUT:
            candidates = absent
        if not candidates:
            return None
        return Fetch(ORIGIN, self.random.choice(candidates))

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
        # A chunk that the region lacks comes first, as its other members need it too.
        missing = [
            (self.region_copies_by_index_[i], self.copies_by_index_[i], i)
            for i in self._unrequested()
            if (regional_bitmap | remote_bitmap) >> i & 1
        ]
        self.random.shuffle(missing)
        for _, _, index in sorted(missing, key=lambda copies: copies[:2]):
            in_region = regional_bitmap >> index & 1
            if not in_region and not self._may_import(index, now):
                continue
            holders = [
                peer
                for peer, source in usable.items()
                if source.bitmap >> index & 1
                and (source.region == self.own.region or not in_region)
            ]
            return Fetch(self.random.choice(holders), index)
        return None

    def _update_copies(self) -> None:
        """Count which chunks the other members hold.

        Members that are not alive, or that failed since their last verified chunk,
        count as holding nothing, so that chunks which only they hold are fetched from
        the origin.
        """
        for peer, source in self.sources_by_id_.items():
            reachable = peer in self.alive_ids_ and not source.failures
            self._count_copies(source, source.bitmap if reachable else 0)

    def _count_copies(self, source: _Source, bitmap: int) -> None:
        """Count the chunks of one source in place of those counted before."""
        in_region = source.region == self.own.region
        for index in _bits(bitmap ^ source.counted_bitmap, len(self.digests)):
            change = 1 if bitmap >> index & 1 else -1
            self.copies_by_index_[index] += change
            if in_region:
                self.region_copies_by_index_[index] += change
        source.counted_bitmap = bitmap

    def _fetches_from_origin(self, index: int) -> bool:
        """Check whether this member is the one that fetches a chunk from the origin."""
        return self._origin_fetcher(index).id == self.own.id

    def _origin_fetcher(self, index: int) -> SwarmMember:
        """Return the member that fetches a chunk from the origin."""
        return self._first_fast_member(self.members_, index * ASSIGNMENT_STRIDE)

    def _may_import(self, index: int, now: datetime) -> bool:
        """Check whether this member may fetch a chunk from another region.

        One member of each region outside that of the origin fetcher is assigned to do
        so. After `IMPORT_TIMEOUT` any member may, as the assigned one may have failed.
        """
        seen_at = self.seen_at_by_index_.get(index, now)
        if now - seen_at >= IMPORT_TIMEOUT:
            return True
        if self._origin_fetcher(index).region == self.own.region:
            return False
        importer = self._first_fast_member(self.regional_members_, index)
        return importer.id == self.own.id

    def _first_fast_member(self, members: list[SwarmMember], start: int) -> SwarmMember:
        """Return the first member at or after a position that is not slow."""
        count = len(members)
        for step in range(count):
            member = members[(start + step) % count]
            if member.id == self.own.id or not self._is_slow(member.id):
                return member
        return self.own

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
