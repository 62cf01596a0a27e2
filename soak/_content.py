"""Answers of the stand-ins, computed from the attempt so callers can check them."""

from __future__ import annotations

from zlib import crc32

MODEL = "m"
TEAM = "soak-team"
TEAM_KEY = "soak-key"
# One in this many first runs breaks off its answer.
LOST_ANSWER_INTERVAL = 40
# One in this many first runs fails.
FAILURE_INTERVAL = 25
# One in this many streams is long.
LONG_STREAM_INTERVAL = 12
# The stream lasts longer than the time for which a stopping entry keeps its listener
# open.
LONG_STREAM_EVENTS = 120
# Records of upstreams that another writer might write: nested deeply, with a number
# that no time has, and with a port out of range.
ODD_RECORDS = (
    b"[" * 50_000,
    b'{"service": "desk", "address": "127.0.0.1:9", "zone": "a-1", "slots": 4, '
    b'"state": "ready", "coldLeftMs": 1e16}',
    b'{"service": "desk", "address": "127.0.0.1:70000", "zone": "a-1", "slots": 4, '
    b'"state": "ready"}',
)


def stable_hash(attempt_id: str, purpose: str) -> int:
    """Return a number that depends only on the attempt and the purpose."""
    return crc32(f"{purpose} {attempt_id}".encode())


def loses_answer(attempt_id: str) -> bool:
    """Check whether the first run of an attempt breaks off its answer."""
    return stable_hash(attempt_id, "lost") % LOST_ANSWER_INTERVAL == 0


def fails(attempt_id: str) -> bool:
    """Check whether the first run of an attempt answers with an error."""
    return stable_hash(attempt_id, "failure") % FAILURE_INTERVAL == 0


def failure_body(attempt_id: str) -> bytes:
    """Return the complete body of an error of the upstream."""
    return f"{attempt_id} failed\n".encode()


def event_count(attempt_id: str) -> int:
    """Return the number of events of a stream."""
    if stable_hash(attempt_id, "long") % LONG_STREAM_INTERVAL == 0:
        return LONG_STREAM_EVENTS
    return 4 + stable_hash(attempt_id, "events") % 12


def make_event(attempt_id: str, number: int) -> bytes:
    """Return an event of a stream, numbered from 1."""
    total = event_count(attempt_id)
    return f"id: {number}\ndata: {attempt_id} {number}/{total}\n\n".encode()


def whole_body(attempt_id: str, *, streaming: bool) -> bytes:
    """Return the complete body of the answer to a request."""
    if not streaming:
        return f"{attempt_id}\n".encode() * (1 + stable_hash(attempt_id, "body") % 200)
    count = event_count(attempt_id)
    return b"".join(make_event(attempt_id, number) for number in range(1, count + 1))
