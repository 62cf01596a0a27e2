"""HTTP sessions that close a connection whose response exceeds its limits."""

from __future__ import annotations

import asyncio
from functools import partial

import aiohttp

from ..forwarding import BoundedConnection

# Time for which an idle connection stays open.
KEEP_ALIVE_S = 10.0
# Lower statuses (1xx) belong to interim responses.
_FIRST_FINAL_STATUS = 200


class SessionConnection(BoundedConnection):
    """Receive one response for each request of a session."""

    def set_response_params(self, *args, **kwargs) -> None:
        """Reset the limits; the session calls this for each new request."""
        self.restart()
        super().set_response_params(*args, **kwargs)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if any follow the response."""
        if data and self.ended and self.status_ >= _FIRST_FINAL_STATUS:
            self.abort()
            return
        super().data_received(data)


class _Connector(aiohttp.TCPConnector):
    def __init__(self, **options) -> None:
        super().__init__(limit=0, **options)
        self._factory = partial(SessionConnection, asyncio.get_running_loop())


def open_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection for each call.

    Responses do not name the call that they answer, so a late second copy of one would
    be taken for the response to the next call on its connection.
    """
    return aiohttp.ClientSession(connector=_Connector(force_close=True))


def open_chunk_session() -> aiohttp.ClientSession:
    """Return a session that keeps connections, for calls that move chunks.

    The digest of a chunk tells it from all others, but not from an earlier state of the
    same chunk.
    """
    connector = _Connector(keepalive_timeout=KEEP_ALIVE_S)
    return aiohttp.ClientSession(connector=connector)
