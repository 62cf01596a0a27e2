"""Time that entry and agent add, against a direct connection to the engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from time import process_time

from aiohttp import ClientSession

from ._cluster import TOKEN, ClusterSpec, EngineSpec, run_cluster
from ._load import LoadGenerator, LoadResult, Request

# 12 requests/s of 283 tokens are 3,400 tokens/s, one entry's share at the peak.
REQUESTS_PER_S = 12.0
TOKENS = 283
SERVICE = "fold-model"
# An engine stand-in is warm after 12 runs.
WARM_UP_RUNS = 14
WARM_UP_TOKENS = 2
CPU_METRIC = "shallot_process_cpu_seconds"
ENGINE_OPTIONS = {
    "token_interval_s": 0.02,
    "max_running": 256,
    "cold_running": 256,
    "memory_bytes": 1024**3,
}


@dataclass(slots=True, frozen=True)
class OverheadTarget:
    """Identify the running processes to measure; metrics are the operators' URLs."""

    entry: str
    engines: Sequence[str]
    token: str = TOKEN
    entry_metrics: str = ""
    agent_metrics: Sequence[str] = ()


@dataclass(slots=True, frozen=True)
class CpuUse:
    """Processor time of entry and agents in seconds."""

    entry: float
    agents: float


async def run_overhead(seconds: float = 12.0, seed: int = 1) -> dict:
    """Measure a whole system in this process, on one event loop."""
    spec = ClusterSpec(
        {"bne-a": "south"},
        [EngineSpec(SERVICE, True, {"bne-a": 4}, ENGINE_OPTIONS)],
        agent_options={"cold_limit": 64},
        seed=seed,
    )
    async with run_cluster(spec) as cluster:
        target = OverheadTarget(cluster.entry_urls()[0], cluster.engine_urls(SERVICE))
        await _warm_up(target)
        started = process_time()
        direct = await _drive_direct(target, seconds, seed)
        direct_done = process_time()
        entry = await _drive_entry(target, seconds, seed)
        entry_cpu = process_time() - direct_done
    direct_cpu = direct_done - started
    return _summarise_latencies(direct, entry, seconds) | {
        # Both include the load generator and the engines in the same process;
        # the difference is what entry and agents cost together.
        "entry_and_agent_cores": round((entry_cpu - direct_cpu) / seconds, 3),
    }


async def measure_overhead(
    target: OverheadTarget, seconds: float = 12.0, seed: int = 1
) -> dict:
    """Measure processes that already run."""
    await _warm_up(target)
    direct = await _drive_direct(target, seconds, seed)
    before = await _read_cpu(target)
    entry = await _drive_entry(target, seconds, seed)
    after = await _read_cpu(target)
    result = _summarise_latencies(direct, entry, seconds)
    # The run lasts longer than the sending by one answer, and the mean load
    # over that time is lower; all processor time is charged to the sending.
    if target.entry_metrics:
        result["entry_cores"] = round((after.entry - before.entry) / seconds, 3)
    if target.agent_metrics:
        result["agents_cores"] = round((after.agents - before.agents) / seconds, 3)
        result["agents"] = len(target.agent_metrics)
    return result


def _summarise_latencies(direct: LoadResult, entry: LoadResult, seconds: float) -> dict:
    tokens = entry.count("answered") * TOKENS
    return {
        "direct_p50_ms": _first_token_ms(direct, 50),
        "entry_p50_ms": _first_token_ms(entry, 50),
        "direct_p99_ms": _first_token_ms(direct, 99),
        "entry_p99_ms": _first_token_ms(entry, 99),
        "added_p99_ms": round(
            _first_token_ms(entry, 99) - _first_token_ms(direct, 99), 2
        ),
        "direct_gap_p95_ms": round(direct.gap_ms(95), 2),
        "entry_gap_p95_ms": round(entry.gap_ms(95), 2),
        "tokens_per_second": round(tokens / seconds),
        "outcomes": entry.counts(),
        "direct_outcomes": direct.counts(),
    }


async def _warm_up(target: OverheadTarget) -> None:
    for url in target.engines:
        urls = [f"{url}/run"]
        await _send_in_turn(lambda urls=urls: urls, "generate", target.token)
    await _send_in_turn(lambda: [target.entry], SERVICE, target.token)


async def _send_in_turn(
    urls: Callable[[], Sequence[str]], service: str, token: str
) -> None:
    async with LoadGenerator(urls) as load:
        for index in range(WARM_UP_RUNS):
            await load.send(_request(f"w{index}", service, token, WARM_UP_TOKENS))


async def _drive_direct(
    target: OverheadTarget, seconds: float, seed: int
) -> LoadResult:
    urls = [f"{url}/run" for url in target.engines]
    return await _drive(urls, "generate", target.token, seconds, seed)


async def _drive_entry(target: OverheadTarget, seconds: float, seed: int) -> LoadResult:
    return await _drive([target.entry], SERVICE, target.token, seconds, seed)


async def _drive(
    urls: list[str], service: str, token: str, seconds: float, seed: int
) -> LoadResult:
    async with LoadGenerator(lambda: urls, seed=seed) as load:
        await load.steady(
            REQUESTS_PER_S, seconds, lambda i: _request(f"o{i}", service, token)
        )
        return await load.finish()


def _request(prompt: str, service: str, token: str, tokens: int = TOKENS) -> Request:
    body = {"prompt": prompt, "max_tokens": tokens}
    return Request(prompt, service, "generate", body, token, deadline_s=30.0)


def _first_token_ms(result: LoadResult, percentile: float) -> float:
    return round(result.percentile_ms(percentile, first_token=True), 2)


async def _read_cpu(target: OverheadTarget) -> CpuUse:
    async with ClientSession() as session:
        entry = 0.0
        if target.entry_metrics:
            entry = await _cpu_seconds(session, target.entry_metrics)
        reads = (_cpu_seconds(session, url) for url in target.agent_metrics)
        return CpuUse(entry, sum(await asyncio.gather(*reads)))


async def _cpu_seconds(session: ClientSession, url: str) -> float:
    async with session.get(f"{url}/metrics") as response:
        text = await response.text()
    for line in text.splitlines():
        if line.startswith(CPU_METRIC):
            return float(line.rsplit(" ", 1)[1])
    raise ValueError(f"{url}/metrics has no {CPU_METRIC}; check the URL")
