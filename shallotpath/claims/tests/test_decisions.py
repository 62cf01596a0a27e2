from shallotpath.claims import ClaimState, KnownClaim, Phase, RefuseClaim
from shallotpath.claims.tests.world import SERVICE, make_world
from shallotpath.core import Code, RunState


def test_all_agents_join_and_agree():
    # Guards against agents that fold the same records into different home sets.
    world = make_world()
    sets = [
        set(a.table.homes.service(SERVICE).active_by_id) for a in world.agents.values()
    ]
    assert sets == [{"a1", "a2", "b1"}] * 3


def test_a_key_runs_once_and_a_resend_gets_its_outcome():
    # Guards against a resend that runs again or does not get the status of the run.
    world = make_world()
    key = world.key_of("a1")
    first = world.request(key, "a1")
    second = world.request(key, "a1")
    world.settle()
    assert world.ran(first)
    assert world.decisions[second] == KnownClaim(ClaimState(Phase.RUNNING))
    world.agents["a1"].table.finished(key, first, 200, world.now())
    third = world.request(key, "a1")
    assert world.decisions[third] == KnownClaim(ClaimState(Phase.FINISHED, 200))
    world.check()


def test_requests_at_one_moment_share_an_append():
    # Guards against one append per key, which exceeds the capacity of the log.
    world = make_world()
    keys = [world.key_of("a1", prefix) for prefix in "cdefgh"]
    before = len(world.log)
    ids = [world.request(key, "a1") for key in keys]
    world.settle(2)
    assert all(world.ran(request) for request in ids)
    assert len(world.log) - before <= 3


def test_an_agent_that_is_not_the_home_refuses():
    # Guards against a run by an agent that misses the claims of the home agent, and
    # against `run: no` for a resend that may have run elsewhere.
    world = make_world()
    key = world.key_of("a1")
    fresh = world.request(key, "a2", fresh=True)
    resend = world.request(key, "a2")
    assert world.decisions[fresh] == RefuseClaim(Code.CLAIM_ELSEWHERE, RunState.NO)
    assert world.decisions[resend].run is RunState.UNKNOWN


def test_without_the_log_a_key_runs_after_the_hand_over():
    # Guards against requests that are refused for as long as the log is unavailable.
    world = make_world()
    world.log_up = False
    world.settle(10)
    for member in world.agents:
        request = world.request(world.key_of(member), member)
        world.settle(1)
        assert world.ran(request)
    world.check()


def test_a_request_that_arrives_as_the_log_fails_runs():
    # Guards against a deadline that ends before the hand-over to witnesses.
    world = make_world()
    world.log_up = False
    request = world.request(world.key_of("a1"), "a1")
    world.settle(10)
    assert world.ran(request)


def test_witnesses_drop_claims_once_the_log_holds_them():
    # Guards against witnesses that fill up over many outages.
    world = make_world()
    world.log_up = False
    world.settle(10)
    world.request(world.key_of("a1"), "a1")
    world.settle(2)
    assert sum(w.key_count for w in world.witnesses.values()) == 3
    world.heal()
    world.settle()
    assert sum(w.key_count for w in world.witnesses.values()) == 0


def test_a_restarted_home_without_the_log_answers_unknown():
    # Guards against a new incarnation that runs what the earlier one ran offline.
    world = make_world()
    key = world.key_of("a1")
    world.log_up = False
    world.settle(10)
    world.request(key, "a1")
    world.settle(1)
    world.restart("a1")
    world.settle(10)
    resend = world.request(key, "a1")
    fresh = world.request(world.key_of("a1", "f"), "a1", fresh=True)
    assert world.decisions[resend].run is RunState.UNKNOWN
    assert world.decisions[fresh].run is RunState.NO
    world.heal()
    world.settle()
    again = world.request(key, "a1")
    world.settle()
    # The new incarnation has read the key from the witnesses.
    assert world.decisions[again] == KnownClaim(ClaimState(Phase.UNKNOWN))
    world.check()


def test_a_graceful_leave_hands_the_keys_over():
    # Guards against a key that runs again at its next home agent after a leave.
    world = make_world()
    key = world.key_of("a1")
    first = world.request(key, "a1")
    world.settle(2)
    agent = world.agents["a1"]
    world.perform(agent, agent.table.leave(world.now()))
    refused = world.request(world.key_of("a1", "n"), "a1")
    assert world.decisions[refused].code is Code.DRAINING
    world.settle()
    assert agent.table.left
    again = world.request(key, world.home(key))
    assert world.ran(first)
    assert world.decisions[again] == KnownClaim(ClaimState(Phase.UNKNOWN))


def test_a_vm_that_left_the_list_is_retired_and_its_keys_run_elsewhere():
    # Guards against keys that stay with a stopped agent and never run.
    world = make_world()
    key = world.key_of("b1")
    for member in world.agents:
        world.send_list(member)
    world.kill("b1")
    for member in world.agents:
        world.send_list(member)
    world.settle(20)
    assert world.home(key) in ("a1", "a2")
    request = world.request(key, world.home(key))
    world.settle()
    assert world.ran(request)


def test_a_vm_that_was_never_listed_is_not_retired():
    # Guards against retiring a running agent: the list lags, so a new VM may be
    # missing from it.
    world = make_world()
    new = world.add_agent("b2", "b")
    world.settle(20)
    del world.vms[new.member]
    world.list_version += 1
    for member in world.agents:
        world.send_list(member)
    world.settle()
    assert "b2" in world.entry_homes.service(SERVICE).active_by_id


def test_a_full_table_refuses_new_keys_and_keeps_old_ones():
    # Guards against evicting a key, which could then run twice.
    world = make_world()
    world.settings = world.agents["a1"].table.settings
    key = world.key_of("a1")
    world.request(key, "a1")
    world.settle()
    table = world.agents["a1"].table
    for n in range(world.settings.max_keys):
        table.keys_.mark_unknown(f"x{n}", world.now())
    refused = world.request(world.key_of("a1", "n"), "a1")
    assert world.decisions[refused] == RefuseClaim(Code.CLAIM_UNAVAILABLE, RunState.NO)
    assert world.known(world.request(key, "a1"))
