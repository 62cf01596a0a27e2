"""Records of the claims stream and their encoding."""

from __future__ import annotations

import msgspec

from ..core import DECODING_ERRORS

STREAM = "claims"


class Witness(msgspec.Struct, frozen=True, array_like=True):
    """Identify a process at one incarnation that stores claims for a home agent."""

    id: str
    incarnation: str
    address: str


class Join(msgspec.Struct, frozen=True, tag=True):
    """Ask to become a home agent.

    `replaces` names the incarnation that the author found under its member id, so
    that a join that takes effect late cannot displace a newer incarnation. `read` is
    the offset up to which the author has read the stream.
    """

    service: str
    member: str
    incarnation: str
    domain: str
    replaces: str = ""
    read: int = -1
    vm_incarnation: str = ""


class Leave(msgspec.Struct, frozen=True, tag=True):
    """Report that a home agent left and makes no further claims."""

    service: str
    member: str
    incarnation: str


class Retire(msgspec.Struct, frozen=True, tag=True):
    """Report that a home agent has stopped, and the evidence for it."""

    service: str
    member: str
    incarnation: str
    evidence: str


class Contact(msgspec.Struct, frozen=True, tag=True):
    """Confirm the offset that a home agent has read and name its witnesses.

    A join becomes active when all active home agents have confirmed its offset.
    """

    service: str
    member: str
    incarnation: str
    seq: int
    read: int
    witnesses: list[Witness]


class Claims(msgspec.Struct, frozen=True, tag=True):
    """Claim keys; `offline` marks claims that were decided without the log."""

    service: str
    member: str
    incarnation: str
    keys: list[str]
    offline: bool = False


class Settled(msgspec.Struct, frozen=True, tag=True):
    """Record all that a retired home agent claimed without the log."""

    service: str
    member: str
    incarnation: str
    keys: list[str]
    evidence: str


class HomeImage(msgspec.Struct, frozen=True, array_like=True):
    """Carry one home agent in a snapshot."""

    member: str
    incarnation: str
    domain: str
    joined_at: int
    read: int
    vm_incarnation: str
    seq: int
    witnesses: list[Witness]


class UnresolvedClaimsImage(msgspec.Struct, frozen=True, array_like=True):
    """Carry the unresolved claims of a retired home agent in a snapshot."""

    member: str
    incarnation: str
    witnesses: list[Witness]
    members: list[str]


class ServiceImage(msgspec.Struct, frozen=True, array_like=True):
    """Carry the home set of one service in a snapshot."""

    service: str
    active: list[HomeImage]
    pending: list[HomeImage]
    unresolved: list[UnresolvedClaimsImage]


class Snapshot(msgspec.Struct, frozen=True, tag=True):
    """Carry all home sets at an offset, for readers that start after it.

    `through` is the last offset included; `gone` lists departed incarnations.
    """

    through: int
    services: list[ServiceImage]
    gone: list[str]
    service: str = ""


Record = Join | Leave | Retire | Contact | Claims | Settled | Snapshot

_decoder = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: Record) -> bytes:
    """Return the encoded form of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Return the decoded record, or None if it is garbled."""
    try:
        return _decoder.decode(data)
    except DECODING_ERRORS:
        return None
