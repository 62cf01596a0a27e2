"""Start and stop an aiohttp application on one address."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web


@asynccontextmanager
async def serve(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serve an application and yield its base URL."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound_host, bound_port = runner.addresses[0][:2]
    try:
        yield f"http://{bound_host}:{bound_port}"
    finally:
        await runner.cleanup()
