"""Headers of callers and upstreams on the platform."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import timedelta

from multidict import CIMultiDictProxy

from ..forwarding import (
    HOP_BY_HOP_HEADERS,
    OutgoingFields,
    RequestFields,
    ResponseFields,
)
from . import _names as names

_KEEP_ALIVE = re.compile(r"timeout=(\d+)")
# Headers that only the system may set, and the caller's key.
_DROPPED = frozenset(
    name.lower().encode()
    for name in (
        *HOP_BY_HOP_HEADERS,
        names.API_KEY,
        names.DEADLINE_MS,
        names.TEAM,
        names.EXPECT_ID,
        names.EXPECT_VERSION,
        names.PRIORITY,
        names.PATH,
        "Content-Length",
        "Expect",
    )
)
_LAST_EVENT_ID = names.LAST_EVENT_ID.lower().encode()


class PlatformHeaderCodec:
    """Translate the platform's headers."""

    __slots__ = ()

    def read_request(self, headers: CIMultiDictProxy[str]) -> RequestFields:
        """Return what a caller's headers say."""
        prompt, output = _token_counts(headers.get(names.TOKENS, ""))
        return RequestFields(
            request_id=headers.get(names.REQUEST_ID, ""),
            key=headers.get(names.API_KEY, ""),
            # Time that the caller will wait, counted from when it sent the request.
            caller_timeout=_milliseconds(headers.get(names.DEADLINE_MS)),
            model=headers.get(names.MODEL, ""),
            prompt_tokens=prompt,
            output_tokens=output,
        )

    def read_response(self, headers: CIMultiDictProxy[str]) -> ResponseFields:
        """Return what an upstream's headers say."""
        match = _KEEP_ALIVE.search(headers.get("Keep-Alive", ""))
        return ResponseFields(
            request_id=headers.get(names.REQUEST_ID, ""),
            sealed=names.SEAL in headers,
            not_executed=names.NOT_EXECUTED in headers,
            upstream_id=headers.get(names.OWN_ID, ""),
            retry_after=_seconds(headers.get("Retry-After")),
            keep_alive=timedelta(seconds=int(match.group(1))) if match else None,
        )

    def outgoing(
        self,
        raw_headers: Iterable[tuple[bytes, bytes]],
        outgoing_fields: OutgoingFields,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an upstream."""
        headers = [
            (name, value)
            for name, value in raw_headers
            if name.lower() not in _DROPPED
            and not (outgoing_fields.last_event_id and name.lower() == _LAST_EVENT_ID)
        ]
        left = max(1, int(outgoing_fields.time_left / timedelta(milliseconds=1)))
        added = {
            names.DEADLINE_MS: str(left),
            names.EXPECT_ID: outgoing_fields.upstream_id,
        }
        if outgoing_fields.team:
            added[names.TEAM] = outgoing_fields.team
        if outgoing_fields.version is not None:
            added[names.EXPECT_VERSION] = str(outgoing_fields.version)
        if outgoing_fields.priority is not None:
            added[names.PRIORITY] = str(outgoing_fields.priority)
        if outgoing_fields.last_event_id:
            added[names.LAST_EVENT_ID] = outgoing_fields.last_event_id
        headers.extend((key.encode(), value.encode()) for key, value in added.items())
        return headers


def _token_counts(text: str) -> tuple[int, int]:
    """Return prompt tokens and the most output tokens; 0 where none are given."""
    parts = text.split(",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return 0, 0


def _milliseconds(text: str | None) -> timedelta | None:
    try:
        return timedelta(milliseconds=float(text)) if text else None
    except (ValueError, OverflowError):
        return None


def _seconds(text: str | None) -> timedelta | None:
    try:
        return timedelta(seconds=float(text)) if text else None
    except (ValueError, OverflowError):
        return None
