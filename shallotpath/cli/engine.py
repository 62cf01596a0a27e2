"""Run the stand-in for an engine or a plain service."""

from __future__ import annotations

import asyncio

from ..settings import EngineSettings
from ..standins import EngineApp, serve
from ._program import make_program, run_app


async def run(settings: EngineSettings, stopping: asyncio.Event) -> None:
    """Serve the engine's API until the program is stopped."""
    engine = EngineApp(
        service=settings.service,
        model=settings.kind == "model",
        memory_bytes=settings.memory,
        token_interval_s=settings.token_interval.total_seconds(),
        call_s=settings.call_time.total_seconds(),
        max_running=settings.max_running,
        cold_running=settings.cold_running,
        load_lag_s=settings.load_lag.total_seconds(),
        checks_fencing=settings.checks_fencing,
    )
    async with serve(engine.build(), *settings.listen):
        await stopping.wait()


app = make_program(
    "shallot-engine",
    "Stand-in for a model engine or a plain service.",
    EngineSettings,
    run,
)


def main() -> None:
    """Run the program."""
    run_app(app)
