"""Bodies of answers up to a limit."""

from __future__ import annotations

import aiohttp


class TooLongError(aiohttp.ClientError):
    """Report a body beyond its limit."""


async def read_body(response: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Return the body; close the connection once it is longer than the limit."""
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            response.close()
            raise TooLongError(f"body over {limit_bytes} bytes")
        parts.append(part)
    return b"".join(parts)
