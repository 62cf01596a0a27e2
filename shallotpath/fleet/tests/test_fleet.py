"""Entry processes on loopback, with a stand-in for the store."""

import asyncio
from contextlib import AsyncExitStack
from datetime import timedelta

import aiohttp
import pytest

from shallotpath.fleet import EdgeProcess
from shallotpath.gateway import EntryLoad
from shallotpath.platform import OPERATOR_TOPIC, UPSTREAM_TOPIC
from shallotpath.replication import PlacementItem

from .processes import (
    free_ports,
    make_config,
    make_server,
    make_settings,
    running,
    stores,
    until,
)
from .standins import HOST, Log


async def test_restarted_entry_learns_when_weights_were_announced():
    # Guards against a restarted entry that sends requests to old weights for the whole
    # bound, counted from its start.
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
                announced_at = a.operator.target("m").outdated_since(1)

                def late(p=b, at=announced_at):
                    return p.operator.target("m").outdated_since(1) - at

                await until(lambda: abs(late()) < timedelta(milliseconds=100))
            await asyncio.sleep(0.5)


async def test_entry_is_ready_from_its_first_configuration_until_it_drains():
    # Guards against callers sent to an entry that has no configuration or is stopping.
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
        # Without a configuration, an unknown route is not denied but unavailable.
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
    # Guards against messages between all pairs of peers, which would fill the links
    # between regions.
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
        forward = a.gossip_.forward

        def count(payload, peers):
            peers = list(peers)
            sent.extend(p for p in peers if not a.is_in_own_region(p))
            forward(payload, peers)

        a.gossip_.forward = count
        a.loads.sent("q", "u1", 700, a.clock.now())
        before = processes[1].peers.peers_by_id_["edge-0"].sequence
        await asyncio.sleep(3)
        # Ten rounds of 300 ms, of which every third goes to an entry of the other
        # region, plus probes of silent peers and the notification of the request.
        assert 0 < len(sent) <= 5 + 6
        # Every entry there still learns of the request.
        for process in processes[1::2]:
            assert process.peers.peers_by_id_["edge-0"].sequence > before
            shares = process.loads.peers_by_id_["edge-0"].shares_by_id
            assert shares["u1"].requests == 1


async def test_peers_are_notified_of_a_request_as_it_is_sent():
    # Guards against entries that all choose one engine until the next gossip round.
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
        await until(lambda: a.subsets.knows("edge-b"))
        heard = []
        b.handle_placement = heard.append
        a.loads.sent("q", "u1", 700, a.clock.now(), yielding=True)
        await until(lambda: heard)
        assert heard == [PlacementItem("edge-a", "u1", EntryLoad(1, 700, 1, 700))]


async def test_entry_runs_without_metrics_if_their_port_is_taken():
    # Guards against metrics at a port other than the configured one, and against an
    # entry that does not start because another process uses that port.
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


async def test_failed_task_is_logged_and_restarted(monkeypatch):
    # Guards against an entry that keeps an old configuration for good after an
    # unexpected exception in a task.
    monkeypatch.setattr("shallotpath.fleet._member.TASK_RESTART_PAUSE", timedelta())
    log = Log()
    log.put(OPERATOR_TOPIC, "config", make_config(1))
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_settings("edge-a", port)) as edge,
    ):
        await until(lambda: edge.ready)
        apply = edge.operator_topic_.apply

        def fail_once(records, written_at):
            edge.operator_topic_.apply = apply
            raise LookupError("unexpected")

        edge.operator_topic_.apply = fail_once
        log.put(OPERATOR_TOPIC, "config", make_config(2))
        await until(lambda: "task_restarted" in edge.reporter.writer.kinds())
        log.put(OPERATOR_TOPIC, "config", make_config(3))
        await until(lambda: edge.operator.catalog.version == 3)
