"""Memory held for callers that read slowly or not at all."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack

from aiohttp import ClientSession, ClientTimeout, TCPConnector

from ..standins import EngineApp, serve
from ._cluster import TOKEN, Cluster, ClusterSpec, EngineSpec, run_cluster
from ._load import LoadGenerator, LoadResult, Request
from ._naive import NaiveEntry

BUDGET_BYTES = 256 * 1024
SAMPLE_INTERVAL_S = 0.02
SLOW_TOKENS = 2_000
NORMAL_TOKENS = 20
TOKEN_PADDING = 1024
# A stalled caller's kernel accepts this much before the sender is blocked.
RECEIVE_BUFFER_BYTES = 8 * 1024
ENGINE_OPTIONS = {
    "token_interval_s": 0.005,
    "token_padding": TOKEN_PADDING,
    "memory_bytes": 512 * 1024**2,
    "bytes_per_token": 64,
    "max_running": 64,
    "cold_running": 64,
}


async def run_slow(
    rate: float = 20.0, seconds: float = 8.0, slow_callers: int = 16, seed: int = 1
) -> dict:
    """Measure held bytes and the latency of normal callers beside stalled ones."""
    spec = ClusterSpec(
        {"bne-a": "south"},
        [EngineSpec("fold-model", True, {"bne-a": 3}, ENGINE_OPTIONS)],
        entry_options={"reader_budget": BUDGET_BYTES},
        agent_options={"cold_limit": 24},
        seed=seed,
    )
    async with run_cluster(spec) as cluster:
        for upstream in cluster.upstreams_by_id.values():
            upstream.engine.cold_runs_left_ = 0
        await _drive(cluster.entry_urls, rate, 2.0, seed, "warm")
        before = await _drive(cluster.entry_urls, rate, seconds, seed, "before")
        sampler = MemorySampler(cluster)
        sampling = asyncio.create_task(sampler.run())
        stalled = StalledCallers(cluster.entry_urls()[0], slow_callers)
        await stalled.start()
        beside = await _drive(cluster.entry_urls, rate, seconds, seed, "beside")
        sampling.cancel()
        ends = await stalled.stop()
    naive_held = await _run_naive(rate, seconds, slow_callers, seed)
    ratio = beside.percentile_ms(99) / before.percentile_ms(99)
    return {
        "held_bytes_max": sampler.entry_held_max_,
        "budget_bytes": BUDGET_BYTES,
        "normal_p99_ratio": round(ratio, 3),
        "normal_p99_ms_before": round(before.percentile_ms(99), 2),
        "normal_p99_ms_beside": round(beside.percentile_ms(99), 2),
        "normal_outcomes": beside.counts(),
        "slow_callers": slow_callers,
        "slow_ends": ends,
        "agent_held_bytes_max": sampler.agent_held_max_,
        "engine_tokens_for_stalled": sampler.generated_tokens(),
        "naive_held_bytes_max": naive_held,
    }


class MemorySampler:
    """Sample the bytes that entries and agents hold."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.entry_held_max_ = 0
        self.agent_held_max_ = 0
        self.engines_ = [u.engine for u in cluster.upstreams_by_id.values()]
        self.tokens_before_ = self._tokens()

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            entries = self.cluster.entries_by_id.values()
            agents = [u.agent for u in self.cluster.upstreams_by_id.values()]
            held = max(entry.server.held_bytes for entry in entries)
            agent_held = max(agent.server.held_bytes for agent in agents)
            self.entry_held_max_ = max(self.entry_held_max_, held)
            self.agent_held_max_ = max(self.agent_held_max_, agent_held)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def generated_tokens(self) -> int:
        """Return the tokens generated since the start, for all callers."""
        return self._tokens() - self.tokens_before_

    def _tokens(self) -> int:
        return sum(engine.counters_["tokens"] for engine in self.engines_)


class StalledCallers:
    """Send requests for long answers and read nothing of them."""

    def __init__(self, entry: str, count: int) -> None:
        self.entry = entry
        self.count = count
        self.stack_ = AsyncExitStack()
        self.responses_ = []

    async def start(self) -> None:
        """Send all requests and wait for the headers only."""
        session = await self.stack_.enter_async_context(
            ClientSession(
                connector=TCPConnector(
                    limit=0, socket_factory=_make_small_buffer_socket
                ),
                timeout=ClientTimeout(total=None),
                read_bufsize=1024,
            )
        )
        for index in range(self.count):
            body = {"prompt": f"stalled-{index}", "max_tokens": SLOW_TOKENS}
            response = await session.post(
                f"{self.entry}/fold-model/generate",
                json=body,
                headers={"Authorization": f"Bearer {TOKEN}", "X-Deadline": "60s"},
            )
            self.responses_.append(response)

    async def stop(self) -> dict[str, int]:
        """Read what is left and count how the answers ended."""
        ends: dict[str, int] = {}
        for response in self.responses_:
            end = await self._end(response)
            ends[end] = ends.get(end, 0) + 1
        await self.stack_.aclose()
        return ends

    async def _end(self, response) -> str:
        try:
            async with asyncio.timeout(5):
                text = await response.text()
        except TimeoutError:
            return "still open"
        except Exception as error:
            return type(error).__name__
        if "event: error" in text:
            return "slow_reader" if "slow_reader" in text else "other error"
        return "complete" if "event: end" in text else "truncated"


def _make_small_buffer_socket(info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    made.setblocking(False)
    return made


async def _drive(entries, rate, seconds, seed, name) -> LoadResult:
    async with LoadGenerator(entries, seed=seed) as load:
        await load.steady(rate, seconds, lambda i: _request(f"{name}-{i}"))
        return await load.finish()


def _request(prompt: str) -> Request:
    body = {"prompt": prompt, "max_tokens": NORMAL_TOKENS}
    return Request(prompt, "fold-model", "generate", body, TOKEN)


async def _run_naive(rate, seconds, slow_callers, seed) -> int:
    async with AsyncExitStack() as stack:
        urls = []
        for _ in range(3):
            engine = EngineApp(digest="naive", **ENGINE_OPTIONS)
            urls.append(await stack.enter_async_context(serve(engine.build())))
        naive = NaiveEntry({"fold-model": urls})
        entry = await stack.enter_async_context(serve(naive.build()))
        stalled = StalledCallers(entry, slow_callers)
        await stalled.start()
        await _drive(lambda: [entry], rate, seconds, seed, "naive")
        held = naive.held_bytes_max_
        for response in stalled.responses_:
            response.close()
        await stalled.stack_.aclose()
    return held
