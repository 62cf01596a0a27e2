"""Log lines on standard output, bounded and without blocking, and metrics."""

from __future__ import annotations

import logging
import os
from collections import deque
from datetime import datetime, timedelta

from pythonjsonlogger.json import JsonFormatter

from ..core import Clock
from ..telemetry import Metrics

# Lines that a process writes each second at most, and the burst beyond it.
LINES_PER_S = 60
BURST_LINES = 120
# Lines about served requests stop while less than this share of the burst is left,
# so that the lines of failed requests are the last to go.
RESERVED_SHARE = 0.5
# Bytes that wait for a reader that is slow; more are dropped and counted.
MAX_WAITING_BYTES = 1 << 20
STDOUT = 1


class BoundedWriter:
    """Write lines to a descriptor that may block, dropping what does not fit."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self.descriptor = descriptor
        self.waiting_: deque[bytes] = deque()
        self.bytes_ = 0
        self.dropped_ = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queue a line and write the waiting ones as far as possible."""
        if self.bytes_ + len(line) > MAX_WAITING_BYTES:
            self.dropped_ += 1
            return
        self.waiting_.append(line)
        self.bytes_ += len(line)
        self.flush()

    def flush(self) -> None:
        """Write the lines that wait until the reader blocks."""
        while self.waiting_:
            line = self.waiting_[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; there is no place to say so.
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
    """Report decisions as JSON lines and count them."""

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
        """Write a line about a decision unless the bound is reached."""
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
        now = self.clock.now()
        elapsed = (now - self.filled_at_).total_seconds()
        self.filled_at_ = now
        self.tokens_ = min(BURST_LINES, self.tokens_ + elapsed * LINES_PER_S)
        floor = RESERVED_SHARE * BURST_LINES if routine else 0.0
        if self.tokens_ < floor + 1:
            return False
        self.tokens_ -= 1
        return True
