"""Incremental parser of server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..core import DECODING_ERRORS, FrameError

# Engines send events of a few dozen bytes; the limit keeps a stream without event
# boundaries from exhausting memory.
MAX_EVENT_BYTES = 256 * 1024
BOUNDARY = b"\n\n"


class TokenData(msgspec.Struct):
    """Decode the data of a token event."""

    i: int


class EndData(msgspec.Struct):
    """Decode the data of the end event."""

    n: int


_token_decoder = msgspec.json.Decoder(TokenData)
_end_decoder = msgspec.json.Decoder(EndData)


# Not frozen: one event is created per token, and a frozen class sets each field
# through object.__setattr__, which triples the cost of its creation.
@dataclass(slots=True)
class SseEvent:
    """Hold the raw bytes, name and data of one event."""

    raw: bytes
    name: str
    data: bytes

    def token_index(self) -> int | None:
        """Return the index of the token in a token event, else `None`."""
        if self.name:
            return None
        return _decode(_token_decoder, self.data).i

    def token_count(self) -> int | None:
        """Return the number of tokens stated in an end event, else `None`."""
        if self.name != "end":
            return None
        return _decode(_end_decoder, self.data).n


class SseParser:
    """Split a byte stream into events, independent of frame boundaries."""

    __slots__ = ("partial_event_",)

    def __init__(self) -> None:
        self.partial_event_ = b""

    @property
    def partial(self) -> bool:
        """Check whether an incomplete event is held."""
        return bool(self.partial_event_)

    def feed(self, payload: bytes) -> list[SseEvent]:
        """Receive bytes and return the events that they complete."""
        if not self.partial_event_ and 0 < payload.find(BOUNDARY) == len(payload) - 2:
            # Fast path: most frames hold one event, as engines send them one by one.
            return [parse_event(payload[:-2])]
        parts = (self.partial_event_ + payload).split(BOUNDARY)
        self.partial_event_ = parts.pop()
        if len(self.partial_event_) > MAX_EVENT_BYTES:
            raise FrameError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes; check the engine's stream"
            )
        return [parse_event(part) for part in parts if part]


def parse_event(block: bytes) -> SseEvent:
    """Parse the lines of one event."""
    if block.startswith(b"data:") and b"\n" not in block:
        return SseEvent(block + BOUNDARY, "", block[5:].strip())
    name = ""
    data = []
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data.append(line[5:].strip())
        elif line.startswith(b"event:"):
            name = line[6:].strip().decode(errors="replace")
    return SseEvent(block + BOUNDARY, name, b"\n".join(data))


def _decode(decoder: msgspec.json.Decoder, data: bytes):
    try:
        return decoder.decode(data)
    except DECODING_ERRORS as error:
        raise FrameError(
            f"an event of the engine does not decode: {error}; check the engine"
        ) from error
