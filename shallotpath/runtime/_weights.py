"""Execution of an agent's transfer plan and of its orders to the engine."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from ..core import (
    ChunkData,
    ChunkMap,
    ChunkRequest,
    EngineLost,
    Event,
    Part,
    PlatformError,
    WeightsStatus,
)
from ..weights import (
    MANIFEST_INDEX,
    ORIGIN,
    ChunkCorrupt,
    ChunkFailed,
    ChunkMapReceived,
    ChunkRefused,
    ChunksPresent,
    ChunkStored,
    EngineOrders,
    Manifest,
    ManifestError,
    ManifestReceived,
    OrderDone,
    Request,
    Rollout,
    TransferPlan,
    WeightsStatusReceived,
    check_manifest,
    decode_manifest,
    encode_manifest,
)
from ._link_pacer import LinkPacer
from ._shell import Shell
from ._transport import ROUTED_PREFIX, peer_identity
from ._weights_engine import EngineWeightsClient

REQUEST_INTERVAL_S = 0.2
OBSERVE_INTERVAL_S = 0.5
# Reads of the state without an answer after which the engine counts as lost; one
# slow answer must not count as a crash.
LOST_AFTER_UNANSWERED_READS = 3
# The current version and the previous one, for a rollback.
KEPT_VERSIONS = 2

Pace = Callable[[str, int], Awaitable[None]]


class AgentWeights:
    """Transfer chunks between peers, origin and engine, and send orders to it.

    Chunks pass through the agent one by one. At most one chunk for each receive
    and upload slot of the plan is in memory; together they fit `chunk_buffer`.
    `send_pace(peer, size)` is awaited before a chunk is sent, `receive_pace`
    after one has arrived from the origin.
    """

    def __init__(
        self,
        *,
        shell: Shell,
        engine: EngineWeightsClient,
        plan: TransferPlan,
        orders: EngineOrders,
        rollout: Rollout,
        send_pace: Pace | None = None,
        receive_pace: Pace | None = None,
        in_flight: Callable[[], int] | None = None,
        observe_interval_s: float = OBSERVE_INTERVAL_S,
    ) -> None:
        self.shell = shell
        self.engine = engine
        self.plan = plan
        self.orders = orders
        self.rollout = rollout
        self.send_pace = send_pace or LinkPacer(plan.limits.link_rate)
        self.receive_pace = receive_pace
        self.in_flight = in_flight
        self.observe_interval_s = observe_interval_s
        self.request_wakeup_ = asyncio.Event()
        self.engine_wakeup_ = asyncio.Event()
        self.member_ids_by_address_: dict[str, str] = {}
        self.indexed_topology_: object = None
        self.buffered_bytes_ = 0
        self.buffered_bytes_max_ = 0
        self.received_bytes_by_source_: dict[str, int] = {}
        self.staged_digests_: list[str] = []
        self.unloaded_digest_ = ""
        self.unanswered_reads_ = 0

    @property
    def parts(self) -> list[Part]:
        """Return the parts that the node of this agent must contain."""
        return [self.plan, self.orders, self.rollout]

    @property
    def confirmed_digest(self) -> str:
        """Return the digest that the engine confirmed as loaded."""
        return self.orders.confirmed_digest

    @property
    def admitting(self) -> bool:
        """Check whether the gate may hand requests to the engine."""
        return self.rollout.admitting

    @property
    def sole_chunks(self) -> int:
        """Return how many chunks would be lost to the region if this VM stopped now."""
        return self.plan.selector_.sole(self.plan.bitmap_)

    @property
    def progress(self) -> float:
        """Return the fraction of the target's chunks that the engine holds."""
        return self.plan.progress

    def start(self) -> None:
        """Register the message handlers and start the loops."""
        handlers = self.shell.handlers_by_type
        handlers[ChunkMap] = self._on_chunk_map
        handlers[ChunkRequest] = self._on_chunk_request
        handlers[ChunkData] = self._on_chunk_data
        handlers[WeightsStatus] = self._on_status
        self.shell.spawn(self._request_chunks())
        self.shell.spawn(self._control_engine())

    def _dispatch(self, event: Event) -> None:
        self.shell.dispatch(event)
        if self.plan.wants_requests:
            self.request_wakeup_.set()

    # Messages from other agents.

    def _on_chunk_map(self, peer: str, message: ChunkMap) -> None:
        member_id = self._member_id(peer)
        bitmap = int.from_bytes(message.bitmap, "little")
        staged = bool(message.bitmap)
        self._dispatch(
            ChunkMapReceived(member_id, message.digest, bitmap, message.count, staged)
        )

    def _on_status(self, peer: str, message: WeightsStatus) -> None:
        self.shell.dispatch(
            WeightsStatusReceived(
                self._member_id(peer), message.digest, message.entries
            )
        )
        if self.rollout.may_switch_now(self.shell.clock.now()):
            self.engine_wakeup_.set()

    def _on_chunk_request(self, peer: str, message: ChunkRequest) -> None:
        now = self.shell.clock.now()
        member_id = self._member_id(peer)
        manifest = self.plan.manifest_
        if message.index == MANIFEST_INDEX:
            known = manifest is not None and message.digest == self.plan.digest
            payload = encode_manifest(manifest) if known else b""
            self._reply(peer, message, payload)
        elif self.plan.may_upload(member_id, message.digest, message.index, now):
            self.shell.spawn(self._upload(peer, member_id, message))
        else:
            self._reply(peer, message, b"")

    async def _upload(self, peer: str, member_id: str, message: ChunkRequest) -> None:
        limit = self.plan.limits.chunk_buffer
        payload = await self.engine.get(message.digest, message.index, max_bytes=limit)
        if payload is None:
            self.plan.uploads_.end(member_id, message.index)
            self._reply(peer, message, b"")
            self.engine_wakeup_.set()
            return
        self._add_buffered(len(payload))
        try:
            await self.send_pace(member_id, len(payload))
            self._reply(peer, message, payload)
        finally:
            self._add_buffered(-len(payload))

    def _reply(self, peer: str, message: ChunkRequest, payload: bytes) -> None:
        data = ChunkData(message.digest, message.index, payload)
        if not self.shell.bulk.send(peer, data):
            self.shell.telemetry.count("send_dropped", {}, 1)

    def _on_chunk_data(self, peer: str, message: ChunkData) -> None:
        member_id = self._member_id(peer)
        expected = message.index in self.plan.requests_
        if message.digest != self.plan.digest or not expected:
            self.shell.telemetry.count("weights_late_chunks", {}, 1)
        elif not message.payload:
            self._dispatch(ChunkRefused(message.digest, message.index, member_id))
        elif message.index == MANIFEST_INDEX:
            self._receive_manifest(message.payload, message.digest, member_id)
        else:
            self.shell.spawn(self._store_chunk(member_id, message))

    # Transfers.

    async def _request_chunks(self) -> None:
        while True:
            for request in self.plan.next_requests(self.shell.clock.now()):
                self._send_request(request)
            with suppress(TimeoutError):
                await asyncio.wait_for(self.request_wakeup_.wait(), REQUEST_INTERVAL_S)
            self.request_wakeup_.clear()

    def _send_request(self, request: Request) -> None:
        if request.peer == ORIGIN:
            self.shell.spawn(self._fetch_from_origin(request))
            return
        member = self.plan.layout_.topology_.members_by_id[request.peer]
        message = ChunkRequest(request.digest, request.index)
        if not self.shell.bulk.send(member.bulk_address, message):
            self._dispatch(ChunkFailed(request.digest, request.index, request.peer))

    async def _fetch_from_origin(self, request: Request) -> None:
        limit_s = self.plan.limits.chunk_timeout.total_seconds()
        try:
            # Without the limit, a slow fetch would still run beside its retry.
            async with asyncio.timeout(limit_s):
                payload = await self._read_origin(request.index)
        except (PlatformError, TypeError, TimeoutError):
            self._dispatch(ChunkFailed(request.digest, request.index, ORIGIN))
            return
        if request.index == MANIFEST_INDEX:
            self._receive_manifest(payload, request.digest, ORIGIN)
        else:
            data = ChunkData(request.digest, request.index, payload)
            await self._store_chunk(ORIGIN, data)

    async def _read_origin(self, index: int) -> bytes:
        model, version = self.plan.target_.model, self.plan.target_.version
        platform = self.shell.platform
        if index == MANIFEST_INDEX:
            answer = await platform.manifest(model, version)
            answer.pop("digest", None)
            return encode_manifest(Manifest(**answer))
        limit = self.plan.limits.chunk_buffer
        payload = await platform.chunk(model, version, index, max_bytes=limit)
        if self.receive_pace is not None:
            await self.receive_pace(ORIGIN, len(payload))
        return payload

    def _receive_manifest(self, payload: bytes, digest: str, source: str) -> None:
        try:
            manifest = decode_manifest(payload)
            check_manifest(manifest, digest, self.plan.limits.chunk_buffer)
        except ManifestError as error:
            self.shell.telemetry.log("bad_manifest", {"error": error.message})
            self._dispatch(ChunkFailed(digest, MANIFEST_INDEX, source))
            return
        self._dispatch(ManifestReceived(manifest))
        self.engine_wakeup_.set()

    async def _store_chunk(self, source: str, chunk: ChunkData) -> None:
        key = (chunk.digest, chunk.index, source)
        size = len(chunk.payload)
        self._add_buffered(size)
        try:
            received = self.received_bytes_by_source_
            received[source] = received.get(source, 0) + size
            if not self.plan.accepts(chunk.digest, chunk.index, chunk.payload):
                self._dispatch(ChunkCorrupt(*key))
            elif await self.engine.put(chunk.digest, chunk.index, chunk.payload):
                self._dispatch(ChunkStored(*key))
                if self.plan.complete:
                    self.engine_wakeup_.set()
            else:
                self._dispatch(ChunkRefused(*key))
                self.engine_wakeup_.set()
        finally:
            self._add_buffered(-size)

    def _add_buffered(self, size: int) -> None:
        self.buffered_bytes_ += size
        self.buffered_bytes_max_ = max(self.buffered_bytes_max_, self.buffered_bytes_)

    # Control of the engine. A single task sends orders and reads the state, so that
    # the state shows the outcome of an order whose answer was lost.

    async def _control_engine(self) -> None:
        while True:
            observed = await self._observe()
            if observed and not self.orders.superseded_ and await self._advance():
                continue
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self.engine_wakeup_.wait(), self.observe_interval_s
                )
            self.engine_wakeup_.clear()

    async def _observe(self) -> bool:
        """Read the engine's state and return whether it answered."""
        state = await self.engine.state()
        if state is not None:
            self.unanswered_reads_ = 0
            self._dispatch(state)
            return self.orders.engine_ is not None
        self.unanswered_reads_ += 1
        if self.unanswered_reads_ == LOST_AFTER_UNANSWERED_READS:
            self._dispatch(EngineLost())
        return False

    async def _advance(self) -> bool:
        """Advance the engine one step and return whether another may follow at once."""
        now = self.shell.clock.now()
        permission = self.rollout.permission(now)
        plan = self.plan
        if not permission.drain:
            self.unloaded_digest_ = ""
        elif not plan.staged_ and not await self._unload_when_idle():
            return False
        if permission.transfer and plan.manifest_ is not None and not plan.staged_:
            return await self._stage(plan.digest, plan.manifest_)
        if self.orders.recheck_:
            await self._recheck(plan.digest, plan.manifest_)
            return False
        order = self.orders.next_order(
            plan.digest,
            complete=plan.complete,
            may_switch=permission.switch,
            now=now,
        )
        if order is None:
            await self._unload_oldest()
            return False
        outcome = await self.engine.order(order)
        self._dispatch(outcome)
        return isinstance(outcome, OrderDone)

    async def _unload_oldest(self) -> None:
        """Unload the oldest version beyond those that a rollback may need."""
        staged = self.staged_digests_
        if len(staged) <= KEPT_VERSIONS or not self.rollout.finished:
            return
        order = self.orders.unload(staged[0], self.shell.clock.now())
        if order is not None:
            self._dispatch(await self.engine.order(order))
            del staged[0]

    async def _unload_when_idle(self) -> bool:
        """Unload the old version once no request runs and return whether it is done."""
        if self.orders.engine_.running or (self.in_flight and self.in_flight()):
            return False
        old = self.orders.serving_digest
        if old == self.unloaded_digest_:
            return True
        order = self.orders.unload(old, self.shell.clock.now())
        if order is None:
            return False
        outcome = await self.engine.order(order)
        self._dispatch(outcome)
        self.unloaded_digest_ = old if isinstance(outcome, OrderDone) else ""
        return self.unloaded_digest_ == old

    async def _stage(self, digest: str, manifest: Manifest) -> bool:
        present = await self.engine.stage(digest, manifest)
        if present is None:
            return False
        if digest in self.staged_digests_:
            self.staged_digests_.remove(digest)
        self.staged_digests_.append(digest)
        self._dispatch(ChunksPresent(digest, present))
        return True

    async def _recheck(self, digest: str, manifest: Manifest) -> None:
        """Read staged chunks back one by one and keep those that match."""
        matching = []
        for index in range(len(manifest.chunks)):
            payload = await self.engine.get(
                digest, index, max_bytes=manifest.chunk_size(index)
            )
            if payload is not None and manifest.matches(index, payload):
                matching.append(index)
        self.orders.rechecked()
        self._dispatch(ChunksPresent(digest, matching))

    # Names of peers.

    def _member_id(self, peer: str) -> str:
        """Return the member id for the name of a peer."""
        if peer.startswith(ROUTED_PREFIX):
            return peer_identity(peer).rpartition("/")[0]
        topology = self.plan.layout_.topology_
        if topology is not self.indexed_topology_ and topology is not None:
            self.indexed_topology_ = topology
            self.member_ids_by_address_ = {
                address: member.id
                for member in topology.members_by_id.values()
                for address in (member.address, member.bulk_address)
            }
        return self.member_ids_by_address_.get(peer, peer)
