"""Metrics, log lines and timeline events of one process."""

from __future__ import annotations

import logging
import sys
from collections import deque
from dataclasses import dataclass

from pythonjsonlogger.json import JsonFormatter

from ..core import MonotonicClock
from ._hlc import HybridClock
from ._metrics import Metrics

MAX_TRACE_EVENTS = 20_000


@dataclass(slots=True, frozen=True)
class TraceEvent:
    """Describe one event of the timeline."""

    # Counts the events of the process.
    seq: int
    # Stamp of the hybrid clock.
    stamp: int
    node: str
    domain: str
    kind: str
    fields: dict[str, str]


class ProcessTelemetry:
    """Keep the metrics and a bounded ring of events; write log lines as JSON.

    VMs have no disks, so events stay in memory until `shallot-timeline` reads
    them over HTTP.
    """

    __slots__ = ("domain", "events_", "hlc", "logger", "metrics", "node", "seq_")

    def __init__(
        self,
        node: str,
        domain: str = "",
        *,
        hlc: HybridClock | None = None,
        logger: logging.Logger | None = None,
    ) -> None:
        self.node = node
        self.domain = domain
        self.hlc = hlc or HybridClock(MonotonicClock())
        self.logger = logger or logging.getLogger("shallotpath")
        self.metrics = Metrics({"node": node, "domain": domain})
        self.events_: deque[TraceEvent] = deque(maxlen=MAX_TRACE_EVENTS)
        self.seq_ = 0

    def count(self, name: str, labels: dict[str, str], amount: int = 1) -> None:
        """Add to a counter."""
        self.metrics.count(name, labels, amount)

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge."""
        self.metrics.gauge(name, labels, value)

    def log(self, kind: str, fields: dict[str, str]) -> None:
        """Write a log line about a change of state and record it as an event."""
        self.logger.info(kind, extra={"fields": fields, "node": self.node})
        self.trace(kind, fields)

    def trace(self, kind: str, fields: dict[str, str]) -> None:
        """Record an event for the timeline."""
        self.seq_ += 1
        self.events_.append(
            TraceEvent(self.seq_, self.hlc.tick(), self.node, self.domain, kind, fields)
        )

    def events_after(self, seq: int, limit: int = 1000) -> list[TraceEvent]:
        """Return up to `limit` kept events that follow a sequence number."""
        return [event for event in self.events_ if event.seq > seq][:limit]


def configure_logging() -> None:
    """Write log lines as JSON to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    # `transitions` logs several lines for each request at INFO.
    logging.getLogger("transitions").setLevel(logging.WARNING)
