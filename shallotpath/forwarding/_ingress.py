"""Listening sockets for callers, probes and peers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

BACKLOG = 1024
DEFAULT_IDLE = timedelta(seconds=75)
DEFAULT_MAX_BODY = 4 * 1024 * 1024
MAX_HEADER_BYTES = 65536


class Listener:
    """Serve HTTP at one address."""

    def __init__(
        self,
        handler: Handler,
        *,
        idle_timeout: timedelta = DEFAULT_IDLE,
        max_body: int = DEFAULT_MAX_BODY,
    ) -> None:
        self.handler = handler
        self.idle_timeout = idle_timeout
        self.max_body = max_body
        self.server_: web.Server | None = None
        self.socket_: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Begin to accept connections; return the port."""
        loop = asyncio.get_running_loop()
        self.server_ = web.Server(
            self.handler, request_factory=self._request, handler_cancellation=True
        )
        self.socket_ = await loop.create_server(
            self._connection, host, port, backlog=BACKLOG
        )
        return self.socket_.sockets[0].getsockname()[1]

    def set_limits(self, idle_timeout: timedelta, max_body: int) -> None:
        """Take the limits of a new configuration; idle time is for new connections."""
        self.max_body = max_body
        self.idle_timeout = idle_timeout

    def close(self) -> None:
        """Stop accepting connections; open ones go on."""
        if self.socket_ is not None:
            self.socket_.close()

    def close_idle(self) -> None:
        """Close the connections that no request is using."""
        if self.server_ is not None:
            self.server_.pre_shutdown()

    async def stop(self, timeout: timedelta) -> None:
        """Close all connections, after a time for those in use."""
        self.close()
        if self.server_ is not None:
            await self.server_.shutdown(timeout.total_seconds())

    def _connection(self) -> web.RequestHandler:
        return web.RequestHandler(
            self.server_,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=self.idle_timeout.total_seconds(),
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    def _request(self, message, payload, protocol, writer, task) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            loop,
            client_max_size=self.max_body,
        )
