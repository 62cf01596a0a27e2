"""Counts of requests by window, from entries to the report."""

from datetime import timedelta

from shallotpath.core import EPOCH
from shallotpath.duties import (
    CANDIDATES,
    EntryUsage,
    RunCounter,
    UsageLedger,
    UsageRules,
)

RULES = UsageRules(timedelta(seconds=5), timedelta(seconds=10))
WINDOW = RULES.number(EPOCH)
SECOND = timedelta(seconds=1)


def test_counts_fall_in_the_window_of_their_time():
    # Guards against requests at a boundary that count twice or not at all.
    counter = RunCounter(RULES)
    counter.count("a", EPOCH + 4.999 * SECOND)
    counter.count("a", EPOCH + 5 * SECOND)
    usage = counter.usage("e1", 1)
    assert usage.counts_by_window == {WINDOW: {"a": 1}, WINDOW + 1: {"a": 1}}


def test_entry_keeps_a_bounded_number_of_windows():
    # Guards against memory that grows with the age of the process.
    counter = RunCounter(RULES)
    for window in range(50):
        counter.count("a", EPOCH + window * RULES.window)
    assert len(counter.counts_by_window_) == RULES.kept_windows + 1


def test_repeated_and_late_parts_count_once():
    # Guards against a part that is sent again, or that is overtaken by a later one.
    ledger = UsageLedger(RULES)
    parts = [EntryUsage("e1", 1, {WINDOW: {"a": n}}) for n in (2, 5, 5, 3)]
    for part in parts:
        ledger.merge(part, EPOCH)
    assert ledger.report(WINDOW).counts_by_team == {"a": 5}


def test_restarted_entry_adds_to_its_earlier_counts():
    # Guards against counts of a process that are lost when it starts again.
    ledger = UsageLedger(RULES)
    ledger.merge(EntryUsage("e1", 1, {WINDOW: {"a": 5}}), EPOCH)
    ledger.merge(EntryUsage("e1", 2, {WINDOW: {"a": 1, "b": 1}}), EPOCH)
    ledger.merge(EntryUsage("e2", 1, {WINDOW: {"b": 4}}), EPOCH)
    assert ledger.report(WINDOW).counts_by_team == {"a": 6, "b": 5}


def test_ledger_forgets_windows_that_are_past_due():
    # Guards against memory that grows with the number of restarts.
    ledger = UsageLedger(RULES)
    for incarnation in range(100):
        usage = EntryUsage("e1", incarnation, {WINDOW: {"a": 1}})
        ledger.merge(usage, EPOCH)
    later = EPOCH + 10 * RULES.window
    ledger.merge(EntryUsage("e1", 100, {WINDOW: {"a": 1}}), later)
    ledger.prune(later)
    assert ledger.counts_by_source_ == {}


def test_windows_are_reported_between_their_end_and_the_due_time():
    # Guards against a report of a window that still runs or is past due.
    end = RULES.end(WINDOW)
    assert WINDOW not in RULES.reportable(end + 0.9 * SECOND)
    assert WINDOW in RULES.reportable(end + SECOND)
    assert WINDOW in RULES.reportable(end + 9.6 * SECOND)
    assert WINDOW not in RULES.reportable(end + 9.8 * SECOND)


def test_standbys_have_time_to_read_and_to_report():
    # Guards against a standby that acts while the holder still waits for entries, or
    # only when the report is late already.
    for holder_lives in (False, True):
        times = [
            RULES.act_at(WINDOW, rank, holder_lives=holder_lives)
            for rank in range(CANDIDATES)
        ]
        assert times == sorted(times)
        assert times[-1] + 2 * SECOND < RULES.due_at(WINDOW)
    assert times[0] > RULES.complete_by(WINDOW)
