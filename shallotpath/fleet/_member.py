"""Base of all processes on the platform: topics, peers and HTTP endpoints."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta
from functools import singledispatchmethod
from random import Random

import aiohttp
from aiohttp import web

from ..core import Clock, MonotonicClock, SettingError, rendezvous_order
from ..duties import EntryUsage
from ..gateway import OperatorState, WriteTime
from ..platform import (
    OPERATOR_TOPIC,
    HttpCaller,
    ProcessSettings,
    StoreClient,
    decode_operator_record,
    load_process_settings,
    open_session,
)
from ..replication import (
    Datagram,
    GossipMessage,
    KeyedRecord,
    PeerAddress,
    PeerTable,
    PlacementItem,
)
from ._announcements import AnnouncementExchange
from ._discovery import Discovery
from ._eras import OPERATOR_RETENTION, UPSTREAM_RETENTION, EraFollower, Retention
from ._gossip import (
    REMOTE_REGION_INTERVAL,
    GossipSocket,
    Received,
    gossip_interval,
    incarnation,
)
from ._listeners import ListenerFactory
from ._records import apply_each, describe_time
from ._reporter import LineReporter
from ._topics import Apply, TopicReplica, answer_records

# Entries of a region that read the operators' records for their peers. A large
# configuration read by each process would fill the links between regions for seconds;
# a single reader that the store refuses would delay the region's weights by 2 s.
OPERATOR_READERS = 3
# Long-poll time of such a read at the store.
OPERATOR_READ_WAIT = timedelta(seconds=1)
# Age at which a process reads the records itself: the reader's long poll, a gossip
# round and some slack. A change then still takes effect within 2 s.
MAX_OPERATOR_AGE = timedelta(milliseconds=1500)
# Random delay of pulls, so that peers of a reader do not all ask it at once.
OPERATOR_PULL_SPREAD = timedelta(milliseconds=40)
# Rounds that repeat a change to all peers in the region, as datagrams may be lost.
CHANGE_REPEAT_ROUNDS = 3
# Time between full rounds, which go to all peers of the region and to some silent ones.
FULL_ROUND_INTERVAL = timedelta(milliseconds=1450)
# One in this many messages carries a sample of peer addresses.
MESSAGES_PER_ADDRESS_SAMPLE = 5
# Entries of each other region that get a message and relay it there. A lost datagram
# delays that region by a round.
RELAYS_PER_REMOTE_REGION = 1
# Silent peers that get a message in a full round, so that regions find each other again
# after a network partition.
SILENT_PEERS_PER_ROUND = 8
METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
# Keeps a task that always fails from using a whole CPU.
TASK_RESTART_PAUSE = timedelta(milliseconds=500)


class MemberProcess:
    """Run what entries and sidecars have in common."""

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
        self.announcements_ = AnnouncementExchange(
            self.operator,
            bound=settings.version_bound,
            random=self.random,
            reporter=self.reporter,
        )
        self.peers = PeerTable(self.address, self.random)
        self.session_: aiohttp.ClientSession | None = None
        self.caller_: HttpCaller | None = None
        self.store_: StoreClient | None = None
        self.gossip_ = GossipSocket(self.receive, self.reporter)
        self.operator_topic_: TopicReplica | None = None
        self.topics_by_name_: dict[str, TopicReplica] = {}
        self.eras_ = EraFollower(self.clock, self.reporter, self.topics_by_name_.values)
        self.listeners = ListenerFactory(settings, self.clock, self.reporter)
        self.peer_listener_ = self.listeners.peers(self.answer_peer)
        self.metrics_listener_ = self.listeners.metrics(self.answer_monitoring)
        self.tasks_: set[asyncio.Task] = set()
        self.incarnation_ = incarnation(self.clock.now())
        self.sequence_ = self.repeat_rounds_left_ = 0
        self.next_remote_at_ = self.next_full_at_ = self.clock.now()
        self.leaving_ = False

    async def start(self) -> None:
        """Open the sockets and start to read the operators' records."""
        self.reporter.event("start", role="mate" if self.engine else "edge")
        self.session_ = open_session()
        self.caller_ = HttpCaller(self.session_)
        self.store_ = StoreClient(self.settings.store, self.session_, self.eras_.era)
        self.operator_topic_ = self.add_topic(
            OPERATOR_TOPIC,
            self.apply_operator,
            OPERATOR_READ_WAIT,
            OPERATOR_PULL_SPREAD,
            OPERATOR_RETENTION,
        )
        self.operator_topic_.on_update = self.broadcast_change
        host, port = self.settings.host, self.settings.peer_port
        await self.peer_listener_.start(host, port)
        await self.gossip_.start(host, port)
        await self._start_metrics_listener()
        self.keep_running(self._read_operator)
        self.keep_running(self._gossip)
        discovery = Discovery(
            self.settings,
            address=self.address,
            peers=self.peers,
            store=self.store_,
            send_gossip=lambda peers: self.gossip_.send(self.gossip_message(), peers),
            clock=self.clock,
            reporter=self.reporter,
        )
        self.keep_running(discovery.find_members)

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
        """Finish the work in progress before a stop."""

    def reload(self) -> None:
        """Reload the settings file; changed sockets take effect after a restart."""
        try:
            settings = load_process_settings()
        except SettingError as error:
            self.reporter.event("reload_failed", detail=error.message)
            return
        changed = settings != self.settings
        self.reporter.event("reload", changed=changed)
        if changed:
            self.settings = settings

    def keep_running(self, task: Callable[[], Coroutine]) -> None:
        """Run a task until the process stops; restart it if it fails."""
        self.spawn(self._keep_running(task))

    async def _keep_running(self, task: Callable[[], Coroutine]) -> None:
        while True:
            try:
                await task()
            except Exception as error:
                # One bad record or message must not stop the handling of later ones.
                self.reporter.count("tasks_restarted")
                self.reporter.event(
                    "task_restarted",
                    task=task.__name__,
                    detail="".join(traceback.format_exception(error)),
                )
            await asyncio.sleep(TASK_RESTART_PAUSE.total_seconds())

    def spawn(self, coroutine: Coroutine) -> None:
        """Run a task in the background and log its failure."""
        task = asyncio.ensure_future(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self._task_ended)

    def add_topic(
        self,
        name: str,
        apply: Apply,
        wait: timedelta,
        pull_spread: timedelta = timedelta(),
        retention: Retention = UPSTREAM_RETENTION,
    ) -> TopicReplica:
        """Add a replica of a topic, which peers may pull records from."""
        topic = TopicReplica(
            name,
            store=self.store_,
            caller=self.caller_,
            clock=self.clock,
            random=self.random,
            reporter=self.reporter,
            apply=apply,
            wait=wait,
            pull_spread=pull_spread,
            retention=retention,
        )
        topic.on_era = self.eras_.learn
        topic.fall(self.eras_.era.era)
        self.topics_by_name_[name] = topic
        return topic

    def apply_operator(
        self, records: Iterable[KeyedRecord], time: WriteTime | None
    ) -> None:
        """Apply new records of the operators."""
        changed = apply_each(
            records,
            lambda record: self._apply_operator(record, time),
            topic=OPERATOR_TOPIC,
            reporter=self.reporter,
        )
        if changed:
            self.operator_changed()

    def _apply_operator(self, record: KeyedRecord, time: WriteTime | None) -> bool:
        decoded = decode_operator_record(record.key, record.value)
        if decoded is None or not self.operator.apply(decoded, time):
            return False
        self.reporter.event(
            "operator_change",
            key=record.key,
            offset=record.offset,
            read=describe_time(time),
        )
        return True

    def operator_changed(self) -> None:
        """Handle a change of the operators' records."""

    def gossip_message(self) -> GossipMessage:
        """Return the gossip message for peers."""
        self.sequence_ += 1
        now = self.clock.now()
        return GossipMessage(
            sender=self.address,
            incarnation=self.incarnation_,
            sequence=self.sequence_,
            domain=self.settings.domain,
            leaving=self.leaving_,
            topics=[topic.item(now) for topic in self.topics_by_name_.values()],
            peers=self.peers.sample(now)
            if self.sequence_ % MESSAGES_PER_ADDRESS_SAMPLE == 0
            else [],
            announcements=self.announcements_.items(now),
            era=self.eras_.era.era,
            era_age_s=self.eras_.age_s(now),
        )

    def publish(self) -> None:
        """Send the gossip message now to region peers, remote relays and new peers."""
        targets = self.region_peers() + self.remote_relays() + self.peers.unseen()
        self.gossip_.send(self.gossip_message(), targets)

    @singledispatchmethod
    def receive(self, message: Datagram, received: Received) -> None:
        """Handle a datagram of a peer."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @receive.register
    def _(self, placed: PlacementItem, received: Received) -> None:
        self.handle_placement(placed)

    @receive.register
    def _(self, usage: EntryUsage, received: Received) -> None:
        self.handle_usage(usage)

    @receive.register
    def _(self, message: GossipMessage, received: Received) -> None:
        now = self.clock.now()
        sender_restarted = not self.peers.knows_incarnation(message)
        if not self.peers.update(message, now):
            return
        if not self.is_in_own_region(message.sender) and received.is_from(
            message.sender
        ):
            self.relay(message, received.payload)
        if sender_restarted:
            # A process that has just started gets the state before the next round.
            self.gossip_.send(self.gossip_message(), [message.sender])
        self.announcements_.merge(message, now)
        self.eras_.learn(message.era, message.era_age_s)
        remote = not self.is_in_own_region(message.sender)
        for item in message.topics:
            topic, end, era = self.topics_by_name_.get(item.name), item.end, message.era
            is_behind = topic is not None and topic.receive(item, era)
            if is_behind and self.may_pull(topic, message):
                self.spawn(topic.catch_up(message.sender, end, remote=remote, era=era))
        self.handle_message(message)

    def may_pull(self, topic: TopicReplica, message: GossipMessage) -> bool:
        """Check whether to pull newer records of a topic from the sender."""
        return not topic.pulling_ and not message.sender.engine

    def relay(self, message: GossipMessage, payload: bytes) -> None:
        """Relay the message of a peer in another region within the own region."""

    def handle_message(self, message: GossipMessage) -> None:
        """Handle the parts of a message that only this role uses."""

    def handle_placement(self, placed: PlacementItem) -> None:
        """Record that a peer has sent a request to an upstream."""

    def handle_usage(self, usage: EntryUsage) -> None:
        """Take over the counts of an entry."""

    async def answer_peer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer an HTTP request of a peer or an operator's tool."""
        if request.path == "/records":
            return answer_records(request, self.topics_by_name_)
        if request.path in (METRICS_PATH, STATUS_PATH):
            return await self.answer_monitoring(request)
        return await self.answer_role_request(request)

    async def answer_monitoring(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request for metrics or for the status."""
        if request.path == METRICS_PATH:
            body, headers = self.reporter.metrics.expose()
            return web.Response(body=body, headers=headers)
        if request.path == STATUS_PATH:
            return web.json_response(self.status())
        return web.Response(status=404, text=f"unknown path {request.path}\n")

    async def _start_metrics_listener(self) -> None:
        port = self.settings.metrics_port
        if port is None:
            return
        try:
            await self.metrics_listener_.start(self.settings.host, port)
        except OSError as error:
            # Serving callers without metrics is better than not starting.
            self.reporter.event("metrics_unavailable", port=port, detail=str(error))

    async def answer_role_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request that only this role serves."""
        return web.Response(status=404, text=f"unknown path {request.path}\n")

    def status(self) -> dict[str, object]:
        """Return the state known to this process, with ages in seconds."""
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
            "domains_out": sorted(self.operator.disabled_domains_),
            "targets": {
                model: target.version
                for model, target in self.operator.targets_by_model_.items()
            },
            "topic_ages_s": ages,
            "store_era": self.eras_.era.era,
            "peers": [peer.id for peer in self.peers.live(now)],
            "entries": self.peers.entries(now),
        }

    def _task_ended(self, task: asyncio.Task) -> None:
        self.tasks_.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.reporter.event("task_failed", detail=repr(task.exception()))

    @property
    def remote_interval(self) -> timedelta:
        """Return the time between messages to other regions."""
        return REMOTE_REGION_INTERVAL

    def is_frequent_target(self, peer: PeerAddress) -> bool:
        """Check whether a peer of the region gets a message in every round."""
        return not peer.engine

    def is_in_own_region(self, peer: PeerAddress) -> bool:
        """Check whether a peer is in the own region."""
        domain = self.peers.domain(peer.id)
        return self.settings.regions_by_domain.get(domain) == self.settings.region

    def broadcast_change(self) -> None:
        """Send new records' offsets to peers, to those of the region repeatedly."""
        self.repeat_rounds_left_ = CHANGE_REPEAT_ROUNDS
        self.publish()

    def region_peers(self) -> list[PeerAddress]:
        """Return the peers in the own region."""
        return [peer for peer in self.peers.all() if self.is_in_own_region(peer)]

    def live_region_entries(self) -> list[PeerAddress]:
        """Return the other entries of the own region that are not silent."""
        live = self.peers.live(self.clock.now())
        return [
            peer for peer in live if not peer.engine and self.is_in_own_region(peer)
        ]

    async def _read_operator(self) -> None:
        await self.operator_topic_.poll(self._is_operator_reader)

    def _is_operator_reader(self) -> bool:
        """Check whether this process reads the records from the store now."""
        if self.operator_topic_.is_stale(self.max_operator_age()):
            return True
        entries = [p.id for p in self.live_region_entries()]
        if not self.engine:
            entries.append(self.settings.node)
        readers = rendezvous_order(OPERATOR_TOPIC, entries)[:OPERATOR_READERS]
        return not readers or self.settings.node in readers

    def max_operator_age(self) -> timedelta:
        """Return the age at which this process reads the operators' records itself."""
        return MAX_OPERATOR_AGE

    async def _gossip(self) -> None:
        """Send gossip in rounds, to some peers less often."""
        while True:
            self.peers.tick(self.clock.now())
            region_peers = self.region_peers()
            targets = self._gossip_targets(region_peers)
            if targets:
                self.gossip_.send(self.gossip_message(), targets)
            self.reporter.writer.flush()
            interval = gossip_interval(len(region_peers))
            await asyncio.sleep(
                interval.total_seconds() * self.random.uniform(0.85, 1.0)
            )

    def _gossip_targets(self, region_peers: list[PeerAddress]) -> list[PeerAddress]:
        """Return the peers that get a message in this round.

        Only some entries of another region get one and relay it. Messages between all
        pairs of peers would fill the links between regions.
        """
        now = self.clock.now()
        full, remote = now >= self.next_full_at_, now >= self.next_remote_at_
        all_in_region = full or self.repeat_rounds_left_ > 0
        self.repeat_rounds_left_ = max(0, self.repeat_rounds_left_ - 1)
        targets = [
            peer
            for peer in region_peers
            if all_in_region or self.is_frequent_target(peer)
        ]
        if remote:
            self.next_remote_at_ = now + self.remote_interval
            targets += self.remote_relays()
        if full:
            self.next_full_at_ = now + FULL_ROUND_INTERVAL
            live = {peer.id for peer in self.peers.live(now)}
            silent = [peer for peer in self.peers.all() if peer.id not in live]
            targets += self.random.sample(
                silent, min(SILENT_PEERS_PER_ROUND, len(silent))
            )
        return list({peer.id: peer for peer in targets}.values())

    def remote_relays(self) -> list[PeerAddress]:
        """Return some entries of each other region, or sidecars if it has none."""
        peers_by_remote_region: dict[str, list[PeerAddress]] = {}
        for peer in self.peers.live(self.clock.now()):
            domain = self.peers.domain(peer.id)
            region = self.settings.regions_by_domain.get(domain, "")
            if region != self.settings.region:
                peers_by_remote_region.setdefault(region, []).append(peer)
        relays = []
        for peers in peers_by_remote_region.values():
            entries = [peer for peer in peers if not peer.engine] or peers
            relays += self.random.sample(
                entries, min(RELAYS_PER_REMOTE_REGION, len(entries))
            )
        return relays
