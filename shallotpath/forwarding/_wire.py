"""What the forwarder needs from the protocol of callers and upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from multidict import CIMultiDictProxy

# Headers that concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(slots=True, frozen=True)
class RequestFields:
    """Hold what a caller's headers say about its request."""

    request_id: str
    key: str
    caller_timeout: timedelta | None
    model: str
    prompt_tokens: int
    output_tokens: int


@dataclass(slots=True, frozen=True)
class ResponseFields:
    """Hold what an upstream's headers say about its response."""

    request_id: str
    sealed: bool
    not_executed: bool
    # Id of the upstream that answered, where it says so.
    upstream_id: str
    retry_after: timedelta | None
    keep_alive: timedelta | None


@dataclass(slots=True, frozen=True)
class OutgoingFields:
    """Hold what the forwarder adds to a request for one upstream."""

    upstream_id: str
    time_left: timedelta
    team: str
    version: int | None
    priority: int | None
    last_event_id: str = ""


class HeaderCodec(Protocol):
    """Translate headers of callers and upstreams."""

    def read_request(self, headers: CIMultiDictProxy[str]) -> RequestFields:
        """Return what a caller's headers say."""
        ...

    def read_response(self, headers: CIMultiDictProxy[str]) -> ResponseFields:
        """Return what an upstream's headers say."""
        ...

    def outgoing(
        self,
        raw_headers: Iterable[tuple[bytes, bytes]],
        outgoing_fields: OutgoingFields,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an upstream."""
        ...
