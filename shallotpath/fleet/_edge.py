"""The entry process, which forwards callers' requests to upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable
from contextlib import suppress
from datetime import timedelta
from functools import partial
from heapq import nlargest

from aiohttp import web

from ..core import rendezvous_choice
from ..duties import EntryUsage
from ..forwarding import (
    ConnectionPool,
    Forwarder,
    ForwarderParts,
    Listener,
    MemoryBudget,
    report_crash,
)
from ..gateway import (
    Breaker,
    BudgetLimit,
    CrashSuspects,
    DiscoveryPeriod,
    Dispatcher,
    EntryLoad,
    EntrySubsets,
    LoadTracker,
    PartSuspects,
    PlacementRules,
    Retries,
    RetryBudget,
    UpstreamTable,
    WriteTime,
)
from ..platform import (
    UPSTREAM_TOPIC,
    PlatformHeaderCodec,
    ProcessSettings,
    decode_upstream,
)
from ..replication import (
    GossipMessage,
    KeyedRecord,
    PlacementItem,
    SuspectItem,
)
from ._demand import demand_items, update_peer_demand
from ._duties import DutyRunner
from ._evidence import decode_evidence, encode_evidence
from ._gossip import remote_interval
from ._member import MemberProcess
from ._predictions import report_predictions
from ._records import apply_each
from ._reports import CutReporter, report_held, report_levels, report_notice
from ._run_counts import RUN_COUNTS_PATH
from ._topics import TopicReplica

# Long-poll time of a read of the upstreams. An upstream that leaves must get no request
# 2 s later, even if a read was lost and had to time out.
UPSTREAM_READ_WAIT = timedelta(milliseconds=1000)
# Heartbeats change the topic constantly; a pause between reads batches them. An
# upstream that leaves still gets no request after the bound of 2 s.
UPSTREAM_READ_PAUSE = timedelta(milliseconds=300)
# Age at which an entry reads the upstreams itself, without its domain's reader.
MAX_UPSTREAM_AGE = timedelta(milliseconds=1500)
PRUNE_INTERVAL = timedelta(seconds=1)
# Time between updates of the list of entries. An entry sends nothing that could exceed
# the limit of a cold upstream in the first second after its start.
MIN_ENTRIES_INTERVAL = timedelta(milliseconds=300)
MAX_ENTRIES_INTERVAL = timedelta(seconds=1)
# A request is not denied on the basis of an older configuration.
MAX_FRESH_AGE = timedelta(seconds=10)
# The balancer removes an entry after two failed probes, one second apart; the rest is
# slack.
BALANCER_REMOVAL_TIME = timedelta(milliseconds=2300)
# Part of the stop grace period that is left for closing sockets.
SOCKET_CLOSE_RESERVE = timedelta(milliseconds=700)
# Time for the responses to requests that are not finished when the process stops.
LAST_RESPONSES_TIME = timedelta(milliseconds=200)
DRAIN_POLL_INTERVAL_S = 0.05
SUSPECTS_PER_MESSAGE = 10
PARTS_PER_MESSAGE = 8
# Many requests are lost in one crash; one message tells peers of all of them.
EVIDENCE_PAUSE = timedelta(milliseconds=50)
# Keeps messages within the size of a datagram. A larger one is not sent, so that peers
# would hear nothing of the busiest entries.
MAX_SHARES_PER_MESSAGE = 200


class EdgeProcess(MemberProcess):
    """Forward callers' requests, and share loads and crash suspects with peers."""

    def __init__(self, settings: ProcessSettings, **options) -> None:
        super().__init__(settings, engine=False, **options)
        self.upstreams = UpstreamTable()
        self.upstreams.notices.on_notice = partial(report_notice, self.reporter)
        self.breaker = Breaker()
        self.loads = LoadTracker(self._send_placement, self.upstreams.service_id)
        self.evidence_found_ = asyncio.Event()
        self.suspects = CrashSuspects(
            PartSuspects(
                self._report_part, self.evidence_found_.set, self._is_trial_entry
            )
        )
        self.memory = MemoryBudget.for_process(settings.memory_bytes)
        self.memory.on_change = self._report_memory
        self.pool = ConnectionPool(self.clock, self.reporter)
        self.subsets = EntrySubsets(settings.node, settings.region)
        self.discovery_period_ = DiscoveryPeriod(self.clock.now())
        self.entries_changed_ = asyncio.Event()
        self.cuts = CutReporter(self.reporter, self.clock)
        rules = PlacementRules(
            domain=settings.domain,
            regions_by_domain=settings.regions_by_domain,
            version_bound=settings.version_bound,
            cold_excess=settings.cold_excess,
            cold_slack=settings.cold_slack,
        )
        self.dispatcher = Dispatcher(
            rules=rules,
            operator=self.operator,
            upstreams=self.upstreams,
            loads=self.loads,
            breaker=self.breaker,
            subsets=self.subsets,
            random=self.random,
        )
        self.dispatcher.cold_limiter.started(self.clock.now())
        budget = RetryBudget(
            BudgetLimit(
                settings.budget_ratio, settings.budget_extra, settings.budget_window
            ),
            self.subsets,
            self.clock.now(),
        )
        self.parts = ForwarderParts(
            dispatcher=self.dispatcher,
            retries=Retries(budget),
            suspects=self.suspects,
            pool=self.pool,
            header_codec=PlatformHeaderCodec(),
            clock=self.clock,
        )
        self.forwarder = Forwarder(
            self.parts, self.operator, self.is_configuration_fresh, self.reporter
        )
        self.caller_listener_: Listener | None = None
        self.readiness_listener_ = self.listeners.readiness(self._answer_probe)
        self.upstream_topic_: TopicReplica | None = None
        self.duties_: DutyRunner | None = None

    async def start(self) -> None:
        """Open all sockets; the entry is ready once it has a configuration."""
        await super().start()
        self.upstream_topic_ = self.add_topic(
            UPSTREAM_TOPIC, self.apply_upstreams, UPSTREAM_READ_WAIT
        )
        self.upstream_topic_.on_update = self._notify_region_entries
        self.upstream_topic_.before_apply = self.upstreams.record_read
        self.keep_running(self._read_upstreams)
        self.keep_running(self._prune)
        self.keep_running(self._follow_entries)
        self.keep_running(self._send_evidence)
        self._start_duties()
        readiness, callers = self.settings.readiness, self.settings.callers
        self.caller_listener_ = self.listeners.callers(
            self.forwarder.handle, memory=self.memory, on_cut=self.cuts.report
        )
        await self.caller_listener_.start(callers.host, callers.port)
        await self.readiness_listener_.start(readiness.host, readiness.port)

    def _start_duties(self) -> None:
        duties = self.settings.duties
        if duties is None or not duties.reports_usage:
            return
        self.duties_ = DutyRunner.of_process(self, duties)
        self.parts.on_begun = self.duties_.counts.record_begun
        self.keep_running(self.duties_.run)

    async def answer_role_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a holder's request for this entry's counts."""
        if request.path == RUN_COUNTS_PATH and self.duties_ is not None:
            return await self.duties_.counts.answer(request)
        return await super().answer_role_request(request)

    async def drain(self) -> None:
        """Fail readiness probes, then refuse new requests and finish the open ones."""
        loop = asyncio.get_running_loop()
        time_left = self.settings.stop_grace - SOCKET_CLOSE_RESERVE
        stop_at_s = loop.time() + time_left.total_seconds()
        self.leaving_ = True
        self.parts.stops_at = self.clock.now() + time_left
        self.reporter.event("drain", active=self.caller_listener_.active)
        self.publish()
        await asyncio.sleep(BALANCER_REMOVAL_TIME.total_seconds())
        self.parts.accepting = False
        self.caller_listener_.close()
        self.caller_listener_.close_idle()
        await self._await_idle(stop_at_s)
        unfinished = self.caller_listener_.active
        # Callers get a response rather than a closed connection.
        self.parts.deadlines.expire()
        await self._await_idle(stop_at_s + LAST_RESPONSES_TIME.total_seconds())
        self.reporter.event(
            "drained", active=self.caller_listener_.active, unfinished=unfinished
        )

    async def _await_idle(self, until_s: float) -> None:
        """Wait until no request is in progress, up to a time of the event loop."""
        loop = asyncio.get_running_loop()
        while self.caller_listener_.active and loop.time() < until_s:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Close everything."""
        await self.caller_listener_.stop()
        await self.readiness_listener_.stop()
        self.pool.close()
        if self.duties_ is not None:
            await self.duties_.close()
        await super().stop()

    @property
    def remote_interval(self) -> timedelta:
        """Return the time between messages to other regions."""
        return remote_interval(1 + len(self.live_region_entries()))

    @property
    def ready(self) -> bool:
        """Check whether the balancer may send callers to this entry."""
        return self.operator.catalog is not None and not self.leaving_

    def is_configuration_fresh(self) -> bool:
        """Check whether the store or a peer confirmed the configuration recently."""
        age = self.operator_topic_.age(self.clock.now())
        fresh = age is not None and age <= MAX_FRESH_AGE
        return fresh and not self.operator_topic_.was_suspended()

    def update_entries(self) -> int:
        """Update the entries that share the limits and return their number."""
        now = self.clock.now()
        entries = self.peers.active_entries(now)
        if self.discovery_period_.active(now):
            entries = [peer for peer in self.peers.all() if not peer.engine]
        regions = self.settings.regions_by_domain
        self.subsets.update(
            {peer.id: regions.get(self.peers.domain(peer.id), "") for peer in entries}
        )
        return self.subsets.count

    def operator_changed(self) -> None:
        """Apply the connection limits of a new configuration to the listener."""
        catalog = self.operator.catalog
        if catalog is not None and self.caller_listener_ is not None:
            self.cuts.configured(catalog.version)
            limits = catalog.limits
            self.caller_listener_.set_limits(
                limits.idle_timeout,
                limits.body_bytes,
                max_header=limits.header_bytes,
                header_timeout=limits.header_timeout,
            )

    def apply_upstreams(
        self, records: Iterable[KeyedRecord], time: WriteTime | None
    ) -> None:
        """Apply new records of upstreams."""
        changed = apply_each(
            records,
            self._apply_upstream,
            topic=UPSTREAM_TOPIC,
            reporter=self.reporter,
        )
        if changed:
            known = set(self.upstreams.upstreams_by_id_)
            self.breaker.prune(known)
            self.dispatcher.cold_limiter.prune(known, self.clock.now())
            self._notify_region_entries()

    def _apply_upstream(self, record: KeyedRecord) -> bool:
        now = self.clock.now()
        if record.value is None:
            removed = self.upstreams.remove(record.key, now)
            if removed:
                losses = self.suspects.record_crash(record.key, now)
                if losses:
                    report_crash(self.reporter, record.key, "record removed", losses)
                self.reporter.event("upstream_gone", upstream=record.key)
            return removed
        decoded = decode_upstream(record.key, record.value)
        before = self.upstreams.upstreams_by_id_.get(record.key)
        changed = self.upstreams.apply(decoded, now)
        if before is None or before.record.draining != decoded.draining:
            self.reporter.event(
                "upstream",
                upstream=decoded.id,
                service=decoded.service,
                address=decoded.address,
                domain=decoded.domain,
                draining=decoded.draining,
                versions=decoded.versions_by_model,
                cold_left_s=decoded.cold_remaining.total_seconds(),
            )
        return changed

    def gossip_message(self) -> GossipMessage:
        """Add this entry's loads at upstreams and the crash suspects."""
        message = super().gossip_message()
        loads = self.loads.own_loads()
        largest = nlargest(
            MAX_SHARES_PER_MESSAGE, loads, key=lambda id_: loads[id_].requests
        )
        message.shares.update((id_, loads[id_]) for id_ in largest)
        suspects = self.suspects.recent(self.clock.now(), SUSPECTS_PER_MESSAGE)
        message.suspects.extend(
            SuspectItem(fingerprint, ids) for fingerprint, ids in suspects.items()
        )
        parts = self.suspects.parts.recent(self.clock.now(), PARTS_PER_MESSAGE)
        message.demands.extend(demand_items(self.dispatcher.demand, self.clock.now()))
        message.parts.extend(map(encode_evidence, parts))
        return message

    def relay(self, message: GossipMessage, payload: bytes) -> None:
        """Relay a message to the region's entries, and to sidecars if it has chunks."""
        targets = [p for p in self.region_peers() if not p.engine or message.chunks]
        self.gossip_.forward(payload, targets)

    def handle_message(self, message: GossipMessage) -> None:
        """Record a peer's loads, engine reports and crash suspects."""
        now = self.clock.now()
        if not message.sender.engine:
            if not self.subsets.knows(message.sender.id):
                self.entries_changed_.set()
            self.loads.update_peer_loads(message.sender.id, message.shares, now)
            demand, sender = self.dispatcher.demand, message.sender.id
            update_peer_demand(demand, sender, message.demands, now)
        for report in message.engines:
            self.loads.update_engine_report(report, now)
        for suspect in message.suspects:
            self.suspects.merge(suspect.fingerprint, suspect.upstreams, now)
        self.suspects.parts.merge(map(decode_evidence, message.parts), now)

    def handle_usage(self, usage: EntryUsage) -> None:
        """Take over counts of a peer for the report that this entry may send."""
        if self.duties_ is not None:
            self.duties_.counts.merge(usage)

    def handle_placement(self, placed: PlacementItem) -> None:
        """Count a peer's request until its next gossip message has its loads."""
        now = self.clock.now()
        self.loads.add_peer_placement(placed.sender, placed.upstream, placed.share, now)

    def may_pull(self, topic: TopicReplica, message: GossipMessage) -> bool:
        """Check whether to pull; from other domains, upstreams only when needed."""
        if topic is not self.upstream_topic_ or message.domain == self.settings.domain:
            return super().may_pull(topic, message)
        # After a fall of the store, one listing serves all domains of a region.
        same_region = self.is_in_own_region(message.sender)
        is_needed = same_region and not topic.is_listed
        is_needed = is_needed or topic.is_stale(MAX_UPSTREAM_AGE)
        return is_needed and super().may_pull(topic, message)

    def status(self) -> dict[str, object]:
        """Add the upstreams and their loads."""
        now = self.clock.now()
        upstreams = {}
        for upstream in self.upstreams.upstreams_by_id_.values():
            record = upstream.record
            load = self.loads.load(record.id, record.address, now)
            upstreams[record.id] = {
                "service": record.service,
                "domain": record.domain,
                "draining": record.draining,
                "requests": load.requests,
                "age_s": (now - upstream.received_at).total_seconds(),
                "preferred": self.subsets.is_primary(
                    record.id, self.settings.regions_by_domain.get(record.domain, "")
                ),
                "available": self.breaker.is_available(record.id, now),
            }
        duties = {"duties": self.duties_.status()} if self.duties_ else {}
        return (
            super().status()
            | duties
            | {
                "ready": self.ready,
                "active": self.caller_listener_.active,
                "entries": self.subsets.count,
                "refused_parts": self.suspects.parts.refused,
                "upstreams": upstreams,
            }
        )

    async def _read_upstreams(self) -> None:
        await self.upstream_topic_.poll(self._is_upstream_reader, UPSTREAM_READ_PAUSE)

    def _is_upstream_reader(self) -> bool:
        """Check whether this entry reads the upstreams from the store now."""
        if self.upstream_topic_.is_stale(MAX_UPSTREAM_AGE):
            return True
        live = [
            peer.id
            for peer in self.live_region_entries()
            if self.peers.domain(peer.id) == self.settings.domain
        ]
        own = self.settings.node
        return rendezvous_choice("upstreams", [*live, own]) == own

    def _send_placement(self, upstream_id: str, share: EntryLoad) -> None:
        """Notify the other primary entries of an upstream, which prefer it too."""
        upstream = self.upstreams.upstreams_by_id_.get(upstream_id)
        if upstream is None:
            return
        domain = upstream.record.domain
        region = self.settings.regions_by_domain.get(domain, "")
        addresses = map(self.peers.address, self.subsets.primaries(upstream_id, region))
        peers = [address for address in addresses if address is not None]
        self.gossip_.send(PlacementItem(self.settings.node, upstream_id, share), peers)

    def _notify_region_entries(self) -> None:
        """Send new offsets to the region's entries, so that they pull at once."""
        entries = [peer for peer in self.region_peers() if not peer.engine]
        self.gossip_.send(self.gossip_message(), entries)

    async def _answer_probe(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self.ready else 503)

    async def _follow_entries(self) -> None:
        """Update the list of entries when one is new, and from time to time."""
        while True:
            self.entries_changed_.clear()
            self.update_entries()
            # After a start all entries are new, and each change costs time.
            await asyncio.sleep(MIN_ENTRIES_INTERVAL.total_seconds())
            remaining = MAX_ENTRIES_INTERVAL - MIN_ENTRIES_INTERVAL
            with suppress(TimeoutError):
                async with asyncio.timeout(remaining.total_seconds()):
                    await self.entries_changed_.wait()

    async def _send_evidence(self) -> None:
        """Tell peers at once of a crash that may be due to a part of a prompt."""
        while True:
            await self.evidence_found_.wait()
            await asyncio.sleep(EVIDENCE_PAUSE.total_seconds())
            self.evidence_found_.clear()
            self.publish()

    def _report_memory(self, tight: bool) -> None:
        """Report that the budget for requests is nearly used up, or not any more."""
        self.reporter.event(
            "memory_tight" if tight else "memory_relaxed",
            limit_bytes=self.memory.limit_bytes,
            held_bytes=self.memory.held_by_kind,
        )

    def _report_part(
        self, part: str, crash_ids: Collection[str], refused: bool
    ) -> None:
        self.reporter.gauge("refused_parts", len(self.suspects.parts.refused))
        self.reporter.event(
            "part_refused" if refused else "part_allowed",
            part=part,
            crashes=sorted(crash_ids),
        )

    def _is_trial_entry(self, turn: str) -> bool:
        """Check whether this entry tries a refused part in a turn."""
        live = [p.id for p in self.peers.live(self.clock.now()) if not p.engine]
        own = self.settings.node
        return rendezvous_choice(turn, [*live, own]) == own

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL.total_seconds())
            self.forwarder.check_deadlines(self.clock.now())
            self.pool.prune(set(self.upstreams.upstreams_by_id_))
            report_held(self.memory, self.reporter)
            report_levels(self.dispatcher, self.reporter, self.clock.now())
            report_predictions(self.dispatcher.predictor, self.clock, self.reporter)
            self.suspects.parts.expire(self.clock.now())
            self.upstreams.notices.prune(
                self.upstreams.upstreams_by_id_.keys(), self.clock.now()
            )
