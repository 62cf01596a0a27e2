"""Tests of the monotonic clock."""

import time
from datetime import timedelta

import pytest

from shallotpath.core import MonotonicClock


@pytest.fixture
def readings(monkeypatch):
    """Replace the readings of the system's clocks, in seconds by clock id."""
    seconds_by_clock_id = {time.CLOCK_BOOTTIME: 500.0, time.CLOCK_MONOTONIC: 400.0}
    monkeypatch.setattr(time, "clock_gettime", seconds_by_clock_id.__getitem__)
    return seconds_by_clock_id


def test_time_in_which_the_vm_was_suspended_counts(readings):
    # Guards against stale replicas that seem to have been confirmed just now, and time
    # limits that start anew, after a suspension of the VM.
    clock = MonotonicClock()
    before = clock.now()
    readings[time.CLOCK_BOOTTIME] += 6.0
    assert clock.now() - before == timedelta(seconds=6)


def test_clock_runs_where_the_system_counts_no_suspensions(monkeypatch, readings):
    # Guards against a start that fails on systems without CLOCK_BOOTTIME.
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    clock = MonotonicClock()
    before = clock.now()
    readings[time.CLOCK_MONOTONIC] += 2.0
    assert clock.now() - before == timedelta(seconds=2)
