"""Agents and entries on real sockets for the claims benchmark."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatchmethod

from aiohttp import ClientError, ClientSession

from ..claims import (
    STREAM,
    ClaimDecided,
    ClaimSettings,
    ClaimState,
    ClaimTable,
    HomeSet,
    Identity,
    KnownClaim,
    Phase,
    RefuseClaim,
    RunClaim,
    WitnessStore,
)
from ..core import (
    Code,
    Effect,
    Emit,
    End,
    Event,
    Failed,
    Load,
    Message,
    MonotonicClock,
    Node,
    PlatformError,
    Received,
    RunState,
    Submit,
)
from ..membership import Member, Role, StaticMembership
from ..runtime import LogTailer, PlatformClient, Shell, peer_identity
from ..standins import EngineApp, PlatformApp, serve

SERVICE = "kit-desk"
NO_LOAD = Load(limit=0, in_flight=0)
RUN_PATH = "orders"


@dataclass(slots=True)
class Links:
    """Hold the failure domains that are cut off."""

    cut_domains: set[str] = field(default_factory=set)

    def open(self, one: str, other: str) -> bool:
        """Check whether two domains reach each other."""
        return one == other or not {one, other} & self.cut_domains


class LinkedClient(PlatformClient):
    """Reach the platform only while the domain is not cut off."""

    __slots__ = ("domain", "links")

    def __init__(
        self, session: ClientSession, url: str, domain: str, links: Links
    ) -> None:
        super().__init__(session, url)
        self.domain = domain
        self.links = links

    async def _json(self, method: str, path: str, **kwargs) -> dict:
        self._check_link()
        page = await super()._json(method, path, **kwargs)
        self._check_link()
        return page

    def _check_link(self) -> None:
        if self.domain in self.links.cut_domains:
            raise PlatformError("the domain is cut off; restore its links")


class NullTelemetry:
    """Drop all telemetry."""

    def count(self, name: str, labels: dict[str, str], amount: int) -> None:
        """Drop a count."""

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Drop a gauge."""

    def log(self, kind: str, fields: dict[str, str]) -> None:
        """Drop a log line."""

    def trace(self, kind: str, fields: dict[str, str]) -> None:
        """Drop a time line event."""


class NaiveTable:
    """Run each key that this process has not seen; the naive baseline."""

    __slots__ = ("homes", "keys_")

    def __init__(self) -> None:
        self.homes = HomeSet()
        self.keys_: dict[str, int] = {}

    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Ignore all events."""
        return []

    def request(
        self, key: str, request_id: str, fresh: bool, now: datetime
    ) -> list[Effect]:
        """Run a key unless it was seen."""
        if key in self.keys_:
            known = KnownClaim(ClaimState(Phase.FINISHED, self.keys_[key]))
            return [Emit(ClaimDecided(request_id, key, known))]
        self.keys_[key] = 200
        return [Emit(ClaimDecided(request_id, key, RunClaim()))]

    def finished(
        self, key: str, request_id: str, status: int, now: datetime
    ) -> list[Effect]:
        """Keep the outcome."""
        self.keys_[key] = status
        return []


class SubmittedCalls:
    """Receive submitted calls, ask the table and run them on the service."""

    __slots__ = ("callers_by_request_", "run", "table")

    def __init__(
        self,
        table: ClaimTable | NaiveTable,
        run: Callable[[str, str, ClaimDecided], None],
    ) -> None:
        self.table = table
        self.run = run
        self.callers_by_request_: dict[str, str] = {}

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: Received, now: datetime) -> list[Effect]:
        call = event.message
        if not isinstance(call, Submit):
            return []
        self.callers_by_request_[call.request_id] = event.peer
        # `Submit` has no field that marks a newly created key, so the benchmark
        # marks it in the path.
        fresh = call.path.endswith("?fresh")
        return self.table.request(call.key, call.request_id, fresh, now)

    @reduce.register
    def _(self, event: ClaimDecided, now: datetime) -> list[Effect]:
        caller = self.callers_by_request_.pop(event.request_id)
        self.run(caller, event.request_id, event)
        return []


@dataclass(slots=True)
class AgentProcess:
    """Agent with the engine of its plain (non-model) service."""

    member: str
    domain: str
    engine: EngineApp
    engine_url: str
    shell: Shell | None = None
    table: ClaimTable | NaiveTable | None = None
    starts: int = 0


@dataclass(slots=True)
class EntryProcess:
    """Entry that is also a witness."""

    member: str
    domain: str
    shell: Shell
    homes: HomeSet
    answers_by_request: dict[str, asyncio.Future] = field(default_factory=dict)


class ClaimsWorld:
    """Start the platform, agents and entries of one run; restart agents."""

    def __init__(self, settings: ClaimSettings, *, naive: bool, seed: int) -> None:
        self.settings = settings
        self.naive = naive
        self.links = Links()
        self.platform = PlatformApp(seed)
        self.membership = StaticMembership()
        self.agents_by_id: dict[str, AgentProcess] = {}
        self.entries_by_id: dict[str, EntryProcess] = {}
        self.stack_ = AsyncExitStack()
        self.session_: ClientSession | None = None
        self.url_ = ""

    async def start(self, agents: list[str], entries: list[str]) -> None:
        """Start all processes; the first letter of a name is its domain."""
        self.session_ = await self.stack_.enter_async_context(ClientSession())
        self.url_ = await self.stack_.enter_async_context(serve(self.platform.build()))
        for name in entries:
            await self._start_entry(name)
        for name in agents:
            engine = EngineApp(
                service=SERVICE, model=False, cold_running=1000, max_running=1000
            )
            url = await self.stack_.enter_async_context(serve(engine.build()))
            self.agents_by_id[name] = AgentProcess(name, name[0], engine, url)
            await self.start_agent(name)

    async def stop(self) -> None:
        """Stop all processes."""
        processes = [*self.agents_by_id.values(), *self.entries_by_id.values()]
        await asyncio.gather(*(process.shell.stop() for process in processes))
        await self.stack_.aclose()

    async def start_agent(self, name: str) -> None:
        """Start an agent as a new incarnation, at the address of the old one."""
        agent = self.agents_by_id[name]
        address = "tcp://127.0.0.1:0"
        if agent.shell is not None:
            address = agent.shell.peer.address_
            await agent.shell.stop()
        agent.starts += 1
        incarnation = f"{name}.{agent.starts}"
        identity = Identity(SERVICE, name, incarnation, agent.domain)
        agent.table = (
            NaiveTable()
            if self.naive
            else ClaimTable(identity, self.membership, settings=self.settings)
        )
        store = WitnessStore(member_id=name, incarnation=incarnation)

        def run(caller: str, request_id: str, event: ClaimDecided) -> None:
            shell.spawn(self._answer(agent, shell, caller, event))

        submitted = SubmittedCalls(agent.table, run)
        shell = self._shell(name, [agent.table, store, submitted], address, incarnation)
        agent.shell = shell
        await shell.start()
        self._register(name, Role.AGENT, incarnation, shell)
        if not self.naive:
            shell.spawn(LogTailer(shell, STREAM).run())

    async def _start_entry(self, name: str) -> None:
        homes = HomeSet()
        store = WitnessStore(member_id=name, incarnation=f"{name}.1")
        shell = self._shell(name, [homes, store], "tcp://127.0.0.1:0", f"{name}.1")
        entry = EntryProcess(name, name[0], shell, homes)
        for kind in (End, Failed):
            shell.handlers_by_type[kind] = _make_resolver(entry.answers_by_request)
        self.entries_by_id[name] = entry
        await shell.start()
        self._register(name, Role.ENTRY, f"{name}.1", shell)
        if not self.naive:
            shell.spawn(LogTailer(shell, STREAM).run())

    def _shell(self, name: str, parts: list, address: str, identity: str) -> Shell:
        client = LinkedClient(self.session_, self.url_, name[0], self.links)
        shell = Shell(
            node=Node(name, parts),
            clock=MonotonicClock(),
            telemetry=NullTelemetry(),
            identity=identity,
            peer_address=address,
            platform=client,
        )
        deliver = shell.receive

        def receive(peer: str, message: Message) -> None:
            if self.links.open(self._domain_of(peer), name[0]):
                deliver(peer, message)

        shell.peer.receive = receive
        return shell

    def _domain_of(self, peer: str) -> str:
        if peer.startswith("@"):
            return peer_identity(peer)[0]
        members = self.membership.members_by_id.values()
        return next((m.domain for m in members if m.address == peer), "")

    def _register(self, name: str, role: Role, incarnation: str, shell: Shell) -> None:
        self.membership.members_by_id[name] = Member(
            name, role, name[0], "r", shell.peer.address_, incarnation
        )

    def runs(self, key: str) -> int:
        """Return how often a key reached any service."""
        return sum(a.engine.runs_by_key_[key] for a in self.agents_by_id.values())

    async def _answer(
        self, agent: AgentProcess, shell: Shell, caller: str, event: ClaimDecided
    ) -> None:
        request, decision = event.request_id, event.decision
        if isinstance(decision, RunClaim):
            status = await self._run(agent, event.key, request)
            now = shell.clock.now()
            agent.table.finished(event.key, request, status, now)
            reply = End(request, 1, 0, 0, "", "", NO_LOAD, status)
        elif isinstance(decision, KnownClaim):
            code = Code.CLAIM_IN_PROGRESS
            if decision.state.phase is Phase.UNKNOWN:
                code = Code.CLAIM_UNKNOWN
            reply = Failed(request, 1, code, RunState.YES, NO_LOAD)
        elif isinstance(decision, RefuseClaim):
            reply = Failed(request, 1, decision.code, decision.run, NO_LOAD)
        shell.peer.send(caller, reply)

    async def _run(self, agent: AgentProcess, key: str, request: str) -> int:
        headers = {"Idempotency-Key": key, "X-Request-Id": request}
        url = f"{agent.engine_url}/run/{RUN_PATH}"
        try:
            async with self.session_.post(url, headers=headers, data=b"{}") as answer:
                return answer.status
        except ClientError:
            return 502


def _make_resolver(answers: dict[str, asyncio.Future]) -> Callable:
    def resolve(peer: str, message: End | Failed) -> None:
        future = answers.pop(message.request_id, None)
        if future is not None and not future.done():
            future.set_result(message)

    return resolve


def make_submit(request: str, key: str, *, fresh: bool, time_left: timedelta) -> Submit:
    """Return the call of an order."""
    path = f"{RUN_PATH}?fresh" if fresh else RUN_PATH
    return Submit(
        request, 1, SERVICE, path, "team", b"{}", time_left, key=key, repeatable=False
    )
