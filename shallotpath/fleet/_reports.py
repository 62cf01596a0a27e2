"""Log lines and gauges of an entry about its upstreams and its room."""

from __future__ import annotations

from datetime import datetime

from ..core import Clock
from ..forwarding import MemoryBudget, milliseconds
from ..gateway import Dispatcher, UpstreamRecord
from ._reporter import LineReporter


def report_held(memory: MemoryBudget, reporter: LineReporter) -> None:
    """Set the metrics of the bytes that are held for requests."""
    for kind, size in memory.held_by_kind.items():
        reporter.gauge("request_bytes", size, kind=kind)
    reporter.gauge("slowed_reads", memory.slowed_reads)


def report_levels(
    dispatcher: Dispatcher, reporter: LineReporter, now: datetime
) -> None:
    """Set the metrics of the pressure of more urgent requests."""
    for key, level in dispatcher.admission_levels(now).items():
        labels = {"service": key.service, "rank": str(key.rank)}
        reporter.gauge("admission_pressure", round(level.pressure, 3), **labels)
        reporter.gauge("admission_busy_share", round(level.busy_share, 3), **labels)


def report_notice(
    reporter: LineReporter, record: UpstreamRecord, closed_until: datetime | None
) -> None:
    """Report that an upstream leaves, or wants no requests until a time."""
    fields = {} if closed_until is None else {"until": closed_until.isoformat()}
    reporter.event(
        "upstream_leaving" if closed_until is None else "upstream_closed",
        upstream=record.id,
        address=record.address,
        born_ms=record.started_ms,
        **fields,
    )


class CutReporter:
    """Report connections that end while they owe an answer."""

    __slots__ = ("clock", "configured_at_", "reporter", "version_")

    def __init__(self, reporter: LineReporter, clock: Clock) -> None:
        self.reporter = reporter
        self.clock = clock
        self.version_: int | None = None
        self.configured_at_ = clock.now()

    def configured(self, version: int) -> None:
        """Record that a configuration is in force."""
        if version != self.version_:
            self.version_, self.configured_at_ = version, self.clock.now()

    def report(self, by: str, reason: str) -> None:
        """Log and count who ended a connection, and the age of the configuration."""
        age = self.clock.now() - self.configured_at_
        self.reporter.count("answers_cut", by=by, reason=reason)
        self.reporter.event(
            "answer_cut",
            by=by,
            reason=reason,
            configuration=self.version_,
            configuration_age_ms=milliseconds(age),
        )
