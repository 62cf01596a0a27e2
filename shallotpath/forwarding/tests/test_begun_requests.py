"""Requests that count as begun, for reports of usage."""

import pytest

from shallotpath.gateway import RouteKind

from .helpers import Upstream, chunk, make_world, reply, stream_head


def sent_stream(count):
    async def step(reader, writer, head):
        writer.write(stream_head(head))
        await writer.drain()
        for number in range(count):
            writer.write(chunk(f"id: {number}\ndata: x\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return step


@pytest.mark.parametrize(
    ("step", "kind", "expected"),
    [
        (sent_stream(5), RouteKind.STREAM, ["team"]),
        (sent_stream(0), RouteKind.STREAM, []),
        (reply(), RouteKind.ONCE, ["team"]),
        (reply(status="500 Failed"), RouteKind.ONCE, ["team"]),
        (
            reply(status="503 Busy", extra=["Shallotpath-Not-Executed: 1"]),
            RouteKind.ONCE,
            [],
        ),
    ],
)
async def test_request_counts_once_when_its_upstream_has_begun(step, kind, expected):
    # Guards against requests that count for each event, or that were refused.
    begun = []
    async with make_world(Upstream(step), kind=kind) as world:
        world.forwarder.parts.on_begun = begun.append
        await world.call()
    assert begun == expected
