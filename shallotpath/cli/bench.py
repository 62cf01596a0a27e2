"""Run loads and experiments, and compare each with a naive baseline."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
from collections.abc import Awaitable
from dataclasses import asdict
from typing import Annotated

from cyclopts import App, Parameter
from rich.console import Console
from rich.table import Table

from .. import __version__
from ..bench import (
    BurstSettings,
    OverheadTarget,
    bytes_per_upstream,
    measure_core,
    measure_overhead,
    run_burst,
    run_claims,
    run_config,
    run_domain,
    run_overhead,
    run_slow,
    run_weights,
)
from ._program import EXIT_SETTINGS, run_app

app = App(
    name="shallot-bench",
    help="Run loads and experiments. The last line of the output is one JSON object.",
    version=f"shallot-bench {__version__}",
)

Seed = Annotated[int, Parameter(help="Seed of all random choices.")]


@app.command
def weights(*, vms: Annotated[int, Parameter(help="Number of VMs.")] = 24) -> None:
    """Time from publication until all VMs run a version, and the bytes transferred."""
    show("weights", asyncio.run(run_weights(vms)))


@app.command
def domain(*, rate: float = 25.0, seed: Seed = 1) -> None:
    """Service while a failure domain is out, returns, is cut off and crashes."""
    show("domain", run_quietly(run_domain(rate, seed)))


@app.command
def slow(*, rate: float = 20.0, slow_callers: int = 16, seed: Seed = 1) -> None:
    """Memory held for callers that do not read, and the latency of other callers."""
    show("slow", run_quietly(run_slow(rate, slow_callers=slow_callers, seed=seed)))


@app.command
def overhead(
    *,
    seconds: float = 12.0,
    seed: Seed = 1,
    entry: Annotated[str, Parameter(help="URL of a running entry.")] = "",
    direct: Annotated[
        list[str] | None, Parameter(help="URL of a running engine; repeatable.")
    ] = None,
    token: Annotated[str, Parameter(help="Token of a team.")] = "",
    entry_metrics: Annotated[
        str, Parameter(help="Operators' URL of the entry, for its processor time.")
    ] = "",
    agent_metrics: Annotated[
        list[str] | None, Parameter(help="Operators' URL of an agent; repeatable.")
    ] = None,
) -> int | None:
    """Time that entry and agent add to a direct connection."""
    given = [bool(entry), bool(direct), bool(token)]
    if any(given) and not all(given):
        print("give --entry, --direct and --token together", file=sys.stderr)
        return EXIT_SETTINGS
    if not entry:
        show("overhead", run_quietly(run_overhead(seconds, seed)))
        return None
    target = OverheadTarget(entry, direct, token, entry_metrics, agent_metrics or ())
    show("overhead", run_quietly(measure_overhead(target, seconds, seed)))
    return None


@app.command
def burst(
    *, seeds: Annotated[int, Parameter(help="Number of seeds, from 1.")] = 3
) -> None:
    """Demand doubles while a third of the upstreams are cold."""
    show("burst", asdict(run_burst(BurstSettings(), range(1, seeds + 1))))


@app.command
def claims(*, seed: Seed = 7) -> None:
    """Non-repeatable calls with resends, log outages, restarts and cut domains."""
    show("claims", run_quietly(run_claims(seed=seed)))


@app.command
def config(*, processes: int = 100, seed: Seed = 1) -> None:
    """Time until a change is in force on all processes, through an outage."""
    show("config", run_quietly(run_config(processes=processes, seed=seed)))


@app.command
def core() -> None:
    """Cost of one event in the reducers with 9, 90 and 900 upstreams."""
    costs = measure_core()
    result = {
        "events_per_second_by_nodes": {
            str(cost.upstreams): round(1 / cost.seconds_per_event) for cost in costs
        },
        "bytes_per_node": round(bytes_per_upstream(costs)),
    }
    show("core", result)


def run_quietly(experiment: Awaitable[dict]) -> dict:
    """Run an experiment without logging below warnings."""
    logging.getLogger("shallotpath").setLevel(logging.WARNING)
    return asyncio.run(experiment)


def show(name: str, result: dict) -> None:
    """Print a result as a table and as one JSON object on the last line."""
    table = Table(title=f"shallot-bench {name}")
    table.add_column("key")
    table.add_column("value")
    for key, value in result.items():
        table.add_row(key, json.dumps(value))
    Console().print(table)
    print(json.dumps(result))


def main() -> None:
    """Run the program."""
    run_app(app)
