"""Transfer plan: which chunk to ask from which source, and what to announce."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from functools import singledispatchmethod
from random import Random

from ..config import ConfigurationView, ModelVersion
from ..core import (
    ChunkMap,
    ConfigurationChanged,
    Count,
    Effect,
    EngineObserved,
    Event,
    Log,
    MemberChanged,
    Send,
    Tick,
)
from ..membership import MembershipView
from ._bucket import TokenBucket
from ._events import (
    MANIFEST_INDEX,
    ORIGIN,
    ChunkCorrupt,
    ChunkFailed,
    ChunkRefused,
    ChunksPresent,
    ChunkStored,
    ManifestLearnt,
    MapHeard,
)
from ._layout import Layout
from ._limits import TransferLimits
from ._manifest import Manifest
from ._peers import agents_by_id
from ._selector import Selector
from ._sources import Pending, Source, Uploads, later

# Envelope, kind, digest and TCP/IP headers of one chunk map.
MAP_OVERHEAD_BYTES = 160


@dataclass(slots=True, frozen=True)
class Request:
    """Name a chunk (or the manifest) and the source to ask."""

    peer: str
    index: int
    digest: str


class TransferPlan:
    """Plan the transfer of the version that the configuration names."""

    def __init__(
        self,
        *,
        member_id: str,
        service: str,
        configuration: ConfigurationView,
        membership: MembershipView,
        random: Random,
        limits: TransferLimits | None = None,
    ) -> None:
        self.member_id = member_id
        self.service = service
        self.configuration = configuration
        self.membership = membership
        self.random = random
        self.limits = limits or TransferLimits()
        self.control = TokenBucket(self.limits.control_rate, self.limits.control_burst)
        self.target_: ModelVersion | None = None
        self.manifest_: Manifest | None = None
        self.bitmap_ = 0
        self.missing_: set[int] = set()
        self.selector_ = Selector(random)
        self.pending_by_index_: dict[int, Pending] = {}
        self.sources_by_id_: dict[str, Source] = {}
        self.uploads_ = Uploads(self.limits)
        self.layout_ = Layout(member_id, "", self.limits)
        self.layout_at_: datetime | None = None
        self.started_at_: datetime | None = None
        self.progressed_at_: datetime | None = None
        self.untold_: set[str] = set()
        self.receive_slots_ = 1
        self.link_ = TokenBucket(0, 0)
        self.region_ = TokenBucket(0, 0)
        self.staged_ = False
        self.incarnation_ = ""
        self.control_bytes_ = 0

    @property
    def digest(self) -> str:
        """Return the pinned digest of the target, or an empty string."""
        return self.target_.digest if self.target_ else ""

    @property
    def complete(self) -> bool:
        """Tell whether the engine holds every verified chunk of the target."""
        return self.manifest_ is not None and self.staged_ and not self.missing_

    @property
    def progress(self) -> float:
        """Return the share of the chunks that the engine holds."""
        if self.manifest_ is None:
            return 0.0
        return 1 - len(self.missing_) / len(self.manifest_.chunks)

    @property
    def neighbours(self) -> frozenset[str]:
        """Return the agents that this agent exchanges chunk maps with."""
        return self.layout_.neighbours

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Take an event and return effects."""
        return []

    @reduce.register
    def _(self, event: ConfigurationChanged, now: datetime) -> list[Effect]:
        return self._retarget(now)

    @reduce.register
    def _(self, event: MemberChanged, now: datetime) -> list[Effect]:
        self.layout_at_ = None
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        effects = self._retarget(now)
        self._update_layout(now)
        self._queue_refreshes(now)
        return effects + self._announce(now)

    @reduce.register
    def _(self, event: EngineObserved, now: datetime) -> list[Effect]:
        if event.incarnation != self.incarnation_:
            self.incarnation_ = event.incarnation
            self.engine_lost()
        return []

    @reduce.register
    def _(self, event: ManifestLearnt, now: datetime) -> list[Effect]:
        if event.manifest.digest != self.digest or self.manifest_ is not None:
            return []
        manifest = self.manifest_ = event.manifest
        self.pending_by_index_.clear()
        self._release_outstanding()
        self.missing_ = set(range(len(manifest.chunks)))
        self.selector_.restart(self.missing_, len(manifest.chunks))
        self._recount()
        self.receive_slots_, self.uploads_.slots_ = self.limits.slots(
            manifest.chunk_bytes
        )
        self._set_buckets(manifest)
        self.untold_ = set(self.neighbours)
        return self._announce(now)

    @reduce.register
    def _(self, event: ChunksPresent, now: datetime) -> list[Effect]:
        if event.digest != self.digest or self.manifest_ is None:
            return []
        total = len(self.manifest_.chunks)
        present = {index for index in event.indices if 0 <= index < total}
        self.missing_ = set(range(total)) - present
        self.selector_.restart(self.missing_, total)
        self.bitmap_ = sum(1 << index for index in present)
        self.staged_ = True
        self.untold_ = set(self.neighbours)
        return self._announce(now)

    @reduce.register
    def _(self, event: MapHeard, now: datetime) -> list[Effect]:
        source = self._source(event.member)
        counted = self._counted(event.member, source)
        source.hear(event.digest, event.bitmap, event.count, now)
        if event.member not in self.layout_.far_:
            self.selector_.changed(counted, self._counted(event.member, source))
        if event.digest == self.digest:
            self.uploads_.confirm(event.member, event.bitmap)
        # A neighbour that repeats its map may have missed that this one is complete.
        if self.complete and later(now, self.limits.silence, source.told_at):
            self.untold_.add(event.member)
            return self._announce(now)
        return []

    @reduce.register
    def _(self, event: ChunkStored, now: datetime) -> list[Effect]:
        self._end_request(event.index, event.peer)
        if event.digest != self.digest or event.index not in self.missing_:
            return []
        self.missing_.discard(event.index)
        self.bitmap_ |= 1 << event.index
        self.progressed_at_ = now
        self._source(event.peer).delivered()
        self._source(event.peer).corrupt *= event.peer != ORIGIN
        self.untold_ |= self._hearers()
        effects: list[Effect] = [Count("weights_chunks_stored", {})]
        if not self.missing_:
            effects.append(Log("weights_complete", {"digest": self.digest}))
        return effects + self._announce(now, always=event.peer)

    @reduce.register
    def _(self, event: ChunkCorrupt, now: datetime) -> list[Effect]:
        self._end_request(event.index, event.peer)
        source = self._source(event.peer)
        if event.peer == ORIGIN:
            source.corrupt += 1
            # The origin stays in use, since no peer can replace it, but content
            # that keeps failing the pinned digest is not fetched at full rate.
            if source.corrupt >= self.limits.max_corrupt:
                source.failed(self.limits, now)
        else:
            counted = self._counted(event.peer, source)
            source.corrupted(self.limits)
            if not self.layout_.crosses(event.peer):
                self.selector_.changed(counted, self._counted(event.peer, source))
        return [Count("weights_chunks_corrupt", {"source": kind_of(event.peer)})]

    @reduce.register
    def _(self, event: ChunkRefused, now: datetime) -> list[Effect]:
        self._end_request(event.index, event.peer)
        self._source(event.peer).refused(self.limits, now)
        return []

    @reduce.register
    def _(self, event: ChunkFailed, now: datetime) -> list[Effect]:
        self._end_request(event.index, event.peer)
        self._source(event.peer).failed(self.limits, now)
        return [Count("weights_chunks_failed", {"source": kind_of(event.peer)})]

    def next_requests(self, now: datetime) -> list[Request]:
        """Return the requests to send now; each counts as pending until answered."""
        if self.target_ is None or self.layout_.topology_ is None:
            return []
        self._expire(now)
        if self.manifest_ is None:
            return self._manifest_request(now)
        requests: list[Request] = []
        while self.staged_ and len(self.pending_by_index_) < self.receive_slots_:
            request = self._next_request(now)
            if request is None:
                break
            requests.append(request)
        return requests

    def may_upload(self, peer: str, digest: str, index: int, now: datetime) -> bool:
        """Tell whether to serve a chunk, and take an upload slot for it."""
        if digest != self.digest or not self.bitmap_ >> index & 1:
            return False
        # A chunk that crosses to another region serves all agents there, so it does
        # not wait behind the uploads inside the own region.
        extra = 1 if self.layout_.crosses(peer) else 0
        return self.uploads_.start(peer, index, now, extra=extra)

    def accepts(self, digest: str, index: int, payload: bytes) -> bool:
        """Tell whether a payload is the pinned chunk."""
        return (
            self.manifest_ is not None
            and digest == self.digest
            and 0 <= index < len(self.manifest_.chunks)
            and self.manifest_.matches(index, payload)
        )

    def engine_lost(self) -> None:
        """Forget what the engine held; its new incarnation has no chunks."""
        self.staged_ = False
        self.bitmap_ = 0
        self.untold_ = set(self.neighbours)
        self.uploads_.clear()
        if self.manifest_ is not None:
            self.missing_ = set(range(len(self.manifest_.chunks)))
            self.selector_.restart(self.missing_, len(self.missing_))

    def usable(self, now: datetime) -> Iterable[tuple[str, Source]]:
        """Return the neighbours that may be asked now."""
        for peer in self.neighbours:
            source = self.sources_by_id_.get(peer)
            if source is None or source.digest != self.digest:
                continue
            if source.usable(self.limits, now):
                yield peer, source

    def origin_usable(self, now: datetime) -> bool:
        """Tell whether this agent may ask the origin for its chunks now."""
        source = self._source(ORIGIN)
        free = source.outstanding < self.receive_slots_
        waited = source.avoid_until is None or now >= source.avoid_until
        return free and waited and self.layout_.in_origin_region(self.target_.region)

    def _retarget(self, now: datetime) -> list[Effect]:
        service = self.configuration.services_by_id.get(self.service)
        key = f"{service.model}/{service.version}" if service else ""
        version = self.configuration.versions_by_id.get(key)
        if version is None or version.digest == self.digest:
            return []
        self.target_ = version
        self.manifest_ = None
        self.bitmap_ = 0
        self.missing_ = set()
        self.staged_ = False
        self.pending_by_index_.clear()
        self._release_outstanding()
        self.uploads_.clear()
        self.started_at_ = self.progressed_at_ = now
        self.layout_ = Layout(self.member_id, self.digest, self.limits)
        self.layout_at_ = None
        self._update_layout(now)
        self.untold_ = set(self.neighbours)
        return [Log("weights_target", {"version": key, "digest": version.digest})]

    def _update_layout(self, now: datetime) -> None:
        if self.target_ is None:
            return
        if later(now, self.limits.refresh, self.layout_at_):
            self.layout_at_ = now
            members = agents_by_id(self.configuration, self.membership, self.service)
            old = self.neighbours
            if self.layout_.update(members):
                self.untold_ |= self.neighbours - old
                self._recount()
        changed = self.layout_.update_slots(lambda member: self._silent(member, now))
        if changed and self.manifest_ is not None:
            self._set_buckets(self.manifest_)

    def _silent(self, member: str, now: datetime) -> bool:
        if member == self.member_id:
            stalled = now - self.progressed_at_ > self.limits.stall
            return stalled and not self.complete
        return self._source(member).silent(self.started_at_, self.limits, now)

    def _recount(self) -> None:
        near = self.neighbours - self.layout_.far_
        self.selector_.recount(self._counted(p, self._source(p)) for p in near)

    def _counted(self, peer: str, source: Source) -> int:
        """Return the chunk map as the selector counts it."""
        if source.digest != self.digest or source.banned:
            return 0
        return source.bitmap if peer in self.neighbours else 0

    def _set_buckets(self, manifest: Manifest) -> None:
        burst = 2 * manifest.chunk_bytes
        if self.link_.rate != self.limits.link_rate or self.link_.burst != burst:
            self.link_ = TokenBucket(self.limits.link_rate, burst)
        # Each receiver gets the part of the cap that its designated chunks make up,
        # so the sum never exceeds the cap and all receivers finish together.
        share = self.configuration.preset.weights_rate_share
        count = len(manifest.chunks)
        own = sum(self.layout_.designated(index) for index in range(count))
        rate = self.limits.region_rate * share * max(own, 1) / count
        if self.region_.rate != rate:
            self.region_ = TokenBucket(rate, manifest.chunk_bytes)

    def _manifest_request(self, now: datetime) -> list[Request]:
        if self.pending_by_index_:
            return []
        designated = self.layout_.designated(MANIFEST_INDEX)
        holders = [
            peer
            for peer, source in self.usable(now)
            if source.count > 0 and (not self.layout_.crosses(peer) or designated)
        ]
        peer = self.random.choice(holders) if holders else None
        if peer is None and designated and self.origin_usable(now):
            peer = ORIGIN
        if peer is None:
            return []
        return [self._request(peer, MANIFEST_INDEX, now)]

    def _next_request(self, now: datetime) -> Request | None:
        size = self.manifest_.chunk_bytes
        if not self.link_.has(size, now):
            return None
        choice = self.selector_.choose(self, now)
        if choice is None:
            return None
        index, peer = choice
        self.link_.take(size, now)
        if self.layout_.crosses(peer):
            self.region_.take(size, now)
        return self._request(peer, index, now)

    def _request(self, peer: str, index: int, now: datetime) -> Request:
        deadline = now + self.limits.chunk_timeout
        self.pending_by_index_[index] = Pending(peer, index, deadline)
        self._source(peer).outstanding += 1
        return Request(peer, index, self.digest)

    def _expire(self, now: datetime) -> None:
        for pending in list(self.pending_by_index_.values()):
            if pending.deadline <= now:
                self._end_request(pending.index, pending.peer)
                self._source(pending.peer).failed(self.limits, now)

    def _end_request(self, index: int, peer: str) -> None:
        pending = self.pending_by_index_.get(index)
        if pending is not None and pending.peer == peer:
            del self.pending_by_index_[index]
            source = self._source(peer)
            source.outstanding = max(0, source.outstanding - 1)

    def _release_outstanding(self) -> None:
        for source in self.sources_by_id_.values():
            source.outstanding = 0

    def _source(self, peer: str) -> Source:
        return self.sources_by_id_.setdefault(peer, Source())

    def _hearers(self) -> set[str]:
        """Return the neighbours that still need to know about new chunks."""
        if not self.missing_:
            return set(self.neighbours)
        return {peer for peer in self.neighbours if not self._finished(peer)}

    def _finished(self, peer: str) -> bool:
        source = self.sources_by_id_.get(peer)
        return source is not None and source.digest == self.digest and source.complete

    def _queue_refreshes(self, now: datetime) -> None:
        if self.target_ is None:
            return
        for peer in self.neighbours:
            told_at = self._source(peer).told_at
            due = later(now, self.limits.refresh, told_at)
            if due and not self._finished(peer):
                self.untold_.add(peer)

    def _announce(self, now: datetime, always: str = "") -> list[Effect]:
        count = len(self.manifest_.chunks) if self.manifest_ else 0
        bitmap = self.bitmap_.to_bytes(-(-count // 8), "little")
        message = ChunkMap(self.digest, bitmap, count)
        size = len(bitmap) + MAP_OVERHEAD_BYTES
        effects: list[Effect] = []
        topology = self.layout_.topology_
        members = topology.members_by_id if topology else {}
        # The sender of a chunk holds an upload slot until it sees this map.
        for peer in sorted(self.untold_ | {always}, key=lambda p: (p != always, p)):
            member = members.get(peer)
            if member is None:
                self.untold_.discard(peer)
                continue
            if not self.control.take(size, now) and peer != always:
                break
            self.untold_.discard(peer)
            self._source(peer).told_at = now
            self.control_bytes_ += size
            effects.append(Send(member.address, message))
        return effects


def kind_of(peer: str) -> str:
    """Return the label of a source for counters."""
    return ORIGIN if peer == ORIGIN else "peer"
