from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from soak._checks import Checks
from soak._ledger import (
    Arrival,
    Attempt,
    ConfigurationChange,
    Ending,
    Kind,
    Ledger,
    Notice,
    Run,
)
from soak._settings import SoakSettings

SENT_AT = EPOCH + timedelta(seconds=100)


def seconds_before_send(seconds):
    return SENT_AT - timedelta(seconds=seconds)


def violated_invariants(
    ledger, kind=Kind.ORDER, runs=1, version=0, work_ends_after_s=None, **changes
):
    """Return the invariants that an attempt with some runs violates."""
    values = {
        "id": "r",
        "kind": kind,
        "entry": 0,
        "sent_at": SENT_AT,
        "whole_at": SENT_AT,
        "ended_at": seconds_before_send(-0.1),
        "ending": Ending.ANSWERED,
        "status": 200,
    }
    values |= changes
    ledger.attempts_by_id["r"] = Attempt(**values)
    for number in range(runs):
        ended_at = (
            values["ended_at"]
            if work_ends_after_s is None
            else seconds_before_send(-work_ends_after_s)
        )
        run = Run("r", f"u{number}", "a-1", version, SENT_AT, ended_at)
        ledger.runs_by_id["r"].append(run)
    checks = Checks(ledger, SoakSettings(seed=0))
    return [item.invariant for item in checks.violations()]


def test_second_run_is_found_unless_request_is_repeatable():
    # Guards against a repeated execution that goes unnoticed, or that is reported for
    # a repeatable request.
    assert violated_invariants(Ledger()) == []
    assert violated_invariants(Ledger(), runs=2) == ["TWICE"]
    assert violated_invariants(Ledger(), kind=Kind.LOOKUP, runs=2) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_an_executed_request_is_found(status):
    # Guards against trusting a refusal status although the request was executed.
    assert violated_invariants(Ledger(), status=status) == ["REFUSED"]
    assert violated_invariants(Ledger(), status=status, runs=0) == []


def test_denial_of_an_allowed_request_is_found():
    # Guards against entries that deny valid routes and keys unnoticed.
    assert violated_invariants(Ledger(), status=404, runs=0) == ["DENIED"]


@pytest.mark.parametrize(
    ("seal", "status", "run_status", "expected"),
    [
        ("u0.r.0", 200, 200, []),
        ("u0.r.0", 500, 500, []),
        # Copy of the answer to another request, perhaps one with the same id.
        ("u0.q.0", 200, 200, ["MIXED"]),
        ("u0.q.0", 500, 500, ["MIXED"]),
        # Status line of one answer joined with the headers of another.
        ("u0.r.0", 200, 500, ["MIXED"]),
        ("u0.r.0", 500, 200, ["MIXED"]),
    ],
)
def test_answer_of_another_run_is_found(seal, status, run_status, expected):
    # Guards against answers that are tied to the request's id instead of the attempt.
    ledger = Ledger()
    other = Run("q", "u0", "a-1", 0, SENT_AT, request_id="id", seal="u0.q.0")
    ledger.runs_by_id["q"].append(other)
    ledger.attempts_by_id["q"] = Attempt("q", Kind.ORDER, 0, SENT_AT, SENT_AT)
    own = Run("r", "u0", "a-1", 0, SENT_AT, status=run_status, seal="u0.r.0")
    ledger.runs_by_id["r"].append(own)
    found = violated_invariants(ledger, runs=0, status=status, seal=seal)
    assert found == expected


def test_run_without_an_attempt_is_found():
    # Guards against ignoring runs that belong to no attempt.
    ledger = Ledger()
    ledger.runs_by_id["other"].append(Run("other", "u", "a-1", 0, SENT_AT))
    assert violated_invariants(ledger) == ["UNASKED"]


@pytest.mark.parametrize(
    ("announced_s_ago", "started_s_ago", "store_back_s_ago", "expected"),
    [
        (4.9, 50, None, []),
        (5.1, 50, None, ["VERSION"]),
        # An entry that has just started is not held to the bound yet.
        (9.0, 2.9, None, []),
        # The bound counts from the announcement, not from the start of the entry.
        (9.0, 3.1, None, ["VERSION"]),
        # It must pass within one undisturbed period of the store, after settling.
        (12.0, 50, 7.5, []),
        (12.0, 50, 8.1, ["VERSION"]),
    ],
)
def test_run_on_old_weights_after_the_bound_is_found(
    announced_s_ago, started_s_ago, store_back_s_ago, expected
):
    # Guards against a bound for new weights that is not checked or is too strict.
    ledger = Ledger()
    ledger.announced_at_by_version[2] = seconds_before_send(announced_s_ago)
    ledger.disturbances_by_program[0].add(
        seconds_before_send(started_s_ago + 1), seconds_before_send(started_s_ago)
    )
    if store_back_s_ago:
        ledger.store_outages.add(
            seconds_before_send(store_back_s_ago + 0.5),
            seconds_before_send(store_back_s_ago),
        )
    assert violated_invariants(ledger, kind=Kind.STREAM, version=1) == expected


@pytest.mark.parametrize(("drained_for_s", "expected"), [(1.9, []), (2.1, ["DRAIN"])])
def test_run_at_a_draining_upstream_is_found(drained_for_s, expected):
    # Guards against a bound for draining upstreams that is not checked.
    ledger = Ledger()
    ledger.drain_started_at_by_upstream["u0"] = seconds_before_send(drained_for_s)
    assert violated_invariants(ledger) == expected


@pytest.mark.parametrize(("evacuated_s_ago", "expected"), [(4.9, []), (5.1, ["EVAC"])])
def test_run_in_an_evacuated_domain_is_found(evacuated_s_ago, expected):
    # Guards against a bound for evacuated domains that is not checked.
    ledger = Ledger()
    ledger.evacuations_by_domain["a-1"].add(seconds_before_send(evacuated_s_ago))
    assert violated_invariants(ledger) == expected


@pytest.mark.parametrize(
    ("lasted_s", "runs", "killed", "expected"),
    [
        (0.1, 1, False, ["LOST"]),
        (0.3, 0, False, ["LOST"]),
        # The request was sent while its connection was being closed.
        (0.1, 0, False, []),
        (0.1, 1, True, []),
    ],
)
def test_request_cut_off_by_a_planned_stop_is_found(lasted_s, runs, killed, expected):
    # Guards against requests lost in a planned stop that go unnoticed.
    ledger = Ledger()
    ledger.planned_stops_by_program[0].add(seconds_before_send(1))
    if killed:
        ledger.unplanned_faults_by_program[0].add(SENT_AT, SENT_AT)
    changes = {
        "ended_at": seconds_before_send(-lasted_s),
        "ending": Ending.CUT,
        "status": 0,
    }
    assert violated_invariants(ledger, runs=runs, **changes) == expected


@pytest.mark.parametrize(
    ("stopped_s_ago", "work_ends_after_s", "expected"),
    [(1, 3.9, ["LOST"]), (1, 4.1, []), (3.1, 2.5, ["LOST"])],
)
def test_only_early_requests_that_outlast_the_grace_may_be_cut(
    stopped_s_ago, work_ends_after_s, expected
):
    # Guards against excusing losses before the end of the grace period of 6 s.
    ledger = Ledger()
    ledger.planned_stops_by_program[0].add(seconds_before_send(stopped_s_ago))
    changes = {
        "ended_at": seconds_before_send(-4.2),
        "ending": Ending.CUT,
        "work_ends_after_s": work_ends_after_s,
    }
    assert violated_invariants(ledger, **changes) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, ["LOST"]),
        # The body of the request was not sent completely.
        ({"whole_at": None}, []),
        ({"ended_at": seconds_before_send(-3.1)}, []),
        ({"ending": Ending.ABANDONED}, []),
        # The close crossed the last byte of the request.
        ({"runs": 0, "whole_at": seconds_before_send(-1.9)}, []),
        ({"runs": 0}, ["LOST"]),
    ],
)
def test_request_cut_off_beside_no_stop_is_found(changes, expected):
    # Guards against requests that are lost at any other time unnoticed, and against
    # reports of requests whose time was over.
    ledger = Ledger()
    # The last one is written after the request was sent.
    timeouts_s = {20: 6, 1: 3, -0.5: 1}
    for version, (age_s, timeout_s) in enumerate(timeouts_s.items()):
        written_at, timeout = seconds_before_send(age_s), timedelta(seconds=timeout_s)
        change = ConfigurationChange(written_at, version, timeout, timeout)
        ledger.configurations.append(change)
    values = {"ending": Ending.CUT, "ended_at": seconds_before_send(-2)} | changes
    assert violated_invariants(ledger, **values) == expected


@pytest.mark.parametrize(("lasted_s", "expected"), [(5.9, ["LOST"]), (6.07, [])])
def test_request_cut_off_at_its_deadline_is_not_found(lasted_s, expected):
    # Guards against reports of requests that end at their own deadline under a longer
    # time-out of their route, and against passing over earlier ends.
    ledger, timeout = Ledger(), timedelta(seconds=20)
    written_at = seconds_before_send(20)
    ledger.configurations.append(ConfigurationChange(written_at, 1, timeout, timeout))
    ended_at = seconds_before_send(-lasted_s)
    values = {"ending": Ending.CUT, "ended_at": ended_at, "kind": Kind.LOOKUP}
    assert violated_invariants(ledger, **values) == expected


def test_refused_attempt_that_is_cut_is_found():
    # Guards against lost requests that count as never sent because no upstream ran
    # them.
    ledger = Ledger()
    ledger.arrivals_by_upstream["u0"].append(Arrival("r", SENT_AT))
    assert violated_invariants(ledger, runs=0, ending=Ending.CUT) == ["LOST"]


def check_notice(at, closed_until, arrivals_s, restarted_s=None):
    """Return what requests violate that follow a notice by some seconds."""
    ledger = Ledger()
    until = None if closed_until is None else at + timedelta(seconds=closed_until)
    ledger.notices.append(Notice("u0", 0, at, until))
    if restarted_s is not None:
        restarted_at = at + timedelta(seconds=restarted_s)
        ledger.disturbances_by_program[0].add(restarted_at, restarted_at)
    for number, seconds in enumerate(arrivals_s):
        sent_at = at + timedelta(seconds=seconds)
        attempt = Attempt(f"r{number}", Kind.LOOKUP, number // 100, sent_at, sent_at)
        ledger.attempts_by_id[attempt.id] = attempt
        ledger.arrivals_by_upstream["u0"].append(Arrival(attempt.id, sent_at))
    checks = Checks(ledger, SoakSettings(seed=0))
    return [item.invariant for item in checks.violations()]


def test_requests_after_an_upstream_said_that_it_leaves_are_found():
    # Guards against a check of leaving upstreams that never fails, or that does not
    # excuse a restart.
    assert check_notice(SENT_AT, None, [0.5, 1.9]) == []
    assert check_notice(SENT_AT, None, [0.5, 2.1]) == ["DRAIN"]
    assert check_notice(SENT_AT, None, [2.1], restarted_s=1.0) == []


def test_requests_to_an_upstream_that_asked_for_none_are_found():
    # Guards against a check of closed upstreams that never fails.
    assert check_notice(SENT_AT, 4.0, [0.1, 0.2, 0.4, 1.0, 2.0, 4.1]) == []
    assert check_notice(SENT_AT, 4.0, [1.0, 2.0, 3.0]) == ["BUDGET"]
    assert check_notice(SENT_AT, 4.0, [1.0, 2.0, 3.0], restarted_s=0.5) == []
