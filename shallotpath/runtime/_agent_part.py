"""Part of the node that connects it with the request path of an agent."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from functools import singledispatchmethod
from typing import Protocol

from ..claims import ClaimDecided
from ..core import (
    ConfigurationChanged,
    DrainRequested,
    Effect,
    Event,
    Gauge,
    Tick,
)
from ._ports import ClaimPort


@dataclass(slots=True, frozen=True)
class ClaimWanted(Event):
    """Ask for a decision on an idempotency key."""

    key: str
    request_id: str
    fresh: bool


@dataclass(slots=True, frozen=True)
class ClaimFinished(Event):
    """Report the end of a claimed run; a status of 0 means an unknown outcome."""

    key: str
    request_id: str
    status: int


@dataclass(slots=True, frozen=True)
class ClaimReleased(Event):
    """Report that a claimed call was never sent to the upstream."""

    key: str
    request_id: str


class AgentListener(Protocol):
    """React to events of the node; called while the node handles an event."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for readers."""
        ...

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are queued or run."""
        ...

    def claim_decided(self, event: ClaimDecided) -> None:
        """Pass the decision on an idempotency key to the call that waits for it."""
        ...

    def schedule_check(self) -> None:
        """Check deadlines, silent entries and budgets soon."""
        ...

    def refuse_new_work(self) -> None:
        """Start to refuse new work."""
        ...


class AgentPart:
    """Connect the agent's request path with the node."""

    __slots__ = ("claims", "listener_")

    def __init__(self, claims: ClaimPort | None = None) -> None:
        self.claims = claims
        self.listener_: AgentListener | None = None

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: ClaimWanted, now: datetime) -> list[Effect]:
        if self.claims is None:
            return []
        return self.claims.request(event.key, event.request_id, event.fresh, now)

    @reduce.register
    def _(self, event: ClaimFinished, now: datetime) -> list[Effect]:
        if self.claims is None:
            return []
        return self.claims.finished(event.key, event.request_id, event.status, now)

    @reduce.register
    def _(self, event: ClaimReleased, now: datetime) -> list[Effect]:
        if self.claims is None:
            return []
        return self.claims.released(event.key, event.request_id, now)

    @reduce.register
    def _(self, event: ClaimDecided, now: datetime) -> list[Effect]:
        if self.listener_ is not None:
            self.listener_.claim_decided(event)
        return []

    @reduce.register
    def _(self, event: DrainRequested, now: datetime) -> list[Effect]:
        if self.listener_ is not None:
            self.listener_.refuse_new_work()
        return []

    @reduce.register
    def _(self, event: ConfigurationChanged, now: datetime) -> list[Effect]:
        if self.listener_ is not None:
            self.listener_.schedule_check()
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        if self.listener_ is None:
            return []
        self.listener_.schedule_check()
        return [
            Gauge("held_bytes", self.listener_.held_bytes),
            Gauge("in_flight", self.listener_.in_flight),
        ]
