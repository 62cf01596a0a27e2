"""What the stand-ins answer, so that callers can check it."""

from __future__ import annotations

from zlib import crc32

MODEL = "m"
TEAM = "soak-team"
TEAM_KEY = "soak-key"
# One in so many first runs ends without its whole answer.
LOST_ANSWERS = 40
# One in so many streams is long.
LONG_STREAMS = 12
# Longer than an entry serves before it closes its listener in a planned stop.
LONG_EVENTS = 120


def chance(request_id: str, purpose: str) -> int:
    """Return a number that depends on the request only."""
    return crc32(f"{purpose} {request_id}".encode())


def loses_answer(request_id: str) -> bool:
    """Check whether the first run of a request breaks its answer off."""
    return chance(request_id, "lost") % LOST_ANSWERS == 0


def event_count(request_id: str) -> int:
    """Return the number of events of a stream."""
    if chance(request_id, "long") % LONG_STREAMS == 0:
        return LONG_EVENTS
    return 4 + chance(request_id, "events") % 12


def event(request_id: str, number: int) -> bytes:
    """Return an event of a stream; the first number is 1."""
    total = event_count(request_id)
    return f"id: {number}\ndata: {request_id} {number}/{total}\n\n".encode()


def whole_body(request_id: str, *, streaming: bool) -> bytes:
    """Return the whole answer to a request."""
    if not streaming:
        return f"{request_id}\n".encode() * (1 + chance(request_id, "body") % 200)
    count = event_count(request_id)
    return b"".join(event(request_id, number) for number in range(1, count + 1))
