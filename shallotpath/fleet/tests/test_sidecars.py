"""Transfer and loading of weights by sidecars, on loopback."""

import asyncio
from datetime import timedelta

import pytest

from shallotpath.core import ManualClock
from shallotpath.fleet import LineReporter, SidecarProcess
from shallotpath.forwarding.tests.helpers import SuspendedClock
from shallotpath.platform import OPERATOR_TOPIC
from shallotpath.swarm import SwarmMember, SwarmPlan

from .processes import (
    Output,
    make_settings,
    sidecars,
    until,
)
from .standins import Engine, Log, Origin


def test_sidecar_sends_to_other_regions_each_round_during_a_transfer():
    # Guards against chunks that several regions fetch from the origin because they
    # learn too late which sidecar has them.
    sidecar = SidecarProcess(
        make_settings("mate", 1, 2),
        reporter=LineReporter("mate", "a-1", ManualClock(), Output()),
    )
    assert sidecar.remote_interval > timedelta()
    sidecar.plan_ = SwarmPlan(
        own=SwarmMember("mate", "a"),
        model="m",
        version=1,
        digests=("0" * 64,),
        started_at=sidecar.clock.now(),
        random=sidecar.random,
    )
    assert sidecar.transferring()
    assert sidecar.remote_interval == timedelta()


@pytest.mark.timeout(60)
async def test_sidecars_share_one_copy_of_a_version_and_load_intact_chunks():
    # Guards against a transfer from the origin for each sidecar, and against loading
    # chunks that arrive corrupt or get corrupt after staging.
    log, origin = Log(), Origin()
    origin.spoilt = {2, 5}
    engines = [Engine(), Engine(), Engine()]
    engines[1].corrupts_once = {3}
    async with sidecars(log, origin, *engines) as processes:
        for sidecar in processes[1:]:
            processes[0].peers.learn(sidecar.address)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 1})
        await until(lambda: all(e.version == 1 for e in engines), 20)
        sent = origin.sent
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
        await until(lambda: all(e.version == 2 for e in engines), 20)
        # One copy, plus chunks that several sidecars requested before they knew of each
        # other's.
        assert origin.sent - sent <= 2 * origin.count
    for engine in engines:
        assert engine.loaded == {i: origin.chunk(2, i) for i in range(origin.count)}
        assert engine.orders == sorted(set(engine.orders))


async def test_restarted_sidecar_reuses_the_version_of_its_engine():
    # Guards against a second load of the same version after a restart of the sidecar.
    log, origin, engine = Log(), Origin(), Engine()
    engine.version = 1
    engine.staged = {i: origin.chunk(1, i) for i in range(origin.count)}
    async with sidecars(log, origin, engine) as (sidecar,):
        await until(lambda: sidecar.adopted_version_ == 1)
        assert sidecar.plan_.complete
    assert engine.orders == []
    assert origin.sent == 0


async def test_lost_staged_chunks_are_staged_again_before_the_load():
    # Guards against a sidecar that endlessly tries to verify chunks that are lost.
    log, origin, engine = Log(), Origin(), Engine()
    engine.loses_once = {1, 6}
    async with sidecars(log, origin, engine):
        await until(lambda: engine.version == 1)
    assert engine.loaded == {i: origin.chunk(1, i) for i in range(origin.count)}


@pytest.mark.parametrize("reads_before_pause", [4, 8])
async def test_load_is_not_ordered_on_an_outdated_verification(reads_before_pause):
    # Guards against tokens made with chunks that turned corrupt while the sidecar was
    # paused, during the verification of the staged chunks or after it.
    log, origin, engine = Log(), Origin(), Engine()
    clock = SuspendedClock()

    def pause(reads):
        if reads == reads_before_pause:
            clock.suspended += timedelta(seconds=4)
            engine.staged[1] = b"corrupt"

    engine.on_read = pause
    async with sidecars(log, origin, engine, clock=clock):
        await until(lambda: engine.version == 1)
    assert engine.loaded == {i: origin.chunk(1, i) for i in range(origin.count)}


async def test_engine_that_is_slow_to_read_from_gets_its_order():
    # Guards against a version that is never loaded because its verification takes
    # longer than it holds.
    log, origin, engine = Log(), Origin(), Engine()
    engine.read_delay_s = 0.3
    async with sidecars(log, origin, engine):
        await until(lambda: engine.version == 1)
    assert engine.loaded == {i: origin.chunk(1, i) for i in range(origin.count)}


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 9},
        {"model": "other"},
        {"digests": []},
        {"digests": ["0" * 64] * 8},
    ],
    ids=["version", "model", "no chunks", "digests"],
)
async def test_corrupt_manifest_is_fetched_again(changes):
    # Guards against chunks that are loaded as another version, and against a transfer
    # that waits for chunks that do not exist.
    log, origin, engine = Log(), Origin(), Engine()
    origin.manifest_changes = changes
    log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 1})
    async with sidecars(log, origin, engine):
        await until(lambda: engine.version, 8)
    assert engine.orders == [1]
    assert engine.loaded == {i: origin.chunk(1, i) for i in range(origin.count)}


async def test_order_without_an_answer_is_not_given_twice():
    # Guards against a second order by a sidecar that does not know whether the first
    # one was accepted, or that acts on a report from before it.
    log, origin, engine = Log(), Origin(), Engine()
    engine.loses_answer_once = True
    engine.reports_late = True
    async with sidecars(log, origin, engine):
        await until(lambda: engine.refused_orders)
    assert engine.orders == [1]


async def test_sidecar_ends_when_it_is_cancelled_as_it_wakes():
    # Guards against a task that goes on after a stop, so that the process is killed.
    log, origin, engine = Log(), Origin(), Engine()
    async with sidecars(log, origin, engine) as (sidecar,):
        task = asyncio.ensure_future(sidecar._keep_weights())
        for _ in range(30):
            await asyncio.sleep(0.003)
            sidecar.wake_.set()
        sidecar.wake_.set()
        task.cancel()
        await asyncio.wait({task}, timeout=1)
        assert task.cancelled()
