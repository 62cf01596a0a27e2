"""Bound on outdated weights at processes that missed the announcement."""

import asyncio
from datetime import timedelta

from shallotpath.core import MonotonicClock
from shallotpath.fleet import EdgeProcess, SidecarProcess

from .announcements import (
    BOUND,
    announce_version,
    knows_version,
    make_bound_settings,
    make_log,
    refuses_old_weights,
)
from .processes import running, stores, until
from .standins import Engine, listen


async def keeps_refusing(edge, duration):
    """Check whether an entry rejects old weights for a whole duration."""
    ends_at = edge.clock.now() + duration
    while edge.clock.now() < ends_at:
        if not refuses_old_weights(edge):
            return False
        await asyncio.sleep(0.02)
    return True


async def test_announcement_during_a_store_outage_gets_its_whole_bound(
    monkeypatch,
):
    # Guards against entries that reject all requests for a model after a store outage,
    # if a version is announced as the outage ends.
    monkeypatch.setattr("shallotpath.fleet._topics.MIN_OUTAGE", BOUND / 2)
    log = make_log()
    async with (
        stores(log, 1) as ((store, port),),
        running(EdgeProcess, make_bound_settings("edge-a", port)) as edge,
    ):
        await until(lambda: edge.ready and edge.upstreams.upstreams_by_id_)
        store.refusing = True
        await until(lambda: edge.operator_topic_.store_lost_at_ is not None)
        await asyncio.sleep(BOUND.total_seconds())
        announce_version(log, 2)
        store.refusing = False
        await until(lambda: knows_version(edge, 2))
        assert not refuses_old_weights(edge)


async def test_suspended_entry_knows_no_time_of_an_announcement_it_missed(
    monkeypatch,
):
    # Guards against a bound that starts only when a suspended entry resumes.
    log = make_log()
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_bound_settings("edge-a", port)) as edge,
    ):
        await until(lambda: edge.ready and edge.upstreams.upstreams_by_id_)
        now = edge.clock.now
        suspended = timedelta(seconds=10)
        monkeypatch.setattr(MonotonicClock, "now", lambda clock: now() + suspended)
        announce_version(log, 2)
        await until(lambda: knows_version(edge, 2))
        assert refuses_old_weights(edge)


async def test_entry_filled_by_an_outdated_peer_does_not_restart_the_bound():
    # Guards against a first read of the store that counts as a continued one, because
    # a peer with older records has filled the replica before.
    log = make_log()
    async with (
        stores(log, 2) as ((store_a, port_a), (store_b, port_b)),
        running(EdgeProcess, make_bound_settings("edge-a", port_a)) as a,
    ):
        await until(lambda: a.ready)
        store_a.refusing = store_b.refusing = True
        await until(lambda: a.operator_topic_.store_lost_at_ is not None)
        announce_version(log, 2)
        await asyncio.sleep(BOUND.total_seconds())
        settings = make_bound_settings("edge-b", port_b)
        async with running(EdgeProcess, settings) as b:
            a.peers.learn(b.address)
            b.peers.learn(a.address)
            await until(lambda: b.operator_topic_.end > 0)
            store_b.refusing = False
            await until(lambda: knows_version(b, 2) and b.upstreams.upstreams_by_id_)
            assert await keeps_refusing(b, timedelta(milliseconds=500))


async def test_sidecar_that_missed_an_announcement_sends_entries_no_time():
    # Guards against a wrong time of an announcement that was made while all entries
    # were down: that at which a sidecar reads the record from the restarted entry.
    log = make_log()
    runner, engine_port = await listen(Engine().handle)
    async with stores(log, 1) as ((_, port),):
        mate_settings = make_bound_settings("mate-a", port, engine_port)
        async with running(SidecarProcess, mate_settings) as sidecar:
            edge_settings = make_bound_settings("edge-a", port)
            async with running(EdgeProcess, edge_settings) as first:
                sidecar.peers.learn(first.address)
                first.peers.learn(sidecar.address)
                await until(lambda: first.ready)
                await until(lambda: sidecar.operator.catalog is not None)
                await until(lambda: sidecar.peers.domain("edge-a"))
            announce_version(log, 2)
            await asyncio.sleep(BOUND.total_seconds())
            assert not knows_version(sidecar, 2)
            async with running(EdgeProcess, edge_settings) as second:
                second.peers.learn(sidecar.address)
                await until(lambda: knows_version(second, 2))
                await until(lambda: second.upstreams.upstreams_by_id_)
                assert await keeps_refusing(second, timedelta(milliseconds=1500))
    await runner.cleanup()
