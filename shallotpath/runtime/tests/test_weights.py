from contextlib import AsyncExitStack

import pytest

from shallotpath.bench._weights_world import Shape, build_world, wait_until
from shallotpath.core import ChunkData, ConfigurationChanged
from shallotpath.standins import make_token

SHAPE = Shape(4, chunks=24, chunk_bytes=4096, target_s=0.5, corrupt=0.0)


async def start(world):
    for vm in world.vms_by_id.values():
        vm.weights.start()


def deploy(world, version):
    world.deploy(version)
    for vm in world.vms_by_id.values():
        vm.shell.dispatch(ConfigurationChanged(world.configuration.offset))


def all_serve(world, digest):
    return lambda: all(
        vm.weights.confirmed_digest == digest and vm.engine.digest_ == digest
        for vm in world.vms_by_id.values()
    )


@pytest.fixture
async def world():
    async with AsyncExitStack() as stack:
        yield await build_world(SHAPE, stack)


async def test_a_version_reaches_all_engines_within_the_buffer(world):
    # Guards against an agent that buffers the model in its own memory, and against
    # chunks that are read from the origin twice.
    first = await world.publish("1", seed=1)
    await start(world)
    deploy(world, "1")
    assert await wait_until(all_serve(world, first.digest), 15)
    assert world.origin_bytes("1") == SHAPE.size
    assert world.crossed_bytes_ == SHAPE.size
    for vm in world.vms_by_id.values():
        slots = sum(vm.weights.plan.limits.slots(SHAPE.chunk_bytes)) + 1
        assert vm.weights.buffered_bytes_max_ <= slots * SHAPE.chunk_bytes
        assert vm.weights.progress == 1.0
        answer = await world.session.post(
            f"{vm.engine_url}/run/x", json={"prompt": "p", "max_tokens": 1}
        )
        assert make_token(first.digest, "p", 0) in await answer.text()


async def test_an_order_whose_answer_is_lost_is_settled_by_the_state(world):
    # Guards against an agent that never learns of an order that took effect because its
    # answer was lost.
    first = await world.publish("1", seed=1)
    for vm in world.vms_by_id.values():
        vm.engine.faults.lose_order_answers = True
    await start(world)
    deploy(world, "1")
    engines = [vm.engine for vm in world.vms_by_id.values()]
    assert await wait_until(lambda: all(e.counters_["orders"] for e in engines), 15)
    for engine in engines:
        engine.faults.lose_order_answers = False
    assert await wait_until(all_serve(world, first.digest), 15)


async def test_an_engine_that_restarts_cold_is_filled_again_by_its_peers(world):
    # Guards against reading a version from the origin again although the peers have it.
    first = await world.publish("1", seed=1)
    await start(world)
    deploy(world, "1")
    assert await wait_until(all_serve(world, first.digest), 15)
    world.platform.faults.origin_down = True
    vm = world.vms_by_id["vm-001"]
    vm.engine.crash()
    assert vm.engine.digest_ == "previous"
    assert await wait_until(lambda: vm.weights.confirmed_digest != first.digest, 5)
    assert await wait_until(all_serve(world, first.digest), 15)
    assert world.origin_bytes("1") == SHAPE.size


async def test_a_chunk_that_nobody_asked_for_is_dropped(world):
    # Guards against a peer that fills the agent's memory.
    first = await world.publish("1", seed=1)
    await start(world)
    deploy(world, "1")
    assert await wait_until(all_serve(world, first.digest), 15)
    a, b = list(world.vms_by_id.values())[:2]
    a.shell.bulk.send(
        b.shell.bulk.address_, ChunkData(first.digest, 0, b"x" * SHAPE.chunk_bytes)
    )
    counters = world.telemetry.counters_
    assert await wait_until(lambda: counters["weights_late_chunks"] == 1, 5)
    assert b.weights.buffered_bytes_ == 0


async def test_versions_before_the_previous_one_are_unloaded(world):
    # Guards against an engine whose memory fills with old versions.
    await start(world)
    for version in ("1", "2", "3"):
        record = await world.publish(version, seed=int(version))
        deploy(world, version)
        assert await wait_until(all_serve(world, record.digest), 15)
    engines = [vm.engine for vm in world.vms_by_id.values()]
    assert await wait_until(
        lambda: all(len(e.staged_by_digest_) == 2 for e in engines), 10
    )
    assert all(vm.weights.sole_chunks == 0 for vm in world.vms_by_id.values())


async def test_engines_without_memory_for_two_versions_are_drained_in_turn(world):
    # Guards against agents that wait for chunks which a full engine cannot store.
    for vm in world.vms_by_id.values():
        vm.engine.memory_bytes = SHAPE.size // 2
    await start(world)
    assert await wait_until(all_serve(world, "previous"), 5)
    first = await world.publish("1", seed=1)
    deploy(world, "1")
    assert await wait_until(all_serve(world, first.digest), 40)
    assert all(vm.weights.admitting for vm in world.vms_by_id.values())
