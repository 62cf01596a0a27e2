"""Test answers that operators of similar systems saw from faulty upstreams."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    Upstream,
    answer,
    make_world,
    ms,
    reply,
)

NOT_EXECUTED = "Shallotpath-Not-Executed: full"
ONCE = {"kind": RouteKind.ONCE, "max_attempts": 3, "target_latency": ms(500)}
STREAM = {"kind": RouteKind.STREAM, "resumable": True, "timeout": ms(3000)}
BROKEN = (asyncio.IncompleteReadError, ConnectionError, ValueError)


def event(number):
    return b"id: %d\ndata: token\n\n" % number


def refuse(head, *, labelled):
    refusal = answer(head, b"", status="503 Full", extra=[NOT_EXECUTED], sealed=False)
    return refusal if labelled else refusal.replace(b"Request-Id", b"Other-Id")


@pytest.mark.parametrize("labelled", [True, False])
async def test_earlier_refusal_written_again_is_not_taken_for_the_next_answer(labelled):
    # Guards against callers told that a request did not run which an upstream is
    # running, and against such a request sent to a second upstream.
    async def refuse_again_then_answer(reader, writer, head):
        earlier = head.replace("Request-Id: q2", "Request-Id: q1")
        writer.write(refuse(earlier, labelled=labelled))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(answer(head, b"done"))
        await writer.drain()

    first = Upstream(reply(b"one"), refuse_again_then_answer)
    async with make_world(first, **ONCE) as world:
        assert (await world.call(number=1))[1] == b"one"
        head, body = await world.call(number=2)
    assert ("200" in head, body) == (True, b"done")
    assert len(first.requests) == 2
