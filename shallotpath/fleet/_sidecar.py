"""The sidecar process of a model engine: fetches weights, reports engine state."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import datetime, timedelta

from aiohttp import ClientSession, web

from ..gateway import EngineReport, Service
from ..platform import (
    CallError,
    ChunkManifest,
    EngineClient,
    EngineState,
    HttpCaller,
    ProcessSettings,
    open_chunk_session,
)
from ..replication import ChunkItem, GossipMessage, PeerAddress
from ..swarm import (
    ORIGIN,
    Fetch,
    RollingUpdate,
    SwarmMember,
    SwarmPlan,
)
from ._chunks import (
    BUSY_STATUS,
    CHUNK_PATH,
    MANIFEST_PATH,
    ChunkFetcher,
    ChunkServer,
)
from ._holders import ChunkHolders
from ._manifests import ManifestSource, answer_manifest
from ._member import MemberProcess
from ._staging import EngineStaging
from ._version_choice import VersionChoice

# Calls to the engine on the same VM cost nothing; its report lags by some 200 ms.
REPORT_INTERVAL = timedelta(milliseconds=250)
# Time between messages about new chunks; a chunk takes the link for some 54 ms.
TRANSFER_INTERVAL = timedelta(milliseconds=120)
# The reader's long poll and two full gossip rounds of 1.5 s each.
MAX_SIDECAR_OPERATOR_AGE = timedelta(seconds=4)
IDLE_INTERVAL = timedelta(milliseconds=100)
MANIFEST_PAUSE = timedelta(milliseconds=300)
# Time for the gossip message that tells entries to stop sending, before a load.
LOAD_NOTICE = timedelta(milliseconds=30)
LOAD_RETRY_PAUSE = timedelta(milliseconds=300)
# The load is ordered again if the engine shows neither the order nor its result by
# then.
LOAD_TIMEOUT = timedelta(seconds=10)


class SidecarProcess(MemberProcess):
    """Keep the engine's weights at the announced version."""

    def __init__(self, settings: ProcessSettings, **options) -> None:
        super().__init__(settings, engine=True, **options)
        self.chunk_session_: ClientSession | None = None
        self.engine_: EngineClient | None = None
        self.fetcher_: ChunkFetcher | None = None
        self.manifests_: ManifestSource | None = None
        self.server_ = ChunkServer(self.clock, settings.link_bytes_per_s)
        self.state_: EngineState | None = None
        self.model_ = ""
        self.plan_: SwarmPlan | None = None
        self.previous_plans_by_model_: dict[str, SwarmPlan] = {}
        self.holders_ = ChunkHolders()
        self.choice_: VersionChoice | None = None
        self.staging_: EngineStaging | None = None
        self.load_in_progress_ = False
        self.ordered_version_ = 0
        self.adopted_version_ = 0
        self.rolling_update_ = RollingUpdate(settings.node)
        self.versions_by_sidecar_: dict[str, int] = {}
        self.fetch_tasks_: set[asyncio.Task] = set()
        self.wake_ = asyncio.Event()

    async def start(self) -> None:
        """Start to watch the engine and to keep its weights current."""
        await super().start()
        self.chunk_session_ = open_chunk_session()
        chunk_caller = HttpCaller(self.chunk_session_)
        self.engine_ = EngineClient(self.settings.engine, self.caller_, chunk_caller)
        self.staging_ = EngineStaging(self.engine_, self.clock, self.reporter)
        self.fetcher_ = ChunkFetcher(
            self.operator, self.peers, self.caller_, chunk_caller
        )
        self.manifests_ = ManifestSource(
            self.settings.node, self.fetcher_, self.clock, self.random
        )
        self.choice_ = VersionChoice(
            self.settings,
            self.operator,
            origin_limits=lambda: self.fetcher_.origin_limits,
            clock=self.clock,
            reporter=self.reporter,
        )
        self.keep_running(self._watch_engine)
        self.keep_running(self._keep_weights)

    async def stop(self) -> None:
        """Close everything."""
        await super().stop()
        if self.chunk_session_ is not None:
            await self.chunk_session_.close()

    async def drain(self) -> None:
        """Announce the stop; sidecars have no callers' requests to finish."""
        self.leaving_ = True
        self.publish()

    def max_operator_age(self) -> timedelta:
        """Return a longer age, since entries send to sidecars in full rounds only."""
        return MAX_SIDECAR_OPERATOR_AGE

    def operator_changed(self) -> None:
        """Check the announced version at once."""
        self.wake_.set()

    @property
    def service(self) -> Service | None:
        """Return the service whose model this engine runs."""
        catalog = self.operator.catalog
        if catalog is None:
            return None
        engines = [s for s in catalog.services_by_id.values() if s.engine and s.models]
        return engines[0] if engines else None

    @property
    def held_version(self) -> int:
        """Return the version that the engine has loaded, 0 if none."""
        if self.state_ is None:
            return 0
        for held in self.state_.models:
            if held.model == self.model_:
                return held.version
        return 0

    @property
    def ordered_or_held_version(self) -> int:
        """Return the newest version that the engine has loaded or was told to load."""
        return max(self.held_version, self.ordered_version_)

    def gossip_message(self) -> GossipMessage:
        """Add the engine's state and the chunks that this sidecar holds."""
        message = super().gossip_message()
        state = self.state_
        if state is not None and self.model_:
            message.engines.append(
                EngineReport(
                    address=str(self.settings.engine),
                    model=self.model_,
                    version=self.held_version,
                    accepting=not (self.load_in_progress_ or state.ordering),
                    queued=state.queued,
                    active=state.active,
                    pace=state.pace,
                )
            )
        for plan in self._plans():
            size = (len(plan.digests) + 7) // 8
            message.chunks.append(
                ChunkItem(
                    plan.model, plan.version, plan.bitmap.to_bytes(size, "little")
                )
            )
        return message

    def handle_message(self, message: GossipMessage) -> None:
        """Record the versions and chunks that another sidecar holds."""
        if not message.sender.engine:
            return
        region = self.settings.regions_by_domain.get(message.domain, "")
        member = SwarmMember(message.sender.id, region)
        for engine in message.engines:
            self.versions_by_sidecar_[member.id] = (
                engine.version if engine.accepting else 0
            )
        for item in message.chunks:
            bitmap = self.holders_.record(member, item)
            plan = self.plan_
            if plan and (plan.model, plan.version) == (item.model, item.version):
                plan.peer_has(member, bitmap, self.clock.now())
                self.wake_.set()

    async def answer_role_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a chunk to another sidecar."""
        if request.path == MANIFEST_PATH:
            return answer_manifest(request, self._plans())
        if request.path != CHUNK_PATH:
            return await super().answer_role_request(request)
        return await self.server_.answer(request, self._plans())

    def _plans(self) -> list[SwarmPlan]:
        """Return the distinct transfers whose chunks this sidecar can serve."""
        plans = [self.plan_, *self.previous_plans_by_model_.values()]
        return list({id(plan): plan for plan in plans if plan is not None}.values())

    def status(self) -> dict[str, object]:
        """Add the state of the engine and of the transfer."""
        plan = self.plan_
        return super().status() | {
            "model": self.model_,
            "held_version": self.held_version,
            "transfer_version": plan.version if plan else None,
            "transfer_progress": plan.progress if plan else None,
        }

    async def _watch_engine(self) -> None:
        lost = False
        while True:
            try:
                state = await self.engine_.state()
            except CallError as error:
                if not lost:
                    self.reporter.event("engine_lost", detail=error.message)
                lost, self.state_ = True, None
            else:
                if lost or self.state_ is None:
                    self.reporter.event(
                        "engine_back",
                        versions={m.model: m.version for m in state.models},
                        born_ms=state.started_ms,
                    )
                lost = False
                restarted = self.state_ and self.state_.started_ms != state.started_ms
                self.state_ = state
                if restarted:
                    self.staging_.forget()
                self.wake_.set()
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())

    async def _keep_weights(self) -> None:
        while True:
            # `asyncio.wait_for` of Python 3.11 may swallow a cancellation.
            with suppress(TimeoutError):
                async with asyncio.timeout(IDLE_INTERVAL.total_seconds()):
                    await self.wake_.wait()
            self.wake_.clear()
            try:
                await self._step()
            except CallError as error:
                self.reporter.event("weights_delayed", detail=error.message)
                await asyncio.sleep(MANIFEST_PAUSE.total_seconds())

    async def _step(self) -> None:
        service = self.service
        if service is None or self.state_ is None:
            return
        self.model_ = service.models[0]
        target = self.operator.target(self.model_)
        wanted = target.version if target else None
        if self._holds_version(wanted):
            await self._adopt()
            return
        plan = self.plan_
        begins = plan is None or self._superseded(wanted) or plan.has_doubtful_digest
        if (
            begins
            and not await self._begin_transfer(wanted)
            and (plan is None or plan.version <= self.ordered_or_held_version)
        ):
            return
        self._fetch_more()
        if self.plan_.complete and not self.load_in_progress_:
            await self._load()

    async def _adopt(self) -> None:
        """Offer staged chunks of the loaded version to other sidecars."""
        held = self.held_version
        if self.adopted_version_ == held or self.transferring():
            return
        if self.plan_ is not None and self.plan_.version == held:
            return
        plan = self._new_plan(await self.fetcher_.manifest(self.model_, held))
        await self.staging_.recover(plan)
        self.adopted_version_ = held
        if plan.complete:
            self.plan_ = plan
            self.staging_.begin(plan, staged=True)
        self.reporter.event(
            "weights_adopted", version=held, progress=round(plan.progress, 2)
        )

    def _holds_version(self, wanted: int | None) -> bool:
        held = self.held_version
        return held > 0 and (wanted is None or held >= wanted)

    def _superseded(self, wanted: int | None) -> bool:
        plan = self.plan_
        if wanted is None or plan.version >= wanted:
            return False
        if plan.version <= self.ordered_or_held_version:
            return True
        return not self.choice_.finishes_first(plan, self.held_version)

    async def _begin_transfer(self, wanted: int | None) -> bool:
        """Begin a transfer unless its manifest is left to other members for now."""
        old = self.plan_
        if old is not None and old.has_doubtful_digest:
            manifest = await self.fetcher_.manifest(self.model_, wanted)
        else:
            manifest = await self.manifests_.fetch(
                self.model_,
                wanted,
                [SwarmMember(self.settings.node, self.settings.region)]
                + self._members(),
                self.holders_.ids(
                    self.model_,
                    wanted,
                    {member.id for member in self._members()},
                    self.settings.region,
                ),
            )
        if manifest is None:
            return False
        plan = self._new_plan(manifest)
        if old is not None:
            self.previous_plans_by_model_[old.model] = old
            reused = plan.reuse(old.chunks_by_index_.values())
        else:
            reused = await self.staging_.recover(plan)
        self.holders_.fill(plan, self.clock.now())
        self.plan_ = plan
        self.staging_.begin(plan)
        self.spawn(self._announce_transfer(plan))
        self.reporter.event(
            "weights_begin",
            model=plan.model,
            version=plan.version,
            chunks=len(plan.digests),
            reused=reused,
            held=self.held_version,
        )
        return True

    def _new_plan(self, manifest: ChunkManifest) -> SwarmPlan:
        return SwarmPlan(
            own=SwarmMember(self.settings.node, self.settings.region),
            model=manifest.model,
            version=manifest.version,
            digests=manifest.digests,
            started_at=self.clock.now(),
            random=self.random,
            origin=self.fetcher_.origin_limits,
            chunk_bytes=manifest.chunk_bytes,
        )

    def _fetch_more(self) -> None:
        plan, now = self.plan_, self.clock.now()
        plan.set_members(self._members())
        for fetch in plan.next_fetches(now):
            task = asyncio.ensure_future(self._fetch(plan, fetch))
            self.fetch_tasks_.add(task)
            task.add_done_callback(self.fetch_tasks_.discard)

    def _members(self) -> list[SwarmMember]:
        regions = self.settings.regions_by_domain
        return [
            SwarmMember(peer.id, regions.get(self.peers.domain(peer.id), ""))
            for peer in self.peers.live(self.clock.now())
            if peer.engine
        ]

    def _region_sidecars(self) -> list[PeerAddress]:
        return [peer for peer in self.region_peers() if peer.engine]

    @property
    def remote_interval(self) -> timedelta:
        """Return zero during a transfer, to send to other regions in each round.

        Sidecars that do not know of a chunk here fetch it again over the same links.
        """
        return timedelta() if self.transferring() else super().remote_interval

    def is_frequent_target(self, peer: PeerAddress) -> bool:
        """Check whether a peer is an entry; during a transfer, include sidecars."""
        return not peer.engine or self.transferring()

    def transferring(self) -> bool:
        """Check whether a version is not fetched completely yet."""
        return self.plan_ is not None and not self.plan_.complete

    async def _fetch(self, plan: SwarmPlan, fetch: Fetch) -> None:
        try:
            payload = await self.fetcher_.chunk(plan, fetch)
        except CallError as error:
            self._chunk_failed(plan, fetch, error)
        else:
            intact = plan.received(fetch, payload, self.clock.now())
            name = "chunks_received" if intact else "chunks_corrupt"
            self.reporter.count(name, source=self._source_label(fetch))
            if intact and plan is self.plan_:
                await self.staging_.add(plan, fetch.index)
            elif not intact:
                self.reporter.event(
                    "chunk_corrupt", source=fetch.source, index=fetch.index
                )
        if plan is self.plan_:
            self._fetch_more()
            self.wake_.set()

    def _chunk_failed(self, plan: SwarmPlan, fetch: Fetch, error: CallError) -> None:
        now = self.clock.now()
        if error.status == BUSY_STATUS and fetch.source != ORIGIN:
            plan.busy(fetch, now)
            self.reporter.count("chunks_busy")
            return
        plan.failed(fetch, now)
        self.reporter.count("chunks_failed", source=self._source_label(fetch))
        self.reporter.event("chunk_failed", source=fetch.source, detail=error.message)

    @staticmethod
    def _source_label(fetch: Fetch) -> str:
        return ORIGIN if fetch.source == ORIGIN else "peer"

    async def _announce_transfer(self, plan: SwarmPlan) -> None:
        """Send new chunks' indices to the region's sidecars during a transfer."""
        announced_bitmap = -1
        while plan is self.plan_:
            if plan.bitmap != announced_bitmap:
                announced_bitmap = plan.bitmap
                self.gossip_.send(self.gossip_message(), self._region_sidecars())
            if plan.complete:
                self.publish()
                self.reporter.event(
                    "weights_complete", model=plan.model, version=plan.version
                )
                return
            await asyncio.sleep(TRANSFER_INTERVAL.total_seconds())

    async def _load(self) -> None:
        """Stage and verify the whole version, then order the engine to load it."""
        plan = self.plan_
        if not self._may_load(plan) or not await self.staging_.verify(plan):
            return
        state = self.state_
        if state is None or state.ordering or plan is not self.plan_:
            return
        self.load_in_progress_ = True
        try:
            self.publish()
            await asyncio.sleep(LOAD_NOTICE.total_seconds())
            await self.staging_.load(plan, state.orders_accepted)
        except BaseException:
            self.load_in_progress_ = False
            raise
        self.ordered_version_ = plan.version
        self.reporter.event("weights_ordered", model=plan.model, version=plan.version)
        self.spawn(self._finish_load(plan.version))

    def _may_load(self, plan: SwarmPlan) -> bool:
        """Check whether it is this engine's turn, so that others serve meanwhile."""
        held = self.held_version
        if not held:
            return True
        return self.rolling_update_.may_update(
            member_ids=[member.id for member in self._members()],
            loaded_ids=[
                sidecar
                for sidecar, version in self.versions_by_sidecar_.items()
                if version >= plan.version
            ],
            outdated_since=self.operator.outdated_since(plan.model, held),
            bound=self.settings.version_bound,
            now=self.clock.now(),
        )

    async def _finish_load(self, version: int) -> None:
        try:
            await self._await_loaded(version)
        finally:
            self.load_in_progress_ = False
            self.ordered_version_ = self.held_version
            self.publish()
            self.wake_.set()

    async def _await_loaded(self, version: int) -> None:
        ends_at: datetime = self.clock.now() + LOAD_TIMEOUT
        while self.clock.now() < ends_at:
            await asyncio.sleep(REPORT_INTERVAL.total_seconds() / 5)
            try:
                self.state_ = await self.engine_.state()
            except CallError as error:
                self.reporter.event("engine_lost", detail=error.message)
                self.state_ = None
                return
            if self.held_version >= version:
                self.reporter.event("weights_loaded", version=version)
                return
            if not self.state_.ordering:
                await asyncio.sleep(LOAD_RETRY_PAUSE.total_seconds())
                return
