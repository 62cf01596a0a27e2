"""Command line of the soak test."""

from __future__ import annotations

import asyncio
import signal
import sys
from datetime import timedelta
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from . import SoakSettings, run_soak

app = App(name="soak", help="Run the platform's programs under seeded faults.")


@app.default
def soak(
    *,
    seed: Annotated[int, Parameter(help="Seed of the faults and callers.")] = 1,
    seconds: Annotated[float, Parameter(help="Length of the run.")] = 30.0,
    planned_only: Annotated[
        bool, Parameter(help="Leave out kills, suspensions and outages.")
    ] = False,
    programs: Annotated[
        Path | None, Parameter(help="Directory whose package shallotpath is run.")
    ] = None,
    workspace: Annotated[
        Path | None, Parameter(help="Directory that keeps settings files and logs.")
    ] = None,
) -> int:
    """Run one seed, print the verdict, and exit with 1 if an invariant was violated."""
    settings = SoakSettings(
        seed=seed,
        duration=timedelta(seconds=seconds),
        planned_only=planned_only,
        programs=programs.resolve() if programs else None,
        workspace=workspace.resolve() if workspace else None,
    )
    # SIGTERM is handled like Ctrl-C: the run is cancelled and stops its processes.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    verdict = asyncio.run(run_soak(settings))
    print(verdict.text())
    return 1 if verdict.violations else 0


if __name__ == "__main__":
    sys.exit(app())
