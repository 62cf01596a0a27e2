"""Sessions whose connections close once an answer cannot end."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from functools import partial

import aiohttp

from ..forwarding import BoundedConnection

# Time for which an idle connection is kept.
KEEP_ALIVE = timedelta(seconds=10)
_FINAL = 200


class SessionConnection(BoundedConnection):
    """Receive one answer for each request of a session."""

    def set_response_params(self, *args, **kwargs) -> None:
        """Begin to count for a new request, for which the session calls this."""
        self.restart()
        super().set_response_params(*args, **kwargs)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; nothing may follow it."""
        if data and self.ended and self.status_ >= _FINAL:
            self.abort()
            return
        super().data_received(data)


class _Connector(aiohttp.TCPConnector):
    def __init__(self) -> None:
        super().__init__(limit=0, keepalive_timeout=KEEP_ALIVE.total_seconds())
        self._factory = partial(SessionConnection, asyncio.get_running_loop())


def open_session() -> aiohttp.ClientSession:
    """Return a session for calls to engines, the store, the origin and peers."""
    return aiohttp.ClientSession(connector=_Connector())
