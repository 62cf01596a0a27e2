"""Test which answers without an end count against their upstream."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .endless import ENDLESS_HEADS, EndlessUpstream, stream_with_one_event, unframed
from .helpers import Upstream, answer, chunk, make_request, make_world, ms, reply

STREAM = {"kind": RouteKind.STREAM}
ONCE = {"kind": RouteKind.ONCE}


def oops(head):
    return answer(head, b"", status="500 Oops", length=False)


# Prefix and repeated part of an endless answer, and the options of the route.
FAULTS = {
    "head": (*ENDLESS_HEADS["header fields"], {}),
    "other answers": (*ENDLESS_HEADS["other answers"], {}),
    "error": (oops, b"a", {}),
    "event": (stream_with_one_event, chunk(b"a" * 1000), STREAM),
}


@pytest.mark.parametrize("fault", FAULTS)
async def test_upstream_with_several_endless_answers_is_avoided_and_comes_back(fault):
    # Guards against an upstream that costs each request an attempt, or is never used
    # again.
    prefix, part, route = FAULTS[fault]
    faulty, sound = EndlessUpstream(prefix, part), Upstream(reply(b"data: a\n\n"))
    async with make_world(faulty, sound, **route) as world:
        breaker = world.forwarder.parts.dispatcher.breaker
        for number in range(12):
            await outcome_of(world, number)
        now = world.forwarder.parts.clock.now()
        assert breaker.faulty("u0", now)
        assert not breaker.faulty("u1", now)
        seen = len(faulty.requests)
        assert await outcome_of(world, 100) == "served"
        assert len(faulty.requests) == seen
        assert not breaker.faulty("u0", now + ms(40_000))


@pytest.mark.parametrize("route", [{}, ONCE])
async def test_callers_that_read_slowly_do_not_count_against_the_upstream(route):
    # Guards against one slow caller that takes a sound upstream from all others.
    upstream = EndlessUpstream(unframed, b"a")
    async with make_world(upstream, timeout=ms(300), **route) as world:
        for number in range(5):
            outcome = await outcome_of(world, number, read=False, caller_timeout=300)
            assert outcome == "timed_out"
        parts = world.forwarder.parts
        assert not parts.dispatcher.breaker.faulty("u0", parts.clock.now())


async def outcome_of(world, number, *, read=True, **options):
    """Send a request and return how it ended."""
    seen = len(world.outcomes)
    reader, writer = await world.connect()
    reading = asyncio.ensure_future(reader.read(-1 if read else 1))
    writer.write(make_request(target=f"/a/{number}", number=number, **options))
    async with asyncio.timeout(3):
        while len(world.outcomes) == seen:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    reading.cancel()
    writer.transport.abort()
    return world.outcomes[-1]
