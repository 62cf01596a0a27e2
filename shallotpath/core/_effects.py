"""Effects that a node returns and the shell of its process performs."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from ._events import Event
from ._messages import Message


@dataclass(slots=True, frozen=True)
class Effect:
    """Serve as the base of all effects."""


@dataclass(slots=True, frozen=True)
class Send(Effect):
    """Send a message to a peer address; `bulk` selects the socket for chunks."""

    peer: str
    message: Message
    bulk: bool = False


@dataclass(slots=True, frozen=True)
class Emit(Effect):
    """Feed an event back into the node before `reduce` returns."""

    event: Event


@dataclass(slots=True, frozen=True)
class SetTimer(Effect):
    """Start or restart a named timer."""

    name: str
    delay: timedelta


@dataclass(slots=True, frozen=True)
class CancelTimer(Effect):
    """Stop a named timer."""

    name: str


@dataclass(slots=True, frozen=True)
class Append(Effect):
    """Append records to a stream of the platform's log.

    `AppendDone` or `AppendFailed` reports the outcome with the same token.
    """

    stream: str
    token: int
    records: list[bytes]


@dataclass(slots=True, frozen=True)
class Count(Effect):
    """Add to a counter."""

    name: str
    labels: dict[str, str] = field(default_factory=dict)
    amount: int = 1


@dataclass(slots=True, frozen=True)
class Gauge(Effect):
    """Set a gauge."""

    name: str
    value: float
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Log(Effect):
    """Write a log line about a change of state."""

    kind: str
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Trace(Effect):
    """Record an event for the timeline."""

    kind: str
    fields: dict[str, str] = field(default_factory=dict)
