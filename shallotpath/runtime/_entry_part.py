"""Node events that the request path of an entry handles."""

from __future__ import annotations

from datetime import datetime
from functools import singledispatchmethod
from typing import Protocol

from ..core import DrainRequested, Effect, Event, Gauge, MemberChanged, Tick


class EntryListener(Protocol):
    """Handle node events in the entry server, called while the node reduces them."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes buffered for callers."""
        ...

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a complete response."""
        ...

    def schedule_check(self) -> None:
        """Check heartbeats, deadlines and budgets after the current event."""
        ...

    def refuse_new_work(self) -> None:
        """Refuse all further requests."""
        ...


class EntryPart:
    """Forward node events to the request path of the entry and report its gauges."""

    __slots__ = ("listener_",)

    def __init__(self) -> None:
        self.listener_: EntryListener | None = None

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: DrainRequested, now: datetime) -> list[Effect]:
        if self.listener_ is not None:
            self.listener_.refuse_new_work()
        return []

    @reduce.register
    def _(self, event: MemberChanged, now: datetime) -> list[Effect]:
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
