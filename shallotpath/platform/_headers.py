"""Codec for the platform's request and response headers."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import timedelta
from email.utils import parsedate_to_datetime

from multidict import CIMultiDictProxy

from ..forwarding import (
    HOP_BY_HOP_HEADERS,
    OutgoingFields,
    RequestFields,
    ResponseFields,
)
from ..gateway import ServerLoad, is_plausible
from . import _names as names

# Bounds what a single request can add to logs and crash suspects.
MAX_PROMPT_PARTS = 64
# Longer times in headers are cut to this one.
MAX_PARSED_TIME = timedelta(days=1)
# Bounds what is parsed of a load report: four figures, far larger than real ones.
MAX_LOAD_CHARS = 64
LOAD_FIGURES = (3, 4)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
# Headers that are not forwarded: hop-by-hop headers, the caller's key and headers
# that only this system may set.
_DROPPED_HEADERS = frozenset(
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
        """Return the fields of a caller's headers."""
        prompt_tokens, output_tokens = _parse_token_counts(
            headers.get(names.TOKENS, "")
        )
        return RequestFields(
            request_id=headers.get(names.REQUEST_ID, ""),
            key=headers.get(names.API_KEY, ""),
            # How long the caller will wait, counted from when it sent the request.
            caller_timeout=_parse_milliseconds(headers.get(names.DEADLINE_MS)),
            model=headers.get(names.MODEL, ""),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prompt_parts=_parse_prompt_parts(headers.get(names.PROMPT_PARTS, "")),
            id_count=len(headers.getall(names.REQUEST_ID, ())),
        )

    def read_response(self, headers: CIMultiDictProxy[str]) -> ResponseFields:
        """Return the fields of an upstream's headers."""
        match = _KEEP_ALIVE_TIMEOUT.search(headers.get("Keep-Alive", ""))
        load_text = headers.get(names.SERVER_LOAD)
        load = _parse_server_load(load_text)
        return ResponseFields(
            request_id=headers.get(names.REQUEST_ID, ""),
            sealed=names.SEAL in headers,
            not_executed=names.NOT_EXECUTED in headers,
            upstream_id=headers.get(names.OWN_ID, ""),
            retry_after=_parse_retry_after(headers),
            leaving=headers.get(names.LEAVING, "").strip() == "1",
            keep_alive=_parse_seconds(match.group(1)) if match else None,
            load=load,
            load_unreadable=load_text is not None and load is None,
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
            if name.lower() not in _DROPPED_HEADERS
            and not (outgoing_fields.last_event_id and name.lower() == _LAST_EVENT_ID)
        ]
        time_left_ms = max(
            1, int(outgoing_fields.time_left / timedelta(milliseconds=1))
        )
        added = {
            names.DEADLINE_MS: str(time_left_ms),
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


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the output token limit, both 0 if unreadable."""
    parts = text.split(",")
    try:
        return int(parts[0]), int(parts[1])
    except (ValueError, IndexError):
        return 0, 0


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the first parts in order, without their token counts."""
    if not text:
        return ()
    parts = text.split(",", MAX_PROMPT_PARTS)[:MAX_PROMPT_PARTS]
    return tuple(part.partition(":")[0].strip() for part in parts)


def _parse_server_load(text: str | None) -> ServerLoad | None:
    """Return a report of an upstream's load, `None` for none or an unreadable one."""
    if text is None or len(text) > MAX_LOAD_CHARS:
        return None
    figures = [part.strip() for part in text.split(",")]
    if len(figures) not in LOAD_FIGURES:
        return None
    if not all(figure.isascii() and figure.isdigit() for figure in figures):
        return None
    load = ServerLoad(*map(int, figures))
    return load if is_plausible(load) else None


def _parse_milliseconds(text: str | None) -> timedelta | None:
    try:
        return timedelta(milliseconds=float(text)) if text else None
    except (ValueError, OverflowError):
        return None


def _parse_seconds(text: str | None) -> timedelta | None:
    """Return a time in seconds, `None` for none, a negative or an unreadable one."""
    try:
        time = timedelta(seconds=float(text or ""))
    except OverflowError:
        return None if text.strip().startswith("-") else MAX_PARSED_TIME
    except ValueError:
        return None
    return min(time, MAX_PARSED_TIME) if time >= timedelta() else None


def _parse_retry_after(headers: CIMultiDictProxy[str]) -> timedelta | None:
    """Return the longest of the delays that a response asks for."""
    times = []
    for value in headers.getall("Retry-After", ()):
        time = _parse_seconds(value) or _parse_date(value, headers.get("Date", ""))
        if time is not None:
            times.append(time)
    return max(times, default=None)


def _parse_date(value: str, sent_at: str) -> timedelta | None:
    """Return the time from a response's own date to another one.

    The clock of this VM may differ from that of the upstream.
    """
    try:
        delay = parsedate_to_datetime(value) - parsedate_to_datetime(sent_at)
    except (ValueError, TypeError, OverflowError):
        return None
    return min(delay, MAX_PARSED_TIME) if delay >= timedelta() else None
