"""Define the interface that translates headers of callers and upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from multidict import CIMultiDictProxy

from ..gateway import ServerLoad

# Headers that apply to a single connection and are not forwarded.
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
    """Hold the fields that a caller's headers carry."""

    request_id: str
    key: str
    caller_timeout: timedelta | None
    model: str
    prompt_tokens: int
    output_tokens: int
    # Ids of the parts of the prompt in order.
    prompt_parts: tuple[str, ...] = ()
    # Header fields that hold an id.
    id_count: int = 1


@dataclass(slots=True, frozen=True)
class ResponseFields:
    """Hold the fields that an upstream's response headers carry."""

    request_id: str
    sealed: bool
    not_executed: bool
    # Id of the upstream that responded; empty if it sent none.
    upstream_id: str
    retry_after: timedelta | None
    # The upstream leaves and wants no new requests.
    leaving: bool
    keep_alive: timedelta | None
    # What the upstream reports of its load; `None` for nothing or an unreadable report.
    load: ServerLoad | None = None
    load_unreadable: bool = False


@dataclass(slots=True, frozen=True)
class OutgoingFields:
    """Hold the fields that the forwarder adds to a request to an upstream."""

    upstream_id: str
    time_left: timedelta
    team: str
    version: int | None
    priority: int | None
    last_event_id: str = ""


class HeaderCodec(Protocol):
    """Translate headers of callers and upstreams."""

    def read_request(self, headers: CIMultiDictProxy[str]) -> RequestFields:
        """Return the fields of a caller's headers."""
        ...

    def read_response(self, headers: CIMultiDictProxy[str]) -> ResponseFields:
        """Return the fields of an upstream's headers."""
        ...

    def outgoing(
        self,
        raw_headers: Iterable[tuple[bytes, bytes]],
        outgoing_fields: OutgoingFields,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an upstream."""
        ...
