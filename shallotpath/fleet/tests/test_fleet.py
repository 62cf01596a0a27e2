"""The processes of the platform on loopback, with stand-ins around them."""

import asyncio
import json
import os
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import aiohttp
import pytest

from shallotpath.core import ManualClock
from shallotpath.fleet import BoundedWriter, EdgeProcess, LineReporter, MateProcess
from shallotpath.platform import (
    METRICS_PORT_VARIABLE,
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    parse_process_settings,
)
from shallotpath.replication import PeerAddress, PlacedItem, ShareItem
from shallotpath.swarm import SwarmMember, SwarmPlan

from .standins import HOST, Engine, Log, Origin, StoreStandIn, listen

ENGINE = {
    "slots": 4,
    "kvTokens": 1000,
    "models": [{"name": "m", "warmS": 0.1}],
    "step_ms": 9,
    "read_per_s": 20000,
    "chunk": 2048,
}


def make_config(version, origin="127.0.0.1:1"):
    return {
        "version": version,
        "routes": [],
        "services": [
            {"name": "llm", "engine": ENGINE},
            {"name": "files", "origin": origin},
        ],
        "tenants": [],
    }


def make_server(**changes):
    return {
        "service": "llm",
        "address": "127.0.0.1:9",
        "zone": "a-1",
        "slots": 4,
        "state": "ready",
    } | changes


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def make_settings(name, store_port, engine_port=None, metrics_port=None, domain="a-1"):
    callers, ready, peer = free_ports(3)
    lines = [
        f"node={name}",
        f"ip={HOST}",
        f"zone={domain}",
        "zones.a-1=a",
        "zones.b-1=b",
        f"internalPorts={peer},{peer}",
        f"platform.address={HOST}:{store_port}",
    ]
    if engine_port is None:
        lines += [f"listen.front={HOST}:{callers}", f"listen.ready={HOST}:{ready}"]
    else:
        lines += [f"app={HOST}:{engine_port}"]
    environment = {METRICS_PORT_VARIABLE: str(metrics_port)} if metrics_port else {}
    return parse_process_settings("\n".join(lines), environment)


class Output:
    """Keep log lines in place of standard output."""

    def __init__(self):
        self.lines = []

    def write(self, line):
        self.lines.append(json.loads(line))

    def flush(self):
        pass

    def kinds(self):
        return [line["message"] for line in self.lines]


@asynccontextmanager
async def running(process_cls, settings):
    from shallotpath.core import MonotonicClock

    clock = MonotonicClock()
    reporter = LineReporter(settings.node, settings.domain, clock, Output())
    process = process_cls(settings, clock=clock, reporter=reporter)
    await process.start()
    try:
        yield process
    finally:
        await process.stop()


async def until(condition, limit=5.0):
    async with asyncio.timeout(limit):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


@asynccontextmanager
async def stores(log, count):
    async with AsyncExitStack() as stack:
        result = []
        for _ in range(count):
            store = StoreStandIn(log)
            runner, port = await listen(store.handle)
            stack.push_async_callback(runner.cleanup)
            result.append((store, port))
        yield result


async def test_entry_that_the_store_turns_away_learns_from_its_peer():
    # Guards against a revoked key that stays valid while the store refuses one VM.
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
        await until(lambda: "a-1" in b.operator.domains_out_)
        await until(lambda: "u1" in b.upstreams.upstreams_by_id_)
        # A removed evacuation reaches it the same way.
        log.put(OPERATOR_TOPIC, "evacuate/a-1", None)
        await until(lambda: "a-1" not in b.operator.domains_out_)
        assert "store_lost" in b.reporter.writer.kinds()


async def test_one_entry_of_a_domain_reads_the_upstreams():
    # Guards against store calls that grow with the number of entries.
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
    # Guards against a large configuration that fills the links between regions with a
    # copy for each process, and against peers that wait for a reader that is cut off.
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
        kinds = [EdgeProcess, EdgeProcess, MateProcess]
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

        # The tests' settings wait for no traffic: roles are settled after a moment.
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


async def test_reader_that_the_store_turns_away_delays_nobody():
    # Guards against weights that a region learns of seconds late.
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


async def test_region_that_the_store_turns_away_learns_from_another_one():
    # Guards against a region that learns of new weights 2 s late, when its replica has
    # grown old.
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


async def test_near_peers_are_asked_while_a_far_one_is_held_back():
    # Guards against news of another region that delay those of the own one.
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
        near = PeerAddress("near", HOST, 1, False)
        far = PeerAddress("far", HOST, 2, False)
        await asyncio.gather(
            topic.behind(far, 9, far=True), topic.behind(near, 9, far=False)
        )
        assert asked == ["near"]
        await topic.behind(far, 10, far=True)
        assert asked == ["near", "far"]


async def test_entry_that_starts_again_learns_when_weights_were_named():
    # Guards against requests on old weights for the bound after a restart.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as a,
    ):
        settings = make_settings("edge-b", port)
        for _ in range(2):
            async with running(EdgeProcess, settings) as b:
                a.peers.learn(b.address)
                b.peers.learn(a.address)
                await until(lambda p=b: p.operator.target("m"))
                named_at = a.operator.target("m").outdated_since(1)

                def late(p=b, at=named_at):
                    return p.operator.target("m").outdated_since(1) - at

                await until(lambda: abs(late()) < timedelta(milliseconds=100))
            await asyncio.sleep(0.5)


async def test_outage_is_noticed_although_peers_confirm_each_other():
    # Guards against lapsed entries that are dropped when the store comes back.
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


async def test_removal_is_learnt_although_the_history_was_lost():
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


async def test_bad_records_keep_the_last_good_state():
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


async def test_readiness_follows_the_configuration_and_the_stop():
    log = Log()
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
        aiohttp.ClientSession() as session,
    ):
        url = f"http://{edge.settings.readiness}/ready"
        caller = f"http://{edge.settings.callers}/x"

        async def status(target):
            async with session.get(target) as response:
                return response.status

        assert await status(url) == 503
        # Without a configuration nothing is denied.
        assert await status(caller) == 503
        log.put(OPERATOR_TOPIC, "config", make_config(1))
        await until(lambda: edge.ready)
        assert await status(url) == 200
        assert await status(caller) == 404
        draining = asyncio.ensure_future(edge.drain())
        await asyncio.sleep(0.05)
        assert await status(url) == 503
        draining.cancel()


@pytest.mark.timeout(60)
async def test_messages_between_regions_do_not_grow_with_the_entries():
    # Guards against links between regions that carry messages of all pairs of peers.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put(UPSTREAM_TOPIC, "u1", make_server())
    async with AsyncExitStack() as stack:
        ((_, port),) = await stack.enter_async_context(stores(log, 1))
        processes = []
        for number in range(12):
            domain = "ab"[number % 2]
            settings = make_settings(f"edge-{number}", port, domain=f"{domain}-1")
            processes.append(
                await stack.enter_async_context(running(EdgeProcess, settings))
            )
        for process in processes:
            for other in processes:
                process.peers.learn(other.address)
        await until(
            lambda: all(len(p.peers.live(p.clock.now())) == 11 for p in processes)
        )
        sent = []
        a = processes[0]
        pass_on = a.gossip_.pass_on

        def count(payload, peers):
            peers = list(peers)
            sent.extend(p for p in peers if not a.is_near(p))
            pass_on(payload, peers)

        a.gossip_.pass_on = count
        a.loads.sent("q", "u1", 700, a.clock.now())
        before = processes[1].peers.peers_by_id_["edge-0"].sequence
        await asyncio.sleep(3)
        # Ten rounds of 300 ms, of which each third goes to an entry of the other
        # region, the probes of silent peers, and the notice of the request.
        assert 0 < len(sent) <= 5 + 6
        # Every entry there hears of it all the same.
        for process in processes[1::2]:
            assert process.peers.peers_by_id_["edge-0"].sequence > before
            shares = process.loads.peers_by_id_["edge-0"].shares_by_id
            assert shares["u1"].requests == 1


def test_mate_tells_other_regions_in_each_round_while_chunks_move():
    # Guards against chunks that several regions fetch since they hear too late of the
    # mate that has them: transfers took 12 s in place of 8 s.
    mate = MateProcess(
        make_settings("mate", 1, 2),
        reporter=LineReporter("mate", "a-1", ManualClock(), Output()),
    )
    assert mate.far_interval > timedelta()
    mate.plan_ = SwarmPlan(
        own=SwarmMember("mate", "a"),
        model="m",
        version=1,
        digests=("0" * 64,),
        started_at=mate.clock.now(),
        random=mate.random,
    )
    assert mate.transferring()
    assert mate.far_interval == timedelta()


async def test_peers_learn_of_a_request_as_it_is_sent():
    # Guards against entries that send to the same engine until the next gossip.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    log.put(UPSTREAM_TOPIC, "u1", make_server())
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as a,
        running(EdgeProcess, make_settings("edge-b", port)) as b,
    ):
        a.peers.learn(b.address)
        await until(lambda: a.peers.domain("edge-b") and b.peers.domain("edge-a"))
        await until(lambda: a.upstreams.upstreams_by_id_)
        heard = []
        b.heard_placed = heard.append
        a.loads.sent("q", "u1", 700, a.clock.now(), yielding=True)
        await until(lambda: heard)
        assert heard == [PlacedItem("edge-a", ShareItem("u1", 1, 700, 1, 700))]


async def test_metrics_are_served_at_their_own_port_or_not_at_all():
    # Guards against metrics that are found only on days whose ports fit, and against
    # an entry that does not start since another process has the port.
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    (metrics,) = free_ports(1)
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port, None, metrics)) as first,
        running(EdgeProcess, make_settings("edge-b", port, None, metrics)) as second,
        aiohttp.ClientSession() as session,
    ):
        await until(lambda: first.ready and second.ready)
        async with session.get(f"http://{HOST}:{metrics}/metrics") as response:
            assert 'node="edge-a"' in await response.text()
        async with session.get(f"http://{HOST}:{metrics}/records") as response:
            assert response.status == 404
        assert "metrics_unavailable" in second.reporter.writer.kinds()


async def test_task_that_fails_is_logged_and_runs_again(monkeypatch):
    # Guards against an entry that goes on serving from an old configuration after one
    # message that no handler expects.
    monkeypatch.setattr("shallotpath.fleet._member.RESTART_PAUSE", timedelta())
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        await until(lambda: edge.ready)
        apply = edge.operator_topic_.apply

        def fail_once(records):
            edge.operator_topic_.apply = apply
            raise LookupError("unexpected")

        edge.operator_topic_.apply = fail_once
        log.put(OPERATOR_TOPIC, "config", make_config(2))
        await until(lambda: "task_restarted" in edge.reporter.writer.kinds())
        log.put(OPERATOR_TOPIC, "config", make_config(3))
        await until(lambda: edge.operator.catalog.version == 3)


@pytest.mark.timeout(60)
async def test_mates_bring_a_version_to_their_engines_with_one_copy():
    # Chunks that arrive spoilt or rot after staging must not be loaded.
    log, origin = Log(), Origin()
    origin.spoilt = {2, 5}
    engines = [Engine(), Engine(), Engine()]
    engines[1].rots_once = {3}
    async with AsyncExitStack() as stack:
        ((_, store_port),) = await stack.enter_async_context(stores(log, 1))
        runner, origin_port = await listen(origin.handle)
        stack.push_async_callback(runner.cleanup)
        log.put(OPERATOR_TOPIC, "config", make_config(1, f"{HOST}:{origin_port}"))
        mates = []
        for number, engine in enumerate(engines):
            runner, port = await listen(engine.handle)
            stack.push_async_callback(runner.cleanup)
            settings = make_settings(f"mate-{number}", store_port, port)
            mates.append(
                await stack.enter_async_context(running(MateProcess, settings))
            )
        for mate in mates[1:]:
            mates[0].peers.learn(mate.address)
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 1})
        await until(lambda: all(e.version == 1 for e in engines), 20)
        sent = origin.sent
        log.put(OPERATOR_TOPIC, "version/m", {"model": "m", "version": 2})
        await until(lambda: all(e.version == 2 for e in engines), 20)
        # One copy, and the chunks that several mates asked for before they knew.
        assert origin.sent - sent <= 2 * origin.count
    for engine in engines:
        assert engine.loaded == {i: origin.chunk(2, i) for i in range(origin.count)}
        assert engine.orders == sorted(set(engine.orders))


async def test_mate_that_starts_again_recognises_what_its_engine_holds():
    # Guards against loading again after a mere restart of the process.
    log, origin, engine = Log(), Origin(), Engine()
    engine.version = 1
    engine.staged = {i: origin.chunk(1, i) for i in range(origin.count)}
    async with AsyncExitStack() as stack:
        ((_, store_port),) = await stack.enter_async_context(stores(log, 1))
        runner, origin_port = await listen(origin.handle)
        stack.push_async_callback(runner.cleanup)
        runner, port = await listen(engine.handle)
        stack.push_async_callback(runner.cleanup)
        log.put(OPERATOR_TOPIC, "config", make_config(1, f"{HOST}:{origin_port}"))
        settings = make_settings("mate", store_port, port)
        mate = await stack.enter_async_context(running(MateProcess, settings))
        await until(lambda: mate.adopted_version_ == 1)
        assert mate.plan_.complete
    assert engine.orders == []
    assert origin.sent == 0


async def test_staging_that_was_lost_is_filled_again_before_the_order():
    # Guards against a mate that reads back lost chunks for ever.
    log, origin, engine = Log(), Origin(), Engine()
    engine.loses_once = {1, 6}
    async with AsyncExitStack() as stack:
        ((_, store_port),) = await stack.enter_async_context(stores(log, 1))
        runner, origin_port = await listen(origin.handle)
        stack.push_async_callback(runner.cleanup)
        runner, port = await listen(engine.handle)
        stack.push_async_callback(runner.cleanup)
        log.put(OPERATOR_TOPIC, "config", make_config(1, f"{HOST}:{origin_port}"))
        settings = make_settings("mate", store_port, port)
        await stack.enter_async_context(running(MateProcess, settings))
        await until(lambda: engine.version == 1)
    assert engine.loaded == {i: origin.chunk(1, i) for i in range(origin.count)}


def test_lines_of_failed_requests_are_the_last_to_be_left_out():
    # Load pattern: far more requests than lines may be written.
    clock = ManualClock()
    output = Output()
    reporter = LineReporter("n", "d", clock, output)
    for number in range(2000):
        outcome = "failed" if number % 100 == 0 else "served"
        reporter.event("request", outcome=outcome, number=number)
        clock.advance(timedelta(milliseconds=1))
    outcomes = [line["outcome"] for line in output.lines]
    assert len(outcomes) <= 120 + 2 * 60
    assert outcomes.count("failed") == 20
    reporter.event("stop")
    # What was left out is said in the next line that is written.
    left_out = sum(line.get("left_out", 0) for line in output.lines)
    assert left_out == 2000 - len(outcomes)


def test_a_reader_that_stops_never_blocks_the_writer():
    reading, writing = os.pipe()
    writer = BoundedWriter(writing)
    line = b"x" * 1000 + b"\n"
    for _ in range(3000):
        writer.write(line)
    assert writer.dropped_ > 1000
    assert os.read(reading, 1001) == line
    os.close(reading)
    writer.write(line)
    os.close(writing)
