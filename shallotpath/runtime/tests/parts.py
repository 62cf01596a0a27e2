"""Fakes of the gate, claims, router and retries, and shared test helpers."""

import asyncio
import json
from collections import deque
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta
from functools import singledispatchmethod
from itertools import count
from types import SimpleNamespace

from aiohttp import ClientSession

from shallotpath.claims import ClaimDecided, ClaimState, KnownClaim, Phase, RunClaim
from shallotpath.config import (
    DomainState,
    ModelVersion,
    Service,
    ServiceKind,
    StaticConfiguration,
    Team,
)
from shallotpath.core import (
    CallEnded,
    Code,
    Emit,
    EngineLost,
    EngineObserved,
    Event,
    Load,
    MonotonicClock,
    Node,
    sha256_hex,
)
from shallotpath.limits import Admit, Queue, Refuse
from shallotpath.membership import Member, Role, StaticMembership
from shallotpath.runtime import (
    AgentPart,
    AgentServer,
    AgentTimeouts,
    EngineClient,
    EntryPart,
    EntryServer,
    Shell,
)
from shallotpath.standins import EngineApp, make_token, serve

TOKEN = "secret"
TIMEOUT_S = 20


class MemoryTelemetry:
    def __init__(self):
        self.gauges_ = {}
        self.logs_ = []
        self.counts_ = {}

    def count(self, name, labels, amount):
        self.counts_[name] = self.counts_.get(name, 0) + amount

    def gauge(self, name, labels, value):
        self.gauges_[name] = value

    def log(self, kind, fields):
        self.logs_.append((kind, fields))

    def trace(self, kind, fields):
        pass


class FakeGate:
    def __init__(self, limit=100, queue=100):
        self.limit = limit
        self.queue = queue
        self.running_ = set()
        self.queued_ = deque()
        self.held_by_id_ = {}

    def request(self, call, now):
        if len(self.running_) < self.limit:
            self.running_.add(call.request_id)
            return Admit()
        if len(self.queued_) < self.queue:
            self.queued_.append(call)
            return Queue()
        return Refuse(Code.OVERLOADED, timedelta(seconds=1))

    def release(self, request_id, completed, now):
        self.running_.discard(request_id)
        self.queued_ = deque(c for c in self.queued_ if c.request_id != request_id)
        started = []
        while self.queued_ and len(self.running_) < self.limit:
            call = self.queued_.popleft()
            self.running_.add(call.request_id)
            started.append(call)
        return started

    def held(self, request_id, size):
        self.held_by_id_[request_id] = size

    def expire(self, now):
        return []

    def ready(self, now):
        return []

    def load(self):
        return Load(self.limit, len(self.running_))


class FakeClaims:
    """Decide at once and grant each key once."""

    def __init__(self):
        self.states_by_key_ = {}
        self.released_ = []

    def request(self, key, request_id, fresh, now):
        state = self.states_by_key_.get(key)
        decision = RunClaim() if state is None else KnownClaim(state)
        self.states_by_key_.setdefault(key, ClaimState(Phase.RUNNING))
        return [Emit(ClaimDecided(request_id, key, decision))]

    def finished(self, key, request_id, status, now):
        phase = Phase.FINISHED if status else Phase.UNKNOWN
        self.states_by_key_[key] = ClaimState(phase, status)
        return []

    def released(self, key, request_id, now):
        self.states_by_key_.pop(key, None)
        self.released_.append(key)
        return []


class FakeRouter:
    """Choose the first member that is not excluded."""

    def __init__(self, members):
        self.members = members
        self.failures_ = []
        self.completed_ = []
        self.in_flight_ = 0

    def choose(self, call, exclude, now):
        candidates = [m for m in self.members if m.service == call.service]
        return next((m for m in candidates if m.id not in exclude), None)

    def warning(self, call, now):
        return None

    def started(self, member_id):
        self.in_flight_ += 1

    def ended(self, member_id):
        self.in_flight_ -= 1

    def observe_load(self, member_id, load, now):
        pass

    def completed(self, call, member_id):
        self.completed_.append(member_id)

    def observe_failure(self, member_id, code, now, retry_after=None):
        self.failures_.append((member_id, code))


class FakeRetries:
    def __init__(self, attempts=3, delay=timedelta(milliseconds=20)):
        self.attempts = attempts
        self.delay = delay
        self.first_attempts_ = 0

    def started(self, call):
        self.first_attempts_ += 1

    def next(self, call, code, run, attempts, now, *, retry_after=None):
        return self.delay if attempts < self.attempts else None


class EventLog:
    """Record the events that concern the engine."""

    def __init__(self):
        self.events_ = []

    @singledispatchmethod
    def reduce(self, event: Event, now):
        return []

    @reduce.register(EngineLost)
    @reduce.register(EngineObserved)
    @reduce.register(CallEnded)
    def _(self, event, now):
        self.events_.append(event)
        return []

    def of(self, kind):
        return [event for event in self.events_ if isinstance(event, kind)]


def make_configuration(**services):
    configuration = StaticConfiguration()
    configuration.teams_by_id["t"] = Team("t", sha256_hex(TOKEN.encode()))
    configuration.versions_by_id["fold/1"] = ModelVersion("fold", "1", "d1", 1, 1)
    configuration.versions_by_id["fold/2"] = ModelVersion("fold", "2", "d2", 1, 1)
    configuration.domains_by_id["bne-a"] = DomainState("bne-a", "brisbane")
    configuration.services_by_id["fold-model"] = Service(
        "fold-model", ServiceKind.MODEL, "fold", "1"
    )
    configuration.services_by_id["kit-desk"] = Service(
        "kit-desk", ServiceKind.PLAIN, non_repeatable_paths=["orders"]
    )
    configuration.services_by_id.update(services)
    return configuration


def make_shell(name, parts, telemetry=None):
    return Shell(
        node=Node(name, parts),
        clock=MonotonicClock(),
        telemetry=telemetry or MemoryTelemetry(),
        identity=name,
    )


class Upstream:
    """Run one engine stand-in with its agent."""

    def __init__(self, name, service, **options):
        self.name = name
        self.service = service
        self.engine = EngineApp(
            service=service,
            model=service == "fold-model",
            **{"digest": "d1", "memory_bytes": 2**30, **options},
        )
        self.engine.cold_runs_left_ = 0
        self.gate = FakeGate()
        self.claims = FakeClaims()
        self.events = EventLog()
        self.telemetry = MemoryTelemetry()

    @asynccontextmanager
    async def run(self, configuration, timeouts=None, **options):
        # An hour, so that the time-out for silent entries ends no call that a test
        # expects another rule to end.
        timeouts = timeouts or AgentTimeouts(entry_silence=timedelta(hours=1))
        part = AgentPart(self.claims)
        self.shell = make_shell(self.name, [part, self.events], self.telemetry)
        async with serve(self.engine.build()) as url, ClientSession() as session:
            await self.shell.start()
            self.agent = AgentServer(
                shell=self.shell,
                part=part,
                configuration=configuration,
                gate=self.gate,
                engine=EngineClient(session, url),
                service=self.service,
                domain="bne-a",
                incarnation=f"{self.name}-1",
                timeouts=timeouts,
                **options,
            )
            await self.agent.start()
            await until(lambda: self.events.of(EngineObserved))
            try:
                yield self
            finally:
                await self.agent.stop()
                await self.shell.stop()

    @property
    def member(self):
        return Member(
            self.name,
            Role.AGENT,
            "bne-a",
            "brisbane",
            self.shell.peer.address_,
            f"{self.name}-1",
            service=self.service,
        )


@asynccontextmanager
async def running(upstreams, configuration):
    async with AsyncExitStack() as stack:
        for upstream in upstreams:
            await stack.enter_async_context(upstream.run(configuration))
        yield upstreams


async def until(condition):
    """Wait for a condition; the time-out only bounds a failing test."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


class Entry:
    """Run one entry in front of upstreams."""

    def __init__(self, upstreams):
        self.members = [upstream.member for upstream in upstreams]
        self.router = FakeRouter(self.members)
        self.retries = FakeRetries()
        self.membership = StaticMembership()
        self.telemetry = MemoryTelemetry()
        self.part = EntryPart()
        self.shell = make_shell("entry", [self.part], self.telemetry)
        self.keys_ = count()
        self.homes_ = None

    def home_of(self, service, key):
        if self.homes_ is not None:
            return next(self.homes_)
        return self.router.choose(SimpleNamespace(service=service), (), None)

    def new_key(self, service):
        return f"{service}/new/{next(self.keys_)}"

    @asynccontextmanager
    async def run(self, configuration, **options):
        await self.shell.start()
        self.server = EntryServer(
            shell=self.shell,
            part=self.part,
            configuration=configuration,
            membership=self.membership,
            router=self.router,
            retries=self.retries,
            home_of=self.home_of,
            new_key=self.new_key,
            domain="bne-a",
            **options,
        )
        await self.server.start()
        try:
            async with ClientSession() as self.session:
                yield self
        finally:
            await self.server.stop()
            await self.shell.stop()

    def post(self, path, *, headers=None, **options):
        headers = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        return self.session.post(self.server.url + path, headers=headers, **options)

    async def generate(self, prompt="crane", max_tokens=20, **options):
        body = {"prompt": prompt, "max_tokens": max_tokens}
        async with self.post("/fold-model/generate", json=body, **options) as answer:
            return await answer.text()


def expected_stream(prompt, max_tokens, digest="d1"):
    """Return what the engine stand-in generates for a prompt."""
    tokens = (
        json.dumps({"i": index, "t": make_token(digest, prompt, index)})
        for index in range(max_tokens)
    )
    end = f'event: end\ndata: {{"n": {max_tokens}}}\n\n'
    return "".join(f"data: {token}\n\n" for token in tokens) + end


@asynccontextmanager
async def system(upstreams, *, configuration=None, **options):
    """Run upstreams and an entry."""
    configuration = configuration or make_configuration()
    async with running(upstreams, configuration):
        entry = Entry(upstreams)
        async with entry.run(configuration, **options):
            yield entry


class SilentLink:
    """Forward TCP; `silence` drops the data of connections that are open by then."""

    def __init__(self, address):
        self.host, port = address.removeprefix("tcp://").split(":")
        self.port = int(port)
        self.generation_ = 0
        self.cut_ = False
        self.tasks_ = []

    async def __aenter__(self):
        self.server_ = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"tcp://127.0.0.1:{self.server_.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server_.close()
        for task in self.tasks_:
            task.cancel()
        await asyncio.gather(*self.tasks_, return_exceptions=True)

    def silence(self):
        self.generation_ += 1

    def silence_for_good(self):
        self.cut_ = True

    async def _accept(self, reader, writer):
        generation = self.generation_
        upstream_reader, upstream_writer = await asyncio.open_connection(
            self.host, self.port
        )
        for source, target in ((reader, upstream_writer), (upstream_reader, writer)):
            copy = self._copy(source, target, generation)
            self.tasks_.append(asyncio.create_task(copy))

    async def _copy(self, source, target, generation):
        while data := await source.read(65536):
            if not self.cut_ and generation == self.generation_:
                target.write(data)
                await target.drain()


class PausedLink(SilentLink):
    """Forward TCP; hold back all data while `flowing` is not set."""

    def __init__(self, address):
        super().__init__(address)
        self.flowing = asyncio.Event()
        self.flowing.set()

    async def _copy(self, source, target, generation):
        while data := await source.read(65536):
            await self.flowing.wait()
            target.write(data)
            await target.drain()


class FaultyTransport:
    """Drop, duplicate and reorder the frames that a process sends."""

    def __init__(self, transport, random, rate):
        self.transport = transport
        self.random = random
        self.rate = rate
        self.delayed_ = []

    def send(self, peer, message):
        draw = self.random.random()
        if draw > self.rate:
            self.transport.send(peer, message)
        elif draw < self.rate / 3:
            pass
        elif draw < self.rate * 2 / 3:
            self.delayed_.append((peer, message))
        else:
            self.transport.send(peer, message)
            self.transport.send(peer, message)
        if self.delayed_ and self.random.random() < 0.3:
            self.transport.send(*self.delayed_.pop(0))
        return True

    def __getattr__(self, name):
        return getattr(self.transport, name)


def member_at(member, address):
    return type(member)(
        member.id,
        member.role,
        member.domain,
        member.region,
        address,
        member.incarnation,
        service=member.service,
    )
