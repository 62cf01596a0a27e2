"""What callers and stand-ins saw in a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum

from ._spans import Spans


class Kind(StrEnum):
    """Describe what a request is, by its route."""

    STREAM = "stream"
    RESUMABLE = "resumable"
    ORDER = "order"
    LOOKUP = "lookup"

    @property
    def repeatable(self) -> bool:
        """Check whether a request may run more than once."""
        return self in (Kind.RESUMABLE, Kind.LOOKUP)

    @property
    def streaming(self) -> bool:
        """Check whether the answer is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


class Ending(StrEnum):
    """Describe how an attempt ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    # The caller stopped waiting.
    ABANDONED = "abandoned"
    UNREACHABLE = "unreachable"
    CUT = "cut"


@dataclass(slots=True)
class Attempt:
    """Hold one attempt of a caller."""

    id: str
    kind: Kind
    entry: int
    sent_at: datetime
    ended_at: datetime | None = None
    ending: Ending = Ending.OPEN
    status: int = 0
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.kind} {self.id} of entry {self.entry}"


@dataclass(slots=True)
class Run:
    """Work of an upstream on a request."""

    request_id: str
    upstream: str
    domain: str
    # Version of the weights, 0 at an upstream without a model.
    version: int
    began_at: datetime
    ended_at: datetime | None = None
    # The upstream itself ended the answer early.
    broke_off: bool = False


@dataclass(slots=True, frozen=True)
class Broken:
    """Describe a promise that was broken and how."""

    promise: str
    detail: str


def _lists() -> defaultdict[str, list[Run]]:
    return defaultdict(list)


def _spans() -> defaultdict[object, Spans]:
    return defaultdict(Spans)


@dataclass(slots=True)
class Ledger:
    """Collect attempts, runs, acknowledged changes and disturbances."""

    attempts_by_id: dict[str, Attempt] = field(default_factory=dict)
    runs_by_id: dict[str, list[Run]] = field(default_factory=_lists)
    named_at_by_version: dict[int, datetime] = field(default_factory=dict)
    left_at_by_upstream: dict[str, datetime] = field(default_factory=dict)
    outs_by_domain: dict[str, Spans] = field(default_factory=_spans)
    # Starts, planned stops, kills and freezes; entries have the first numbers.
    disturbed_by_program: dict[int, Spans] = field(default_factory=_spans)
    unplanned_by_program: dict[int, Spans] = field(default_factory=_spans)
    stops_by_program: dict[int, Spans] = field(default_factory=_spans)
    store_disturbed: Spans = field(default_factory=Spans)
    # The soak's own process was late, so its times and stand-ins were too.
    soak_late: Spans = field(default_factory=Spans)
    broken: list[Broken] = field(default_factory=list)

    def break_promise(self, promise: str, detail: str) -> None:
        """Add a promise that was seen broken."""
        self.broken.append(Broken(promise, detail))
