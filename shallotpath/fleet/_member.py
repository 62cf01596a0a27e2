"""What all processes on the platform share: topics, peers and their endpoints."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta
from functools import singledispatchmethod
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from ..core import Clock, MonotonicClock, PlatformError, SettingError
from ..forwarding import Listener
from ..gateway import OperatorState
from ..platform import (
    MEMBER_TOPIC,
    OPERATOR_TOPIC,
    HttpCaller,
    ProcessSettings,
    RecordError,
    StoreClient,
    decode_operator_record,
    load_process_settings,
)
from ..replication import (
    Datagram,
    KeyedRecord,
    News,
    PeerAddress,
    PeerTable,
    PlacedItem,
)
from ._gossip import GOSSIP_INTERVAL, GossipSocket, incarnation
from ._reporter import LineReporter
from ._topics import Apply, TopicReplica

# Time for which the store holds a read of the operators' records. Short enough to
# notice a connection that went silent, long enough to cost few calls.
OPERATOR_WAIT = timedelta(seconds=8)
# All processes wait for the operators' records, so they have them at about the same
# time; only one that is still behind after this delay asks its peers.
OPERATOR_PULL_DELAY = timedelta(milliseconds=150)
# Seeds may be stale or down, so members also find each other in the store.
MEMBERS_INTERVAL = timedelta(seconds=15)
LONELY_INTERVAL = timedelta(seconds=1)
# Rounds of gossip after which mates are told too and addresses are passed on.
WIDE_ROUND = 5
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
# Keeps a task that fails at once from taking the whole processor.
RESTART_PAUSE = timedelta(milliseconds=500)


class MemberProcess:
    """Run the parts that entries and mates have in common."""

    def __init__(
        self,
        settings: ProcessSettings,
        *,
        engine: bool,
        clock: Clock | None = None,
        random: Random | None = None,
        reporter: LineReporter | None = None,
    ) -> None:
        self.settings = settings
        self.engine = engine
        self.clock = clock or MonotonicClock()
        self.random = random or Random()
        self.reporter = reporter or LineReporter(
            settings.node, settings.domain, self.clock
        )
        self.address = PeerAddress(
            settings.node, settings.host, settings.peer_port, engine
        )
        self.operator = OperatorState()
        self.peers = PeerTable(self.address, self.random)
        self.session_: aiohttp.ClientSession | None = None
        self.caller_: HttpCaller | None = None
        self.store_: StoreClient | None = None
        self.gossip_ = GossipSocket(self.hear, self.reporter)
        self.operator_topic_: TopicReplica | None = None
        self.topics_by_name_: dict[str, TopicReplica] = {}
        self.peer_listener_ = Listener(self.answer_peer)
        self.metrics_listener_ = Listener(self.answer_observer)
        self.tasks_: set[asyncio.Task] = set()
        self.incarnation_ = incarnation(self.clock.now())
        self.sequence_ = 0
        self.leaving_ = False

    async def start(self) -> None:
        """Open sockets and start to follow the operators' records."""
        self.reporter.event("start", role="mate" if self.engine else "edge")
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
        self.session_ = aiohttp.ClientSession(connector=connector)
        self.caller_ = HttpCaller(self.session_)
        self.store_ = StoreClient(self.settings.store, self.session_)
        self.operator_topic_ = self.add_topic(
            OPERATOR_TOPIC, self.apply_operator, OPERATOR_WAIT, OPERATOR_PULL_DELAY
        )
        host, port = self.settings.host, self.settings.peer_port
        await self.peer_listener_.start(host, port)
        await self.gossip_.start(host, port)
        await self._serve_metrics()
        self.keep_running(self.operator_topic_.follow)
        self.keep_running(self._gossip)
        self.keep_running(self._find_members)

    async def stop(self) -> None:
        """Close what `start` opened."""
        for task in list(self.tasks_):
            task.cancel()
        await asyncio.gather(*self.tasks_, return_exceptions=True)
        await self.peer_listener_.stop()
        await self.metrics_listener_.stop()
        self.gossip_.close()
        if self.session_ is not None:
            await self.session_.close()
        self.reporter.event("stop")
        self.reporter.writer.flush()

    async def drain(self) -> None:
        """Finish what is in progress."""

    def reload(self) -> None:
        """Read the settings file again; what needs new sockets waits for a restart."""
        try:
            settings = load_process_settings()
        except SettingError as error:
            self.reporter.event("reload_failed", detail=error.message)
            return
        changed = settings != self.settings
        self.reporter.event("reload", changed=changed)
        if changed:
            self.settings = settings

    def keep_running(self, make: Callable[[], Coroutine]) -> None:
        """Run a task that only ends with the process; begin it anew if it fails."""
        self.spawn(self._keep_running(make))

    async def _keep_running(self, make: Callable[[], Coroutine]) -> None:
        while True:
            try:
                await make()
            except Exception as error:
                # A fault in one record or message must not end what the process
                # learns from all later ones.
                self.reporter.count("tasks_restarted")
                self.reporter.event(
                    "task_restarted",
                    task=make.__name__,
                    detail="".join(traceback.format_exception(error)),
                )
            await asyncio.sleep(RESTART_PAUSE.total_seconds())

    def spawn(self, coroutine: Coroutine) -> None:
        """Run a task that ends by itself; its failure is logged."""
        task = asyncio.ensure_future(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self._task_ended)

    def add_topic(
        self,
        name: str,
        apply: Apply,
        wait: timedelta,
        pull_delay: timedelta = timedelta(),
    ) -> TopicReplica:
        """Add a replica of a topic that peers may ask for."""
        topic = TopicReplica(
            name,
            store=self.store_,
            caller=self.caller_,
            clock=self.clock,
            random=self.random,
            reporter=self.reporter,
            apply=apply,
            wait=wait,
            pull_delay=pull_delay,
        )
        self.topics_by_name_[name] = topic
        return topic

    def apply_operator(self, records: Iterable[KeyedRecord]) -> None:
        """Fold new records of the operators."""
        now = self.clock.now()
        changed = False
        for record in records:
            try:
                decoded = decode_operator_record(record.key, record.value)
            except RecordError as error:
                self.reporter.count("records_bad", topic=OPERATOR_TOPIC)
                self.reporter.event("bad_record", key=record.key, detail=error.message)
                continue
            if decoded is not None and self.operator.apply(decoded, now):
                changed = True
                self.reporter.event(
                    "operator_change", key=record.key, offset=record.offset
                )
        if changed:
            self.operator_changed()
            self.publish()

    def operator_changed(self) -> None:
        """Take a change of what the operators ask for."""

    def news(self) -> News:
        """Return the message for peers."""
        self.sequence_ += 1
        now = self.clock.now()
        return News(
            sender=self.address,
            incarnation=self.incarnation_,
            sequence=self.sequence_,
            domain=self.settings.domain,
            leaving=self.leaving_,
            topics=[topic.item(now) for topic in self.topics_by_name_.values()],
            peers=self.peers.sample() if self.sequence_ % WIDE_ROUND == 0 else [],
        )

    def publish(self) -> None:
        """Tell all peers what this process knows now."""
        known = self.peers.all()
        if known:
            self.gossip_.send(self.news(), known)

    @singledispatchmethod
    def hear(self, message: Datagram) -> None:
        """Take the message of a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @hear.register
    def _(self, placed: PlacedItem) -> None:
        self.heard_placed(placed)

    @hear.register
    def _(self, news: News) -> None:
        now = self.clock.now()
        greet = not self.peers.has_heard(news.sender.id)
        if not self.peers.hear(news, now):
            return
        if greet:
            # A process that has just started learns at once what this one knows.
            self.gossip_.send(self.news(), [news.sender])
        for item in news.topics:
            topic = self.topics_by_name_.get(item.name)
            if topic is None:
                continue
            topic.confirmed_elsewhere(item)
            if item.end > topic.end and self.may_pull(topic, news):
                self.spawn(topic.behind(news.sender, item.end))
        self.heard(news)

    def may_pull(self, topic: TopicReplica, news: News) -> bool:
        """Tell whether to ask a peer for what it has beyond a replica."""
        return not topic.pulling_ and not news.sender.engine

    def heard(self, news: News) -> None:
        """Take the parts of a message that concern the own role."""

    def heard_placed(self, placed: PlacedItem) -> None:
        """Take that a peer has sent a request to an upstream."""

    async def answer_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a peer or an operator's tool."""
        if request.path == "/records":
            return self._records(request)
        if request.path in (METRICS_PATH, STATUS_PATH):
            return await self.answer_observer(request)
        return await self.answer_other(request)

    async def answer_observer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with metrics or with what this process believes."""
        if request.path == METRICS_PATH:
            body, headers = self.reporter.metrics.expose()
            return web.Response(body=body, headers=headers)
        if request.path == STATUS_PATH:
            return web.json_response(self.status())
        return web.Response(status=404, text=f"no page {request.path}\n")

    async def _serve_metrics(self) -> None:
        port = self.settings.metrics_port
        if port is None:
            return
        try:
            await self.metrics_listener_.start(self.settings.host, port)
        except OSError as error:
            # Callers are served without metrics rather than not at all.
            self.reporter.event("metrics_unavailable", port=port, detail=str(error))

    async def answer_other(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call that only the own role serves."""
        return web.Response(status=404, text=f"no page {request.path}\n")

    def status(self) -> dict[str, object]:
        """Return what this process believes, with ages in seconds."""
        now = self.clock.now()
        ages = {}
        for name, topic in self.topics_by_name_.items():
            age = topic.age(now)
            ages[name] = None if age is None else age.total_seconds()
        catalog = self.operator.catalog
        return {
            "node": self.settings.node,
            "domain": self.settings.domain,
            "configuration": catalog.version if catalog else None,
            "domains_out": sorted(self.operator.domains_out_),
            "targets": {
                model: target.version
                for model, target in self.operator.targets_by_model_.items()
            },
            "topic_ages_s": ages,
            "peers": [peer.id for peer in self.peers.live(now)],
            "entries": self.peers.entries(now),
        }

    def _records(self, request: web.BaseRequest) -> web.Response:
        topic = self.topics_by_name_.get(request.query.get("topic", ""))
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return web.Response(status=400, text="after is not an offset\n")
        if topic is None:
            return web.Response(status=404, text="no such topic\n")
        return web.Response(body=topic.page_after(after))

    def _task_ended(self, task: asyncio.Task) -> None:
        self.tasks_.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.reporter.event("task_failed", detail=repr(task.exception()))

    def tells_often(self, peer: PeerAddress, rounds: int) -> bool:
        """Tell whether a peer is told in a round between the wide ones."""
        return not peer.engine

    def is_near(self, peer: PeerAddress) -> bool:
        """Tell whether a peer is in the own region."""
        domain = self.peers.domain(peer.id)
        return self.settings.regions_by_domain.get(domain) == self.settings.region

    async def _gossip(self) -> None:
        """Tell those that need it each round, the others less often."""
        rounds = 0
        while True:
            self.peers.tick(self.clock.now())
            rounds += 1
            known = self.peers.all()
            if rounds % WIDE_ROUND:
                known = [peer for peer in known if self.tells_often(peer, rounds)]
            if known:
                self.gossip_.send(self.news(), known)
            self.reporter.writer.flush()
            await asyncio.sleep(
                GOSSIP_INTERVAL.total_seconds() * self.random.uniform(0.85, 1.0)
            )

    async def _find_members(self) -> None:
        """Greet the seeds, register, and read who else did."""
        self._greet_seeds()
        registered = False
        while True:
            try:
                if not registered:
                    value = msgspec.json.encode(self.address)
                    await self.store_.put(MEMBER_TOPIC, self.settings.node, value)
                    registered = True
                page = await self.store_.newest(MEMBER_TOPIC)
                self._learn(page.records)
            except PlatformError as error:
                self.reporter.event("members_unread", detail=error.message)
            lonely = not self.peers.live(self.clock.now())
            if lonely:
                self._greet_seeds()
            pause = LONELY_INTERVAL if lonely else MEMBERS_INTERVAL
            await asyncio.sleep(pause.total_seconds())

    def _greet_seeds(self) -> None:
        for seed in self.settings.seeds:
            if seed.host != self.settings.host:
                address = PeerAddress(
                    f"seed-{seed.host}", seed.host, self.settings.peer_port, True
                )
                self.gossip_.send(self.news(), [address])

    def _learn(self, records: Iterable[KeyedRecord]) -> None:
        for record in records:
            try:
                address = msgspec.json.decode(record.value or b"", type=PeerAddress)
            except msgspec.DecodeError as error:
                self.reporter.event("bad_member", key=record.key, detail=repr(error))
                continue
            self.peers.learn(address)
