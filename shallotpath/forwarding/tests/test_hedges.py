"""Test a request that is sent to other upstreams while its first one is silent."""

import asyncio
import gc

import pytest

from shallotpath.forwarding import MemoryBudget
from shallotpath.forwarding._exchange import Exchange
from shallotpath.gateway import Dispatcher

from .helpers import (
    Upstream,
    answer,
    chunk,
    make_world,
    ms,
    reply,
    reset,
    reset_connection,
    silence,
    stream_head,
)
from .test_silent_upstreams import STREAM, call_first, event, event_ids, held


def late(delay_s, step):
    """Return a step that begins after a delay."""

    async def delayed(reader, writer, head):
        await asyncio.sleep(delay_s)
        return await step(reader, writer, head)

    return delayed


async def cut_body(reader, writer, head):
    """Send the head and a part of the body, then reset the connection."""
    writer.write(answer(head, b"ok", extra=["Content-Type: a/b"])[:-1])
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer)
    return False


def connect_late(world, delay_s):
    """Delay all connects after the first one."""
    pool = world.forwarder.parts.pool
    acquire, delays = pool.acquire, iter([0])

    async def acquire_late(*args, **options):
        await asyncio.sleep(next(delays, delay_s))
        return await acquire(*args, **options)

    pool.acquire = acquire_late


async def trickle(reader, writer, head):
    """Send the head, then a byte of the body every 50 ms."""
    writer.write(answer(head, b"x" * 100)[:-100])
    for _ in range(100):
        writer.write(b"x")
        await asyncio.sleep(0.05)


async def only_head(reader, writer, head):
    writer.write(answer(head, b"x" * 100)[:-100])
    return await silence(reader, writer, head)


@pytest.mark.parametrize(
    "end", [late(0.5, reply(status="500 Failed")), late(0.5, cut_body)]
)
async def test_failure_of_the_first_upstream_does_not_end_a_hedge(end):
    # Guards against an error for a caller whose answer another upstream is working on,
    # because the first one has begun to answer and then fails.
    upstreams = Upstream(end), Upstream(late(0.6, reply(b"second")))
    async with make_world(*upstreams) as world:
        head, body = await call_first(world)
        assert "200 OK" in head
        assert body == b"second"
        assert held(world) == (0, {})


@pytest.mark.parametrize("end", [trickle, late(0.5, only_head)])
async def test_answer_in_small_parts_does_not_end_a_hedge(end):
    # Guards against a 504 because an upstream that sends its answer byte by byte, or
    # only its head, ends the attempt at another one.
    upstreams = Upstream(end), Upstream(late(0.3, reply(b"second")))
    async with make_world(*upstreams) as world:
        head, body = await call_first(world)
        assert "200 OK" in head
        assert body == b"second"
        assert held(world) == (0, {})


async def test_part_of_an_event_does_not_end_a_hedge():
    # Guards against a stream that is broken off because its upstream sends a part of
    # an event and then nothing.
    async def part(reader, writer, head):
        writer.write(stream_head(head) + event(1))
        await asyncio.sleep(1.0)
        writer.write(chunk(b"id: 2"))
        return await silence(reader, writer, head)

    async def go_on(reader, writer, head):
        await asyncio.sleep(0.4)
        writer.write(stream_head(head) + event(2) + event(3) + chunk(b""))

    upstreams = Upstream(part), Upstream(go_on)
    async with make_world(*upstreams, **{**STREAM, "max_attempts": 2}) as world:
        _, body = await call_first(world)
        assert event_ids(body) == [1, 2, 3]
        assert held(world) == (0, {})


async def test_silent_hedge_is_followed_by_another_one_if_the_first_upstream_fails():
    # Guards against a request that waits for one silent upstream until its deadline
    # because the connection to the first one is lost.
    first = late(0.4, reset)
    upstreams = Upstream(first), Upstream(silence), Upstream(silence)
    async with make_world(*upstreams, max_attempts=3) as world:
        await call_first(world)
        assert [len(upstream.requests) for upstream in upstreams] == [1, 1, 1]


@pytest.mark.parametrize("crash_s", [0.05, 0.4])
async def test_hedge_that_is_lost_with_a_suspected_part_is_the_last_one(crash_s):
    # Guards against a prompt that crashes one upstream after the other, because an
    # error of the first one allows the retry that the crash of the hedge does not.
    error = late(0.5, reply(status="500 Failed"))
    upstreams = Upstream(error), Upstream(late(crash_s, reset)), Upstream(reply())
    async with make_world(*upstreams, max_attempts=3) as world:
        parts = world.forwarder.parts
        parts.suspects.parts.record_crash("c", [["/p1"]], parts.clock.now())
        for _ in range(2):
            parts.dispatcher.breaker.record_unreachable("u2", parts.clock.now())
        head, _ = await call_first(world, parts=("p1", "own"))
        assert "500 Failed" in head
        assert [len(upstream.requests) for upstream in upstreams] == [1, 1, 0]


async def test_hedge_that_still_connects_counts_as_an_attempt():
    # Guards against a request that runs at more upstreams than its route allows, as
    # connecting to them takes longer than the limit of a silence.
    upstreams = [Upstream(silence) for _ in range(3)]
    async with make_world(*upstreams) as world:
        connect_late(world, 0.39)
        await call_first(world)
        assert sum(len(upstream.requests) for upstream in upstreams) == 2


@pytest.mark.parametrize("limit", [{"max_attempts": 2}, {"budget": 1}])
async def test_silence_without_a_retry_places_no_request(limit, monkeypatch):
    # Guards against placements in vain: each one counts as a request in the limit of a
    # cold upstream, and others are refused for it.
    placed = []
    choose = Dispatcher.choose

    def choose_counted(*args):
        placed.append(choose(*args))
        return placed[-1]

    monkeypatch.setattr(Dispatcher, "choose", choose_counted)
    upstreams = [Upstream(silence) for _ in range(4)]
    async with make_world(*upstreams, **{"max_attempts": 3} | limit) as world:
        await call_first(world)
    assert len(placed) == sum(len(upstream.requests) for upstream in upstreams)


async def test_hedge_that_connects_too_late_does_not_end_the_first_attempt():
    # Guards against a 504 for an answer that comes within the grace of the deadline.
    upstreams = Upstream(late(0.73, reply(b"first"))), Upstream(silence)
    async with make_world(*upstreams, timeout=ms(700)) as world:
        connect_late(world, 0.405)
        _, body = await call_first(world)
        assert body == b"first"
        assert held(world) == (0, {})


async def test_upstream_that_sends_its_answer_slowly_is_not_paused():
    # Guards against callers who are placed elsewhere or refused because one answer is
    # large or its link slow: bytes of it come all the while.
    async with make_world(Upstream(trickle), Upstream(reply())) as world:
        parts = world.forwarder.parts
        await call_first(world)
        assert parts.dispatcher.breaker.is_available("u0", parts.clock.now())


@pytest.mark.parametrize(
    "first", [reply(), silence, reset, late(0.5, reply()), late(0.5, reset)]
)
async def test_answered_request_is_freed_without_a_collection(first):
    # Guards against bodies and answers that stay in memory, uncounted, until the next
    # full garbage collection.
    upstreams = Upstream(first), Upstream(late(0.3, reply()))
    async with make_world(*upstreams) as world:
        gc.collect()
        gc.disable()
        try:
            await call_first(world)
            await asyncio.sleep(0.05)
            alive = [o for o in gc.get_objects() if isinstance(o, Exchange)]
        finally:
            gc.enable()
        assert not alive


async def test_hedge_is_ended_for_want_of_memory():
    # Guards against hedges that exceed the memory of the process, as none of them can
    # be ended alone.
    async def fill(reader, writer, head):
        writer.write(stream_head(head) + chunk(b"id: 1\ndata: " + 200_000 * b"x"))
        return await silence(reader, writer, head)

    memory = MemoryBudget(100_000)
    first = Upstream(late(1.0, reply(b"id: 1\n\n")))
    async with make_world(first, Upstream(fill), memory=memory, **STREAM) as world:
        answer = asyncio.ensure_future(call_first(world))
        await asyncio.sleep(0.7)
        assert memory.held_bytes < memory.limit_bytes
        assert (await answer)[1] == b"id: 1\n\n"
        assert held(world) == (0, {})
