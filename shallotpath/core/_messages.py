"""Messages that the processes send to each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from ._errors import Code, RunState


@dataclass(slots=True, frozen=True)
class Load:
    """Describe what an upstream holds and may still take."""

    limit: int
    in_flight: int
    held_bytes: int = 0
    incarnation: str = ""
    digest: str = ""


@dataclass(slots=True, frozen=True)
class Submit:
    """Carry one attempt of a caller's request to an agent."""

    request_id: str
    attempt: int
    service: str
    path: str
    team: str
    body: bytes
    time_left: timedelta
    priority: int = 0
    key: str = ""
    repeatable: bool = True
    fingerprint: str = ""
    window_bytes: int = 65536
    resume_from: int = 0
    digest: str = ""


@dataclass(slots=True, frozen=True)
class Accepted:
    """Tell that the agent admitted the attempt."""

    request_id: str
    attempt: int
    incarnation: str
    load: Load


@dataclass(slots=True, frozen=True)
class Refused:
    """Tell that the attempt was not handed to the upstream."""

    request_id: str
    attempt: int
    code: Code
    load: Load
    retry_after: timedelta | None = None


@dataclass(slots=True, frozen=True)
class Data:
    """Carry a part of the answer."""

    request_id: str
    attempt: int
    seq: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Close an answer with what the receiver needs to check it."""

    request_id: str
    attempt: int
    frames: int
    length: int
    checksum: str
    digest: str
    load: Load
    status: int = 200
    content_type: str = "text/event-stream"


@dataclass(slots=True, frozen=True)
class Failed:
    """Tell that an admitted attempt failed."""

    request_id: str
    attempt: int
    code: Code
    run: RunState
    load: Load


@dataclass(slots=True, frozen=True)
class Credit:
    """Allow the sender to send up to a total number of payload bytes."""

    request_id: str
    attempt: int
    total_bytes: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Tell that nobody waits for the answer any more."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class StatusQuery:
    """Ask an agent what it knows about a request."""

    request_id: str


@dataclass(slots=True, frozen=True)
class StatusReply:
    """Report the state of a request at one agent incarnation."""

    request_id: str
    state: str
    attempt: int
    incarnation: str
    next_seq: int


@dataclass(slots=True, frozen=True)
class Resume:
    """Ask for the answer again from a sequence number."""

    request_id: str
    attempt: int
    from_seq: int
    total_bytes: int


@dataclass(slots=True, frozen=True)
class Ping:
    """Probe a peer."""

    nonce: int


@dataclass(slots=True, frozen=True)
class Pong:
    """Answer a probe."""

    nonce: int
    load: Load


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """Carry what one process believes about a member."""

    id: str
    role: str
    domain: str
    region: str
    address: str
    incarnation: str
    state: str
    version: int
    service: str = ""
    bulk_address: str = ""


@dataclass(slots=True, frozen=True)
class QuarantineUpdate:
    """Carry the fingerprint of a request that crashed upstreams."""

    fingerprint: str
    crashes: int
    time_left: timedelta


@dataclass(slots=True, frozen=True)
class Gossip:
    """Carry membership and quarantine deltas."""

    sender: str
    members: list[MemberUpdate] = field(default_factory=list)
    quarantine: list[QuarantineUpdate] = field(default_factory=list)
    config_offset: int = -1


@dataclass(slots=True, frozen=True)
class LogRecord:
    """Carry one record of the platform's log."""

    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ConfigPull:
    """Ask a peer for configuration records after an offset."""

    after_offset: int


@dataclass(slots=True, frozen=True)
class ConfigPush:
    """Carry a snapshot, if needed, and the records after it."""

    records: list[LogRecord]
    snapshot_offset: int = -1
    snapshot: bytes = b""


@dataclass(slots=True, frozen=True)
class ChunkMap:
    """Tell which chunks of a version the sender has verified."""

    digest: str
    bitmap: bytes
    count: int


@dataclass(slots=True, frozen=True)
class ChunkRequest:
    """Ask for one chunk of a pinned version."""

    digest: str
    index: int


@dataclass(slots=True, frozen=True)
class ChunkData:
    """Carry one chunk, or an empty payload if the sender does not serve it."""

    digest: str
    index: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class WeightsStatus:
    """Carry packed update states of agents, relative to a target digest."""

    digest: str
    entries: bytes


@dataclass(slots=True, frozen=True)
class WitnessWrite:
    """Ask a witness to store claims made without the log."""

    home: str
    incarnation: str
    keys: list[str]
    nonce: int


@dataclass(slots=True, frozen=True)
class WitnessAck:
    """Confirm that the claims are stored."""

    home: str
    witness: str
    nonce: int


@dataclass(slots=True, frozen=True)
class WitnessRead:
    """Ask a witness for the claims that it stored for a home agent."""

    home: str
    incarnation: str
    nonce: int


@dataclass(slots=True, frozen=True)
class WitnessTable:
    """Carry the claims that a witness has held since its own start."""

    home: str
    witness: str
    witness_incarnation: str
    keys: list[str]
    nonce: int


Message = (
    Submit
    | Accepted
    | Refused
    | Data
    | End
    | Failed
    | Credit
    | Cancel
    | StatusQuery
    | StatusReply
    | Resume
    | Ping
    | Pong
    | Gossip
    | ConfigPull
    | ConfigPush
    | ChunkMap
    | ChunkRequest
    | ChunkData
    | WeightsStatus
    | WitnessWrite
    | WitnessAck
    | WitnessRead
    | WitnessTable
)
