"""Run the platform stand-in."""

from __future__ import annotations

import asyncio

from ..settings import PlatformSettings
from ..standins import PlatformApp, PlatformFaults, serve
from ._program import make_program, run_app


async def run(settings: PlatformSettings, stopping: asyncio.Event) -> None:
    """Serve the platform's API until the program is stopped."""
    faults = PlatformFaults(
        log_retention=settings.log_retention,
        vms_lag_ms=round(settings.vms_lag.total_seconds() * 1000),
        origin_rate=settings.origin_rate,
    )
    platform = PlatformApp(settings.seed, faults)
    async with serve(platform.build(), *settings.listen):
        await stopping.wait()


app = make_program(
    "shallot-platform",
    "Stand-in for the platform: log, VM list and origin of weights.",
    PlatformSettings,
    run,
)


def main() -> None:
    """Run the program."""
    run_app(app)
