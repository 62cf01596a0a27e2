"""Fakes at the interfaces: event queue, log, links and upstream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from heapq import heappop, heappush
from itertools import count

from ..core import EngineObserved, LogRecord, ManualClock

# The only published version.
DIGEST = "d1"
TOKENS = 10
TOKEN_BYTES = 1024
TOKEN_TIME = timedelta(milliseconds=10)
# A cold engine is about three times slower.
COLD_FACTOR = 3
WARM_UP_RUNS = 16
RESTART_TIME = timedelta(seconds=1)
REPORT_LAG = timedelta(seconds=1)
MEMORY_BYTES = 64 * 1024 * 1024
REGION_LATENCY = timedelta(milliseconds=1)
FAR_LATENCY = timedelta(milliseconds=2)


class EventQueue:
    """Run actions in the order of their time under a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.heap_: list[tuple[datetime, int, Callable[[], None]]] = []
        self.numbers_ = count()

    def after(self, delay: timedelta, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        at = self.clock.now() + delay
        heappush(self.heap_, (at, next(self.numbers_), action))

    def run_until(self, end: datetime) -> None:
        """Run all actions that are due until a time."""
        while self.heap_ and self.heap_[0][0] <= end:
            at, _, action = heappop(self.heap_)
            self.clock.now_ = max(at, self.clock.now_)
            action()
        self.clock.now_ = end


@dataclass(slots=True)
class FakeLog:
    """Keep the streams; while down, neither reads nor appends succeed."""

    up: bool = True
    loses_answers: bool = False
    records_by_stream: dict[str, list[LogRecord]] = field(default_factory=dict)

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        kept = self.records_by_stream.setdefault(stream, [])
        first = len(kept)
        kept += [LogRecord(first + n, data) for n, data in enumerate(records)]
        return first

    def read(self, stream: str, offset: int) -> list[LogRecord]:
        """Return the records from an offset."""
        return self.records_by_stream.get(stream, [])[offset:]


@dataclass(slots=True)
class FakeLinks:
    """Determine which failure domains reach each other and the platform."""

    region_by_domain: dict[str, str]
    cut_domains: set[str] = field(default_factory=set)
    cut_regions: set[str] = field(default_factory=set)

    def open(self, one: str, other: str) -> bool:
        """Check whether two domains reach each other."""
        if one == other:
            return True
        if {one, other} & self.cut_domains:
            return False
        regions = {self.region_by_domain[one], self.region_by_domain[other]}
        return len(regions) == 1 or not regions & self.cut_regions

    def platform(self, domain: str) -> bool:
        """Check whether a domain reaches the platform."""
        region = self.region_by_domain[domain]
        return domain not in self.cut_domains and region not in self.cut_regions

    def latency(self, one: str, other: str) -> timedelta:
        """Return the one-way latency."""
        same = self.region_by_domain[one] == self.region_by_domain[other]
        return REGION_LATENCY if same else FAR_LATENCY


class FakeUpstream:
    """Run calls over time; crash if a call starts above its capacity."""

    def __init__(
        self, queue: EventQueue, id: str, capacity: int, cold_capacity: int, digest: str
    ) -> None:
        self.queue = queue
        self.id = id
        self.capacity = capacity
        self.cold_capacity = cold_capacity
        self.digest = digest
        self.generation_ = 1
        self.pace_ = 1
        self.up_ = True
        self.completed_ = 0
        self.crashes_ = 0
        self.running_: dict[str, int] = {}
        self.crashed_with_: list[list[str]] = []
        self.lost = lambda request_ids: None
        self.progressed = lambda request_id, size: None
        self.ended = lambda request_id: None

    @property
    def cold(self) -> bool:
        """Check whether its caches are cold."""
        return self.completed_ < WARM_UP_RUNS

    def start(self, request_id: str, poison: bool) -> None:
        """Start a run on an upstream that is up."""
        self.running_[request_id] = 0
        limit = self.cold_capacity if self.cold else self.capacity
        if poison or len(self.running_) > limit:
            self.crash()
            return
        self._next(request_id, self.generation_)

    def crash(self) -> None:
        """Lose all runs and come back cold later."""
        if not self.up_:
            return
        self.crashes_ += 1
        self.up_ = False
        self.generation_ += 1
        ids, self.running_ = list(self.running_), {}
        self.crashed_with_.append(ids)
        self.lost(ids)
        self.queue.after(RESTART_TIME, self._restart)

    def turn_cold(self) -> None:
        """Lose the caches without notice; only the pace and a late report show it."""
        self.completed_ = 0
        # Tokens in progress are late too; one at the warm pace would prove to the
        # gate that an engine that is cold already still is warm.
        self.pace_ += 1
        for request_id in self.running_:
            self._next(request_id, self.generation_)

    def observe(self, deliver: Callable[[EngineObserved], None]) -> None:
        """Report the state that is current now, late."""
        if not self.up_:
            return
        incarnation = f"{self.id}/{self.generation_}"
        held = sum(self.running_.values()) * TOKEN_BYTES
        event = EngineObserved(
            incarnation, self.digest, self.cold, len(self.running_), held, MEMORY_BYTES
        )
        generation = self.generation_

        def late() -> None:
            if self.up_ and generation == self.generation_:
                deliver(event)

        self.queue.after(REPORT_LAG, late)

    def _restart(self) -> None:
        self.up_ = True
        self.completed_ = 0

    def _next(self, request_id: str, generation: int) -> None:
        delay = TOKEN_TIME * (COLD_FACTOR if self.cold else 1)
        pace = self.pace_

        def step() -> None:
            if pace == self.pace_:
                self._step(request_id, generation)

        self.queue.after(delay, step)

    def _step(self, request_id: str, generation: int) -> None:
        if generation != self.generation_ or request_id not in self.running_:
            return
        self.running_[request_id] += 1
        tokens = self.running_[request_id]
        if tokens < TOKENS:
            self.progressed(request_id, tokens * TOKEN_BYTES)
            self._next(request_id, generation)
            return
        del self.running_[request_id]
        self.completed_ += 1
        self.ended(request_id)
