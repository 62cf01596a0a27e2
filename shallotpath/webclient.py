"""Open sessions for calls and read response bodies up to a size limit."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from .core import DECODING_ERRORS


class TooLongError(aiohttp.ClientError):
    """Report a body that is longer than its limit."""


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session that opens a connection for each call.

    Responses do not name the call that they answer, so a late second copy of one would
    be taken for the response to the next call on its connection.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(connector=connector, **options)


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
