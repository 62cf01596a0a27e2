"""Messages that the processes send to each other."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from ._errors import Code, RunState


@dataclass(slots=True, frozen=True)
class Load:
    """Describe the limit and the current load of an upstream."""

    # Number of requests that may run at a time.
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
    # Identifies equal requests, so that one that crashes engines is recognised.
    fingerprint: str = ""
    # Payload bytes that may be sent before the first `Credit`.
    window_bytes: int = 65536
    resume_from: int = 0
    digest: str = ""
    # The entry has just created the key, so no claim on it can exist.
    fresh_key: bool = False


@dataclass(slots=True, frozen=True)
class Accepted:
    """Report that the agent admitted the attempt."""

    request_id: str
    attempt: int
    incarnation: str
    load: Load


@dataclass(slots=True, frozen=True)
class Refused:
    """Report that the attempt was refused before it reached the upstream."""

    request_id: str
    attempt: int
    code: Code
    load: Load
    retry_after: timedelta | None = None


@dataclass(slots=True, frozen=True)
class Head:
    """Start a response with its status, content type and weights digest."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    digest: str


@dataclass(slots=True, frozen=True)
class Data:
    """Carry a part of the response body."""

    request_id: str
    attempt: int
    seq: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class End:
    """End a response and carry what the receiver needs to verify it."""

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
    """Report that an admitted attempt failed."""

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
    """Report that the response is no longer needed."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class StatusQuery:
    """Ask an agent what it knows about an attempt of a request."""

    request_id: str
    attempt: int = 0


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
    """Ask to resend the response from a sequence number on."""

    request_id: str
    attempt: int
    from_seq: int
    total_bytes: int


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Check whether an agent that runs requests of the sender is alive."""

    nonce: int


@dataclass(slots=True, frozen=True)
class HeartbeatReply:
    """Answer a heartbeat with the load."""

    nonce: int
    load: Load


@dataclass(slots=True, frozen=True)
class Ping:
    """Probe a member."""

    nonce: int


@dataclass(slots=True, frozen=True)
class Pong:
    """Answer a probe."""

    nonce: int
    load: Load
    id: str = ""
    incarnation: str = ""


@dataclass(slots=True, frozen=True)
class PingRequest:
    """Ask a peer to probe an address and to relay the answer."""

    address: str
    nonce: int


@dataclass(slots=True, frozen=True)
class MemberUpdate:
    """Carry the state of a member as one process knows it."""

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
    """Carry the engine crashes that involved a fingerprint and those cleared since.

    Crash ids make a merge idempotent: two reports of one crash count once, and
    two crashes at different agents count twice.
    """

    fingerprint: str
    crashes: int
    time_left: timedelta
    crash_ids: list[str] = field(default_factory=list)
    cleared_ids: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class DomainSummary:
    """Summarise what the sender knows about the members of a failure domain."""

    domain: str
    members: int
    checksum: int


@dataclass(slots=True, frozen=True)
class DomainContact:
    """Report whether a relay of the sender's domain hears from another domain."""

    domain: str
    observer: str
    version: int
    reachable: bool


@dataclass(slots=True, frozen=True)
class Gossip:
    """Carry membership and quarantine deltas."""

    sender: str
    members: list[MemberUpdate] = field(default_factory=list)
    quarantine: list[QuarantineUpdate] = field(default_factory=list)
    config_offset: int = -1
    summaries: list[DomainSummary] = field(default_factory=list)
    contacts: list[DomainContact] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class LogRecord:
    """Carry one record of the platform's log."""

    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ConfigPull:
    """Ask a peer for the configuration records after an offset."""

    after_offset: int


@dataclass(slots=True, frozen=True)
class ConfigPush:
    """Carry a snapshot, if needed, and the records after it."""

    records: list[LogRecord]
    snapshot_offset: int = -1
    snapshot: bytes = b""


@dataclass(slots=True, frozen=True)
class ChunkMap:
    """Report which chunks of a version the sender has verified."""

    digest: str
    bitmap: bytes
    count: int


@dataclass(slots=True, frozen=True)
class ChunkRequest:
    """Ask for one chunk of the version with a digest."""

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
    """Ask a witness to store claims and to drop those that the log now holds.

    A witness is a process that keeps copies of claims which an agent, their home,
    has accepted and not yet written to the log.
    """

    home: str
    incarnation: str
    keys: list[str]
    nonce: int
    logged: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class WitnessAck:
    """Confirm that a witness has stored the claims."""

    home: str
    witness: str
    nonce: int
    witness_incarnation: str = ""
    incarnation: str = ""


@dataclass(slots=True, frozen=True)
class WitnessRead:
    """Ask a witness for the claims that it stored for a home agent."""

    home: str
    incarnation: str
    nonce: int


@dataclass(slots=True, frozen=True)
class WitnessTable:
    """Carry the claims that a witness has stored since its start."""

    home: str
    witness: str
    witness_incarnation: str
    keys: list[str]
    nonce: int
    incarnation: str = ""


Message = (
    Submit
    | Accepted
    | Refused
    | Head
    | Data
    | End
    | Failed
    | Credit
    | Cancel
    | StatusQuery
    | StatusReply
    | Resume
    | Heartbeat
    | HeartbeatReply
    | Ping
    | Pong
    | PingRequest
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
