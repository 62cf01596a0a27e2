"""The process that serves callers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from aiohttp import web

from ..core import rendezvous_choice
from ..forwarding import Beliefs, ConnectionPool, Forwarder, ForwarderParts, Listener
from ..gateway import (
    Breaker,
    BudgetLimit,
    CrashSuspects,
    Dispatcher,
    LoadBook,
    PlacementRules,
    RecordTime,
    Retries,
    RetryBudget,
    Share,
    SharerCount,
    UpstreamTable,
)
from ..platform import (
    UPSTREAM_TOPIC,
    PlatformWire,
    ProcessSettings,
    RecordError,
    decode_upstream,
)
from ..replication import (
    KeyedRecord,
    News,
    PlacedItem,
    SuspectItem,
)
from ._member import MemberProcess
from ._topics import TopicReplica

# Time for which the store holds a read of the upstreams. One that leaves must get
# nothing 2 s later, also where a read was lost and had to time out.
UPSTREAM_WAIT = timedelta(milliseconds=1000)
# Heartbeats change the topic all the time; a pause collects those of some upstreams.
# One that leaves still gets nothing after the bound of 2 s.
UPSTREAM_PAUSE = timedelta(milliseconds=300)
# An entry reads the upstreams itself once its domain's reader was silent so long.
UPSTREAM_AGE = timedelta(milliseconds=1500)
PRUNE_INTERVAL = timedelta(seconds=1)
# Older beliefs do not justify to deny a request.
FRESH_WITHIN = timedelta(seconds=10)
# The balancer takes an entry out after two probes, a second apart, and some slack.
BALANCER_NOTICE = timedelta(milliseconds=2300)
# Left of the grace for closing sockets.
STOP_RESERVE = timedelta(milliseconds=700)
DRAIN_STEP_S = 0.05
SUSPECTS_PER_MESSAGE = 10
# Peers that are told of each request at once. Bounds the datagrams of an entry, which
# would grow with the fleet; of peers beyond, the load book assumes the own rate.
MAX_TOLD_PEERS = 6


class EdgeProcess(MemberProcess):
    """Serve callers, and share what it learns with its peers."""

    def __init__(self, settings: ProcessSettings, **options) -> None:
        super().__init__(settings, engine=False, **options)
        self.upstreams = UpstreamTable()
        self.breaker = Breaker()
        self.loads = LoadBook(self._tell_placed)
        self.suspects = CrashSuspects()
        self.pool = ConnectionPool(self.clock)
        self.sharers_ = SharerCount(self.clock.now())
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
            random=self.random,
        )
        self.dispatcher.buckets_.started(self.clock.now())
        budget = RetryBudget(
            BudgetLimit(
                settings.budget_ratio, settings.budget_extra, settings.budget_window
            ),
            self.clock.now(),
        )
        self.parts = ForwarderParts(
            dispatcher=self.dispatcher,
            retries=Retries(budget),
            suspects=self.suspects,
            pool=self.pool,
            wire=PlatformWire(),
            clock=self.clock,
        )
        self.forwarder = Forwarder(
            self.parts, self.operator, self.beliefs, self.reporter
        )
        self.callers_: Listener | None = None
        self.readiness_ = Listener(self._answer_probe)
        self.upstream_topic_: TopicReplica | None = None

    async def start(self) -> None:
        """Open all sockets; readiness follows the first configuration."""
        await super().start()
        self.upstream_topic_ = self.add_topic(
            UPSTREAM_TOPIC, self.apply_upstreams, UPSTREAM_WAIT
        )
        self.upstream_topic_.after_news = self._tell_near_entries
        self.upstream_topic_.before_news = self.upstreams.read_succeeded
        self.keep_running(self._read_upstreams)
        self.keep_running(self._prune)
        readiness, callers = self.settings.readiness, self.settings.callers
        self.callers_ = Listener(self.forwarder.handle)
        await self.callers_.start(callers.host, callers.port)
        await self.readiness_.start(readiness.host, readiness.port)

    async def drain(self) -> None:
        """Leave the balancer, finish what is in progress, close."""
        loop = asyncio.get_running_loop()
        stop_at = (
            loop.time() + (self.settings.stop_grace - STOP_RESERVE).total_seconds()
        )
        self.leaving_ = True
        self.parts.stopping = True
        self.reporter.event("drain", active=self.callers_.active)
        self.publish()
        await asyncio.sleep(BALANCER_NOTICE.total_seconds())
        self.callers_.close()
        self.callers_.close_idle()
        while self.callers_.active and loop.time() < stop_at:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_STEP_S)
        self.reporter.event("drained", active=self.callers_.active)

    async def stop(self) -> None:
        """Close everything."""
        await self.callers_.stop()
        await self.readiness_.stop()
        self.pool.close()
        await super().stop()

    @property
    def ready(self) -> bool:
        """Check whether callers may be sent here."""
        return self.operator.catalog is not None and not self.leaving_

    def beliefs(self) -> Beliefs:
        """Return how far this entry may trust what it knows."""
        now = self.clock.now()
        age = self.operator_topic_.age(now)
        fresh = age is not None and age <= FRESH_WITHIN
        fresh = fresh and not self.operator_topic_.stood_still()
        return Beliefs(fresh, self.entries())

    def entries(self) -> int:
        """Return the number of entries that share the limits."""
        now = self.clock.now()
        known = 1 + sum(not peer.engine for peer in self.peers.all())
        return self.sharers_.count(self.peers.entries(now), known, now)

    def operator_changed(self) -> None:
        """Apply the callers' limits of a new configuration."""
        catalog = self.operator.catalog
        if catalog is not None and self.callers_ is not None:
            self.callers_.set_limits(
                catalog.limits.idle_timeout, catalog.limits.body_bytes
            )

    def apply_upstreams(
        self, records: Iterable[KeyedRecord], time: RecordTime | None
    ) -> None:
        """Fold new entries of upstreams."""
        changed = False
        for record in records:
            changed |= self._apply_upstream(record)
        if changed:
            known = set(self.upstreams.upstreams_by_id_)
            self.breaker.forget(known)
            self.dispatcher.buckets_.forget(known, self.clock.now())
            self._tell_near_entries()

    def _apply_upstream(self, record: KeyedRecord) -> bool:
        now = self.clock.now()
        if record.value is None:
            removed = self.upstreams.remove(record.key, now)
            if removed:
                self.suspects.crashed(record.key, now)
                self.reporter.event("upstream_gone", upstream=record.key)
            return removed
        try:
            decoded = decode_upstream(record.key, record.value)
        except RecordError as error:
            self.reporter.count("records_bad", topic=UPSTREAM_TOPIC)
            self.reporter.event("bad_record", key=record.key, detail=error.message)
            return False
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
                cold_left_s=decoded.cold_left.total_seconds(),
            )
        return changed

    def news(self) -> News:
        """Add the own work at upstreams and the suspects."""
        message = super().news()
        message.shares.update(self.loads.own_shares())
        suspects = self.suspects.recent(self.clock.now(), SUSPECTS_PER_MESSAGE)
        message.suspects.extend(
            SuspectItem(fingerprint, ids) for fingerprint, ids in suspects.items()
        )
        return message

    def relay(self, news: News, payload: bytes) -> None:
        """Pass on what concerns entries, and to mates what concerns chunks."""
        told = [p for p in self.near_peers() if not p.engine or news.chunks]
        self.gossip_.pass_on(payload, told)

    def heard(self, news: News) -> None:
        """Record peers' work, engines' reports and suspects."""
        now = self.clock.now()
        if not news.sender.engine:
            self.loads.peer_heard(news.sender.id, news.shares, now)
        for report in news.engines:
            self.loads.engine_heard(report, now)
        for suspect in news.suspects:
            self.suspects.merge(suspect.fingerprint, suspect.upstreams, now)

    def heard_placed(self, placed: PlacedItem) -> None:
        """Count a peer's request until the peer tells of all its work."""
        self.loads.peer_placed(placed.sender, placed.upstream, placed.share)

    def may_pull(self, topic: TopicReplica, news: News) -> bool:
        """Check whether to pull upstreams: own domain always, others when late."""
        if topic is not self.upstream_topic_ or news.domain == self.settings.domain:
            return super().may_pull(topic, news)
        return topic.late(UPSTREAM_AGE) and super().may_pull(topic, news)

    def status(self) -> dict[str, object]:
        """Add upstreams and the work at them."""
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
                "age_s": (now - upstream.heard_at).total_seconds(),
                "available": self.breaker.available(record.id, now),
            }
        return super().status() | {
            "ready": self.ready,
            "active": self.callers_.active,
            "entries": self.entries(),
            "upstreams": upstreams,
        }

    async def _read_upstreams(self) -> None:
        await self.upstream_topic_.poll(self._reads_upstreams, UPSTREAM_PAUSE)

    def _reads_upstreams(self) -> bool:
        """Check whether it is this entry's turn to read the store for its domain."""
        if self.upstream_topic_.late(UPSTREAM_AGE):
            return True
        live = [
            peer.id
            for peer in self.live_near_entries()
            if self.peers.domain(peer.id) == self.settings.domain
        ]
        own = self.settings.node
        return rendezvous_choice("upstreams", [*live, own]) == own

    def _tell_placed(self, upstream_id: str, share: Share) -> None:
        """Notify the entries that are likely to choose the same upstream next."""
        upstream = self.upstreams.upstreams_by_id_.get(upstream_id)
        if upstream is None:
            return
        regions = self.settings.regions_by_domain
        told = {self.settings.region, regions.get(upstream.record.domain)}
        peers = [
            peer
            for peer in self.peers.all()
            if not peer.engine and regions.get(self.peers.domain(peer.id)) in told
        ]
        if len(peers) > MAX_TOLD_PEERS:
            peers = self.random.sample(peers, MAX_TOLD_PEERS)
        self.gossip_.send(PlacedItem(self.settings.node, upstream_id, share), peers)

    def _tell_near_entries(self) -> None:
        """Send what was read to the entries of the region before they read it."""
        near = [peer for peer in self.near_peers() if not peer.engine]
        self.gossip_.send(self.news(), near)

    async def _answer_probe(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if self.ready else 503)

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL.total_seconds())
            # Also without requests, so that a standstill shows.
            self.entries()
            self.forwarder.check_deadlines(self.clock.now())
            self.pool.prune(set(self.upstreams.upstreams_by_id_))
            untold = len(self.live_near_entries()) - MAX_TOLD_PEERS
            self.loads.sharers = 1 + max(0, untold)
