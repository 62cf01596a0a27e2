"""Processes whose store comes back from an older copy."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

from shallotpath.fleet import EdgeProcess
from shallotpath.platform import MEMBER_TOPIC, OPERATOR_TOPIC, UPSTREAM_TOPIC

from .processes import make_config, make_server, make_settings, running, stores, until
from .standins import Log


@asynccontextmanager
async def entries(log, count=2):
    """Run entries that know each other, each with a front of one store."""
    names = [f"edge-{n}" for n in range(count)]
    async with stores(log, count) as fronts:
        ports = [port for _, port in fronts]
        pairs = zip(names, ports, strict=True)
        processes = [running(EdgeProcess, make_settings(*pair)) for pair in pairs]
        edges = [await process.__aenter__() for process in processes]
        try:
            for edge in edges[1:]:
                edges[0].peers.learn(edge.address)
            await until(lambda: all(e.ready for e in edges))
            await until(
                lambda: all(
                    len(e.peers.live(e.clock.now())) >= count - 1 for e in edges
                )
            )
            yield edges, [store for store, _ in fronts]
        finally:
            for process in processes:
                await process.__aexit__(None, None, None)


SHORT = timedelta(milliseconds=200)


def make_log():
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    for number in range(5):
        log.put(UPSTREAM_TOPIC, f"u{number}", make_server())
    return log


def address_of(edge, upstream):
    known = edge.upstreams.upstreams_by_id_.get(upstream)
    return known and known.record.address


async def test_all_entries_follow_the_store_after_it_falls_back():
    # Guards against addresses of upstreams that stay wrong, at an entry that reads the
    # store as at one that it refuses, because offsets are given out again.
    log = make_log()
    async with entries(log) as (edges, (_, refusing)):
        await until(lambda: all(len(e.upstreams.upstreams_by_id_) == 5 for e in edges))
        refusing.refusing = True
        await asyncio.sleep(0.3)
        copied_at = log.clock()
        log.put(OPERATOR_TOPIC, "config", make_config(2))
        log.put(UPSTREAM_TOPIC, "lost", make_server())
        log.put(UPSTREAM_TOPIC, "u1", make_server(address="127.0.0.1:11"))
        await until(lambda: all(address_of(e, "u1").endswith(":11") for e in edges))
        await until(lambda: all(e.operator.catalog.version == 2 for e in edges))
        lost = log.fall_back(log.clock() - copied_at)
        assert {key for key, _ in lost[UPSTREAM_TOPIC]} == {"lost", "u1"}
        log.put(UPSTREAM_TOPIC, "u1", make_server(address="127.0.0.1:12"))
        await until(lambda: all(address_of(e, "u1").endswith(":12") for e in edges), 2)
        # Until the operator writes again, no configuration goes back.
        assert [e.operator.catalog.version for e in edges] == [2, 2]
        assert all(address_of(e, "lost") for e in edges)
        log.write_again(OPERATOR_TOPIC, lost)
        await until(lambda: not any(address_of(e, "lost") for e in edges), 5)
        ends = [len(log.topics[name]) for name in (OPERATOR_TOPIC, UPSTREAM_TOPIC)]
        await until(
            lambda: all(
                [e.operator_topic_.end, e.upstream_topic_.end] == ends for e in edges
            )
        )
        assert [e.status()["store_era"] for e in edges] == [2, 2]
        # All processes of a test log to the writer of the last one.
        lines = edges[-1].reporter.writer.lines
        fallen = [x["node"] for x in lines if x["message"] == "store_fell_back"]
        assert sorted(fallen) == ["edge-0", "edge-1"]
        assert all(e.reporter.metrics.value("store_falls", {}) == 1 for e in edges)


async def test_one_entry_of_a_region_lists_a_topic_after_a_fall():
    # Guards against a herd of listings as the store returns.
    log = make_log()
    async with entries(log, 4) as (edges, fronts):
        await until(lambda: all(len(e.upstreams.upstreams_by_id_) == 5 for e in edges))
        await asyncio.sleep(0.5)
        before = [dict(front.listings) for front in fronts]
        log.fall_back(0.1)
        await until(
            lambda: all(
                topic.era == 2 and topic.listed_
                for e in edges
                for topic in (e.operator_topic_, e.upstream_topic_)
            ),
            2,
        )
        for topic in (OPERATOR_TOPIC, UPSTREAM_TOPIC):
            made = [
                front.listings[topic] - known.get(topic, 0)
                for front, known in zip(fronts, before, strict=True)
            ]
            assert 1 <= sum(made) <= 2, made


async def test_member_registers_again_after_its_record_is_lost(monkeypatch):
    # Guards against members that the others cannot find any more.
    monkeypatch.setattr("shallotpath.fleet._discovery.NO_PEERS_INTERVAL", SHORT)
    log = make_log()
    async with entries(log, 1):
        await until(lambda: log.topics.get(MEMBER_TOPIC))
        log.fall_back(60)
        assert not log.topics[MEMBER_TOPIC]
        await until(lambda: log.topics[MEMBER_TOPIC])


async def test_store_without_an_era_is_reported_once():
    # Guards against a process that stops at a missing header, or fills its log.
    log = make_log()
    log.era = None
    async with entries(log, 1) as ((edge,), _):
        await until(lambda: len(edge.upstreams.upstreams_by_id_) == 5)
        await asyncio.sleep(0.5)
        assert edge.reporter.writer.kinds().count("store_era_unknown") == 1
