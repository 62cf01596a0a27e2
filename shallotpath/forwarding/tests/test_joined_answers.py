"""Answers that are joined with a second copy, and upstreams that seem faulty."""

import asyncio

import pytest

from shallotpath.core import MonotonicClock
from shallotpath.forwarding import ConnectionPool
from shallotpath.gateway import RouteKind

from .helpers import (
    HOST,
    RecordingReporter,
    Upstream,
    answer,
    chunk,
    make_world,
    stream_head,
)

ROUTES = {
    "stream": {"kind": RouteKind.STREAM, "resumable": False},
    "resumable stream": {"kind": RouteKind.STREAM, "resumable": True},
    "once": {"kind": RouteKind.ONCE},
}
EVENTS = chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n"
JSON = "Content-Type: application/json"
# The copy ends in the reason phrase of its status line, so that the status line of the
# next answer becomes a part of it.
STATUS_LINE = b"HTTP/1.1 200 O"
# The copy ends in the value of a header field in front of the id.
FIELD = b"HTTP/1.1 200 OK\r\nDate: Sat"


def served(head, name):
    if "stream" in name:
        return stream_head(head) + EVENTS
    return answer(head, b"first answer")


async def fail(reader, writer, head):
    writer.write(answer(head, b"failed", status="500 Failed", extra=[JSON]))
    await writer.drain()


@pytest.mark.parametrize("begun_copy", [STATUS_LINE, FIELD])
@pytest.mark.parametrize("name", ROUTES)
async def test_copy_that_begins_with_the_end_of_an_answer_closes_the_connection(
    name, begun_copy
):
    # Guards against a failure that is relayed as a success, as its head completes that
    # of a second copy that arrived together with the end of the answer before.
    async def serve(reader, writer, head):
        writer.write(served(head, name) + begun_copy)
        await writer.drain()

    upstream = Upstream(serve, fail)
    async with make_world(upstream, max_attempts=3, **ROUTES[name]) as world:
        head, _ = await world.call(number=1)
        assert "200 OK" in head
        pool = world.forwarder.parts.pool
        assert not any(pool.idle_by_id_.values())
        head, body = await world.call(number=2)
    assert head.startswith("HTTP/1.1 500"), (head, body)


@pytest.mark.parametrize("begun_copy", [STATUS_LINE, FIELD])
@pytest.mark.parametrize("name", ROUTES)
async def test_failure_whose_head_completes_that_of_a_copy_is_no_success(
    name, begun_copy
):
    # Guards against a failure that is relayed as a success, as its head completes that
    # of a second copy that arrived after the request was sent.
    async def serve(reader, writer, head):
        writer.write(served(head, name))
        await writer.drain()

    async def join(reader, writer, head):
        writer.write(begun_copy)
        await fail(reader, writer, head)

    upstream = Upstream(serve, join, fail)
    async with make_world(upstream, max_attempts=3, **ROUTES[name]) as world:
        await world.call(number=1)
        head, body = await world.call(number=2)
    assert not head.startswith("HTTP/1.1 200"), (head, body)


async def test_bytes_on_an_idle_connection_end_the_reuse_of_all_others_at_once():
    # Guards against a second copy that is cut on a connection in use again, although
    # the upstream has already sent a copy on another one.
    accepted = asyncio.Queue()

    async def keep(reader, writer):
        accepted.put_nowait(writer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(keep, HOST, 0)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    pool = ConnectionPool(MonotonicClock(), RecordingReporter())
    connections, writers = [], []
    for _ in range(2):
        connections.append(await pool.open("u", address))
        writers.append(await accepted.get())
    for connection in connections:
        pool.release("u", connection, None)
    writers[0].write(b"HTTP/1.1 200 OK\r\n\r\n")
    await asyncio.sleep(0.05)
    is_single_use = pool.is_single_use("u", pool.clock.now())
    acquired = await pool.acquire("u", address, "q", repeatable=True)
    acquired.abort()
    pool.close()
    server.close()
    assert is_single_use
    assert acquired not in connections


async def test_caller_with_a_long_id_does_not_make_upstreams_seem_faulty():
    # Guards against a caller whose id is longer than what the entry reads of an answer,
    # so that sound upstreams that echo it seem to send garbled answers.
    async def echo(reader, writer, head):
        writer.write(answer(head))
        await writer.drain()

    class Wide(Upstream):
        async def start(self):
            self.server = await asyncio.start_server(
                self._serve, HOST, 0, limit=1 << 20
            )
            return self.server.sockets[0].getsockname()[1]

    upstreams = [Wide(echo), Wide(echo)]
    async with make_world(*upstreams, kind=RouteKind.REPEATABLE) as world:
        for _ in range(3):
            await world.call(number="1" * 40_000)
        breaker = world.forwarder.parts.dispatcher.breaker
        now = world.forwarder.parts.clock.now()
        assert not any(breaker.faulty(f"u{number}", now) for number in range(2))
