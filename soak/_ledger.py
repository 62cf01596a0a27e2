"""Record of the requests, their runs and the faults of a soak run."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

from ._spans import Intervals


class Kind(StrEnum):
    """Name the kind of a request, which selects its route."""

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
    """Name how an attempt ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    # A time-out of the caller expired.
    ABANDONED = "abandoned"
    UNREACHABLE = "unreachable"
    CUT = "cut"


@dataclass(slots=True)
class Attempt:
    """Hold one request that a caller sent, and its outcome."""

    # Unique; the last part of the path and the body.
    id: str
    kind: Kind
    entry: int
    sent_at: datetime
    # When the last byte of the request was sent, `None` before.
    whole_at: datetime | None = None
    ended_at: datetime | None = None
    # In the header; other attempts may have the same one.
    request_id: str = ""
    ending: Ending = Ending.OPEN
    status: int = 0
    # Signature of the run that the answer came from, empty without one.
    seal: str = ""
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.kind} {self.id} of entry {self.entry}"


@dataclass(slots=True)
class Run:
    """Hold one execution of a request at an upstream."""

    attempt_id: str
    upstream: str
    domain: str
    # Version of the model's weights; 0 at an upstream without a model.
    version: int
    began_at: datetime
    ended_at: datetime | None = None
    # The upstream deliberately broke off its answer.
    broke_off: bool = False
    status: int = 200
    # Id and signature in its answer.
    request_id: str = ""
    seal: str = ""


@dataclass(slots=True, frozen=True)
class Arrival:
    """Hold the arrival of a request at an upstream that may refuse it."""

    attempt_id: str
    at: datetime


@dataclass(slots=True, frozen=True)
class Notice:
    """Hold what an upstream has said in its answer to an entry."""

    upstream: str
    entry: int
    at: datetime
    # When it wants requests again, `None` if it leaves.
    closed_until: datetime | None


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """Hold when a configuration was written, and what limits its callers."""

    at: datetime
    version: int
    route_timeout: timedelta
    idle_timeout: timedelta


@dataclass(slots=True, frozen=True)
class Violation:
    """Describe a violated invariant."""

    invariant: str
    detail: str


def _runs_by_id() -> defaultdict[str, list[Run]]:
    return defaultdict(list)


def _arrivals_by_upstream() -> defaultdict[str, list[Arrival]]:
    return defaultdict(list)


def _intervals_by_key() -> defaultdict[object, Intervals]:
    return defaultdict(Intervals)


@dataclass(slots=True)
class Ledger:
    """Collect attempts, runs, announced changes and the times of faults."""

    attempts_by_id: dict[str, Attempt] = field(default_factory=dict)
    runs_by_id: dict[str, list[Run]] = field(default_factory=_runs_by_id)
    arrivals_by_upstream: dict[str, list[Arrival]] = field(
        default_factory=_arrivals_by_upstream
    )
    notices: list[Notice] = field(default_factory=list)
    # In the order of their versions.
    configurations: list[ConfigurationChange] = field(default_factory=list)
    announced_at_by_version: dict[int, datetime] = field(default_factory=dict)
    drain_started_at_by_upstream: dict[str, datetime] = field(default_factory=dict)
    evacuations_by_domain: dict[str, Intervals] = field(
        default_factory=_intervals_by_key
    )
    # Starts, planned stops, kills and freezes. Programs are numbered with the entries
    # first.
    disturbances_by_program: dict[int, Intervals] = field(
        default_factory=_intervals_by_key
    )
    unplanned_faults_by_program: dict[int, Intervals] = field(
        default_factory=_intervals_by_key
    )
    planned_stops_by_program: dict[int, Intervals] = field(
        default_factory=_intervals_by_key
    )
    store_outages: Intervals = field(default_factory=Intervals)
    # Times in which the soak's event loop lagged, so that its time stamps and
    # stand-ins were late.
    event_loop_lags: Intervals = field(default_factory=Intervals)
    # Copies of answers that upstreams wrote, and the connections that they met.
    copy_counts: Counter = field(default_factory=Counter)
    violations: list[Violation] = field(default_factory=list)

    def configurations_since(self, at: datetime) -> list[ConfigurationChange]:
        """Return the configuration that was newest at a time, and all later ones."""
        older = [each for each in self.configurations if each.at <= at]
        return older[-1:] + [each for each in self.configurations if each.at > at]

    def add_violation(self, invariant: str, detail: str) -> None:
        """Add a violation that was seen during the run."""
        self.violations.append(Violation(invariant, detail))
