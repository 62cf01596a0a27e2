"""VMs, links and the platform of the weights experiment, on loopback."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import zmq.asyncio
from aiohttp import ClientSession, TCPConnector

from ..config import ModelVersion, Preset, Service, ServiceKind, StaticConfiguration
from ..core import MonotonicClock, Node
from ..membership import Member, Role, StaticMembership
from ..runtime import (
    AgentWeights,
    EngineWeightsClient,
    LinkPacer,
    PlatformClient,
    Shell,
)
from ..standins import EngineApp, PlatformApp, PlatformFaults, RateLimiter, serve
from ..weights import ORIGIN, EngineOrders, Rollout, TransferLimits, TransferPlan

SERVICE = "fold-model"
MODEL = "fold"
REGIONS = ("bne", "tsv")
# Two ROUTER sockets, and to each neighbour a DEALER for maps and one for chunks.
SOCKETS_PER_VM = 64
# Receive and upload slots of two agents, with a margin.
QUEUED_CHUNKS = 20
# All engines and agents share one processor here, so they are polled less often.
OBSERVE_INTERVAL_S = 1.0


@dataclass(slots=True, frozen=True)
class Shape:
    """Hold sizes and rates; rates follow from copies per target time."""

    vms: int
    chunks: int = 48
    chunk_bytes: int = 32 * 1024
    target_s: float = 16.0
    origin_copies: float = 4.0
    vm_copies: float = 1.0
    region_copies: float = 3.0
    region_share: float = 0.5
    corrupt: float = 0.01
    seed: int = 1

    @property
    def size(self) -> int:
        """Return the size of the model."""
        return self.chunks * self.chunk_bytes

    def rate(self, copies: float) -> float:
        """Return the rate that carries a number of copies in the target time."""
        return copies * self.size / self.target_s

    @property
    def chunk_s(self) -> float:
        """Return the time of one chunk over a VM's link."""
        return self.chunk_bytes / self.rate(self.vm_copies)

    @property
    def bound_s(self) -> float:
        """Return the lower bound: the first chunk from the origin, then one copy."""
        first = self.chunk_bytes / self.rate(self.origin_copies)
        return first + self.size / self.rate(self.vm_copies)


class NullTelemetry:
    """Count and drop everything else."""

    def __init__(self) -> None:
        self.counters_: Counter[str] = Counter()

    def count(self, name: str, labels: dict[str, str], amount: int) -> None:
        """Add to a counter."""
        self.counters_[name] += amount

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Drop a gauge."""

    def log(self, kind: str, fields: dict[str, str]) -> None:
        """Count log lines by kind."""
        self.counters_[kind] += 1

    def trace(self, kind: str, fields: dict[str, str]) -> None:
        """Drop a time line event."""


@dataclass(slots=True)
class Vm:
    """One upstream VM: engine, agent and both directions of its link."""

    id: str
    region: str
    engine: EngineApp
    engine_url: str
    shell: Shell
    weights: AgentWeights
    outgoing: LinkPacer
    incoming: RateLimiter


@dataclass(slots=True)
class World:
    """Hold the platform, the VMs and the links of one run."""

    shape: Shape
    platform: PlatformApp
    platform_url: str
    session: ClientSession
    configuration: StaticConfiguration
    membership: StaticMembership
    telemetry: NullTelemetry
    vms_by_id: dict[str, Vm] = field(default_factory=dict)
    region_links: dict[tuple[str, str], RateLimiter] = field(default_factory=dict)
    crossed_bytes_: int = 0

    async def send_pace(self, sender: str, receiver: str, size: int) -> None:
        """Transfer a chunk through each link between two VMs."""
        source, target = self.vms_by_id[sender], self.vms_by_id[receiver]
        # The links carry packets, so a chunk uses them at the same time.
        await source.outgoing(receiver, size)
        links = [target.incoming]
        if source.region != target.region:
            self.crossed_bytes_ += size
            links.append(self.region_links[source.region, target.region])
        await asyncio.gather(*(link.send(size) for link in links))

    async def publish(
        self, version: str, seed: int, base: str = "", shared: float = 0.0
    ) -> ModelVersion:
        """Publish a version at the origin and return its record."""
        query = (
            f"size={self.shape.size}&chunk={self.shape.chunk_bytes}&seed={seed}"
            f"&base={base}&shared={shared}"
        )
        url = f"{self.platform_url}/versions/{MODEL}/{version}?{query}"
        async with self.session.put(url) as response:
            manifest = await response.json()
        record = ModelVersion(
            MODEL,
            version,
            manifest["digest"],
            self.shape.size,
            self.shape.chunk_bytes,
            REGIONS[0],
        )
        self.configuration.versions_by_id[record.id] = record
        return record

    def deploy(self, version: str) -> None:
        """Set the version that the service runs."""
        self.configuration.services_by_id[SERVICE] = Service(
            SERVICE,
            ServiceKind.MODEL,
            MODEL,
            version,
            min_ready=max(1, self.shape.vms // 2),
        )
        self.configuration.offset += 1

    def origin_bytes(self, version: str) -> int:
        """Return the chunk bytes that the origin sent for a version."""
        return self.platform.counters_[f"origin_bytes/{MODEL}/{version}"]


async def build_world(shape: Shape, stack: AsyncExitStack) -> World:
    """Start the platform and all VMs; the stack stops them."""
    # All VMs share one ZeroMQ context here, whose default limit is 1,023 sockets.
    zmq.asyncio.Context.instance().set(zmq.MAX_SOCKETS, SOCKETS_PER_VM * shape.vms)
    platform = PlatformApp(
        shape.seed,
        PlatformFaults(
            origin_rate=shape.rate(shape.origin_copies), corrupt=shape.corrupt
        ),
    )
    url = await stack.enter_async_context(serve(platform.build()))
    session = await stack.enter_async_context(
        ClientSession(connector=TCPConnector(limit=0))
    )
    world = World(
        shape,
        platform,
        url,
        session,
        StaticConfiguration(
            preset=Preset("ordinary", weights_rate_share=shape.region_share)
        ),
        StaticMembership(),
        NullTelemetry(),
    )
    rate = shape.rate(shape.region_copies)
    for pair in (REGIONS, REGIONS[::-1]):
        world.region_links[pair] = RateLimiter(rate)
    for index in range(shape.vms):
        await _add_vm(world, index, stack)
    # Idle client connections would hold up each server for its shutdown time-out.
    stack.push_async_callback(session.close)
    return world


async def _add_vm(world: World, index: int, stack: AsyncExitStack) -> None:
    shape = world.shape
    vm_id, region = f"vm-{index:03}", REGIONS[index % len(REGIONS)]
    engine = EngineApp(
        service=SERVICE,
        digest="previous",
        token_interval_s=0.0,
        memory_bytes=4 * shape.size,
    )
    engine.cold_runs_left_ = 0
    engine_url = await stack.enter_async_context(serve(engine.build()))
    rate = shape.rate(shape.vm_copies)
    incoming = RateLimiter(rate)
    weights, shell = _agent(world, vm_id, engine_url, incoming)
    await shell.start()
    stack.push_async_callback(shell.stop)
    world.vms_by_id[vm_id] = Vm(
        vm_id, region, engine, engine_url, shell, weights, LinkPacer(rate), incoming
    )
    world.membership.members_by_id[vm_id] = Member(
        vm_id,
        Role.AGENT,
        f"{region}-a",
        region,
        shell.peer.address_,
        "1",
        service=SERVICE,
        bulk_address=shell.bulk.address_,
    )


def _agent(
    world: World, vm_id: str, engine_url: str, incoming: RateLimiter
) -> tuple[AgentWeights, Shell]:
    shape = world.shape
    common = {
        "member_id": vm_id,
        "service": SERVICE,
        "configuration": world.configuration,
        "membership": world.membership,
        "random": Random(f"{shape.seed}/{vm_id}"),
    }
    limits = TransferLimits(
        region_rate=shape.rate(shape.region_copies),
        chunk_timeout=timedelta(seconds=max(10.0, QUEUED_CHUNKS * shape.chunk_s)),
    )
    plan = TransferPlan(limits=limits, **common)
    orders = EngineOrders(random=common["random"])
    rollout = Rollout(incarnation="1", plan=plan, orders=orders, **common)
    shell = Shell(
        node=Node(vm_id, [plan, orders, rollout]),
        clock=MonotonicClock(),
        telemetry=world.telemetry,
        identity=vm_id,
        platform=PlatformClient(world.session, world.platform_url),
    )

    async def send_pace(receiver: str, size: int) -> None:
        await world.send_pace(vm_id, receiver, size)

    async def receive_pace(source: str, size: int) -> None:
        assert source == ORIGIN
        await incoming.send(size)

    weights = AgentWeights(
        shell=shell,
        engine=EngineWeightsClient(world.session, engine_url),
        plan=plan,
        orders=orders,
        rollout=rollout,
        send_pace=send_pace,
        receive_pace=receive_pace,
        observe_interval_s=OBSERVE_INTERVAL_S,
    )
    return weights, shell


async def wait_until(condition, timeout_s: float) -> bool:
    """Wait for a condition and return whether it became true in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while not condition():
        if loop.time() > end:
            return False
        await asyncio.sleep(0.01)
    return True
