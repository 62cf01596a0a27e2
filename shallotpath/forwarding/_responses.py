"""Responses that an entry builds itself."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from aiohttp import web
from multidict import CIMultiDict


@dataclass(slots=True)
class BufferedResponse:
    """Hold a whole response of an upstream."""

    status: int
    reason: str
    headers: CIMultiDict
    body: bytes

    def build(self) -> web.Response:
        """Return the response for the caller."""
        return web.Response(
            status=self.status,
            reason=self.reason,
            headers=self.headers,
            body=self.body,
        )


def refusal(
    status: int, detail: str, retry_after: timedelta | None = None
) -> web.Response:
    """Return an error response that the entry itself generates."""
    headers = {}
    if retry_after is not None:
        headers["Retry-After"] = f"{retry_after.total_seconds():.3f}"
    return web.json_response({"detail": str(detail)}, status=status, headers=headers)
