"""Tests of the decisions of the admission gate."""

from datetime import timedelta

import pytest

from shallotpath.config import (
    DomainState,
    ModelVersion,
    Service,
    ServiceKind,
    StaticConfiguration,
    Team,
)
from shallotpath.core import (
    EPOCH,
    Code,
    ConfigurationChanged,
    DrainRequested,
    EngineLost,
    EngineObserved,
)
from shallotpath.limits import (
    Admit,
    Call,
    Gate,
    GateSettings,
    MemoryLedger,
    Queue,
    Refuse,
    Suspects,
)
from shallotpath.membership import Member, Role, StaticMembership

SECOND = timedelta(seconds=1)
TOKEN = 1024


def make_configuration():
    return StaticConfiguration(
        teams_by_id={"big": Team("big", ""), "small": Team("small", "")},
        services_by_id={
            "fold-model": Service("fold-model", ServiceKind.MODEL, "fold", "1")
        },
        versions_by_id={"fold/1": ModelVersion("fold", "1", "d1", 1, 1)},
        domains_by_id={"bne-a": DomainState("bne-a", "bne")},
    )


def make_gate(configuration=None, **settings):
    gate = Gate(
        node_id="a1",
        domain="bne-a",
        service="fold-model",
        configuration=configuration or make_configuration(),
        membership=StaticMembership(),
        suspects=Suspects(node_id="a1", incarnation="i1"),
        settings=GateSettings(**settings),
    )
    gate.reduce(observed(), EPOCH)
    return gate


def observed(incarnation="e1", digest="d1", cold=False, memory=64 * 1024**2):
    return EngineObserved(incarnation, digest, cold, 0, 0, memory)


def make_call(name, team="big", seconds=30.0, tokens=10, **fields):
    deadline = EPOCH + timedelta(seconds=seconds)
    return Call(name, "fold-model", team, deadline, max_tokens=tokens, **fields)


def warm_up(gate, now=EPOCH, runs=40, per_run=SECOND / 10):
    for number in range(runs):
        assert gate.request(make_call(f"w{number}", seconds=1e6), now) == Admit()
        now += per_run
        gate.release(f"w{number}", True, now)
    return now


def test_a_cold_engine_gets_no_more_than_the_cold_limit():
    # Guards against starting so many calls that a cold engine crashes.
    gate = make_gate()
    decisions = [gate.request(make_call(f"r{n}"), EPOCH) for n in range(4)]
    assert decisions == [Admit(), Admit(), Queue(), Queue()]


@pytest.mark.parametrize(
    "event",
    [observed(incarnation="e2"), observed(cold=True), EngineLost([])],
)
def test_limit_resets_when_the_engine_is_new_or_cold(event):
    # Guards against a restarted engine that gets the limit of its warm predecessor.
    gate = make_gate()
    now = warm_up(gate)
    gate.limit.rule.reset(8)
    assert gate.load().limit == 8
    gate.reduce(event, now)
    gate.reduce(observed(incarnation="e2"), now)
    assert gate.load().limit == 2


def test_limit_resets_when_tokens_slow_down_before_any_call_ends():
    # Guards against admitting calls to an engine that turned cold without a report.
    gate = make_gate()
    now = warm_up(gate)
    gate.limit.rule.reset(4)
    for n in range(4):
        gate.request(make_call(f"r{n}", seconds=1e6, tokens=1000), now)
    for step, interval in [(1, 0.01)] * 40 + [(0, 0.03)] * 2:
        now += timedelta(seconds=interval)
        for n in range(4):
            held = gate.running_by_id_[f"r{n}"].held + step * TOKEN
            gate.held(f"r{n}", held, now)
    assert gate.request(make_call("late", seconds=1e6), now) != Admit()
    assert gate.load().limit == 2


def test_memory_bounds_admission_below_the_count_limit():
    # Guards against long calls that exhaust the memory of the engine.
    gate = make_gate()
    gate.reduce(observed(memory=30 * TOKEN), EPOCH)
    assert gate.request(make_call("r1", tokens=20), EPOCH) == Admit()
    assert gate.request(make_call("r2", tokens=20), EPOCH) == Queue()
    assert gate.request(make_call("r3", tokens=40), EPOCH) == Refuse(
        Code.BODY_TOO_LARGE
    )


@pytest.mark.parametrize(
    ("change", "code"),
    [
        (lambda gate, c: gate.reduce(DrainRequested(), EPOCH), Code.DRAINING),
        (lambda gate, c: c.domains_by_id.update(
            {"bne-a": DomainState("bne-a", "bne", out=True)}
        ), Code.DOMAIN_OUT),
        (lambda gate, c: gate.reduce(observed(digest="d2"), EPOCH),
         Code.WEIGHTS_NOT_READY),
        (lambda gate, c: gate.reduce(EngineLost([]), EPOCH), Code.UPSTREAM_FAILED),
    ],
)  # fmt: skip
def test_a_closed_gate_refuses_new_and_queued_calls(change, code):
    # Guards against calls that wait for an upstream which will not run them.
    configuration = make_configuration()
    gate = make_gate(configuration)
    for n in range(3):
        gate.request(make_call(f"r{n}"), EPOCH)
    change(gate, configuration)
    gate.reduce(ConfigurationChanged(1), EPOCH)
    assert gate.request(make_call("new"), EPOCH).code is code
    assert [item.code for item in gate.expire(EPOCH)] == [code]
    assert gate.release("r0", True, EPOCH) == []
    assert gate.load().limit == 0


def test_a_call_is_refused_when_its_deadline_is_unreachable():
    # Guards against queueing a call that cannot complete in time.
    gate = make_gate()
    now = warm_up(gate)
    seconds = (now - EPOCH).total_seconds() + 5.0
    for n in range(3):
        gate.request(make_call(f"r{n}", seconds=seconds), now)
    assert gate.request(make_call("late", seconds=seconds - 4.95), now) == Refuse(
        Code.DEADLINE_UNREACHABLE, SECOND / 2
    )


def test_a_small_team_is_served_beside_a_large_queue():
    # Guards against serving calls in order of arrival across teams.
    gate = make_gate()
    for n in range(6):
        gate.request(make_call(f"b{n}"), EPOCH)
    gate.request(make_call("s0", team="small"), EPOCH)
    ended = gate.release("b0", True, EPOCH) + gate.release("b1", True, EPOCH)
    assert "s0" in [call.request_id for call in ended]


def test_a_repeated_request_id_is_a_caller_error():
    # Guards against two attempts of one request that share a record.
    gate = make_gate()
    gate.request(make_call("r1"), EPOCH)
    with pytest.raises(ValueError, match="already held"):
        gate.request(make_call("r1"), EPOCH)


def test_a_suspect_runs_alone_and_a_completed_run_clears_it():
    # Guards against calls that crash because they run beside a poison request, and
    # against a harmless call that stays suspect.
    gate = make_gate()
    gate.suspects.reduce(EngineLost(["f1"]), EPOCH)
    assert gate.request(make_call("r1"), EPOCH) == Admit()
    assert gate.request(make_call("r2", fingerprint="f1"), EPOCH) == Queue()
    assert gate.request(make_call("r3"), EPOCH) == Queue()
    assert [call.request_id for call in gate.release("r1", True, EPOCH)] == ["r2"]
    assert gate.ready(EPOCH) == []
    assert [call.request_id for call in gate.release("r2", True, EPOCH)] == ["r3"]
    assert gate.request(make_call("r4", fingerprint="f1"), EPOCH) == Admit()


def test_a_second_crash_quarantines_for_ten_minutes():
    # Guards against a poison request that crashes one engine after another.
    gate = make_gate()
    call = make_call("r1", seconds=1e6, fingerprint="f1")
    for _ in range(2):
        gate.suspects.reduce(EngineLost(["f1"]), EPOCH)
    assert gate.request(call, EPOCH) == Refuse(Code.QUARANTINED, 600 * SECOND)
    assert gate.request(call, EPOCH + 601 * SECOND) == Admit()


def test_a_suspect_is_refused_where_it_crashed_if_another_agent_can_run_it():
    # Guards against a suspect that crashes the same engine again.
    gate = make_gate()
    gate.isolation.membership.members_by_id["a2"] = Member(
        "a2", Role.AGENT, "bne-a", "bne", "", "i1", service="fold-model"
    )
    gate.suspects.reduce(EngineLost(["f1"]), EPOCH)
    decision = gate.request(make_call("r1", fingerprint="f1"), EPOCH)
    assert decision.code is Code.ISOLATED


def test_bytes_that_only_the_engine_reports_reduce_what_fits():
    # Guards against memory that is used by something other than the admitted calls and
    # not subtracted, and against late reports that are counted as such use.
    ledger = MemoryLedger(1000, 1.0, 2 * SECOND)
    ledger.reserve("r1", 400, EPOCH)
    ledger.free("r1", EPOCH + SECOND)
    ledger.observe(400, 1000, EPOCH + 2 * SECOND)
    assert ledger.fits(1000), "a late report of a call that ended is no excess"
    ledger.observe(400, 1000, EPOCH + 6 * SECOND)
    assert not ledger.fits(601)
    assert ledger.fits(600)
