"""Experiment `config`: time until a change is in force on all processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from math import ceil
from random import Random
from time import process_time, time

from aiohttp import ClientSession

from ..config import STREAM, DefinePreset, Header, Preset, Record, encode_record
from ..core import PlatformError
from ..runtime import PlatformClient
from ..standins import PlatformApp, serve
from ._config_nodes import ControlNode, CuttablePlatform, make_member

START_TIMEOUT_S = 14.0
SETTLE_TIMEOUT_S = 10.0
SETTLE_S = 2.0
IDLE_S = 5.0
CHANGES = 24
CHANGE_INTERVAL_S = 0.2
OUTAGE_S = 3.0
CUT_S = 6.0
NAIVE_POLL_INTERVAL_S = 3.0
NAIVE_S = 6.0


class Experiment:
    """Hold the nodes, the platform and the measurements."""

    def __init__(self, platform: PlatformApp, client: PlatformClient, seed: int):
        self.platform = platform
        self.client = client
        self.random = Random(seed)
        self.seed = seed
        self.nodes: list[ControlNode] = []
        self.appended_at_by_offset: dict[int, float] = {}
        self.refused = 0

    async def start_node(self, number: int, domains: int) -> ControlNode:
        """Start a node that knows the first node of each domain."""
        member = make_member(
            f"n{number}",
            f"d{number % domains}",
            "tcp://127.0.0.1:0",
            f"n{number}/{self.seed}",
        )
        seeds = [node.shell.peer.address_ for node in self.nodes[:domains]]
        platform = CuttablePlatform(self.client.session, self.client.url)
        node = ControlNode(member, platform=platform, seeds=seeds, seed=self.seed)
        await node.start()
        self.nodes.append(node)
        return node

    async def change(self, count: int) -> None:
        """Append changes at a steady rate."""
        for _ in range(count):
            number = len(self.appended_at_by_offset) + self.refused
            preset = Preset(f"p{number % 7}", min_priority=number % 3)
            base = max(self.appended_at_by_offset, default=-1)
            header = Header(f"c{number}", "bench", datetime.now(UTC), base)
            started = time()
            data = encode_record(Record(header, DefinePreset(preset)))
            try:
                offset = await self.client.append(STREAM, [data])
            except PlatformError:
                self.refused += 1
            else:
                self.appended_at_by_offset[offset] = started
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def wait_until(
        self, reached, timeout: float, nodes: Sequence[ControlNode] | None = None
    ) -> float:
        """Wait until all nodes meet a condition; return the seconds or the timeout."""
        started = time()
        while time() - started < timeout:
            if all(reached(node) for node in nodes or self.nodes):
                return time() - started
            await asyncio.sleep(0.02)
        return timeout

    async def wait_in_force(self, timeout: float = SETTLE_TIMEOUT_S) -> float:
        """Wait until all nodes have all changes."""
        head = max(self.appended_at_by_offset, default=-1)
        return await self.wait_until(lambda n: n.configuration.offset >= head, timeout)

    def delays(self, offsets: Sequence[int], nodes: Sequence[ControlNode]):
        """Return the seconds from append to in force, infinite for never reached."""
        return [
            node.offset_watch.effective_at_by_offset_.get(offset, float("inf"))
            - self.appended_at_by_offset[offset]
            for offset in offsets
            for node in nodes
        ]


async def run_config(*, processes: int = 100, domains: int = 5, seed: int = 1) -> dict:
    """Run the experiment and return its figures."""
    platform = PlatformApp(seed)
    async with serve(platform.build()) as url, ClientSession() as session:
        experiment = Experiment(platform, PlatformClient(session, url), seed)
        try:
            figures = await run_phases(experiment, processes, domains)
        finally:
            await asyncio.gather(*(node.stop() for node in experiment.nodes))
        return figures | await run_naive(experiment, processes)


async def run_phases(experiment: Experiment, processes: int, domains: int) -> dict:
    """Run ordinary changes, a log outage and a cut domain."""
    for number in range(processes):
        await experiment.start_node(number, domains)
    start_seconds = await experiment.wait_until(
        lambda node: len(node.membership.members_by_id) == processes, START_TIMEOUT_S
    )
    await asyncio.sleep(SETTLE_S)
    # Start-up work is not part of the cost of steady operation.
    reads = experiment.platform.counters_["reads"]
    idle = await cost_per_node(experiment, asyncio.sleep(IDLE_S))
    reads = experiment.platform.counters_["reads"] - reads
    changing = await cost_per_node(experiment, experiment.change(CHANGES))
    await experiment.wait_in_force()
    connected = list(experiment.nodes)
    fresh_seconds = await run_outage(experiment, processes, domains)
    after_outage = list(experiment.appended_at_by_offset)
    await experiment.wait_in_force()
    cut = await run_cut(experiment, domains)
    linked = [node for node in experiment.nodes if node not in cut.nodes]
    delays = experiment.delays(after_outage, connected)
    delays += experiment.delays(cut.offsets, linked)
    return {
        "processes": processes,
        "records": len(experiment.appended_at_by_offset),
        "in_force_p99_seconds": round(percentile(delays, 0.99), 3),
        "in_force_max_seconds": round(max(delays), 3),
        "reverted": sum(node.offset_watch.reverted_ for node in experiment.nodes),
        "configurations": len({n.configuration.digest for n in experiment.nodes}),
        "refused_during_outage": experiment.refused,
        "start_seconds": round(start_seconds, 3),
        "fresh_process_seconds": round(fresh_seconds, 3),
        "reached_while_cut": cut.reached_nodes,
        "reconcile_seconds": round(cut.reconcile_seconds, 3),
        "platform_reads_per_second": round(reads / IDLE_S, 1),
        "idle": idle,
        "changing": changing,
    }


async def cost_per_node(experiment: Experiment, phase: Awaitable) -> dict:
    """Return processor time and bytes per node and second of a phase."""
    nodes = len(experiment.nodes)
    started, cpu_seconds = time(), process_time()
    before = sum(node.bytes_ for node in experiment.nodes)
    await phase
    seconds, cpu_seconds = time() - started, process_time() - cpu_seconds
    transferred = sum(node.bytes_ for node in experiment.nodes) - before
    return {
        "core_share_per_node": round(cpu_seconds / seconds / nodes, 5),
        "bytes_per_second_per_node": round(transferred / seconds / nodes, 1),
    }


async def run_outage(experiment: Experiment, processes: int, domains: int) -> float:
    """Stop the log; return the seconds until a fresh process has a configuration."""
    experiment.platform.faults.log_down = True
    await experiment.change(3)
    fresh = await experiment.start_node(processes, domains)
    head = max(experiment.appended_at_by_offset)
    fresh_seconds = await experiment.wait_until(
        lambda node: node.configuration.offset >= head, SETTLE_TIMEOUT_S, [fresh]
    )
    await asyncio.sleep(max(0.0, OUTAGE_S - fresh_seconds))
    experiment.platform.faults.log_down = False
    # The readers try again every 0.5 s.
    await asyncio.sleep(1.0)
    await experiment.change(4)
    return fresh_seconds


@dataclass(slots=True, frozen=True)
class DomainCut:
    """Describe what happened while a failure domain was cut off."""

    offsets: list[int]
    nodes: list[ControlNode]
    reached_nodes: int
    reconcile_seconds: float


async def run_cut(experiment: Experiment, domains: int) -> DomainCut:
    """Cut a domain off for a while and let it reconcile."""
    cut = frozenset({f"d{experiment.random.randrange(domains)}"})
    known = set(experiment.appended_at_by_offset)
    for node in experiment.nodes:
        node.cut(cut)
    started = time()
    await experiment.change(8)
    await asyncio.sleep(max(0.0, CUT_S - (time() - started)))
    offsets = [o for o in experiment.appended_at_by_offset if o not in known]
    nodes = [node for node in experiment.nodes if node.domain in cut]
    reached_nodes = sum(node.offset_watch.offset_ >= offsets[0] for node in nodes)
    for node in experiment.nodes:
        node.cut(frozenset())
    return DomainCut(offsets, nodes, reached_nodes, await experiment.wait_in_force())


async def run_naive(experiment: Experiment, processes: int) -> dict:
    """Run with every process polling the log by itself."""
    client, platform = experiment.client, experiment.platform
    reached: dict[int, list[float]] = {}

    async def poll() -> None:
        start = max(experiment.appended_at_by_offset) + 1
        await asyncio.sleep(experiment.random.uniform(0, NAIVE_POLL_INTERVAL_S))
        while True:
            page = await client.read(STREAM, start, wait_ms=0)
            for record in page.records:
                reached.setdefault(record.offset, []).append(time())
            start = max(start, page.next_offset)
            await asyncio.sleep(NAIVE_POLL_INTERVAL_S)

    reads = platform.counters_["reads"]
    known = set(experiment.appended_at_by_offset)
    tasks = [asyncio.create_task(poll()) for _ in range(processes)]
    await experiment.change(10)
    await asyncio.sleep(NAIVE_S - 10 * CHANGE_INTERVAL_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    delays = [
        at - experiment.appended_at_by_offset[offset]
        for offset, times in reached.items()
        if offset not in known
        for at in times
    ]
    return {
        "naive_in_force_p99_seconds": round(percentile(delays, 0.99), 3),
        "naive_platform_reads_per_second": round(
            (platform.counters_["reads"] - reads) / NAIVE_S, 1
        ),
    }


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[max(0, ceil(share * len(ordered)) - 1)] if ordered else float("inf")
