"""Records of the configuration stream and their codec."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from typing import get_args

import msgspec

from ..core import DECODING_ERRORS, ShallotError
from ._model import ModelVersion, Preset, Service, Team

STREAM = "config"
FORMAT_VERSION = 1


class RecordError(ShallotError):
    """Report a log record or snapshot that does not decode."""


@dataclass(slots=True, frozen=True)
class Header:
    """Describe who made a change, when, and at which offset they had read."""

    command_id: str
    operator: str
    at: datetime
    base_offset: int


@dataclass(slots=True, frozen=True)
class PutTeam:
    """Create or replace a team."""

    team: Team


@dataclass(slots=True, frozen=True)
class DeleteTeam:
    """Remove a team."""

    id: str


@dataclass(slots=True, frozen=True)
class PutService:
    """Create or replace a service."""

    service: Service


@dataclass(slots=True, frozen=True)
class DeleteService:
    """Remove a service."""

    id: str


@dataclass(slots=True, frozen=True)
class PutVersion:
    """Register a published version."""

    version: ModelVersion


@dataclass(slots=True, frozen=True)
class DeleteVersion:
    """Remove a version that no service runs."""

    id: str


@dataclass(slots=True, frozen=True)
class DefinePreset:
    """Create or replace a preset."""

    preset: Preset


@dataclass(slots=True, frozen=True)
class ApplyPreset:
    """Apply a preset in place of the current one."""

    id: str


@dataclass(slots=True, frozen=True)
class TakeDomainOut:
    """Take a failure domain out of service: it gets no new work."""

    id: str
    force: bool = False


@dataclass(slots=True, frozen=True)
class BringDomainIn:
    """Return a failure domain to service, or add a new one with its region."""

    id: str
    region: str = ""


@dataclass(slots=True, frozen=True)
class PauseRollout:
    """Stop further upstreams of a service from switching versions."""

    service: str


@dataclass(slots=True, frozen=True)
class ResumeRollout:
    """Allow upstreams of a service to switch versions again."""

    service: str


@dataclass(slots=True, frozen=True)
class RollBack:
    """Return a service to the version that it ran before."""

    service: str


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Carry the encoded state of the configuration at an offset."""

    offset: int
    state: bytes = field(repr=False)


Change = (
    PutTeam
    | DeleteTeam
    | PutService
    | DeleteService
    | PutVersion
    | DeleteVersion
    | DefinePreset
    | ApplyPreset
    | TakeDomainOut
    | BringDomainIn
    | PauseRollout
    | ResumeRollout
    | RollBack
    | Snapshot
)


@dataclass(slots=True, frozen=True)
class Record:
    """Combine a change with its header."""

    header: Header
    change: Change


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[int, str, Header, msgspec.Raw])
_decoder_by_kind = {
    cls.__name__: msgspec.msgpack.Decoder(cls) for cls in get_args(Change)
}


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    kind = type(record.change).__name__
    return _encoder.encode((FORMAT_VERSION, kind, record.header, record.change))


def decode_record(data: bytes) -> Record:
    """Decode a record or raise `RecordError`."""
    try:
        format_version, kind, header, body = _envelope_decoder.decode(data)
        if format_version != FORMAT_VERSION or kind not in _decoder_by_kind:
            raise RecordError(
                f"record of format {format_version} and kind {kind!r} is unknown; "
                "run one release on all VMs"
            )
        return Record(header, _decoder_by_kind[kind].decode(body))
    except DECODING_ERRORS as error:
        raise RecordError(
            f"record does not decode: {error}; append changes with shallotctl"
        ) from error
