"""Open sessions for calls and read response bodies up to a size limit."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

from .core import DECODING_ERRORS
from .httpheads import describe_fault


class TooLongError(aiohttp.ClientError):
    """Report a body that is longer than its limit."""


class MalformedHeadError(aiohttp.ClientError):
    """Report a response whose head is no answer in the protocol."""


class _CheckedConnection(ResponseHandler):
    """Close the connection at a head that is no answer in the protocol."""

    def feed_data(
        self, data: tuple[RawResponseMessage, aiohttp.StreamReader], *sizes: int
    ) -> None:
        """Pass on a parsed head and its body; fail if the head is no answer."""
        message, _ = data
        fault = describe_fault(message)
        if not fault:
            super().feed_data(data, *sizes)
            return
        self.abort()
        # abort() clears an exception that was set before it.
        self.set_exception(MalformedHeadError(fault))


class _Connector(aiohttp.TCPConnector):
    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = partial(_CheckedConnection, asyncio.get_running_loop())


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session that opens a connection for each call.

    Responses do not name the call that they answer, so a late second copy of one would
    be taken for the response to the next call on its connection.
    """
    return aiohttp.ClientSession(connector=_Connector(), **options)


async def read_body(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Return the body; close the connection if it is longer than the limit."""
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            response.close()
            raise TooLongError(f"body over {limit_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


async def read_json(response: aiohttp.ClientResponse, limit_bytes: int) -> Any:
    """Return the decoded body; raise `ClientPayloadError` if it is not valid JSON."""
    body = await read_body(response, limit_bytes)
    try:
        return msgspec.json.decode(body)
    except DECODING_ERRORS as error:
        raise aiohttp.ClientPayloadError(f"body is not valid JSON: {error}") from error
