"""Serve an aiohttp application on one address."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

# Kernel send buffer of a connection. Without a limit it grows to several megabytes for
# each slow reader, and no memory budget counts it.
SEND_BUFFER_BYTES = 64 * 1024


@asynccontextmanager
async def serve(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serve an application and yield its base URL."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site = web.SockSite(runner, bind_listener(host, port))
    await site.start()
    bound_host, bound_port = runner.addresses[0][:2]
    try:
        yield f"http://{bound_host}:{bound_port}"
    finally:
        await runner.cleanup()


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections have a small send buffer."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((host, port))
    return listener
