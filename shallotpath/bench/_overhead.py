"""Time that entry and agent add, against a direct connection to the engine."""

from __future__ import annotations

import asyncio
from time import process_time

from ._cluster import TOKEN, ClusterSpec, EngineSpec, run_cluster
from ._load import LoadGenerator, LoadResult, Request

# 12 requests/s of 283 tokens are 3,400 tokens/s, one entry's share at the peak.
REQUESTS_PER_S = 12.0
TOKENS = 283
ENGINE_OPTIONS = {
    "token_interval_s": 0.02,
    "max_running": 256,
    "cold_running": 256,
    "memory_bytes": 1024**3,
}


async def run_overhead(seconds: float = 12.0, seed: int = 1) -> dict:
    """Measure the time to first token direct and through one entry."""
    spec = ClusterSpec(
        {"bne-a": "south"},
        [EngineSpec("fold-model", True, {"bne-a": 4}, ENGINE_OPTIONS)],
        agent_options={"cold_limit": 64},
        seed=seed,
    )
    async with run_cluster(spec) as cluster:
        for upstream in cluster.upstreams_by_id.values():
            upstream.engine.cold_runs_left_ = 0
        engines = cluster.engine_urls("fold-model")
        direct, direct_cpu = await _drive(
            lambda: [f"{url}/run" for url in engines], "", seconds, seed
        )
        entry, entry_cpu = await _drive(cluster.entry_urls, "fold-model", seconds, seed)
    tokens = entry.count("answered") * TOKENS
    return {
        "direct_p50_ms": _first(direct, 50),
        "entry_p50_ms": _first(entry, 50),
        "direct_p99_ms": _first(direct, 99),
        "entry_p99_ms": _first(entry, 99),
        "added_p99_ms": round(_first(entry, 99) - _first(direct, 99), 2),
        "tokens_per_second": round(tokens / seconds),
        "outcomes": entry.counts(),
        "direct_outcomes": direct.counts(),
        # Both include the load generator and the engines in the same process;
        # the difference is what entry and agents cost together.
        "entry_and_agent_cores": round((entry_cpu - direct_cpu) / seconds, 3),
    }


async def _drive(entries, service, seconds, seed) -> tuple[LoadResult, float]:
    started = process_time()
    async with LoadGenerator(entries, seed=seed) as load:
        await load.steady(
            REQUESTS_PER_S, seconds, lambda i: _request(f"o{i}", service or "generate")
        )
        result = await load.finish()
    await asyncio.sleep(0)
    return result, process_time() - started


def _request(prompt: str, service: str) -> Request:
    body = {"prompt": prompt, "max_tokens": TOKENS}
    return Request(prompt, service, "generate", body, TOKEN, deadline_s=30.0)


def _first(result: LoadResult, percentile: float) -> float:
    return round(result.percentile_ms(percentile, first_token=True), 2)
