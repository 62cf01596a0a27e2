"""A whole system in one process, on real loopback sockets, for experiments."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from aiohttp import ClientSession

from ..config import (
    STREAM,
    ApplyPreset,
    BringDomainIn,
    Change,
    Header,
    PutService,
    PutTeam,
    PutVersion,
    Record,
    Service,
    TakeDomainOut,
    Team,
    encode_record,
)
from ..config import ModelVersion as VersionRecord
from ..config import ServiceKind as Kind
from ..core import sha256_hex
from ..nodes import AgentProcess, EntryProcess, Process
from ..settings import AgentSettings, EntrySettings
from ..standins import EngineApp, PlatformApp, serve
from ._links import Links

TOKEN = "bench-token"
TEAM = "bench"
CHUNK_BYTES = 64 * 1024
MODEL_CHUNKS = 4
POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 30.0
ANY_PORT_ADDRESS = ("127.0.0.1", 0)
# Nothing listens on the discard port (9), so connections are refused.
UNREACHABLE_URL = "http://127.0.0.1:9"


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Describe the engine stand-ins of one service."""

    service: str
    model: bool = True
    workers_by_domain: dict[str, int] = field(default_factory=dict)
    options: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ClusterSpec:
    """Describe failure domains, entries and engines."""

    regions_by_domain: dict[str, str]
    engines: list[EngineSpec]
    entries_per_domain: int = 1
    entry_options: dict = field(default_factory=dict)
    agent_options: dict = field(default_factory=dict)
    seed: int = 1


@dataclass(slots=True)
class Upstream:
    """One agent with its engine."""

    agent: AgentProcess
    engine: EngineApp
    engine_url: str
    domain: str


class Cluster:
    """Start a whole system, change its configuration and inject failures."""

    def __init__(self, spec: ClusterSpec) -> None:
        self.spec = spec
        self.stack_ = AsyncExitStack()
        self.platform = PlatformApp(spec.seed)
        self.platform_url_ = ""
        self.session_: ClientSession | None = None
        self.entries_by_id: dict[str, EntryProcess] = {}
        self.upstreams_by_id: dict[str, Upstream] = {}
        self.command_count_ = 0
        self.links = Links()

    @property
    def processes(self) -> list[Process]:
        """Return all entries and agents."""
        agents = [upstream.agent for upstream in self.upstreams_by_id.values()]
        return [*self.entries_by_id.values(), *agents]

    def entry_urls(self, *, domains: set[str] | None = None) -> list[str]:
        """Return the callers' URLs of all entries, or of those in some domains."""
        return [
            entry.url
            for entry in self.entries_by_id.values()
            if domains is None or entry.settings.domain in domains
        ]

    def engine_urls(self, service: str) -> list[str]:
        """Return the engines of a service."""
        return [
            upstream.engine_url
            for upstream in self.upstreams_by_id.values()
            if upstream.agent.settings.service == service
        ]

    async def start(self) -> None:
        """Start the platform, all processes and wait until all services are ready."""
        self.platform_url_ = await self._enter(serve(self.platform.build()))
        self.session_ = await self._enter(ClientSession())
        seed = self.spec.seed
        for domain, region in self.spec.regions_by_domain.items():
            for index in range(self.spec.entries_per_domain):
                seed += 1
                await self._start_entry(f"entry-{domain}-{index}", domain, region, seed)
        for engines in self.spec.engines:
            for domain, count in engines.workers_by_domain.items():
                for index in range(count):
                    seed += 1
                    name = f"{engines.service}-{domain}-{index}"
                    await self._start_upstream(name, engines, domain, seed)
        await self._configure()
        await self.wait_until(self._ready)

    async def stop(self) -> None:
        """Stop everything at once."""
        for process in reversed(self.processes):
            await process.stop()
        await self.stack_.aclose()

    async def change(self, *changes: Change) -> int:
        """Append configuration records and return the offset of the last."""
        records = []
        for change in changes:
            self.command_count_ += 1
            header = Header(
                f"c{self.command_count_}", "bench", datetime.now(UTC), self._head()
            )
            records.append(encode_record(Record(header, change)))
        body = {"records": [b64encode(record).decode() for record in records]}
        async with self.session_.post(
            f"{self.platform_url_}/log/{STREAM}", json=body
        ) as response:
            answer = await response.json()
        return answer["first_offset"] + len(records) - 1

    async def take_out(self, domain: str) -> None:
        """Take a failure domain out and wait until that is in force."""
        await self.in_force(await self.change(TakeDomainOut(domain)))

    async def bring_in(self, domain: str) -> None:
        """Bring a failure domain back in and wait until that is in force."""
        region = self.spec.regions_by_domain[domain]
        await self.in_force(await self.change(BringDomainIn(domain, region)))

    async def in_force(self, offset: int) -> None:
        """Wait until all processes have a configuration of at least an offset."""
        await self.wait_until(
            lambda: all(p.configuration.offset >= offset for p in self.processes)
        )

    def cut_off(self, domain: str) -> None:
        """Cut a failure domain off from the others and from the platform."""
        self.links.cut_domains.add(domain)
        self._set_platform(domain, UNREACHABLE_URL)

    def reconnect(self, domain: str) -> None:
        """Undo `cut_off`."""
        self.links.cut_domains.discard(domain)
        self._set_platform(domain, self.platform_url_)

    def _set_platform(self, domain: str, url: str) -> None:
        for process in self.processes:
            if process.settings.domain == domain:
                process.shell.platform.url = url

    async def kill_domain(self, domain: str) -> None:
        """Stop all processes of a failure domain at once, without a drain."""
        for name, upstream in list(self.upstreams_by_id.items()):
            if upstream.domain == domain:
                del self.upstreams_by_id[name]
                await upstream.agent.stop()
                await self.session_.delete(f"{self.platform_url_}/vms/{name}")
        for name, entry in list(self.entries_by_id.items()):
            if entry.settings.domain == domain:
                del self.entries_by_id[name]
                abort_callers(entry)
                await entry.stop()
                await self.session_.delete(f"{self.platform_url_}/vms/{name}")

    def runs_in(self, domain: str) -> int:
        """Return the number of runs that the engines of a domain have started."""
        return sum(
            upstream.engine.counters_["runs"]
            for upstream in self.upstreams_by_id.values()
            if upstream.domain == domain
        )

    def crashes(self) -> int:
        """Return the number of engine crashes caused by load."""
        return sum(
            upstream.engine.counters_["load_crashes"]
            for upstream in self.upstreams_by_id.values()
        )

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _enter(self, context):
        return await self.stack_.enter_async_context(context)

    def _head(self) -> int:
        return max((p.configuration.offset for p in self.processes), default=-1)

    def _node(self, name: str, domain: str, region: str) -> dict:
        return {
            "id": name,
            "vm_incarnation": f"{name}-vm-1",
            "domain": domain,
            "region": region,
            "peer": "tcp://127.0.0.1:0",
            "bulk": "tcp://127.0.0.1:0",
            "http": ANY_PORT_ADDRESS,
            "platform_url": self.platform_url_,
            "vm_list_interval": timedelta(seconds=1),
            "seeds": [
                entry.shell.peer.address_ for entry in self.entries_by_id.values()
            ],
        }

    async def _start_entry(
        self, name: str, domain: str, region: str, seed: int
    ) -> None:
        settings = EntrySettings(
            **self._node(name, domain, region),
            listen=ANY_PORT_ADDRESS,
            **self.spec.entry_options,
        )
        entry = EntryProcess(
            settings, seed=seed, make_transport=self.links.transport_for(domain)
        )
        await entry.start()
        await self._register(entry)
        self.entries_by_id[name] = entry

    async def _register(self, process: Process) -> None:
        """Add a VM to the platform's VM list, as the platform itself would."""
        settings = process.settings
        body = {
            "incarnation": settings.vm_incarnation,
            "address": process.shell.peer.address_,
            "domain": settings.domain,
            "state": "live",
        }
        await self.session_.put(f"{self.platform_url_}/vms/{settings.id}", json=body)

    async def _start_upstream(
        self, name: str, engines: EngineSpec, domain: str, seed: int
    ) -> None:
        engine = EngineApp(
            service=engines.service, model=engines.model, **engines.options
        )
        url = await self._enter(serve(engine.build()))
        settings = AgentSettings(
            **self._node(name, domain, self.spec.regions_by_domain[domain]),
            engine_url=url,
            service=engines.service,
            **self.spec.agent_options,
        )
        agent = AgentProcess(
            settings, seed=seed, make_transport=self.links.transport_for(domain)
        )
        await agent.start()
        await self._register(agent)
        self.upstreams_by_id[name] = Upstream(agent, engine, url, domain)

    async def _configure(self) -> None:
        changes: list[Change] = [
            BringDomainIn(domain, region)
            for domain, region in self.spec.regions_by_domain.items()
        ]
        changes.append(PutTeam(Team(TEAM, sha256_hex(TOKEN.encode()))))
        for engines in self.spec.engines:
            changes += await self._service_changes(engines)
        changes.append(ApplyPreset("ordinary"))
        await self.in_force(await self.change(*changes))

    async def _service_changes(self, engines: EngineSpec) -> list[Change]:
        if not engines.model:
            plain = Service(
                engines.service, Kind.PLAIN, non_repeatable_paths=["orders"]
            )
            return [PutService(plain)]
        version = await self._publish(engines.service)
        service = Service(
            engines.service, Kind.MODEL, model=engines.service, version="1"
        )
        return [PutVersion(version), PutService(service)]

    async def _publish(self, model: str) -> VersionRecord:
        size = MODEL_CHUNKS * CHUNK_BYTES
        url = f"{self.platform_url_}/versions/{model}/1"
        async with self.session_.put(
            f"{url}?size={size}&chunk={CHUNK_BYTES}"
        ) as response:
            digest = (await response.json())["digest"]
        region = next(iter(self.spec.regions_by_domain.values()))
        return VersionRecord(model, "1", digest, size, CHUNK_BYTES, region)

    def _ready(self) -> bool:
        expected = len(self.upstreams_by_id)
        ready = [u for u in self.upstreams_by_id.values() if self._upstream_ready(u)]
        known = all(
            len(entry.membership.members_by_id) == len(self.processes)
            for entry in self.entries_by_id.values()
        )
        return known and len(ready) == expected

    def _upstream_ready(self, upstream: Upstream) -> bool:
        if upstream.engine.model:
            return bool(upstream.agent.served.digest(upstream.agent.settings.service))
        return upstream.agent.claims.joined


def abort_callers(entry: EntryProcess) -> None:
    """Abort the callers' connections at once, as the failure of a VM does."""
    for connection in list(entry.server.web_server_.runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()


@asynccontextmanager
async def run_cluster(spec: ClusterSpec):
    """Start a cluster and stop it at the end."""
    cluster = Cluster(spec)
    try:
        await cluster.start()
        yield cluster
    finally:
        await cluster.stop()
