"""Upstreams that say in their responses that they leave."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    SuspendedClock,
    Upstream,
    chunk,
    make_world,
    ms,
    reply,
    stream_head,
)

LEAVING = "Server-Leaving: 1"
REFUSED = {
    "status": "503 Full",
    "sealed": False,
    "extra": [LEAVING, "Shallotpath-Not-Executed: 1"],
}


async def stream_and_say_so(reader, writer, head):
    said = stream_head(head).replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n\r\n".encode())
    writer.write(said + chunk(b"id: 1\ndata: token\n\n") + b"0\r\n\r\n")
    await writer.drain()


def record_of(world, upstream_id="u0"):
    table = world.forwarder.parts.dispatcher.upstreams
    return table, table.upstreams_by_id_[upstream_id].record


@pytest.mark.parametrize(
    ("step", "route"),
    [
        (reply(b"ok", extra=[LEAVING]), {}),
        (reply(b"failed", status="500 Failed", extra=[LEAVING]), {}),
        (reply(b"", **REFUSED), {}),
        (reply(b"", **REFUSED), {"kind": RouteKind.ONCE}),
        (stream_and_say_so, {"kind": RouteKind.STREAM}),
    ],
    ids=["answer", "error", "refusal", "refusal of an order", "stream"],
)
async def test_upstream_that_said_it_leaves_gets_nothing_more(step, route):
    # Guards against requests to an upstream that leaves while its record says ready.
    first, second = Upstream(step), Upstream(reply(b"second"))
    async with make_world(first, second, timeout=ms(900), **route) as world:
        for number in range(20):
            await world.call(number=number)
            if first.requests:
                break
        for number in range(30, 50):
            assert b"token" not in (await world.call(number=number))[1]
        table, record = record_of(world)
        # A lapsed lease and a new registration do not bring the same process back.
        now = world.forwarder.parts.clock.now()
        table.drop(record.id)
        table.apply(record, now)
        await world.call(number=51)
        assert len(first.requests) == 1
        # A successor with the same id and address is used at once.
        successor = replace(record, started_ms=record.started_ms + 1)
        table.apply(successor, now)
        for number in range(60, 80):
            await world.call(number=number)
        assert len(first.requests) == 2


async def test_request_that_was_placed_is_not_sent_after_the_upstream_said_it_leaves():
    # Guards against a request that waited for a connection meanwhile, and against a
    # caller that is told to come back at once though nobody can serve it.
    upstream = Upstream(reply(b"ok"))
    async with make_world(upstream, timeout=ms(3000)) as world:
        pool = world.forwarder.parts.pool
        table, record = record_of(world)
        acquire = pool.acquire

        async def acquire_late(*args, **kwargs):
            connection = await acquire(*args, **kwargs)
            table.notices.record_leaving(record)
            return connection

        pool.acquire = acquire_late
        head, _ = await world.call()
    assert upstream.requests == []
    assert "503" in head
    retry_after = float(head.lower().split("retry-after:")[1].split("\r\n")[0])
    assert retry_after > 0.5


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("421 Other", ["Shallotpath-Instance-Id: other"]),
        ("421 Other", []),
        ("200 OK", ["Shallotpath-Instance-Id: other"]),
    ],
)
async def test_notice_of_another_upstream_is_not_taken(status, extra):
    # Guards against a sound upstream that is given up for what another one says.
    upstream = Upstream(reply(b"ok", status=status, extra=[LEAVING, *extra]))
    async with make_world(upstream) as world:
        table, record = record_of(world)
        await world.call()
        assert upstream.requests
        assert not table.notices.is_leaving(record)


async def test_notices_are_forgotten_once_their_processes_are_gone():
    # Guards against memory that grows with every upstream that ever left.
    async with make_world(Upstream(reply(b"ok"))) as world:
        table, record = record_of(world)
        notices, now = table.notices, world.forwarder.parts.clock.now()
        notices.record_leaving(record)
        for minutes in (0, 11, 12):
            notices.prune({record.id}, now + timedelta(minutes=minutes))
        assert notices.is_leaving(record)
        for minutes in (13, 20, 24):
            notices.prune(set(), now + timedelta(minutes=minutes))
        assert not notices.notices_by_id_


def turn_away(seconds):
    extra = ["Shallotpath-Not-Executed: 1", f"Retry-After: {seconds}"]
    return reply(b"", status="503 Full", sealed=False, extra=extra)


async def test_upstream_gets_nothing_for_as_long_as_it_asks_and_then_a_little():
    # Guards against requests that keep reaching an upstream that wants none for a time,
    # and against all of them at once when the time is over.
    closed = Upstream(turn_away(6), turn_away(6), reply(b"back"))
    clock = SuspendedClock()
    async with make_world(closed, clock=clock, timeout=ms(2000)) as world:
        await world.call(number=0)
        assert len(closed.requests) == 1
        for number in range(1, 20):
            head, _ = await world.call(number=number)
            assert "503" in head
        clock.suspended += ms(5800)
        await world.call(number=20)
        assert len(closed.requests) == 1
        clock.suspended += ms(300)
        await world.call(number=21)
        # Turned away again: the time begins anew.
        await world.call(number=22)
        assert len(closed.requests) == 2
        clock.suspended += ms(6100)
        both = await asyncio.gather(*(world.call(number=n) for n in (23, 24, 25)))
        assert sum("200" in head for head, _ in both) == 1
        clock.suspended += ms(5100)
        both = await asyncio.gather(*(world.call(number=n) for n in (26, 27, 28)))
        assert sum("200" in head for head, _ in both) == 3


@pytest.mark.parametrize("seconds", ["-3", "0", "soon"])
async def test_odd_delay_does_not_close_an_upstream(seconds):
    # Guards against a sound upstream that is not used because of an odd header.
    upstream = Upstream(turn_away(seconds), reply(b"ok"))
    async with make_world(upstream) as world:
        await world.call(number=0)
        assert (await world.call(number=1))[1] == b"ok"


async def test_upstream_is_not_left_alone_for_longer_than_a_limit():
    # Guards against a corrupt delay that costs a service its upstream for a day.
    upstream = Upstream(turn_away("9" * 12), reply(b"ok"))
    clock = SuspendedClock()
    async with make_world(upstream, clock=clock) as world:
        await world.call(number=0)
        clock.suspended += timedelta(minutes=9)
        assert "503" in (await world.call(number=1))[0]
        clock.suspended += timedelta(minutes=1)
        assert (await world.call(number=2))[1] == b"ok"
