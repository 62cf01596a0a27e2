"""Transfer plan: which chunk to request from which source, and what to announce."""

from __future__ import annotations

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
    Tick,
)
from ..membership import MembershipView
from ._announcer import Announcer
from ._events import (
    MANIFEST_INDEX,
    ORIGIN,
    ChunkCorrupt,
    ChunkEvent,
    ChunkFailed,
    ChunkMapReceived,
    ChunkRefused,
    ChunksPresent,
    ChunkStored,
    ManifestReceived,
    source_kind,
)
from ._layout import Layout
from ._limits import TransferLimits
from ._manifest import Manifest
from ._peers import agents_by_id
from ._rates import Rates
from ._requests import Request, Requests
from ._selector import Selector
from ._sources import Source, interval_passed
from ._uploads import Uploads


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
        self.announcer_ = Announcer(self.limits)
        self.target_: ModelVersion | None = None
        self.manifest_: Manifest | None = None
        self.bitmap_ = 0
        self.missing_: set[int] = set()
        self.selector_ = Selector(random)
        self.requests_ = Requests(self.limits)
        self.sources_by_id_: dict[str, Source] = {}
        self.uploads_ = Uploads(self.limits)
        self.layout_ = Layout(member_id, "", self.limits)
        self.layout_updated_at_: datetime | None = None
        self.started_at_: datetime | None = None
        self.progressed_at_: datetime | None = None
        self.receive_slots_ = 1
        self.rates_ = Rates(self.limits)
        self.staged_ = False
        self.incarnation_ = ""

    @property
    def digest(self) -> str:
        """Return the manifest digest of the target, or an empty string."""
        return self.target_.digest if self.target_ else ""

    @property
    def complete(self) -> bool:
        """Check whether the engine holds every verified chunk of the target."""
        return self.manifest_ is not None and self.staged_ and not self.missing_

    @property
    def wants_requests(self) -> bool:
        """Check whether a further request may be possible."""
        limit = min(self.receive_slots_, len(self.missing_)) if self.manifest_ else 1
        return self.requests_.open < limit

    @property
    def progress(self) -> float:
        """Return the share of the chunks that the engine holds."""
        count = len(self.manifest_.chunks) if self.manifest_ else 0
        return 1 - len(self.missing_) / count if count else 0.0

    @property
    def origin_region(self) -> str:
        """Return the region whose receivers fetch from the origin."""
        return self.layout_.origin_region(self.target_.region)

    @property
    def neighbours(self) -> frozenset[str]:
        """Return the agents that this agent exchanges chunk maps with."""
        return self.layout_.neighbours

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: ConfigurationChanged, now: datetime) -> list[Effect]:
        return self._update_target(now)

    @reduce.register
    def _(self, event: MemberChanged, now: datetime) -> list[Effect]:
        self.layout_updated_at_ = None
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        effects = self._update_target(now)
        self._update_layout(now)
        if [s for s in self.sources_by_id_.values() if s.end_ban(now)]:
            self._recount_holders()
        if self.target_ is not None:
            self.announcer_.queue_refreshes(
                self.neighbours, self.digest, self.source, now
            )
        return effects + self._announce(now)

    @reduce.register
    def _(self, event: EngineObserved, now: datetime) -> list[Effect]:
        if event.incarnation != self.incarnation_:
            self.incarnation_ = event.incarnation
            self.engine_lost()
        return []

    @reduce.register
    def _(self, event: ManifestReceived, now: datetime) -> list[Effect]:
        if event.manifest.digest != self.digest or self.manifest_ is not None:
            return []
        manifest = self.manifest_ = event.manifest
        self._clear_requests()
        self.missing_ = set(range(len(manifest.chunks)))
        self.selector_.restart(self.missing_, len(manifest.chunks))
        self._recount_holders()
        self.receive_slots_, self.uploads_.slots_ = self.limits.slots(
            manifest.chunk_bytes
        )
        self._set_rates()
        self.announcer_.queue(self.neighbours)
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
        self.announcer_.queue(self.neighbours)
        return self._announce(now)

    @reduce.register
    def _(self, event: ChunkMapReceived, now: datetime) -> list[Effect]:
        if not self.layout_.knows(event.member):
            return []
        source = self.source(event.member)
        old_bitmap = self._counted_bitmap(event.member, source)
        source.update_map(event, now)
        if event.member not in self.layout_.remote_neighbours_:
            self.selector_.update_counts(
                old_bitmap, self._counted_bitmap(event.member, source)
            )
        if event.digest == self.digest:
            self.uploads_.confirm(event.member, event.bitmap)
        # A neighbour that repeats its map may have missed that this agent is complete.
        if self.complete and interval_passed(
            now, self.limits.silence_timeout, source.announced_at
        ):
            self.announcer_.queue({event.member})
            return self._announce(now)
        return []

    @reduce.register
    def _(self, event: ChunkStored, now: datetime) -> list[Effect]:
        if not self._end_request(event) or event.index not in self.missing_:
            return []
        self.missing_.discard(event.index)
        self.bitmap_ |= 1 << event.index
        self.progressed_at_ = now
        self.source(event.peer).record_stored(reset_corrupt=event.peer == ORIGIN)
        self.announcer_.queue_new_chunk(self.neighbours, self.digest, self.source)
        effects: list[Effect] = [Count("weights_chunks_stored", {})]
        if not self.missing_:
            self.announcer_.queue(self.neighbours)
            effects.append(Log("weights_complete", {"digest": self.digest}))
        return effects + self._announce(now, first=event.peer)

    @reduce.register
    def _(self, event: ChunkCorrupt, now: datetime) -> list[Effect]:
        if not self._end_request(event):
            return []
        source = self.source(event.peer)
        if event.peer == ORIGIN:
            source.corrupt_chunks += 1
            # The origin is never banned, since no peer can replace it. It is only
            # avoided for a while, so that content that keeps failing its digest is
            # not fetched at full rate.
            if source.corrupt_chunks >= self.limits.max_corrupt_chunks:
                source.record_failure(self.limits, now)
        else:
            old_bitmap = self._counted_bitmap(event.peer, source)
            source.record_corrupt(self.limits, now)
            if not self.layout_.crosses(event.peer):
                self.selector_.update_counts(
                    old_bitmap, self._counted_bitmap(event.peer, source)
                )
        return [Count("weights_chunks_corrupt", {"source": source_kind(event.peer)})]

    @reduce.register
    def _(self, event: ChunkRefused, now: datetime) -> list[Effect]:
        if not self._end_request(event):
            return []
        self.source(event.peer).record_refusal(self.limits, now)
        return []

    @reduce.register
    def _(self, event: ChunkFailed, now: datetime) -> list[Effect]:
        if not self._end_request(event):
            return []
        self.source(event.peer).record_failure(self.limits, now)
        return [Count("weights_chunks_failed", {"source": source_kind(event.peer)})]

    def next_requests(self, now: datetime) -> list[Request]:
        """Return the requests to send now; each stays open until its outcome."""
        if self.target_ is None or self.layout_.topology_ is None:
            return []
        for peer, index in self.requests_.expired(now):
            self._close(peer, index)
            self.source(peer).record_failure(self.limits, now)
        if self.manifest_ is None:
            return self._manifest_request(now)
        requests: list[Request] = []
        while self.staged_ and self.requests_.open < self.receive_slots_:
            request = self._next_request(now)
            if request is None:
                break
            requests.append(request)
        return requests

    def may_upload(self, peer: str, digest: str, index: int, now: datetime) -> bool:
        """Reserve an upload slot for a chunk and return whether to serve it."""
        held = digest == self.digest and index >= 0 and self.bitmap_ >> index & 1
        if not held or not self.layout_.knows(peer):
            return False
        # A chunk sent to another region serves all agents there, so it has a slot of
        # its own and does not wait for uploads within this region.
        crosses = self.layout_.crosses(peer)
        return self.uploads_.start(peer, index, now, extra=int(crosses))

    def accepts(self, digest: str, index: int, payload: bytes) -> bool:
        """Check whether a payload is this chunk of the target."""
        if self.manifest_ is None or digest != self.digest:
            return False
        return self.manifest_.matches(index, payload)

    def engine_lost(self) -> None:
        """Reset the chunks held; a new incarnation of the engine has none."""
        self.staged_ = False
        self.bitmap_ = 0
        self.announcer_.queue(self.neighbours)
        self.uploads_.clear()
        if self.manifest_ is not None:
            self.missing_ = set(range(len(self.manifest_.chunks)))

    def _update_target(self, now: datetime) -> list[Effect]:
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
        self._clear_requests()
        self.uploads_.clear()
        self.started_at_ = self.progressed_at_ = now
        self.layout_ = Layout(self.member_id, self.digest, self.limits)
        self.layout_updated_at_ = None
        self._update_layout(now)
        self.announcer_.queue(self.neighbours)
        return [Log("weights_target", {"version": key, "digest": version.digest})]

    def _update_layout(self, now: datetime) -> None:
        if self.target_ is None:
            return
        if interval_passed(now, self.limits.refresh_interval, self.layout_updated_at_):
            self.layout_updated_at_ = now
            members = agents_by_id(self.configuration, self.membership, self.service)
            old = self.neighbours
            if self.layout_.update(members):
                self.announcer_.queue(self.neighbours - old)
                self.sources_by_id_ = {
                    peer: source
                    for peer, source in self.sources_by_id_.items()
                    if peer == ORIGIN or self.layout_.knows(peer)
                }
                self._recount_holders()
        if self.layout_.update_receivers(lambda member: self._silent(member, now)):
            self._set_rates()

    def _silent(self, member: str, now: datetime) -> bool:
        if member == self.member_id:
            if not self.staged_:
                return now - self.started_at_ > self.limits.silence_timeout
            stalled = now - self.progressed_at_ > self.limits.stall_timeout
            return stalled and not self.complete
        return self.source(member).silent(self.started_at_, self.limits, now)

    def _recount_holders(self) -> None:
        local = self.neighbours - self.layout_.remote_neighbours_
        self.selector_.recount(self._counted_bitmap(p, self.source(p)) for p in local)

    def _counted_bitmap(self, peer: str, source: Source) -> int:
        """Return the chunk map to count for a peer, or 0 if the peer is unusable."""
        if source.digest != self.digest or source.banned:
            return 0
        return source.bitmap if peer in self.neighbours else 0

    def _set_rates(self) -> None:
        if self.manifest_ is not None:
            share = self.configuration.preset.weights_rate_share
            self.rates_.update(self.manifest_, self.layout_, share)

    def _manifest_request(self, now: datetime) -> list[Request]:
        if self.requests_.open:
            return []
        peer = self.selector_.choose_for_manifest(self, now)
        return [self._request(peer, MANIFEST_INDEX, now)] if peer else []

    def _next_request(self, now: datetime) -> Request | None:
        size = self.manifest_.chunk_bytes
        if not self.rates_.link_bucket_.has(size, now):
            return None
        choice = self.selector_.choose(self, now)
        if choice is None:
            return None
        index, peer = choice
        self.rates_.link_bucket_.take(size, now)
        if self.layout_.crosses(peer):
            self.rates_.region_bucket_.take(size, now)
        return self._request(peer, index, now)

    def _request(self, peer: str, index: int, now: datetime) -> Request:
        self.requests_.start(peer, index, now)
        self.source(peer).open_requests += 1
        return Request(peer, index, self.digest)

    def _end_request(self, event: ChunkEvent) -> bool:
        """Close the request and return whether the event is for the target."""
        if event.digest == self.digest:
            self._close(event.peer, event.index)
        return event.digest == self.digest

    def _close(self, peer: str, index: int) -> None:
        if self.requests_.end(peer, index):
            source = self.source(peer)
            source.open_requests = max(0, source.open_requests - 1)

    def _clear_requests(self) -> None:
        self.requests_.clear()
        for source in self.sources_by_id_.values():
            source.open_requests = 0

    def source(self, peer: str) -> Source:
        """Return the state of a source, created if missing."""
        return self.sources_by_id_.setdefault(peer, Source())

    def _announce(self, now: datetime, first: str = "") -> list[Effect]:
        count = len(self.manifest_.chunks) if self.manifest_ else 0
        length = -(-count // 8) if self.staged_ else 0
        message = ChunkMap(self.digest, self.bitmap_.to_bytes(length, "little"), count)
        return self.announcer_.send(message, self.layout_, self.source, now, first)
