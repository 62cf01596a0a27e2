import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from shallotpath.config import Preset
from shallotpath.weights import TransferPlan

from .swarm import Swarm

SEEDS = [1] * 12
# One chunk set fits, two do not.
SMALL_MEMORY = 50


def count_ready(swarm):
    return sum(
        agent.rollout.admitting and agent.orders.confirmed_digest != ""
        for agent in swarm.agents.values()
    )


def start_update(count, memory=10_000, **options):
    swarm = Swarm(count, memory=memory, **options)
    swarm.step()
    assert count_ready(swarm) == count
    digest = swarm.publish("1", SEEDS)
    swarm.deploy("1")
    return swarm, digest


@pytest.mark.parametrize("memory", [10_000, SMALL_MEMORY])
@pytest.mark.parametrize("min_ready", [1, 4, 5])
def test_an_update_keeps_the_minimum_ready(memory, min_ready):
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
    # Shows that the minimum depends on the order that all agents agree on.
    from shallotpath.weights import Rollout

    monkeypatch.setattr(Rollout, "_count_agents_ahead", lambda self, members: 0)
    swarm, _ = start_update(6, SMALL_MEMORY, min_ready=4)
    lowest = 6
    for _ in range(50):
        swarm.step()
        lowest = min(lowest, count_ready(swarm))
    assert lowest < 4


def test_a_single_worker_with_memory_switches_without_a_pause():
    swarm, digest = start_update(1)
    assert swarm.run(lambda: swarm.serving(digest) == 1 or not count_ready(swarm))
    assert swarm.serving(digest) == 1


def test_a_single_worker_without_memory_waits_for_the_maintenance_preset():
    swarm, digest = start_update(1, SMALL_MEMORY)
    assert not swarm.run(swarm.all_serve(digest), seconds=30)
    assert count_ready(swarm) == 1
    swarm.configuration.preset = Preset("maintenance")
    assert swarm.run(swarm.all_serve(digest))
    assert swarm.run(lambda: count_ready(swarm) == 1, seconds=2)


def test_a_drain_waits_for_running_requests():
    swarm, digest = start_update(2, SMALL_MEMORY)
    for agent in swarm.agents.values():
        agent.engine.running = 1
    assert not swarm.run(lambda: swarm.serving(digest) > 0, seconds=20)
    assert count_ready(swarm) == 1
    for agent in swarm.agents.values():
        agent.engine.running = 0
    assert swarm.run(swarm.all_serve(digest))


def test_pause_resume_and_roll_back_go_through_the_configuration():
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


def test_a_cold_restart_with_the_old_version_is_brought_up_to_date():
    swarm, digest = start_update(4)
    assert swarm.run(swarm.all_serve(digest))
    swarm.agents["vm-2"].engine.restart()
    swarm.step()
    assert swarm.agents["vm-2"].orders.confirmed_digest == "old"
    assert swarm.run(swarm.all_serve(digest))
    assert swarm.chunks_by_from_origin[True] == len(SEEDS)


def test_a_domain_that_is_out_does_not_count():
    from shallotpath.config import DomainState

    swarm, digest = start_update(4, SMALL_MEMORY, regions=("a", "b"), min_ready=2)
    swarm.configuration.domains_by_id["b"] = DomainState("b", "b", out=True)
    swarm.step()
    agent = swarm.agents["vm-0"]
    assert sorted(agent.rollout._members()) == ["vm-0", "vm-2"]


def check_engines(swarm):
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


# Left an agent with all sources banned for good.
@example(
    [("kill", 2, 2), ("kill", 1, 12), ("corrupt", 3, 11), ("restart", 3, 4)], False
)
@given(fault_lists, st.booleans())
def test_no_engine_is_ever_switched_to_an_incomplete_or_mixed_set(
    script, checks_fencing
):
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
    # Whatever happened, the target is reached once the faults end.
    assert swarm.run(swarm.all_serve(target), seconds=240)
    check_engines(swarm)


def test_the_invariant_fails_when_completeness_is_not_checked(monkeypatch):
    # Shows that the property above depends on the check of the set.
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
