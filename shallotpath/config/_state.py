"""State of the configuration at one offset of the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from ..core import DECODING_ERRORS, sha256_hex
from ._model import DEFAULT_PRESET, DomainState, ModelVersion, Preset, Service, Team
from ._records import RecordError

# A record may be based on an offset at most this far back. The history covers the
# same range, so that a command that was appended twice is always detected.
HISTORY_RECORDS = 500


@dataclass(slots=True, frozen=True)
class Outcome:
    """Describe whether a record was accepted, and if not, why."""

    offset: int
    command_id: str
    operator: str
    at: datetime
    summary: str
    accepted: bool
    reason: str = ""
    remedy: str = ""


@dataclass(slots=True, frozen=True)
class ChangeMark:
    """Identify the last accepted change of an object."""

    offset: int
    operator: str
    command_id: str


@dataclass(slots=True)
class ConfigurationState:
    """Hold all objects, recent changes and recent outcomes at an offset."""

    offset: int = -1
    preset_id: str = DEFAULT_PRESET.id
    presets_by_id: dict[str, Preset] = field(
        default_factory=lambda: {DEFAULT_PRESET.id: DEFAULT_PRESET}
    )
    teams_by_id: dict[str, Team] = field(default_factory=dict)
    services_by_id: dict[str, Service] = field(default_factory=dict)
    versions_by_id: dict[str, ModelVersion] = field(default_factory=dict)
    domains_by_id: dict[str, DomainState] = field(default_factory=dict)
    paused_services: list[str] = field(default_factory=list)
    previous_version_by_service: dict[str, str] = field(default_factory=dict)
    marks_by_object: dict[str, ChangeMark] = field(default_factory=dict)
    outcomes_by_command_id: dict[str, Outcome] = field(default_factory=dict)
    snapshot_record_offset: int = -1


_encoder = msgspec.msgpack.Encoder(order="sorted")
_decoder = msgspec.msgpack.Decoder(ConfigurationState)


def encode_state(state: ConfigurationState) -> bytes:
    """Encode a state; equal states give equal bytes."""
    return _encoder.encode(state)


def decode_state(data: bytes) -> ConfigurationState:
    """Decode a state or raise `RecordError`."""
    try:
        state = _decoder.decode(data)
    except DECODING_ERRORS as error:
        raise RecordError(
            f"snapshot does not decode: {error}; run one release on all VMs"
        ) from error
    if state.preset_id not in state.presets_by_id:
        raise RecordError(
            f"snapshot names the unknown preset {state.preset_id!r}; "
            "let a process with a valid configuration append another"
        )
    return state


def digest_state(state: ConfigurationState) -> str:
    """Return a digest that is equal on all processes at one offset."""
    return sha256_hex(encode_state(state))


def prune_state(state: ConfigurationState) -> None:
    """Drop marks and outcomes older than any base offset that is accepted."""
    oldest = state.offset - HISTORY_RECORDS
    for key in [k for k, m in state.marks_by_object.items() if m.offset < oldest]:
        del state.marks_by_object[key]
    outcomes = state.outcomes_by_command_id
    for key in [k for k, o in outcomes.items() if o.offset < oldest]:
        del outcomes[key]
