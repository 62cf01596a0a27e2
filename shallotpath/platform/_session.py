"""HTTP sessions that close a connection whose response exceeds its limits."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import aiohttp

from ..core import PlatformError
from ..forwarding import BoundedConnection
from ..httpheads import is_interim

# Time for which an idle connection stays open.
KEEP_ALIVE_S = 10.0
_REDIRECTS = range(300, 400)


class SessionConnection(BoundedConnection):
    """Receive one response for each request of a session."""

    def set_response_params(self, *args, **kwargs) -> None:
        """Reset the limits; the session calls this for each new request."""
        self.restart()
        super().set_response_params(*args, **kwargs)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if any follow the response."""
        if data and self.ended and not is_interim(self.status_):
            self.abort()
            return
        super().data_received(data)


class RedirectedError(aiohttp.ClientError):
    """Report a redirect, which the protocol does not have."""


class _Response(aiohttp.ClientResponse):
    async def start(self, connection: aiohttp.connector.Connection) -> _Response:
        """Read the head; fail at a redirect, which the session would follow."""
        await super().start(connection)
        if self.status in _REDIRECTS:
            raise RedirectedError(f"status {self.status}")
        return self


class _Connector(aiohttp.TCPConnector):
    def __init__(self, **options) -> None:
        super().__init__(limit=0, **options)
        self._factory = partial(SessionConnection, asyncio.get_running_loop())


class LeaseEndedError(PlatformError):
    """Report a call that was not sent, as its sender may not act any more."""


class _GuardedConnector(_Connector):
    """Check before each send whether the sender may still act.

    Connections are reset when they close, and the kernel gives up unacknowledged bytes
    after a time: it would otherwise deliver them after the lease of the sender.
    """

    def __init__(self, may_send: Callable[[], bool], send_limit: timedelta) -> None:
        self.may_send = may_send
        self.send_limit = send_limit
        super().__init__(force_close=True, socket_factory=self._open_socket)

    async def connect(self, *args, **kwargs) -> aiohttp.connector.Connection:
        """Open a connection unless the sender may not act any more by then."""
        connection = await super().connect(*args, **kwargs)
        if not self.may_send():
            connection.close()
            raise LeaseEndedError(
                "the lease ended before the call was sent; a successor will send it"
            )
        return connection

    def _open_socket(self, address_info: tuple) -> socket.socket:
        family, kind, protocol, *_ = address_info
        opened = socket.socket(family, kind, protocol)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            limit_ms = int(self.send_limit / timedelta(milliseconds=1))
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
        return opened


def open_guarded_session(
    may_send: Callable[[], bool], send_limit: timedelta
) -> aiohttp.ClientSession:
    """Return a session for calls that only the holder of a lease may send."""
    return _open(_GuardedConnector(may_send, send_limit))


def open_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection for each call.

    Responses do not name the call that they answer, so a late second copy of one would
    be taken for the response to the next call on its connection.
    """
    return _open(_Connector(force_close=True))


def open_chunk_session() -> aiohttp.ClientSession:
    """Return a session that keeps connections, for calls that move chunks.

    The digest of a chunk tells it from all others, but not from an earlier state of the
    same chunk.
    """
    return _open(_Connector(keepalive_timeout=KEEP_ALIVE_S))


def _open(connector: _Connector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=connector, response_class=_Response)
