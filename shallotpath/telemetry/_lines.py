"""Parse the JSON lines that processes write to standard output into events."""

from __future__ import annotations

import json
from collections.abc import Iterable
from datetime import datetime

from ._hlc import make_stamp
from ._telemetry import TraceEvent

# Keys of a line that are not fields of its event.
RESERVED_KEYS = frozenset({"levelname", "message", "node", "time"})


def parse_lines(lines: Iterable[str]) -> tuple[list[TraceEvent], int]:
    """Return the events of log lines, and the number of lines without an event.

    Text before the first brace, such as a collector's time and host, is skipped.
    """
    events: list[TraceEvent] = []
    unreadable = 0
    for number, line in enumerate(lines):
        event = _parse_line(line, number)
        if event is not None:
            events.append(event)
        elif line.strip():
            unreadable += 1
    return events, unreadable


def _parse_line(line: str, number: int) -> TraceEvent | None:
    _, brace, remainder = line.partition("{")
    try:
        values = json.loads(brace + remainder)
        moment = datetime.fromisoformat(values["time"])
        node, kind = str(values["node"]), str(values["message"])
    except (ValueError, KeyError, TypeError):
        return None
    fields = {
        key: _field_text(value)
        for key, value in values.items()
        if key not in RESERVED_KEYS
    }
    return TraceEvent(number, make_stamp(moment), node, "", kind, fields)


def _field_text(value: object) -> str:
    if isinstance(value, list):
        return "; ".join(str(item) for item in value)
    return str(value)
