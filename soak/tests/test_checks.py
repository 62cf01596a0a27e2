from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from soak._checks import Checks
from soak._ledger import Attempt, Ending, Kind, Ledger, Run
from soak._settings import SoakSettings

SENT = EPOCH + timedelta(seconds=100)


def before(seconds):
    return SENT - timedelta(seconds=seconds)


def promises(ledger, kind=Kind.ORDER, runs=1, version=0, work_ends=None, **changes):
    """Return what an attempt with some runs breaks."""
    values = {
        "id": "r",
        "kind": kind,
        "entry": 0,
        "sent_at": SENT,
        "ended_at": before(-0.1),
        "ending": Ending.ANSWERED,
        "status": 200,
    }
    values |= changes
    ledger.attempts_by_id["r"] = Attempt(**values)
    for number in range(runs):
        ended_at = values["ended_at"] if work_ends is None else before(-work_ends)
        run = Run("r", f"u{number}", "a-1", version, SENT, ended_at)
        ledger.runs_by_id["r"].append(run)
    checks = Checks(ledger, SoakSettings(seed=0))
    return [item.promise for item in checks.broken()]


def test_runs_are_counted():
    # Guards against second runs that are not seen, or seen where they are allowed.
    assert promises(Ledger()) == []
    assert promises(Ledger(), runs=2) == ["TWICE"]
    assert promises(Ledger(), kind=Kind.LOOKUP, runs=2) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_ran_is_found(status):
    # Guards against a soak that believes refusals.
    assert promises(Ledger(), status=status) == ["REFUSED"]
    assert promises(Ledger(), status=status, runs=0) == []


def test_a_denial_of_what_is_allowed_is_found():
    # Guards against entries that refuse routes and keys that are in force.
    assert promises(Ledger(), status=404, runs=0) == ["DENIED"]


def test_a_run_that_no_caller_asked_for_is_found():
    # Guards against runs that belong to no attempt being passed over.
    ledger = Ledger()
    ledger.runs_by_id["other"].append(Run("other", "u", "a-1", 0, SENT))
    assert promises(ledger) == ["UNASKED"]


@pytest.mark.parametrize(
    ("named", "started", "store_back", "expected"),
    [
        (4.9, 50, None, []),
        (5.1, 50, None, ["VERSION"]),
        # An entry that started just now is not bound yet.
        (9.0, 2.9, None, []),
        # The bound counts from the announcement, not from the start of the entry.
        (9.0, 3.1, None, ["VERSION"]),
        # It counts in one calm stretch of the store, which settles first.
        (12.0, 50, 7.5, []),
        (12.0, 50, 8.1, ["VERSION"]),
    ],
)
def test_old_weights_are_found_after_the_bound(named, started, store_back, expected):
    # Guards against a bound of new weights that is not checked, or too strictly.
    ledger = Ledger()
    ledger.named_at_by_version[2] = before(named)
    ledger.disturbed_by_program[0].add(before(started + 1), before(started))
    if store_back:
        ledger.store_disturbed.add(before(store_back + 0.5), before(store_back))
    assert promises(ledger, kind=Kind.STREAM, version=1) == expected


@pytest.mark.parametrize(("left", "expected"), [(1.9, []), (2.1, ["DRAIN"])])
def test_a_run_at_an_upstream_that_left_is_found(left, expected):
    # Guards against a drain bound that is not checked.
    ledger = Ledger()
    ledger.left_at_by_upstream["u0"] = before(left)
    assert promises(ledger) == expected


@pytest.mark.parametrize(("out", "expected"), [(4.9, []), (5.1, ["EVAC"])])
def test_a_run_in_a_domain_that_is_out_is_found(out, expected):
    # Guards against a bound of domains that is not checked.
    ledger = Ledger()
    ledger.outs_by_domain["a-1"].add(before(out))
    assert promises(ledger) == expected


@pytest.mark.parametrize(
    ("lasted", "runs", "killed", "expected"),
    [
        (0.1, 1, False, ["LOST"]),
        (0.3, 0, False, ["LOST"]),
        # It crossed the close of its connection.
        (0.1, 0, False, []),
        (0.1, 1, True, []),
    ],
)
def test_a_request_cut_off_by_a_planned_stop_is_found(lasted, runs, killed, expected):
    # Guards against losses in a planned stop that are not seen.
    ledger = Ledger()
    ledger.stops_by_program[0].add(before(1))
    if killed:
        ledger.unplanned_by_program[0].add(SENT, SENT)
    changes = {"ended_at": before(-lasted), "ending": Ending.CUT, "status": 0}
    assert promises(ledger, runs=runs, **changes) == expected


@pytest.mark.parametrize(
    ("stopped", "work_ends", "expected"),
    [(1, 3.9, ["LOST"]), (1, 4.1, []), (3.1, 2.5, ["LOST"])],
)
def test_only_early_requests_that_outlast_the_grace_may_be_cut(
    stopped, work_ends, expected
):
    # Guards against losses that are excused by the end of the grace of 6 s.
    ledger = Ledger()
    ledger.stops_by_program[0].add(before(stopped))
    changes = {"ended_at": before(-4.2), "ending": Ending.CUT, "work_ends": work_ends}
    assert promises(ledger, **changes) == expected
