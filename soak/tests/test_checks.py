from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from soak._checks import Checks
from soak._ledger import Attempt, Ending, Kind, Ledger, Run, Stop
from soak._settings import SoakSettings
from soak._spans import Spans

SETTINGS = SoakSettings(seed=0)
SENT = EPOCH + timedelta(seconds=100)


def seconds(count):
    return timedelta(seconds=count)


@pytest.fixture
def ledger():
    result = Ledger()
    result.disturbed_by_entry[0] = Spans()
    result.unplanned_by_entry[0] = Spans()
    result.stops_by_entry[0] = []
    result.outs_by_domain["a-1"] = Spans()
    return result


def add_attempt(ledger, kind=Kind.ORDER, runs=1, version=0, **changes):
    values = {
        "id": "r",
        "kind": kind,
        "entry": 0,
        "sent_at": SENT,
        "ended_at": SENT + seconds(0.1),
        "ending": Ending.ANSWERED,
        "status": 200,
    }
    attempt = Attempt(**values | changes)
    ledger.attempts_by_id[attempt.id] = attempt
    for number in range(runs):
        ledger.begin_run(Run(attempt.id, f"u{number}", "a-1", version, SENT))


def promises(ledger):
    return [item.promise for item in Checks(ledger, SETTINGS).broken()]


def test_an_attempt_that_ran_once_breaks_nothing(ledger):
    # Guards against checks that find what is not there.
    add_attempt(ledger)
    assert promises(ledger) == []


def test_a_non_repeatable_request_that_ran_twice_is_found(ledger):
    # Guards against a soak that sees no second run.
    add_attempt(ledger, runs=2)
    assert promises(ledger) == ["TWICE"]


def test_a_repeatable_request_may_run_twice(ledger):
    # Guards against repeats that are allowed being counted.
    add_attempt(ledger, kind=Kind.LOOKUP, runs=2)
    assert promises(ledger) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_ran_is_found(ledger, status):
    # Guards against a soak that believes refusals.
    add_attempt(ledger, status=status)
    assert promises(ledger) == ["REFUSED"]


def test_a_run_that_no_caller_asked_for_is_found(ledger):
    # Guards against runs that belong to no attempt being passed over.
    ledger.begin_run(Run("other", "u", "a-1", 0, SENT))
    assert promises(ledger) == ["UNASKED"]


@pytest.mark.parametrize(("age", "expected"), [(4.9, []), (5.1, ["VERSION"])])
def test_old_weights_are_found_after_the_bound(ledger, age, expected):
    # Guards against a bound that is not checked, or too early.
    ledger.named_at_by_version[2] = SENT - seconds(age)
    add_attempt(ledger, kind=Kind.STREAM, version=1)
    assert promises(ledger) == expected


def test_an_entry_that_started_just_now_is_not_bound(ledger):
    # Guards against verdicts on processes that are not yet in touch.
    ledger.named_at_by_version[2] = SENT - seconds(9)
    ledger.disturbed_by_entry[0].add(SENT - seconds(8), SENT - seconds(2.9))
    add_attempt(ledger, kind=Kind.STREAM, version=1)
    assert promises(ledger) == []


def test_an_entry_that_started_earlier_is_bound_from_the_naming(ledger):
    # Guards against a bound that the soak itself counts from the start of an entry.
    ledger.named_at_by_version[2] = SENT - seconds(9)
    ledger.disturbed_by_entry[0].add(SENT - seconds(8), SENT - seconds(3.1))
    add_attempt(ledger, kind=Kind.STREAM, version=1)
    assert promises(ledger) == ["VERSION"]


def test_the_bound_counts_in_one_calm_stretch_of_the_store(ledger):
    # Guards against calm times before and after a disturbance being added up.
    ledger.named_at_by_version[2] = SENT - seconds(12)
    ledger.store_disturbed.add(SENT - seconds(8), SENT - seconds(7.5))
    add_attempt(ledger, kind=Kind.STREAM, version=1)
    assert promises(ledger) == []


def test_a_run_at_an_upstream_that_left_is_found(ledger):
    # Guards against a drain bound that is not checked.
    ledger.left_at_by_upstream["u0"] = SENT - seconds(2.1)
    add_attempt(ledger)
    assert promises(ledger) == ["DRAIN"]


def test_a_run_in_a_domain_that_is_out_is_found(ledger):
    # Guards against a bound of domains that is not checked.
    ledger.outs_by_domain["a-1"].begin(SENT - seconds(5.1))
    add_attempt(ledger)
    assert promises(ledger) == ["EVAC"]


def cut(ledger, lasted, runs):
    ledger.stops_by_entry[0].append(Stop(SENT - seconds(1)))
    ended_at = SENT + seconds(lasted)
    add_attempt(ledger, runs=runs, ended_at=ended_at, ending=Ending.CUT, status=0)


@pytest.mark.parametrize(
    ("lasted", "runs", "expected"),
    [(0.1, 1, ["LOST"]), (0.3, 0, ["LOST"]), (0.1, 0, [])],
)
def test_a_request_cut_off_by_a_planned_stop_is_found(ledger, lasted, runs, expected):
    # Guards against losses in a planned stop, apart from requests that cross the close.
    cut(ledger, lasted, runs)
    assert promises(ledger) == expected


def test_a_request_cut_off_by_a_kill_is_not_lost_by_a_stop(ledger):
    # Guards against kills that are taken for planned stops.
    cut(ledger, 0.1, 1)
    ledger.unplanned_by_entry[0].add(SENT, SENT)
    assert promises(ledger) == []
