"""Rate limit of log lines, and output that never blocks."""

import os
from datetime import timedelta

from shallotpath.core import ManualClock
from shallotpath.fleet import BoundedWriter, LineReporter

from .processes import Output


def test_lines_of_failed_requests_are_dropped_last():
    # Guards against lines of failed requests that are lost among those of served ones,
    # with many more requests than the rate limit of log lines.
    clock = ManualClock()
    output = Output()
    reporter = LineReporter("n", "d", clock, output)
    for number in range(2000):
        outcome = "failed" if number % 100 == 0 else "served"
        reporter.event("request", outcome=outcome, number=number)
        clock.advance(timedelta(milliseconds=1))
    outcomes = [line["outcome"] for line in output.lines]
    assert len(outcomes) <= 120 + 2 * 60
    assert outcomes.count("failed") == 20
    reporter.event("stop")
    # The next line that is written has the number of suppressed lines.
    left_out = sum(line.get("left_out", 0) for line in output.lines)
    assert left_out == 2000 - len(outcomes)


def test_stopped_reader_of_the_output_never_blocks_the_writer():
    # Guards against a process that hangs, or runs out of memory, because nobody reads
    # its log.
    reading, writing = os.pipe()
    writer = BoundedWriter(writing)
    line = b"x" * 1000 + b"\n"
    for _ in range(3000):
        writer.write(line)
    assert writer.dropped_ > 1000
    assert os.read(reading, 1001) == line
    os.close(reading)
    writer.write(line)
    os.close(writing)
