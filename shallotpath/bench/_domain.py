"""Service while a failure domain is taken out, returns, is cut off and dies."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

from ..standins import EngineApp, serve
from ._cluster import TOKEN, Cluster, ClusterSpec, EngineSpec, run_cluster
from ._load import LoadGenerator, LoadResult, Request
from ._naive import NaiveEntry

REGIONS_BY_DOMAIN = {"bne-a": "south", "twb-a": "south", "tsv-a": "north"}
OUT_DOMAIN = "twb-a"
CUT_DOMAIN = "tsv-a"
DEAD_DOMAIN = "bne-a"
REQUESTS_PER_ORDER = 4
SAMPLE_INTERVAL_S = 0.05
# New work counts as stopped after this long without a new run.
NO_NEW_RUN_S = 1.5
MODEL_OPTIONS = {"token_interval_s": 0.004, "max_running": 16}
WARM_UP, BASELINE, OUT = "warm-up", "baseline", "out"
BACK, CUT, DEAD = "back", "cut", "dead"


@dataclass(slots=True, frozen=True)
class Phase:
    """Identify a period of the run; its requests carry the name."""

    name: str
    seconds: float


# Engines start cold; the first phase warms them and is not compared.
PHASES = [
    Phase(WARM_UP, 3.0),
    Phase(BASELINE, 5.0),
    Phase(OUT, 5.0),
    Phase(BACK, 5.0),
    Phase(CUT, 6.0),
    Phase(DEAD, 6.0),
]


def make_spec(seed: int) -> ClusterSpec:
    """Return a cluster with a model service and a plain service on three domains."""
    return ClusterSpec(
        REGIONS_BY_DOMAIN,
        [
            EngineSpec(
                "fold-model",
                True,
                {"bne-a": 2, "twb-a": 2, "tsv-a": 2},
                MODEL_OPTIONS,
            ),
            EngineSpec("kit-desk", False, dict.fromkeys(REGIONS_BY_DOMAIN, 1)),
        ],
        seed=seed,
    )


class DomainExperiment:
    """Run the phases under steady load."""

    def __init__(self, cluster: Cluster, *, rate: float, seed: int) -> None:
        self.cluster = cluster
        self.rate = rate
        self.load = LoadGenerator(self.reachable_entries, seed=seed)
        self.reachable = set(REGIONS_BY_DOMAIN)
        self.sent_ = 0
        self.new_work_stop_seconds_ = 0.0
        self.peak_cold_running_ = 0

    def reachable_entries(self) -> list[str]:
        """Return the entries that the platform's load balancer offers."""
        return self.cluster.entry_urls(domains=self.reachable)

    async def run(self) -> LoadResult:
        """Run all phases and return the outcomes."""
        actions = {
            OUT: self._take_out,
            BACK: self._bring_back,
            CUT: self._cut_off,
            DEAD: self._kill,
        }
        async with self.load:
            for phase in PHASES:
                action = actions.get(phase.name)
                task = asyncio.create_task(action()) if action else None
                await self.load.steady(
                    self.rate,
                    phase.seconds,
                    lambda _, name=phase.name: self._make(name),
                )
                if task is not None:
                    await task
            return await self.load.finish()

    def _make(self, phase: str) -> Request:
        self.sent_ += 1
        request_id = f"{phase}-{self.sent_}"
        if self.sent_ % REQUESTS_PER_ORDER == 0:
            body = {"kit": request_id}
            return Request(request_id, "kit-desk", "orders", body, TOKEN, request_id)
        body = {"prompt": request_id, "max_tokens": 10}
        return Request(request_id, "fold-model", "generate", body, TOKEN)

    async def _take_out(self) -> None:
        loop = asyncio.get_running_loop()
        started = last_new = loop.time()
        out = asyncio.create_task(self.cluster.take_out(OUT_DOMAIN))
        runs = self.cluster.runs_in(OUT_DOMAIN)
        while loop.time() - max(last_new, started) < NO_NEW_RUN_S:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            if self.cluster.runs_in(OUT_DOMAIN) != runs:
                runs = self.cluster.runs_in(OUT_DOMAIN)
                last_new = loop.time()
        await out
        self.new_work_stop_seconds_ = last_new - started

    async def _bring_back(self) -> None:
        await self.cluster.bring_in(OUT_DOMAIN)

    async def _cut_off(self) -> None:
        # Callers inside the domain that is cut off still reach its entry.
        self.cluster.cut_off(CUT_DOMAIN)

    async def _kill(self) -> None:
        self.cluster.reconnect(CUT_DOMAIN)
        self.reachable.discard(DEAD_DOMAIN)
        await self.cluster.kill_domain(DEAD_DOMAIN)


async def run_domain(rate: float = 25.0, seed: int = 1) -> dict:
    """Run the experiment and the naive baseline under the same load."""
    async with run_cluster(make_spec(seed)) as cluster:
        engines = list(cluster.upstreams_by_id.values())
        experiment = DomainExperiment(cluster, rate=rate, seed=seed)
        result = await experiment.run()
        runs = _runs_by_key([upstream.engine for upstream in engines])
        prompts = _runs_by_prompt([upstream.engine for upstream in engines])
        crashes = sum(u.engine.counters_["load_crashes"] for u in engines)
    report = _summarise(result, runs, prompts)
    report["new_work_stop_seconds"] = round(experiment.new_work_stop_seconds_, 2)
    report["upstream_crashes"] = crashes
    report["naive_lost"] = await _run_naive(rate, seed)
    return report


def _summarise(result: LoadResult, runs: dict, prompts: dict) -> dict:
    outcomes = result.outcomes
    refused = [o for o in outcomes if o.kind == "refused"]
    false_refusals = [o for o in refused if _ran(o.request, runs, prompts)]
    p99_by_phase = {phase.name: _p99(result, phase.name) for phase in PHASES}
    return {
        "sent": len(outcomes),
        "answered": result.count("answered"),
        "lost": result.count("lost"),
        "duplicated": sum(count > 1 for count in runs.values()),
        "truncated": result.count("truncated"),
        "crossed": result.count("crossed"),
        "refused": len(refused),
        "failed": result.count("failed"),
        "codes": result.codes(),
        "false_refusals": len(false_refusals),
        "p99_ms": round(result.percentile_ms(99), 1),
        "p99_ms_by_phase": p99_by_phase,
        "kinds_by_phase": {
            p.name: _select_phase(result, p.name).counts() for p in PHASES
        },
    }


def _select_phase(result: LoadResult, name: str) -> LoadResult:
    prefix = f"{name}-"
    return LoadResult([o for o in result.outcomes if o.request.id.startswith(prefix)])


def _p99(result: LoadResult, name: str) -> float:
    return round(_select_phase(result, name).percentile_ms(99), 1)


def _ran(request: Request, runs: dict, prompts: dict) -> bool:
    if request.key:
        return any(key.endswith(f"/{request.key}") for key in runs)
    return request.body["prompt"] in prompts


def _runs_by_key(engines: list[EngineApp]) -> dict[str, int]:
    runs: dict[str, int] = {}
    for engine in engines:
        for key, count in engine.runs_by_key_.items():
            runs[key] = runs.get(key, 0) + count
    return runs


def _runs_by_prompt(engines: list[EngineApp]) -> set[str]:
    return {prompt for engine in engines for prompt in engine.runs_by_prompt_}


async def _run_naive(rate: float, seed: int) -> int:
    """Kill a third of the engines under load behind the naive entry."""
    async with AsyncExitStack() as stack:
        urls = []
        engines = []
        for _ in range(6):
            engine = EngineApp(digest="naive", **MODEL_OPTIONS)
            engine.cold_runs_left_ = 0
            engines.append(engine)
            urls.append(await stack.enter_async_context(serve(engine.build())))
        naive = NaiveEntry({"fold-model": urls})
        entry = await stack.enter_async_context(serve(naive.build()))
        async with LoadGenerator(lambda: [entry], seed=seed) as load:
            make = _naive_request
            await load.steady(rate, 3.0, make)
            for engine in engines[:2]:
                engine.restart_s = 60.0
                engine.crash()
            await load.steady(rate, 3.0, make)
            result = await load.finish()
        return len(result.outcomes) - result.count("answered")


def _naive_request(index: int) -> Request:
    body = {"prompt": f"naive-{index}", "max_tokens": 10}
    return Request(f"naive-{index}", "fold-model", "generate", body, TOKEN)
