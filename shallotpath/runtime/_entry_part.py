"""Events that concern the request path of an entry."""

from __future__ import annotations

from datetime import datetime
from functools import singledispatchmethod
from typing import Protocol

from ..core import DrainRequested, Effect, Event, Gauge, MemberChanged, Tick


class EntryListener(Protocol):
    """Act on events of the entry; called while the node reduces."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for callers."""
        ...

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered yet."""
        ...

    def schedule_check(self) -> None:
        """Check heartbeats, deadlines and budgets after the current event."""
        ...

    def refuse_new_work(self) -> None:
        """Start to refuse new work."""
        ...


class EntryPart:
    """Connect the entry's request path with the node."""

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
