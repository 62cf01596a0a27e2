"""Reducer of a process, made of parts that handle the same stream of events."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from datetime import datetime
from typing import Protocol

from ._effects import Effect, Emit
from ._events import Event


class Part(Protocol):
    """Reduce the events that concern one topic."""

    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        ...


class Node:
    """Reduce all events of a process by passing them to its parts."""

    __slots__ = ("name", "parts", "parts_by_type_")

    def __init__(self, name: str, parts: Sequence[Part]) -> None:
        self.name = name
        self.parts = parts
        self.parts_by_type_: dict[type, list[Part]] = {}

    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and those emitted for it; return all other effects."""
        pending = deque([event])
        effects: list[Effect] = []
        while pending:
            current = pending.popleft()
            for part in self._parts_for(type(current)):
                for effect in part.reduce(current, now):
                    if isinstance(effect, Emit):
                        pending.append(effect.event)
                    else:
                        effects.append(effect)
        return effects

    def _parts_for(self, event_type: type) -> list[Part]:
        parts = self.parts_by_type_.get(event_type)
        if parts is None:
            parts = [part for part in self.parts if handles(part, event_type)]
            self.parts_by_type_[event_type] = parts
        return parts


def handles(part: Part, event_type: type) -> bool:
    """Check whether a part registered a handler for an event type."""
    descriptor = type(part).__dict__.get("reduce")
    dispatcher = getattr(descriptor, "dispatcher", None)
    if dispatcher is None:
        return True
    return dispatcher.dispatch(event_type) is not dispatcher.dispatch(object)
