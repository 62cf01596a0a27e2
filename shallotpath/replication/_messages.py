"""Messages that processes exchange in datagrams and over HTTP.

Messages are encoded as arrays: field names would double their size, and traffic
between regions is billed by the byte.
"""

from __future__ import annotations

import zlib

import msgspec

from ..core import FrameError
from ..duties import EntryUsage
from ..gateway import EngineReport, EntryLoad
from ._replica import UNKNOWN_ERA, KeyedRecord, ReplicaPage

PROTOCOL = 6
# Larger datagrams are split into more IP fragments, and the loss of one fragment
# loses the whole datagram.
MAX_DATAGRAM_BYTES = 8192
# Bounds the memory that a faulty peer can make a process allocate. Topics in the
# store are smaller.
MAX_PAGE_BYTES = 64 << 20
FASTEST_ZLIB_LEVEL = 1


class PeerAddress(msgspec.Struct, frozen=True, array_like=True):
    """Identify a process and the address on which it listens."""

    id: str
    host: str
    port: int
    engine: bool


class ChunkItem(msgspec.Struct, frozen=True, array_like=True):
    """Report which chunks of a version a process can upload."""

    model: str
    version: int
    bitmap: bytes


class TopicItem(msgspec.Struct, frozen=True, array_like=True):
    """Report a process's offset in a topic and how long ago the store confirmed it."""

    name: str
    end: int
    # `None` before the first read from the store.
    age_s: float | None


class AnnouncementsItem(msgspec.Struct, frozen=True, array_like=True):
    """Report how long ago the versions of a model's weights were announced."""

    model: str
    # `None` if the sender does not know; receivers treat it as long ago.
    age_s_by_version: dict[int, float | None]


class SuspectItem(msgspec.Struct, frozen=True, array_like=True):
    """Report a request that was running on upstreams when they crashed."""

    fingerprint: str
    upstreams: list[str]


class PartItem(msgspec.Struct, frozen=True, array_like=True):
    """Report crashes of upstreams that may be due to a part of a prompt."""

    part: str
    crash_ids: list[str]
    # Crashes after which an answer with the part has begun.
    cleared_ids: list[str]
    # Parts that all requests lost in these crashes had too.
    companions: list[str]
    # Whether any answer with the part has ever begun.
    answered: bool
    # Seconds since the last crash.
    age_s: float


class DemandItem(msgspec.Struct, frozen=True, array_like=True):
    """Report the recent first attempts of one rank of a service."""

    service: str
    # 0 for the most urgent of the service's priorities.
    rank: int
    # Decayed numbers of requests.
    offered: float
    refused: float
    # Decayed time of upstreams that the admitted ones need.
    work_s: float
    target_s: float


class PlacementItem(msgspec.Struct, frozen=True, array_like=True, tag="placed"):
    """Tell peers that an entry has just sent a request to an upstream."""

    sender: str
    upstream: str
    share: EntryLoad


class GossipMessage(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Tell peers the state that a process knows; needs no earlier message."""

    sender: PeerAddress
    incarnation: int
    sequence: int
    domain: str
    leaving: bool = False
    topics: list[TopicItem] = []
    # Load that the sending entry has placed, by upstream.
    shares: dict[str, EntryLoad] = {}
    engines: list[EngineReport] = []
    chunks: list[ChunkItem] = []
    suspects: list[SuspectItem] = []
    peers: list[PeerAddress] = []
    announcements: list[AnnouncementsItem] = []
    # Releases before this field ignore it.
    parts: list[PartItem] = []
    # Demand at the sending entry, for services with several priorities.
    demands: list[DemandItem] = []
    # Era of the store in which the ends of `topics` are counted.
    era: int = UNKNOWN_ERA
    # Seconds since a process first learned of the era; `None` with an unknown one.
    era_age_s: float | None = None


class RecordItem(msgspec.Struct, frozen=True, array_like=True):
    """Carry one record of a replicated topic."""

    key: str
    value: bytes | None
    offset: int


class RecordPage(msgspec.Struct, frozen=True, array_like=True):
    """Carry the records of a topic from an offset on."""

    end: int
    # Output of `pack_records`.
    packed: bytes
    # Seconds since the store confirmed the sender's replica; `None` if it never did.
    age_s: float | None = 0.0


class ListingPage(RecordPage, frozen=True, array_like=True):
    """Carry records together with the keys of the older ones; others were removed.

    It takes the place of the removals where the sender does not know all of them.
    """

    kept_keys: list[str] | None = None


class RetainedItem(RecordItem, frozen=True, array_like=True):
    """Carry a record of an earlier era that the sender still uses."""

    era: int = UNKNOWN_ERA


class EraPage(ListingPage, frozen=True, array_like=True):
    """Carry records of a known era of the store.

    Releases before eras read it as a listing, or as a page of records without
    `kept_keys`.
    """

    era: int = UNKNOWN_ERA
    era_age_s: float | None = None
    # Records below this offset may have been in the copy that the store came back from.
    copied_below: int | None = None
    # Output of `pack_records` for `RetainedItem`; empty without any.
    packed_retained: bytes = b""


def encode_replica_page(page: ReplicaPage) -> RecordPage:
    """Return the message for a page of a replica, without its ages."""
    packed = pack_records([RecordItem(r.key, r.value, r.offset) for r in page.records])
    retained = [RetainedItem(r.key, r.value, r.offset, r.era) for r in page.retained]
    if page.era == UNKNOWN_ERA:
        if page.kept_keys is None:
            return RecordPage(page.end, packed)
        return ListingPage(page.end, packed, kept_keys=page.kept_keys)
    return EraPage(
        page.end,
        packed,
        kept_keys=page.kept_keys,
        era=page.era,
        copied_below=page.copied_below,
        packed_retained=pack_records(retained) if retained else b"",
    )


def decode_replica_page(page: RecordPage) -> ReplicaPage:
    """Return the page that a message carries or raise `FrameError`."""
    items = unpack_records(page.packed)
    kept_keys = page.kept_keys if isinstance(page, ListingPage) else None
    if not isinstance(page, EraPage):
        records = [KeyedRecord(r.key, r.value, r.offset) for r in items]
        return ReplicaPage(records, page.end, kept_keys)
    packed = page.packed_retained
    retained = unpack_records(packed, RetainedItem) if packed else []
    return ReplicaPage(
        [KeyedRecord(r.key, r.value, r.offset, page.era) for r in items],
        page.end,
        kept_keys,
        page.era,
        tuple(KeyedRecord(r.key, r.value, r.offset, r.era) for r in retained),
        page.copied_below,
    )


def pack_records(records: list[RecordItem]) -> bytes:
    """Encode and compress records; large configurations shrink to a tenth."""
    return zlib.compress(msgspec.msgpack.encode(records), FASTEST_ZLIB_LEVEL)


def unpack_records(
    packed: bytes, item_type: type[RecordItem] = RecordItem
) -> list[RecordItem]:
    """Decode packed records or raise `FrameError`."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, MAX_PAGE_BYTES)
        if not decompressor.eof:
            raise FrameError(
                f"page of records is truncated or above {MAX_PAGE_BYTES} bytes; "
                "run the same release on all VMs"
            )
        return msgspec.msgpack.decode(encoded, type=list[item_type])
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise FrameError(
            f"page of records does not decode: {error}; run the same release on all VMs"
        ) from error


# Counts are sent only to a process that has asked for them, so that releases before
# them get none.
Datagram = GossipMessage | PlacementItem | EntryUsage


def encode_message(message: Datagram | RecordPage) -> bytes:
    """Encode a message together with the protocol number."""
    return msgspec.msgpack.encode([PROTOCOL, message])


def decode_datagram(payload: bytes) -> Datagram:
    """Decode a datagram or raise `FrameError`."""
    return _decode(payload, Datagram)


def decode_page(payload: bytes) -> RecordPage:
    """Decode a page of records or raise `FrameError`."""
    page = _decode(payload, EraPage)
    if page.era != UNKNOWN_ERA:
        return page
    if page.kept_keys is None:
        return RecordPage(page.end, page.packed, page.age_s)
    return ListingPage(page.end, page.packed, page.age_s, page.kept_keys)


def _decode(payload: bytes, expected):
    try:
        protocol, message = msgspec.msgpack.decode(payload, type=tuple[int, expected])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise FrameError(
            f"message of {len(payload)} bytes does not decode: {error}; "
            "run the same release on all VMs"
        ) from error
    if protocol != PROTOCOL:
        raise FrameError(
            f"message has protocol {protocol}, expected {PROTOCOL}; "
            "run the same release on all VMs"
        )
    return message
