"""Test answers that operators of similar systems saw from faulty upstreams."""

import asyncio
from contextlib import suppress

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    Upstream,
    answer,
    chunk,
    make_request,
    make_world,
    ms,
    read_answer,
    reply,
    reset_connection,
    stream_head,
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


async def read_all(reader):
    """Return what comes until the connection closes or is silent for 300 ms."""
    received = b""
    with suppress(TimeoutError, ConnectionError):
        while data := await asyncio.wait_for(reader.read(65536), 0.3):
            received += data
    return received


async def break_off(reader, writer, head):
    writer.write(stream_head(head) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer)
    return False


@pytest.mark.parametrize(
    "second",
    [
        reply(b"engine failed", status="500 Failed"),
        reply(b"engine failed\n\n", status="500 Failed", sealed=False),
        reply(b'{"error": "engine failed"}', extra=["Content-Type: application/json"]),
        reply(
            b"engine failed\n\n", status="400 Bad", extra=["Content-Type: text/plain"]
        ),
    ],
)
async def test_error_of_the_next_upstream_is_not_written_into_a_stream(second):
    # Guards against the text of an error in the middle of a stream, and against a
    # stream that ends as complete after it.
    begun = 0
    for upstreams in (
        [Upstream(break_off), Upstream(second)],
        [Upstream(second), Upstream(break_off)],
    ):
        async with make_world(*upstreams, **STREAM, max_attempts=2) as world:
            for number in range(2):
                reader, writer = await world.connect()
                writer.write(make_request(number=number))
                received = await read_all(reader)
                writer.close()
                if b"id: 1" in received:
                    begun += 1
                    assert b"engine failed" not in received
                    assert not received.endswith(b"0\r\n\r\n")
    assert begun


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("framing", ["chunked", "none"])
async def test_stream_that_ends_inside_an_event_is_broken_off(framing, resumable):
    # Guards against a stream that a caller takes for complete though its upstream
    # stopped in the middle of an event.
    async def stop_inside_an_event(reader, writer, head):
        data = event(1) + b"id: 2\nda"
        if framing == "chunked":
            writer.write(stream_head(head) + chunk(data) + b"0\r\n\r\n")
        else:
            extra = ["Content-Type: text/event-stream"]
            writer.write(answer(head, b"", extra=extra, length=False) + data)
        await writer.drain()
        return False

    async def resume(reader, writer, head):
        assert "Last-Event-Id: 1" in head
        writer.write(stream_head(head) + chunk(event(2)) + b"0\r\n\r\n")
        await writer.drain()

    route = STREAM | {"resumable": resumable}
    script = [stop_inside_an_event]
    if resumable:
        script.append(resume)
    one, two = Upstream(*script), Upstream(*script)
    if resumable:
        # Whichever is chosen first stops, the other one goes on.
        one.steps = two.steps = script
    async with make_world(one, two, **route) as world:
        if resumable:
            _, body = await world.call()
            assert body == event(1) + event(2)
        else:
            with pytest.raises(BROKEN):
                await world.call()


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.STREAM])
@pytest.mark.parametrize("left_out", [1, 2, 4, 20, 60])
async def test_answer_that_stops_in_its_head_is_not_relayed(kind, left_out):
    # Guards against a success with an empty body, framed as whole.
    async def stop_in_head(reader, writer, head):
        extra = ["Content-Type: text/event-stream"]
        writer.write(answer(head, b"", extra=extra, length=False)[:-left_out])
        await writer.drain()
        return False

    async with make_world(Upstream(stop_in_head), **ONCE | {"kind": kind}) as world:
        reader, writer = await world.connect()
        writer.write(make_request())
        head, _ = await read_answer(reader)
        writer.close()
    assert "502" in head


async def test_stream_without_framing_that_closes_before_any_event_is_not_relayed():
    # Guards against an empty success of an upstream that stopped after its head.
    async def stop_after_head(reader, writer, head):
        extra = ["Content-Type: text/event-stream"]
        writer.write(answer(head, b"", extra=extra, length=False))
        await writer.drain()
        return False

    route = STREAM | {"resumable": False}
    async with make_world(Upstream(stop_after_head), **route) as world:
        head, _ = await world.call()
    assert "502" in head


async def test_broken_off_stream_leaves_no_traceback(caplog):
    # Guards against unlimited tracebacks on the output while upstreams crash.
    route = STREAM | {"resumable": False}
    async with make_world(Upstream(break_off), **route) as world:
        with pytest.raises(BROKEN):
            await world.call()
    assert not caplog.records
