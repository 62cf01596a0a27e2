"""What processes tell each other in datagrams and over HTTP."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ..core import FrameError

PROTOCOL = 1
# A datagram above this size would be split and lost as a whole more often.
MAX_DATAGRAM_BYTES = 8192


@dataclass(slots=True, frozen=True)
class PeerAddress:
    """Name a process and where it listens."""

    id: str
    host: str
    port: int
    engine: bool


@dataclass(slots=True, frozen=True)
class ShareItem:
    """Tell how much work an entry has at an upstream."""

    upstream: str
    requests: int
    unread_tokens: int


@dataclass(slots=True, frozen=True)
class EngineItem:
    """Tell the state of an engine, from its own VM."""

    address: str
    model: str
    version: int
    accepting: bool
    queued: int
    active: int
    pace: float


@dataclass(slots=True, frozen=True)
class ChunkItem:
    """Tell which chunks of a version a process can pass on."""

    model: str
    version: int
    bitmap: bytes


@dataclass(slots=True, frozen=True)
class SuspectItem:
    """Name a request that was running when upstreams crashed."""

    fingerprint: str
    upstreams: list[str]


@dataclass(slots=True, frozen=True)
class News:
    """Tell peers what a process knows; each message stands for itself."""

    sender: PeerAddress
    incarnation: int
    sequence: int
    domain: str
    leaving: bool = False
    # End of the replica of each topic, by topic name.
    ends_by_topic: dict[str, int] = field(default_factory=dict)
    shares: list[ShareItem] = field(default_factory=list)
    engines: list[EngineItem] = field(default_factory=list)
    chunks: list[ChunkItem] = field(default_factory=list)
    suspects: list[SuspectItem] = field(default_factory=list)
    peers: list[PeerAddress] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class RecordItem:
    """Carry a record of a replica."""

    key: str
    value: bytes | None
    offset: int


@dataclass(slots=True, frozen=True)
class RecordPage:
    """Carry the records of a topic from an offset on."""

    end: int
    records: list[RecordItem]
    # Seconds since the store confirmed what the sender holds.
    age_s: float = 0.0


def encode_message(message: News | RecordPage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode([PROTOCOL, message])


def decode_news(payload: bytes) -> News:
    """Decode a datagram or raise `FrameError`."""
    return _decode(payload, News)


def decode_page(payload: bytes) -> RecordPage:
    """Decode a page of records or raise `FrameError`."""
    return _decode(payload, RecordPage)


def _decode(payload: bytes, expected: type):
    try:
        protocol, message = msgspec.msgpack.decode(payload, type=tuple[int, expected])
    except (msgspec.DecodeError, ValueError) as error:
        raise FrameError(
            f"message of {len(payload)} bytes does not decode: {error}; "
            "run the same release on all VMs"
        ) from error
    if protocol != PROTOCOL:
        raise FrameError(
            f"message has protocol {protocol} in place of {PROTOCOL}; "
            "run the same release on all VMs"
        )
    return message
