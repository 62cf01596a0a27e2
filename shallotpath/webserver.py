"""Serve an aiohttp application on one address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from aiohttp import web

from .connections import ConnectionTable, GuardedConnection

# Kernel send buffer of a connection. Without a limit it grows to several megabytes for
# each slow reader, and no memory budget counts it.
SEND_BUFFER_BYTES = 64 * 1024


# Connections accepted in one iteration of the event loop, for the same reason as in
# the listeners of the platform's processes.
ACCEPT_BATCH = 16
BACKLOG = 1024
SENT_POLL_INTERVAL_S = 0.02


class GuardedServer:
    """Serve an application; the connections keep to the limits of a table.

    `options` are those of aiohttp's request handler.
    """

    def __init__(
        self,
        app: web.Application,
        table: ConnectionTable,
        *,
        shutdown_timeout_s: float = 1.0,
        handler_cancellation: bool = False,
        **options,
    ) -> None:
        self.table = table
        self.shutdown_timeout_s = shutdown_timeout_s
        self.options = {"access_log": None} | options
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=handler_cancellation,
            shutdown_timeout=shutdown_timeout_s,
        )
        self.tcp_server_: asyncio.Server | None = None
        self.url = ""

    async def start(self, host: str, port: int) -> None:
        """Start accepting connections."""
        await self.runner.setup()
        listening = bind_listener(host, port)
        loop = asyncio.get_running_loop()
        self.tcp_server_ = await loop.create_server(
            self._build_connection, sock=listening, backlog=ACCEPT_BATCH
        )
        # The server listens with the size of its batch.
        listening.listen(BACKLOG)
        bound_host, bound_port = listening.getsockname()[:2]
        self.url = f"http://{bound_host}:{bound_port}"

    async def stop(self) -> None:
        """Stop accepting connections, and close those that exist once they are sent.

        Both the requests in progress and unsent answers get the time of a shutdown.
        """
        if self.tcp_server_ is not None:
            self.tcp_server_.close()
        await self.runner.cleanup()
        with suppress(TimeoutError):
            async with asyncio.timeout(self.shutdown_timeout_s):
                while self.table.has_unsent:  # noqa: ASYNC110
                    await asyncio.sleep(SENT_POLL_INTERVAL_S)

    def _build_connection(self) -> GuardedConnection:
        loop = asyncio.get_running_loop()
        return GuardedConnection(
            self.runner.server, self.table, loop=loop, **self.options
        )


@asynccontextmanager
async def serve(
    app: web.Application,
    host: str = "127.0.0.1",
    port: int = 0,
    table: ConnectionTable | None = None,
) -> AsyncIterator[str]:
    """Serve an application and yield its base URL."""
    server = GuardedServer(app, table or ConnectionTable())
    await server.start(host, port)
    try:
        yield server.url
    finally:
        await server.stop()


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections have a small send buffer."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.bind((host, port))
    return listener
