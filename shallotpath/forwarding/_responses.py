"""Responses that an entry builds itself."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import web
from multidict import CIMultiDict

from ._wire import HOP_BY_HOP_HEADERS


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


def relayed_headers(headers: Mapping[str, str]) -> CIMultiDict:
    """Return the headers of an upstream's response that are passed on."""
    relayed = CIMultiDict()
    for name, value in headers.items():
        lowered = name.lower()
        if lowered not in HOP_BY_HOP_HEADERS and lowered != "content-length":
            relayed.add(name, value)
    return relayed


def refusal(
    status: int, detail: str, retry_after: timedelta | None = None
) -> web.Response:
    """Return an error response that the entry itself generates."""
    headers = {}
    if retry_after is not None:
        headers["Retry-After"] = f"{retry_after.total_seconds():.3f}"
    return web.json_response({"detail": str(detail)}, status=status, headers=headers)
