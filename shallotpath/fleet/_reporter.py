"""Metrics, and rate-limited log lines on standard output that never block."""

from __future__ import annotations

import logging
import os
from collections import deque
from datetime import datetime, timedelta

from pythonjsonlogger.json import JsonFormatter

from ..core import Clock
from ..telemetry import Metrics

# Rate limit of log lines for each process, and the burst that it allows.
LINES_PER_S = 60
BURST_LINES = 120
# Share of the burst that lines about served requests may not use, so that lines of
# failed requests are dropped last.
RESERVED_SHARE = 0.5
# Bytes queued for a slow reader of the output; lines beyond it are dropped and counted.
MAX_WAITING_BYTES = 1 << 20
STDOUT = 1


class BoundedWriter:
    """Write lines to a descriptor without blocking; drop what the queue cannot hold."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self.descriptor = descriptor
        self.waiting_: deque[bytes] = deque()
        self.bytes_ = 0
        self.dropped_ = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queue a line and write as many queued lines as the descriptor accepts."""
        if self.bytes_ + len(line) > MAX_WAITING_BYTES:
            self.dropped_ += 1
            return
        self.waiting_.append(line)
        self.bytes_ += len(line)
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self.waiting_:
            line = self.waiting_[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the output, so the error cannot be logged.
                self.dropped_ += len(self.waiting_)
                self.waiting_.clear()
                self.bytes_ = 0
                return
            self.bytes_ -= written
            if written < len(line):
                self.waiting_[0] = line[written:]
                return
            self.waiting_.popleft()


class _Handler(logging.Handler):
    def __init__(self, writer: BoundedWriter) -> None:
        super().__init__()
        self.writer = writer
        self.setFormatter(JsonFormatter("%(levelname)s %(message)s"))

    def emit(self, record: logging.LogRecord) -> None:
        self.writer.write(self.format(record).encode() + b"\n")


class LineReporter:
    """Log events as JSON lines and record metrics."""

    def __init__(
        self, node: str, domain: str, clock: Clock, writer: BoundedWriter | None = None
    ) -> None:
        self.node = node
        self.clock = clock
        self.metrics = Metrics({"node": node, "domain": domain})
        self.writer = writer or BoundedWriter()
        self.tokens_ = float(BURST_LINES)
        self.filled_at_: datetime = clock.now()
        self.suppressed_lines_ = 0
        self.logger_ = logging.getLogger("shallotpath")
        self.logger_.handlers[:] = [_Handler(self.writer)]
        self.logger_.setLevel(logging.INFO)
        self.logger_.propagate = False

    def event(self, kind: str, **fields: object) -> None:
        """Log an event unless the rate limit is reached."""
        if not self._take(routine=fields.get("outcome") == "served"):
            self.suppressed_lines_ += 1
            self.count("log_lines_left_out")
            return
        if self.suppressed_lines_:
            fields["left_out"] = self.suppressed_lines_
            self.suppressed_lines_ = 0
        fields["node"] = self.node
        fields["time"] = self.clock.now().isoformat(timespec="milliseconds")
        self.logger_.info(kind, extra=fields)

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self.metrics.count(name, labels)

    def observe(self, name: str, duration: timedelta, **labels: str) -> None:
        """Add a duration to a histogram."""
        self.metrics.observe(name, labels, duration.total_seconds())

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.metrics.gauge(name, labels, value)

    def _take(self, *, routine: bool) -> bool:
        """Take a token for a line and return whether there was one."""
        now = self.clock.now()
        elapsed = (now - self.filled_at_).total_seconds()
        self.filled_at_ = now
        self.tokens_ = min(BURST_LINES, self.tokens_ + elapsed * LINES_PER_S)
        floor = RESERVED_SHARE * BURST_LINES if routine else 0.0
        if self.tokens_ < floor + 1:
            return False
        self.tokens_ -= 1
        return True
