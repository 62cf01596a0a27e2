"""Test upstreams that fall silent for a while and then go on with their answers."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    Upstream,
    chunk,
    make_request,
    make_world,
    ms,
    read_answer,
    reply,
    reset,
    silence,
    stream_head,
)

STREAM = {
    "kind": RouteKind.STREAM,
    "resumable": True,
    "timeout": ms(6000),
    "max_attempts": 3,
}
BUSY = reply(status="503 Busy", extra=["Shallotpath-Not-Executed: 1"])
FAILURES = {
    "refused": BUSY,
    "lost": reset,
    "error": reply(status="500 Failed"),
    "garbled": reply(sealed=False),
    "silent": silence,
}


def event(number):
    return chunk(b"id: %d\ndata: x\n\n" % number)


def pause_in_stream(pause_s, events=4, before=1):
    """Return a step that falls silent after some events and then ends its stream."""

    async def step(reader, writer, head):
        writer.write(stream_head(head) + b"".join(map(event, range(1, before + 1))))
        await asyncio.sleep(pause_s)
        writer.write(b"".join(map(event, range(before + 1, events + 1))) + chunk(b""))
        await writer.drain()

    return step


@pytest.mark.parametrize("failure", FAILURES)
async def test_stream_goes_on_after_a_silence_if_no_other_upstream_continues_it(
    failure,
):
    # Guards against a stream that is broken off because its upstream was silent for a
    # moment and another one did not continue it.
    silent = Upstream(pause_in_stream(1.3))
    others = [Upstream(FAILURES[failure]) for _ in range(2)]
    async with make_world(silent, *others, **STREAM) as world:
        world.forwarder.parts.dispatcher.breaker.record_unreachable(
            "u1", world.forwarder.parts.clock.now()
        )
        world.forwarder.parts.dispatcher.breaker.record_unreachable(
            "u2", world.forwarder.parts.clock.now()
        )
        reader, writer = await world.connect()
        writer.write(make_request(caller_timeout=6000))
        head, body = await read_answer(reader)
        writer.close()
    assert "200 OK" in head
    assert [line for line in body.split(b"\n") if line.startswith(b"id")] == [
        b"id: %d" % number for number in range(1, 5)
    ]
