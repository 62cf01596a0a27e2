import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from shallotpath.config import Preset
from shallotpath.weights import TransferPlan

from .swarm import Swarm

SEEDS = [1] * 12
# Less than the size of a version, so an engine must be drained before it loads one.
SMALL_MEMORY_BYTES = 50


def count_ready(swarm):
    """Return the number of agents that admit requests to a known version."""
    return sum(
        agent.rollout.admitting and agent.orders.confirmed_digest != ""
        for agent in swarm.agents.values()
    )


def start_update(count, memory=10_000, **options):
    """Return a swarm whose ready agents begin an update, and the target digest."""
    swarm = Swarm(count, memory=memory, **options)
    swarm.step()
    assert count_ready(swarm) == count
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    return swarm, digest


@pytest.mark.parametrize("memory", [10_000, SMALL_MEMORY_BYTES])
@pytest.mark.parametrize("min_ready", [1, 4, 5])
def test_an_update_keeps_the_minimum_ready(memory, min_ready):
    # Guards against agents that drain their engines at the same time.
    swarm, digest = start_update(6, memory, min_ready=min_ready)
    lowest = 6
    for _ in range(900):
        swarm.step()
        lowest = min(lowest, count_ready(swarm))
        if swarm.serving(digest) == 6:
            break
    assert swarm.serving(digest) == 6
    assert lowest >= min_ready


def test_without_the_order_of_agents_too_few_stay_ready(monkeypatch):
    # Checks that the minimum is kept only because all agents agree on their order.
    from shallotpath.weights import Rollout

    monkeypatch.setattr(Rollout, "_count_agents_ahead", lambda self, members: 0)
    swarm, _ = start_update(6, SMALL_MEMORY_BYTES, min_ready=4)
    lowest = 6
    for _ in range(50):
        swarm.step()
        lowest = min(lowest, count_ready(swarm))
    assert lowest < 4


def test_a_single_engine_with_memory_for_two_versions_stays_ready():
    # Guards against a drain of the only engine although it can hold both versions.
    swarm, digest = start_update(1)
    assert swarm.run(lambda: swarm.serving(digest) == 1 or not count_ready(swarm))
    assert swarm.serving(digest) == 1


def test_a_single_engine_without_memory_waits_for_the_maintenance_preset():
    # Guards against an update that takes the only engine out of service unasked.
    swarm, digest = start_update(1, SMALL_MEMORY_BYTES)
    assert not swarm.run(swarm.all_serve(digest), seconds=30)
    assert count_ready(swarm) == 1
    swarm.configuration.preset = Preset("maintenance")
    assert swarm.run(swarm.all_serve(digest))
    assert swarm.run(lambda: count_ready(swarm) == 1, seconds=2)


def test_a_drain_waits_for_running_requests():
    # Guards against a version that is unloaded while requests still run on it.
    swarm, digest = start_update(2, SMALL_MEMORY_BYTES)
    for agent in swarm.agents.values():
        agent.engine.running = 1
    assert not swarm.run(lambda: swarm.serving(digest) > 0, seconds=20)
    assert count_ready(swarm) == 1
    for agent in swarm.agents.values():
        agent.engine.running = 0
    assert swarm.run(swarm.all_serve(digest))


def test_pause_resume_and_roll_back_go_through_the_configuration():
    # Guards against an update that goes on while it is paused, and against a roll back
    # that transfers chunks again.
    swarm, first = start_update(4)
    assert swarm.run(swarm.all_serve(first))
    second = swarm.publish("2", [2] * 12)
    swarm.configuration.paused_services = ["s"]
    swarm.deploy("2")
    assert not swarm.run(lambda: swarm.serving(second) > 0, seconds=20)
    swarm.configuration.paused_services = []
    swarm.deploy("2")
    assert swarm.run(lambda: swarm.serving(second) >= 1)
    swarm.chunks_by_from_origin.clear()
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(first))
    # The engines kept the chunks of the version that is restored.
    assert sum(swarm.chunks_by_from_origin.values()) == 0


def test_an_engine_restarted_with_the_old_version_is_updated_again():
    # Guards against an engine that stays on its boot version after a restart, and
    # against a second fetch from the origin of chunks that peers hold.
    swarm, digest = start_update(4)
    assert swarm.run(swarm.all_serve(digest))
    swarm.agents["vm-2"].engine.restart()
    swarm.step()
    assert swarm.agents["vm-2"].orders.confirmed_digest == "old"
    assert swarm.run(swarm.all_serve(digest))
    assert swarm.chunks_by_from_origin[True] == len(SEEDS)


def test_a_domain_that_is_out_does_not_count():
    # Guards against too much slack: agents of a domain that is out must not count.
    from shallotpath.config import DomainState

    swarm, digest = start_update(4, SMALL_MEMORY_BYTES, regions=("a", "b"), min_ready=2)
    swarm.configuration.domains_by_id["b"] = DomainState("b", "b", out=True)
    swarm.step()
    agent = swarm.agents["vm-0"]
    assert sorted(agent.rollout._members()) == ["vm-0", "vm-2"]


def check_engines(swarm):
    """Assert that each engine serves a complete version and was ordered no other."""
    for agent in swarm.agents.values():
        engine = agent.engine
        assert engine.incomplete_orders == 0
        assert engine.digest == "old" or engine.verified(engine.digest)


fault_lists = st.lists(
    st.tuples(
        st.sampled_from(
            ["corrupt", "restart", "lose", "pause", "wake", "deploy", "kill"]
        ),
        st.integers(0, 4),
        st.integers(1, 12),
    ),
    max_size=12,
)


def apply_fault(swarm, fault, vm):
    agent = swarm.agents.get(f"vm-{vm}")
    if fault == "corrupt":
        swarm.corrupt = lambda source, receiver, index: (index + vm) % 3 == 0
    elif fault == "deploy":
        swarm.corrupt = lambda source, receiver, index: False
        swarm.deploy(str(vm % 2 + 1))
    elif agent is None:
        return
    elif fault == "restart":
        agent.engine.restart()
    elif fault == "lose":
        agent.engine.lose_answers = 1
    elif fault in {"pause", "wake"}:
        agent.paused = fault == "pause"
    elif fault == "kill" and len(swarm.agents) > 2:
        swarm.kill(agent.id)


# Left an agent with all its sources banned permanently.
@example(
    [("kill", 2, 2), ("kill", 1, 12), ("corrupt", 3, 11), ("restart", 3, 4)], False
)
@given(fault_lists, st.booleans())
def test_no_engine_is_ever_switched_to_an_incomplete_or_mixed_set(
    script, checks_fencing
):
    # Guards against an order for a set with missing chunks or chunks of two versions,
    # and against agents that do not reach the target once the faults end.
    swarm = Swarm(5, checks_fencing=checks_fencing)
    swarm.publish("1", [1] * 8)
    swarm.publish("2", [1] * 4 + [2] * 4)
    swarm.deploy("1")
    for fault, vm, steps in script:
        apply_fault(swarm, fault, vm)
        for _ in range(steps):
            swarm.step()
            check_engines(swarm)
    swarm.corrupt = lambda source, receiver, index: False
    for agent in swarm.agents.values():
        agent.paused = False
    version = swarm.configuration.services_by_id["s"].version
    target = swarm.configuration.versions_by_id[f"m/{version}"].digest
    # The target must be reached once the faults end.
    assert swarm.run(swarm.all_serve(target), seconds=240)
    check_engines(swarm)


def test_the_property_fails_when_completeness_is_not_checked(monkeypatch):
    # Checks that the property above fails without the check of completeness.
    monkeypatch.setattr(
        TransferPlan, "complete", property(lambda self: self.manifest_ is not None)
    )
    swarm, _ = start_update(3)
    for _ in range(20):
        swarm.step()
    with pytest.raises(AssertionError):
        check_engines(swarm)


def test_state_about_members_that_are_gone_is_forgotten():
    # Guards against memory that grows with every VM that was ever replaced.
    swarm = Swarm(3)
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    assert swarm.run(swarm.all_serve(digest))
    for index in range(3, 60):
        swarm.add(f"vm-{index}", "a")
        swarm.run(swarm.all_serve(digest))
        swarm.kill(f"vm-{index}")
        del swarm.membership.members_by_id[f"vm-{index}"]
    agent = swarm.agents["vm-0"]
    swarm.run(lambda: False, seconds=3)
    assert len(agent.rollout.table_.status_by_key_) <= 2 * 3 + 16
    assert len(agent.plan.sources_by_id_) <= 3
