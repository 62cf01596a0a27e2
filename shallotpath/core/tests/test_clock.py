"""Clock of the processes."""

import time
from datetime import timedelta

import pytest

from shallotpath.core import MonotonicClock


@pytest.fixture
def readings(monkeypatch):
    """Replace what the system's clocks show, in seconds by clock id."""
    shown = {time.CLOCK_BOOTTIME: 500.0, time.CLOCK_MONOTONIC: 400.0}
    monkeypatch.setattr(time, "clock_gettime", shown.__getitem__)
    return shown


def test_time_in_which_the_vm_was_suspended_counts(readings):
    # Guards against a replica that looks confirmed just now, and bounds that have
    # their whole time left, on a VM that wakes after a suspension.
    clock = MonotonicClock()
    before = clock.now()
    readings[time.CLOCK_BOOTTIME] += 6.0
    assert clock.now() - before == timedelta(seconds=6)


def test_clock_runs_where_the_system_counts_no_suspensions(monkeypatch, readings):
    # Guards against a start that fails on systems without such a clock.
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    clock = MonotonicClock()
    before = clock.now()
    readings[time.CLOCK_MONOTONIC] += 2.0
    assert clock.now() - before == timedelta(seconds=2)
