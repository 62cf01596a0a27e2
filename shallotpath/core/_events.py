"""Events that a node reduces."""

from __future__ import annotations

from dataclasses import dataclass, field

from ._errors import Code, RunState
from ._messages import LogRecord, Message, QuarantineUpdate


@dataclass(slots=True, frozen=True)
class Event:
    """Serve as the base of all events."""


@dataclass(slots=True, frozen=True)
class Tick(Event):
    """Advance the time; sent several times a second."""


@dataclass(slots=True, frozen=True)
class TimerFired(Event):
    """Report that a named timer expired."""

    name: str


@dataclass(slots=True, frozen=True)
class Received(Event):
    """Report a message from a peer."""

    peer: str
    message: Message


@dataclass(slots=True, frozen=True)
class PeerSilent(Event):
    """Report that no message came from a peer within the silence time-out."""

    peer: str


@dataclass(slots=True, frozen=True)
class ListedVm:
    """Describe one VM of the platform's VM list."""

    id: str
    incarnation: str
    address: str
    domain: str
    state: str


@dataclass(slots=True, frozen=True)
class ListUpdated(Event):
    """Report the platform's VM list, which lags behind the state of the VMs."""

    version: int
    vms: list[ListedVm]


@dataclass(slots=True, frozen=True)
class RecordsRead(Event):
    """Report records read from a stream of the platform's log."""

    stream: str
    records: list[LogRecord]
    next_offset: int


@dataclass(slots=True, frozen=True)
class AppendDone(Event):
    """Report that an append took effect."""

    stream: str
    token: int
    first_offset: int


@dataclass(slots=True, frozen=True)
class AppendFailed(Event):
    """Report that an append failed or its answer was lost."""

    stream: str
    token: int


@dataclass(slots=True, frozen=True)
class LogContact(Event):
    """Report that the log responded to a read, or stopped responding."""

    stream: str
    reachable: bool


@dataclass(slots=True, frozen=True)
class ConfigurationChanged(Event):
    """Report that a newer configuration is in force on this process."""

    offset: int


@dataclass(slots=True, frozen=True)
class MemberChanged(Event):
    """Report that a member changed its state or incarnation."""

    id: str
    state: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class QuarantineAnnounced(Event):
    """Ask membership to distribute fingerprints to all processes."""

    updates: list[QuarantineUpdate]


@dataclass(slots=True, frozen=True)
class QuarantineReceived(Event):
    """Report fingerprints that other processes announced."""

    updates: list[QuarantineUpdate]


@dataclass(slots=True, frozen=True)
class EngineObserved(Event):
    """Report the state that the engine or plain service returned."""

    incarnation: str
    # Digest of the loaded weights.
    digest: str
    # The engine is still warming up and can run few requests.
    cold: bool
    # Number of requests that the engine runs.
    running: int
    held_bytes: int
    memory_bytes: int
    # Latest fencing token; only some engines check the tokens of orders.
    fencing: int = 0
    checks_fencing: bool = False


@dataclass(slots=True, frozen=True)
class EngineLost(Event):
    """Report that the engine crashed or stopped responding."""

    # Fingerprints of the requests that it was running.
    fingerprints: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class CallEnded(Event):
    """Report the outcome of one run on the engine."""

    request_id: str
    run: RunState
    code: Code | None = None


@dataclass(slots=True, frozen=True)
class DrainRequested(Event):
    """Report that this process was asked to stop."""
