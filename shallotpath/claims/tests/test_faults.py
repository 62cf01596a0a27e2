"""Interleavings that run a key twice if one mechanism is disabled.

Each is run against the full protocol, which must run the key once, and against a
variant without the mechanism, where the check must find the second run.
"""

from collections import Counter

import pytest

from shallotpath.claims import ClaimState, KnownClaim, Phase, Retire, encode_record
from shallotpath.claims.tests import mutants
from shallotpath.claims.tests.world import SERVICE, make_world
from shallotpath.core import RunState
from shallotpath.membership import Member, MemberState


def key_seen_by_one_home_only(**variant):
    """Resend a key through an entry that knows another home."""
    world = make_world(**variant)
    key = world.key_of("a1")
    world.request(key, "a1")
    world.request(key, "b1")
    return world


def join_while_a_domain_lacks_the_log(**variant):
    """Let an agent join while another decides without the log."""
    world = make_world(("a1", "b1"), **variant)
    key = world.moving_key("a1", "b2")
    world.log_cut_domains = {"a"}
    world.settle(10)
    world.add_agent("b2", "b")
    world.settle(10)
    world.request(key, "a1")
    world.settle(3)
    world.request(key, "b2")
    world.settle(10)
    return world


def confirmation_takes_effect_late(**variant):
    """Let the confirmation of a join take effect after its append failed."""
    world = make_world(("a1", "b1"), **variant)
    key = world.moving_key("a1", "b2")
    world.add_agent("b2", "b")
    while not world.agents["b2"].appends:
        world.read("b2")
    world.run_append("b2")
    while world.agents["a1"].appends:
        world.run_append("a1")
    world.advance(0.1)
    world.read("a1")
    world.advance(0.1)
    while world.agents["a1"].appends:
        world.run_append("a1", "late")
    world.log_cut_domains = {"a"}
    world.settle(10)
    while world.late_appends:
        world.apply_late()
    world.settle(10)
    assert "b2" in world.entry_homes.service(SERVICE).active_by_id
    world.request(key, "a1")
    world.settle(3)
    world.request(key, "b2")
    world.settle(3)
    return world


def contact_takes_effect_late(**variant):
    """Let a contact record with other witnesses take effect after its failure."""
    world = make_world(("a1", "b1"), **variant)
    world.add_witness("aw3", "a")
    world.add_witness("aw4", "a")
    named = world.entry_homes.service(SERVICE).active_by_id["a1"].witnesses
    for witness in named[1:]:
        set_state(world, witness.id, MemberState.SUSPECT)
    world.advance(3)
    while world.agents["a1"].appends:
        world.run_append("a1", "late")
    world.log_up = False
    world.settle(10)
    key = world.key_of("a1")
    world.request(key, "a1")
    world.settle(3)
    while world.late_appends:
        world.apply_late()
    world.kill(named[0].id)
    world.restart("a1", applied_late=False)
    world.heal()
    world.settle(10)
    world.request(key, "a1")
    world.settle(3)
    return world


def set_state(world, member, state):
    known = world.membership.members_by_id[member]
    world.membership.members_by_id[member] = Member(
        known.id,
        known.role,
        known.domain,
        known.region,
        known.address,
        known.incarnation,
        state,
    )


def join_of_a_dead_incarnation_takes_effect_late(**variant):
    """Let the join of a dead incarnation take effect after its successor's."""
    world = make_world(("b1",), **variant)
    dead = world.add_agent("a1", "a").incarnation
    world.read("a1")
    world.run_append("a1", "late")
    world.kill("a1", applied_late=False)
    world.add_agent("a1", "a")
    world.settle(10)
    key = world.key_of("a1")
    world.log_cut_domains = {"a"}
    world.settle(10)
    world.apply_late()
    world.store([encode_record(Retire(SERVICE, "a1", dead, "operator"))])
    world.settle(10)
    world.request(key, "a1")
    world.settle(3)
    world.request(key, "b1")
    world.settle(3)
    return world


def restart_in_an_outage(**variant):
    """Restart a home agent that ran a key without the log."""
    world = make_world(**variant)
    key = world.key_of("a1")
    world.log_up = False
    world.settle(10)
    world.request(key, "a1")
    world.settle(2)
    world.restart("a1", applied_late=False)
    world.heal()
    world.settle(10)
    world.request(key, "a1")
    world.settle(3)
    return world


def restart_with_all_witnesses(**variant):
    """Lose a home agent's witnesses in an outage: two restart, one stops."""
    world = make_world(**variant)
    key = world.key_of("a1")
    named = world.entry_homes.service(SERVICE).active_by_id["a1"].witnesses
    world.log_up = False
    world.settle(10)
    world.request(key, "a1")
    world.settle(2)
    world.restart("a1", applied_late=False)
    for witness in named[:2]:
        world.restart(witness.id)
    world.kill(named[2].id)
    world.heal()
    world.settle(10)
    world.request(key, "a1")
    world.settle(20)
    return world


def confirmation_before_claims_are_logged(**variant):
    """Read a join while some claims are stored at witnesses only."""
    world = make_world(("a1", "b1"), **variant)
    world.log_cut_domains = {"a"}
    world.settle(10)
    key = world.moving_key("a1", "b2")
    for prefix in "cdef":
        world.request(world.key_of("a1", prefix), "a1")
    world.request(key, "a1")
    world.settle(2)
    world.add_agent("b2", "b")
    world.settle(5)
    world.log_cut_domains = set()
    while "b2" not in world.entry_homes.service(SERVICE).active_by_id:
        for member in ("a1", "b1", "b2"):
            world.run_append(member)
            world.read(member)
        world.advance(0.1)
    world.log_cut_domains = {"a"}
    world.settle(2)
    world.request(key, "b2")
    world.settle(3)
    return world


def operator_retires_a_live_home(**variant):
    """Retire a home agent by mistake while it decides without the log."""
    world = make_world(("a1", "b1"), **variant)
    key = world.key_of("a1")
    world.log_cut_domains = {"a"}
    world.settle(10)
    world.store([encode_record(Retire(SERVICE, "a1", "a1.1", "operator"))])
    world.settle(10)
    world.request(key, "b1")
    world.settle(3)
    world.request(key, "a1")
    world.settle(3)
    return world


CASES = [
    (operator_retires_a_live_home, {"store": mutants.UnsealedStore}),
    (key_seen_by_one_home_only, {"table": mutants.NaiveTable}),
    (join_while_a_domain_lacks_the_log, {"homes": mutants.UnconfirmedJoins}),
    (confirmation_takes_effect_late, {"table": mutants.IgnoresUnreadConfirmation}),
    (contact_takes_effect_late, {"table": mutants.LastContactOnly}),
    (
        join_of_a_dead_incarnation_takes_effect_late,
        # Sealed witnesses would also prevent this fault, so both are disabled.
        {"homes": mutants.ReplacesAnything, "store": mutants.UnsealedStore},
    ),
    (restart_in_an_outage, {"table": mutants.NoWitnessRead}),
    (restart_with_all_witnesses, {"table": mutants.AnyIncarnationReads}),
    (confirmation_before_claims_are_logged, {"table": mutants.ConfirmsEarly}),
]
IDS = [case.__name__ for case, _ in CASES]


@pytest.fixture(autouse=True)
def one_key_per_append(monkeypatch):
    monkeypatch.setattr("shallotpath.claims._outbox.MAX_BATCH_KEYS", 1)


@pytest.mark.parametrize(("case", "variant"), CASES, ids=IDS)
def test_the_protocol_runs_the_key_once(case, variant):
    # Guards against a second run of a key in any of these interleavings.
    world = case()
    world.check()
    world.heal()
    world.settle(30)
    world.check()
    assert sum(world.runs.values()) >= 1


@pytest.mark.parametrize(("case", "variant"), CASES, ids=IDS)
def test_the_check_finds_the_fault_without_the_mechanism(case, variant):
    # Guards against a check that would not notice a key that runs twice.
    world = case(**variant)
    assert any("ran:" in fault for fault in world.violations)


def test_unreadable_witnesses_leave_the_keys_unknown_until_an_operator_asserts():
    # Guards against running a key whose claims are lost with their witnesses.
    world = restart_with_all_witnesses()
    key = next(iter(world.runs))
    last = world.attempts[key][-1].request_id
    assert world.decisions[last].run is RunState.UNKNOWN
    unresolved = world.entry_homes.service(SERVICE).debts_by_incarnation
    assert list(unresolved) == ["a1.1"]


def test_a_claim_that_takes_effect_after_its_author_was_replaced_is_void():
    # Guards against a second run by a late append of a replaced incarnation.
    world = make_world()
    key = world.key_of("a1")
    world.request(key, "a1")
    world.run_append("a1", "late")
    world.restart("a1")
    world.settle(10)
    again = world.request(key, "a1")
    world.settle(3)
    assert world.ran(again)
    while world.late_appends:
        world.apply_late()
    world.settle(3)
    world.check()


def test_a_lost_answer_is_settled_by_reading():
    # Guards against a request that never runs because the answer to its append is lost.
    world = make_world()
    key = world.key_of("a1")
    request = world.request(key, "a1")
    while world.agents["a1"].appends:
        world.run_append("a1", "lost")
    assert not world.ran(request)
    world.read("a1")
    assert world.ran(request)


def test_a_paused_home_keeps_its_keys_and_delays_joins():
    # Guards against a join that takes keys from a paused agent, which runs them when it
    # resumes.
    world = make_world(("a1", "b1"))
    key = world.moving_key("a1", "b2")
    other = next(k for n in range(99) if world.home(k := f"m{n}") == "a1" and k != key)
    first = world.request(key, "a1")
    world.run_append("a1")
    world.agents["a1"].paused = True
    world.add_agent("b2", "b")
    world.settle(10)
    assert "b2" not in world.entry_homes.service(SERVICE).active_by_id
    second = world.request(key, "b2")
    refused = world.request(other, "b2")
    assert world.decisions[refused].run is RunState.UNKNOWN
    world.heal()
    world.settle(10)
    assert "b2" in world.entry_homes.service(SERVICE).active_by_id
    assert world.ran(first)
    assert world.decisions[second] == KnownClaim(ClaimState(Phase.UNKNOWN))
    world.check()


@pytest.mark.parametrize("broken_witnesses", [0, 1])
def test_almost_all_first_requests_run_without_the_log(broken_witnesses):
    # Guards against requests that are refused in an outage of the log: 99% of first
    # attempts must run while the links work.
    world = make_world(("a1", "a2", "a3", "b1", "b2"))
    world.log_up = False
    world.settle(10)
    for n in range(broken_witnesses):
        world.restart(f"aw{n}")
    ids = []
    for n in range(400):
        key = f"first{n}"
        ids.append(world.request(key, world.home(key), fresh=n % 2 == 0))
    world.settle(4)
    kinds = Counter(type(world.decisions.get(i)).__name__ for i in ids)
    assert kinds["RunClaim"] >= 0.99 * len(ids), kinds
    world.check()
