"""Run an entry or an agent with its endpoints for operators."""

from __future__ import annotations

import asyncio

from ..connections import DescriptorShares
from ..nodes import Process
from ..runtime import make_table
from ..telemetry import make_admin_app
from ..webserver import serve


async def run_process(process: Process, stopping: asyncio.Event) -> None:
    """Start, wait for the stop signal, drain within the configured limit and stop."""
    await process.start()
    admin = make_admin_app(process.telemetry, process.status)
    connections = DescriptorShares.for_process().monitoring
    table = make_table("control", connections, process.telemetry, process.clock)
    async with serve(admin, *process.settings.http, table):
        await stopping.wait()
        limit = process.settings.drain.total_seconds()
        try:
            async with asyncio.timeout(limit):
                await process.drain()
        except TimeoutError:
            process.telemetry.log("drain_timed_out", {"seconds": f"{limit:g}"})
    await process.stop()
