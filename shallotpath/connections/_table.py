"""The connections of a listener, and the timers that check them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from ..core import Clock, MonotonicClock
from ._limits import (
    HEAD_REASONS,
    ConnectionLimits,
    DescriptorShares,
    Phase,
    choose_closed,
    overdue_reason,
)
from ._parsing import MIN_COST, ParsingQueue

if TYPE_CHECKING:
    from ._protocol import GuardedConnection

CHECK_INTERVAL_S = 0.25
LOG_INTERVAL = timedelta(seconds=1)
# Called with a reason and the number of connections since the last call.
Report = Callable[[str, int], None]
Count = Callable[[str], None]


class ClosedConnections:
    """Count closed connections by reason and report each reason once a second."""

    __slots__ = ("clock", "count", "counts_by_reason", "report", "reported_by_reason_")

    def __init__(
        self, clock: Clock, report: Report | None, count: Count | None
    ) -> None:
        self.clock = clock
        self.report = report
        self.count = count
        self.counts_by_reason: Counter[str] = Counter()
        self.reported_by_reason_: dict[str, tuple[datetime, int]] = {}

    def record(self, reason: str) -> None:
        """Count one connection."""
        self.counts_by_reason[reason] += 1
        if self.count is not None:
            self.count(reason)
        self.report_due()

    @property
    def has_unreported(self) -> bool:
        """Check whether connections were counted that are not reported yet."""
        return self.report is not None and any(
            count > self.reported_by_reason_[reason][1]
            for reason, count in self.counts_by_reason.items()
        )

    def report_due(self) -> None:
        """Report the reasons whose last report is a second old."""
        if self.report is None:
            return
        now = self.clock.now()
        for reason, count in self.counts_by_reason.items():
            last_at, reported = self.reported_by_reason_.get(reason, (None, 0))
            is_due = last_at is None or now - last_at >= LOG_INTERVAL
            if is_due and count > reported:
                self.reported_by_reason_[reason] = now, count
                self.report(reason, count - reported)


class ParsingTurns:
    """Read the connections with costly bytes one after the other."""

    __slots__ = ("queue", "timer_")

    def __init__(self) -> None:
        self.queue = ParsingQueue()
        self.timer_: asyncio.TimerHandle | None = None

    def add(
        self, connection: GuardedConnection, cost: timedelta
    ) -> GuardedConnection | None:
        """Let a connection wait for its turn; return one to refuse."""
        connection.hold()
        refused = self.queue.add(connection, cost)
        if refused is not None:
            self.queue.remove(refused)
        self._schedule()
        return refused

    def _schedule(self) -> None:
        if self.timer_ is None and len(self.queue):
            pause_s = self.queue.pause().total_seconds()
            loop = asyncio.get_running_loop()
            self.timer_ = loop.call_later(pause_s, self._take_turn)

    def _take_turn(self) -> None:
        self.timer_ = None
        connection = self.queue.next()
        if connection is not None:
            connection.release()
        self._schedule()


class ConnectionTable:
    """Keep the connections of one listener within its limits."""

    def __init__(
        self,
        limits: ConnectionLimits | None = None,
        *,
        clock: Clock | None = None,
        turns: ParsingTurns | None = None,
        report: Report | None = None,
        count: Count | None = None,
    ) -> None:
        self.limits = limits or ConnectionLimits(DescriptorShares.for_process().callers)
        # A parser keeps the limit of its start; later limits are checked per head.
        self.max_header_bytes = self.limits.header_bytes
        self.clock = clock or MonotonicClock()
        self.turns = turns or ParsingTurns()
        self.closed = ClosedConnections(self.clock, report, count)
        self.connections_: set[GuardedConnection] = set()
        self.incomplete_: set[GuardedConnection] = set()
        self.check_: asyncio.TimerHandle | None = None
        self.report_timer_: asyncio.TimerHandle | None = None

    def set_client_limits(
        self, header_bytes: int, header_timeout: timedelta, idle_timeout: timedelta
    ) -> None:
        """Set what each connection may take."""
        self.limits = replace(
            self.limits,
            header_bytes=header_bytes,
            header_timeout=header_timeout,
            idle_timeout=idle_timeout,
        )

    @property
    def has_unsent(self) -> bool:
        """Check whether the kernel has not taken all answers yet."""
        return any(connection.unsent_bytes for connection in self.connections_)

    def opened(self, connection: GuardedConnection) -> None:
        """Add a connection and close others, or itself, if there are too many."""
        limit = self.limits.connections
        chosen = choose_closed(self.connections_, limit, self.clock.now())
        for other in chosen:
            self.end(other, "no_room")
        self.connections_.add(connection)
        if len(self.connections_) > limit:
            self.end(connection, "no_room")

    def lost(self, connection: GuardedConnection) -> None:
        """Forget a connection that has closed."""
        self._forget(connection)

    def set_incomplete(
        self, connection: GuardedConnection, *, incomplete: bool
    ) -> None:
        """Check a connection from time to time while its head or body is incomplete."""
        if not incomplete:
            self.incomplete_.discard(connection)
        elif connection in self.connections_:
            self.incomplete_.add(connection)
            self._schedule_check()

    def parsed(self, connection: GuardedConnection, cost: timedelta) -> None:
        """Count the parsing time of a read; let costly connections wait."""
        if cost < MIN_COST or connection not in self.connections_:
            return
        now, queue = self.clock.now(), self.turns.queue
        if not queue.charge(connection.parsing, cost, now) or connection.held_:
            return
        refused = self.turns.add(connection, cost)
        if refused is not None:
            refused.table.refuse_costly(refused)

    def refuse_costly(self, connection: GuardedConnection) -> None:
        """Refuse a connection that waits for its turn."""
        if connection.phase in (Phase.KEPT, Phase.UNREAD, Phase.BUSY):
            # What it waited with was parsed meanwhile, when aiohttp resumed it. A kept
            # connection may have its next request in the kernel.
            connection.release()
        else:
            self.end(connection, "costly_parsing")

    def end(self, connection: GuardedConnection, reason: str) -> None:
        """Refuse what a connection sends; one with a request in progress is kept."""
        if connection.phase is not Phase.BUSY:
            self._forget(connection)
            self.record_closed(reason)
            connection.end(reason)
        elif reason in HEAD_REASONS:
            self.incomplete_.discard(connection)
            self.record_closed(reason)
            # Close the connection once the requests that came before are answered.
            connection.close()

    def record_closed(self, reason: str) -> None:
        """Count a closed connection or a refused request."""
        self.closed.record(reason)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if self.report_timer_ is None and self.closed.has_unreported:
            loop = asyncio.get_running_loop()
            interval_s = LOG_INTERVAL.total_seconds()
            self.report_timer_ = loop.call_later(interval_s, self._report)

    def _report(self) -> None:
        self.report_timer_ = None
        self.closed.report_due()
        self._schedule_report()

    def _forget(self, connection: GuardedConnection) -> None:
        self.connections_.discard(connection)
        self.incomplete_.discard(connection)
        self.turns.queue.remove(connection)

    def _schedule_check(self) -> None:
        if self.check_ is None and self.incomplete_:
            loop = asyncio.get_running_loop()
            self.check_ = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.check_ = None
        now = self.clock.now()
        for connection in list(self.incomplete_):
            reason = overdue_reason(connection, self.limits, now)
            # Bytes may have arrived while the process was busy or suspended, so only
            # what is overdue at two checks in a row counts.
            if not reason or not connection.waits_for_client:
                connection.overdue_ = False
            elif connection.overdue_:
                self.end(connection, reason)
            else:
                connection.overdue_ = True
        self._schedule_check()
