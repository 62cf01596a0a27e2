"""Bound on outdated weights at processes that start after the announcement."""

import asyncio
from datetime import timedelta
from random import Random

from shallotpath.core import EPOCH
from shallotpath.fleet import EdgeProcess
from shallotpath.fleet._announcements import AnnouncementExchange
from shallotpath.gateway import OperatorState, WeightsAnnounced, WriteTime
from shallotpath.replication import (
    MAX_DATAGRAM_BYTES,
    GossipMessage,
    PeerAddress,
    encode_message,
)

from .announcements import (
    BOUND,
    announce_version,
    make_bound_settings,
    make_log,
    refuses_old_weights,
    until_informed,
)
from .processes import running, stores, until
from .standins import HOST


async def test_entry_that_starts_after_the_bound_sends_nothing_to_old_weights():
    # Guards against a bound that restarts with each start of an entry. If no peer knows
    # the time of the announcement, it counts as long past.
    log = make_log()
    announce_version(log, 2)
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_bound_settings("edge-a", port)) as edge,
    ):
        await until_informed(edge, 2)
        assert refuses_old_weights(edge)


async def test_entry_that_starts_within_the_bound_rejects_old_weights_with_its_peers():
    # Guards against old weights in use beyond the bound after a rolling restart, as
    # each entry counts the bound from its own start.
    log = make_log()
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_bound_settings("edge-a", port)) as a,
    ):
        await until(lambda: a.ready)
        announce_version(log, 2)
        await until_informed(a, 2)
        announced_at = a.clock.now()
        await asyncio.sleep(1.0)
        async with running(EdgeProcess, make_bound_settings("edge-b", port)) as b:
            a.peers.learn(b.address)
            b.peers.learn(a.address)
            await until_informed(b, 2)
            # The time reported by the peer allows old weights until the bound ends.
            await until(lambda: not refuses_old_weights(b), 1.0)
            await until(lambda: a.clock.now() >= announced_at + BOUND)
            assert refuses_old_weights(a)
            assert refuses_old_weights(b)


async def test_entry_that_starts_learns_of_an_announcement_replaced_in_the_store():
    # Guards against a bound counted from the newest version only, where that of an
    # older one ends first: the store keeps only the newest record of a key.
    log = make_log()
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_bound_settings("edge-a", port)) as a,
    ):
        await until(lambda: a.ready)
        announce_version(log, 2)
        await until_informed(a, 2)
        announced_at = a.clock.now()
        await asyncio.sleep(1.0)
        announce_version(log, 3)
        await until_informed(a, 3)
        async with running(EdgeProcess, make_bound_settings("edge-b", port)) as b:
            a.peers.learn(b.address)
            b.peers.learn(a.address)
            await until_informed(b, 3)
            await until(lambda: not refuses_old_weights(b), 1.0)
            await until(lambda: a.clock.now() >= announced_at + BOUND)
            assert refuses_old_weights(b)


async def test_restarted_entry_gets_announcements_before_the_next_round(monkeypatch):
    # Guards against an entry that rejects all requests for old weights until the next
    # gossip round, as peers answer at once only processes that are new to them.
    long_interval = timedelta(minutes=1)
    monkeypatch.setattr(
        "shallotpath.fleet._member.gossip_interval", lambda region_peers: long_interval
    )
    log = make_log()
    async with (
        stores(log, 1) as ((_, port),),
        running(EdgeProcess, make_bound_settings("edge-a", port)) as a,
    ):
        await until(lambda: a.ready)
        settings = make_bound_settings("edge-b", port)
        async with running(EdgeProcess, settings) as b:
            await until(lambda: b.ready and a.peers.domain("edge-b"))
        announce_version(log, 2)
        await until_informed(a, 2)
        async with running(EdgeProcess, settings) as b:
            await until_informed(b, 2)
            await until(lambda: not refuses_old_weights(b), 0.5)


def test_announcements_of_many_models_fit_in_a_message():
    # Guards against messages that exceed the datagram size and are dropped as a whole.
    operator = OperatorState()
    for number in range(200):
        for version in range(2, 12):
            operator.apply(
                WeightsAnnounced(f"model-{number:0200}", version), WriteTime(EPOCH)
            )
    exchange = AnnouncementExchange(
        operator, bound=BOUND, random=Random(1), reporter=None
    )
    sent_models = set()
    for _ in range(200):
        items = exchange.items(EPOCH)
        sent_models |= {item.model for item in items}
        message = GossipMessage(
            PeerAddress("a", HOST, 1, False), 1, 1, "a-1", announcements=items
        )
        assert len(encode_message(message)) < MAX_DATAGRAM_BYTES / 2
    assert len(sent_models) == 200
