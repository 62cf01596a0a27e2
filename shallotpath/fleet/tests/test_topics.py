"""Replicas of the store's topics, in processes on loopback."""

import asyncio
import json
from contextlib import AsyncExitStack

import pytest

from shallotpath.fleet import EdgeProcess, SidecarProcess
from shallotpath.gateway import UpstreamTable
from shallotpath.platform import MEMBER_TOPIC, OPERATOR_TOPIC, UPSTREAM_TOPIC
from shallotpath.replication import (
    PeerAddress,
    RecordItem,
    decode_page,
    unpack_records,
)

from .processes import (
    make_config,
    make_server,
    make_settings,
    running,
    stores,
    until,
)
from .standins import HOST, Engine, Log, listen


async def test_entry_that_the_store_refuses_learns_from_its_peer():
    # Guards against a revoked key that stays valid at an entry whose calls the store
    # refuses.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 2) as ((_, port_a), (store_b, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a)) as a,
        running(EdgeProcess, make_settings("edge-b", port_b)) as b,
    ):
        a.peers.learn(b.address)
        await until(lambda: a.ready and b.ready)
        store_b.refusing = True
        log.put(OPERATOR_TOPIC, "config", make_config(2))
        log.put(OPERATOR_TOPIC, "evacuate/a-1", {})
        log.put(UPSTREAM_TOPIC, "u1", make_server())
        await until(lambda: b.operator.catalog.version == 2)
        await until(lambda: "a-1" in b.operator.disabled_domains_)
        await until(lambda: "u1" in b.upstreams.upstreams_by_id_)
        # The removal of an evacuation reaches it in the same way.
        log.put(OPERATOR_TOPIC, "evacuate/a-1", None)
        await until(lambda: "a-1" not in b.operator.disabled_domains_)
        assert "store_lost" in b.reporter.writer.kinds()


async def test_one_entry_of_a_domain_reads_the_upstreams():
    # Guards against a rate of store calls that grows with the number of entries.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 2) as ((_, port_a), (_, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a)) as a,
        running(EdgeProcess, make_settings("edge-b", port_b)) as b,
    ):
        a.peers.learn(b.address)
        await until(lambda: a.ready and b.ready and b.peers.live(b.clock.now()))
        await asyncio.sleep(0.5)
        labels = {"topic": UPSTREAM_TOPIC}
        before = [p.reporter.metrics.value("store_reads", labels) for p in (a, b)]
        for number in range(20):
            log.put(UPSTREAM_TOPIC, "u1", make_server(seq=number))
            await asyncio.sleep(0.1)
        after = [p.reporter.metrics.value("store_reads", labels) for p in (a, b)]
        reads = sorted(y - x for x, y in zip(before, after, strict=True))
        assert reads[0] == 0
        assert a.upstream_topic_.end == b.upstream_topic_.end


@pytest.mark.timeout(60)
async def test_some_entries_of_a_region_read_the_configuration(monkeypatch):
    # Guards against a copy of a large configuration for each process on the links
    # between regions, and against peers that wait for a reader without the store.
    monkeypatch.setattr("shallotpath.fleet._member.OPERATOR_READERS", 1)
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        reached = await enter(stores(log, 3))
        runner, engine_port = await listen(Engine().handle)
        stack.push_async_callback(runner.cleanup)
        settings = [
            make_settings("edge-a", reached[0][1]),
            make_settings("edge-b", reached[1][1]),
            make_settings("mate-c", reached[2][1], engine_port),
        ]
        kinds = [EdgeProcess, EdgeProcess, SidecarProcess]
        processes = [
            await enter(running(kind, each))
            for kind, each in zip(kinds, settings, strict=True)
        ]
        for process in processes[1:]:
            processes[0].peers.learn(process.address)
            process.peers.learn(processes[0].address)

        def reads():
            labels = {"topic": OPERATOR_TOPIC}
            return [p.reporter.metrics.value("store_reads", labels) for p in processes]

        async def change(version):
            log.put(OPERATOR_TOPIC, "config", make_config(version))
            await until(
                lambda: all(
                    p.operator.catalog and p.operator.catalog.version == version
                    for p in processes
                ),
                2.0,
            )

        # Readers are chosen among the known live entries, so wait until the choice is
        # stable.
        await asyncio.sleep(2)
        before = reads()
        for version in range(2, 12):
            await change(version)
        grown = [b - a for a, b in zip(before, reads(), strict=True)]
        readers = [number for number, count in enumerate(grown) if count]
        assert len(readers) == 1
        assert kinds[readers[0]] is EdgeProcess
        reached[readers[0]][0].refusing = True
        await change(12)


async def test_reader_that_the_store_refuses_delays_nobody():
    # Guards against a region that learns of an announcement seconds late because the
    # store refuses one of its readers.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 2) as ((_, port_a), (store_b, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a)) as a,
        running(EdgeProcess, make_settings("edge-b", port_b)) as b,
    ):
        a.peers.learn(b.address)
        await until(lambda: a.ready and b.ready and b.peers.live(b.clock.now()))
        store_b.refusing = True
        await asyncio.sleep(0.2)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
        await until(lambda: b.operator.target("m") is not None, 0.5)


async def test_region_that_the_store_refuses_learns_from_another_one():
    # Guards against a region that pulls from another region only once its replica is
    # stale, and so learns of an announcement 2 s late.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 2) as ((_, port_a), (store_b, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a, domain="a-1")) as a,
        running(EdgeProcess, make_settings("edge-b", port_b, domain="b-1")) as b,
        running(EdgeProcess, make_settings("edge-c", port_b, domain="b-1")) as c,
    ):
        for process in (a, b):
            process.peers.learn(c.address)
        a.peers.learn(b.address)
        processes = (a, b, c)
        await until(
            lambda: all(
                p.ready and len(p.peers.live(p.clock.now())) == 2 for p in processes
            )
        )
        store_b.refusing = True
        await asyncio.sleep(0.2)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
        await until(lambda: all(p.operator.target("m") for p in processes), 0.8)


async def test_peers_of_the_region_are_pulled_while_a_remote_pull_is_delayed():
    # Guards against a delayed pull from another region that blocks pulls from peers of
    # the own region.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as a,
    ):
        await until(lambda: a.ready)
        topic, asked = a.operator_topic_, []

        async def pull(peer):
            asked.append(peer.id)
            topic.replica_.merge([], 9)
            return False

        topic._pull = pull
        local = PeerAddress("local", HOST, 1, False)
        distant = PeerAddress("distant", HOST, 2, False)
        await asyncio.gather(
            topic.catch_up(distant, 9, remote=True),
            topic.catch_up(local, 9, remote=False),
        )
        assert asked == ["local"]
        await topic.catch_up(distant, 10, remote=True)
        assert asked == ["local", "distant"]


async def test_store_outage_is_noticed_although_peers_confirm_each_other():
    # Guards against upstreams that are dropped as the store comes back, because their
    # records expired during the outage.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put(UPSTREAM_TOPIC, "u1", make_server())
    async with (
        stores(log, 2) as ((store_a, port_a), (store_b, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a)) as a,
        running(EdgeProcess, make_settings("edge-b", port_b)) as b,
    ):
        a.peers.learn(b.address)
        await until(lambda: "u1" in b.upstreams.upstreams_by_id_)
        store_a.refusing = store_b.refusing = True
        await asyncio.sleep(4.2)
        log.put(UPSTREAM_TOPIC, "u1", None)
        store_a.refusing = store_b.refusing = False
        for process in (a, b):
            await until(lambda p=process: p.upstream_topic_.end == 2)
            usable = process.upstreams.usable("llm", process.clock.now())
            assert [u.id for u in usable] == ["u1"]


async def test_removed_upstream_is_dropped_although_the_history_was_lost():
    # Guards against an upstream that stays in use because the store compacted the
    # record of its removal away.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put(UPSTREAM_TOPIC, "u1", make_server())
    async with (
        stores(log, 1) as ((store, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        await until(lambda: "u1" in edge.upstreams.upstreams_by_id_)
        log.put(UPSTREAM_TOPIC, "u1", None)
        log.put(UPSTREAM_TOPIC, "u2", make_server())
        log.forget_history(UPSTREAM_TOPIC)
        await until(lambda: set(edge.upstreams.upstreams_by_id_) == {"u2"})
        assert "history_lost" in edge.reporter.writer.kinds()


async def test_peer_of_a_restarted_reader_learns_of_removals_before_its_start():
    # Guards against requests to an upstream that was removed while the entry that reads
    # the list for its domain restarted.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    for key in ("u1", "u2"):
        log.put(UPSTREAM_TOPIC, key, make_server())
    log.put(OPERATOR_TOPIC, "evacuate/b-1", {})
    async with (
        stores(log, 2) as ((_, port_a), (store_b, port_b)),
        running(EdgeProcess, make_settings("edge-b", port_b)) as b,
    ):
        await until(lambda: len(b.upstreams.upstreams_by_id_) == 2)
        await until(lambda: "b-1" in b.operator.disabled_domains_)
        store_b.refusing = True
        log.put(UPSTREAM_TOPIC, "u1", None)
        log.put(OPERATOR_TOPIC, "evacuate/b-1", None)
        async with running(EdgeProcess, make_settings("edge-a", port_a)) as a:
            a.peers.learn(b.address)
            log.put(UPSTREAM_TOPIC, "u3", make_server())
            await until(lambda: "u3" in b.upstreams.upstreams_by_id_)
            assert set(b.upstreams.upstreams_by_id_) == {"u2", "u3"}
            await until(lambda: not b.operator.disabled_domains_)


async def test_page_for_an_earlier_release_hides_no_removals():
    # Guards against processes of an earlier release, which take no listings, that miss
    # removals because a peer of this release has restarted.
    log = Log()
    log.put(UPSTREAM_TOPIC, "u1", make_server())
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        topic = edge.upstream_topic_
        await until(lambda: topic.listed_)
        page = decode_page(topic.page_after(0, takes_listings=False))
        assert page.age_s is None
        log.put(UPSTREAM_TOPIC, "u1", None)
        await until(lambda: topic.end == 2)
        page = decode_page(topic.page_after(1, takes_listings=False))
        assert unpack_records(page.packed) == [RecordItem("u1", None, 1)]


NESTED = b"[" * 100_000
ODD_UPSTREAMS = {
    "nested": NESTED,
    "number too large": json.dumps(make_server(coldLeftMs=1e16)).encode(),
    "number beyond all types": b'{"coldLeftMs": 1' + b"0" * 5000 + b"}",
    "port out of range": json.dumps(make_server(address="127.0.0.1:70000")).encode(),
    "unknown state": json.dumps(make_server(state="s" * 100_000)).encode(),
    "models of another type": json.dumps(make_server(models=[5])).encode(),
}


@pytest.mark.parametrize("odd", ODD_UPSTREAMS.values(), ids=ODD_UPSTREAMS)
async def test_odd_upstream_does_not_hide_the_records_after_it(odd):
    # Guards against requests to upstreams that were removed, because another writer's
    # record ended the handling of the records that were read together with it.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put(UPSTREAM_TOPIC, "u1", make_server())
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        await until(lambda: "u1" in edge.upstreams.upstreams_by_id_)
        log.put_raw(UPSTREAM_TOPIC, "foreign", odd)
        log.put(UPSTREAM_TOPIC, "u1", None)
        log.put(UPSTREAM_TOPIC, "u2", make_server())
        await until(lambda: "u2" in edge.upstreams.upstreams_by_id_)
        assert set(edge.upstreams.upstreams_by_id_) == {"u2"}
        kinds = edge.reporter.writer.kinds()
        assert "bad_record" in kinds
        assert "task_restarted" not in kinds
        assert all(len(str(line)) < 2000 for line in edge.reporter.writer.lines)


async def test_record_that_cannot_be_applied_does_not_hide_the_ones_after_it(
    monkeypatch,
):
    # Guards against an error that no decoder foresees.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        await until(lambda: edge.ready)
        monkeypatch.setattr(UpstreamTable, "apply", fail_once(UpstreamTable.apply))
        for key in ("u1", "u2"):
            log.put(UPSTREAM_TOPIC, key, make_server())
        await until(lambda: "u2" in edge.upstreams.upstreams_by_id_)
        assert "record_failed" in edge.reporter.writer.kinds()


def fail_once(apply):
    """Return a function that raises at its first call."""
    failed = []

    def call(*args):
        if not failed:
            failed.append(True)
            raise RuntimeError("unforeseen")
        return apply(*args)

    return call


@pytest.mark.parametrize(
    "odd",
    [NESTED, b'["x", "127.0.0.1", 70000, false]', b'["x", "no.example", 7, false]'],
    ids=["nested", "port out of range", "name for an address"],
)
async def test_odd_member_does_not_end_the_messages_to_peers(odd):
    # Guards against a closed gossip socket, and against peers that are never learnt
    # because another writer's record comes before theirs.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put_raw(MEMBER_TOPIC, "a-foreign", odd)
    async with (
        stores(log, 2) as ((_, port_a), (_, port_b)),
        running(EdgeProcess, make_settings("edge-a", port_a)) as a,
        running(EdgeProcess, make_settings("edge-b", port_b)) as b,
    ):
        await until(lambda: a.peers.live(a.clock.now()) and b.peers.live(b.clock.now()))
        await asyncio.sleep(0.5)
        assert a.peers.live(a.clock.now())
        assert "task_restarted" not in a.reporter.writer.kinds()
        assert not a.gossip_.transport_.is_closing()


async def test_bad_records_keep_the_last_good_state():
    # Guards against one invalid record that clears the configuration or stops the
    # reading of later ones.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        await until(lambda: edge.ready)
        log.put_raw(OPERATOR_TOPIC, "config", b"\xff{")
        log.put_raw(UPSTREAM_TOPIC, "u1", b"[]")
        log.put(UPSTREAM_TOPIC, "u2", make_server())
        await until(lambda: "u2" in edge.upstreams.upstreams_by_id_)
        assert edge.operator.catalog.version == 1
        await until(lambda: "bad_record" in edge.reporter.writer.kinds())
