"""Which connections to an upstream are used again, by requests with different ids."""

import asyncio

import pytest

from shallotpath.core import MonotonicClock
from shallotpath.forwarding import ConnectionPool, _connection
from shallotpath.gateway import RouteKind

from .helpers import (
    HOST,
    RecordingReporter,
    Upstream,
    answer,
    chunk,
    make_world,
    read_message,
    reply,
    request_id,
    stream_head,
)

ONCE = {"kind": RouteKind.ONCE}


class CountingUpstream(Upstream):
    """Record the ids of the requests of each connection."""

    def __init__(self, *steps):
        super().__init__(*steps)
        self.ids_by_connection = []

    async def _serve(self, reader, writer):
        ids = []
        self.ids_by_connection.append(ids)
        try:
            while True:
                head, _ = await read_message(reader)
                ids.append(int(request_id(head)[1:]))
                step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
                await step(reader, writer, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def call_all(world, numbers):
    return [await world.call(number=number) for number in numbers]


@pytest.mark.parametrize(
    "numbers, expected",
    [
        ([1, 2, 3], [[1, 2, 3]]),
        ([1, 2, 1, 3], [[1, 2], [1, 3]]),
    ],
)
async def test_connection_carries_each_id_once(numbers, expected):
    # Guards against connections that remember only their last id, or carry one request.
    upstream = CountingUpstream(reply())
    async with make_world(upstream, **ONCE) as world:
        await call_all(world, numbers)
    assert upstream.ids_by_connection == expected


async def test_connection_is_replaced_after_its_last_request(monkeypatch):
    # Guards against ids that a connection remembers without a bound.
    monkeypatch.setattr(_connection, "MAX_REQUESTS_PER_CONNECTION", 3)
    upstream = CountingUpstream(reply())
    async with make_world(upstream, **ONCE) as world:
        await call_all(world, range(1, 8))
    assert upstream.ids_by_connection == [[1, 2, 3], [4, 5, 6], [7]]


async def stutter_late(reader, writer, head):
    """Write the answer to request 1 again before the one that is due."""
    earlier = head.replace("Request-Id: q2", "Request-Id: q1")
    writer.write(answer(earlier, b"one") + answer(head, b"two"))
    await writer.drain()


async def stutter_at_once(reader, writer, head):
    writer.write(answer(head, b"one") + answer(head, b"one"))
    await writer.drain()


async def stutter_on_idle_connection(reader, writer, head):
    writer.write(answer(head, b"one"))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.write(answer(head, b"one"))
    await writer.drain()


async def begin_a_copy(reader, writer, head):
    writer.write(answer(head, b"one") + b"HTTP/1.1 200")
    await writer.drain()


@pytest.mark.parametrize(
    "steps",
    [
        (reply(), stutter_late),
        (reply(), stutter_at_once),
        (reply(), stutter_on_idle_connection),
        (reply(), begin_a_copy),
    ],
)
async def test_upstream_that_stutters_gets_a_connection_for_each_request(steps):
    # Guards against the next copy of such an upstream, which may come in two parts, on
    # a connection that is in use again.
    upstream = CountingUpstream(*steps, reply())
    async with make_world(upstream, **ONCE) as world:
        await call_all(world, [1, 2])
        await asyncio.sleep(0.05)
        answers = await call_all(world, [3, 4, 5])
    assert upstream.ids_by_connection == [[1, 2], [3], [4], [5]]
    assert all("200" in head for head, _ in answers)


async def test_connections_are_used_again_some_time_after_a_stutter(monkeypatch):
    # Guards against an upstream that needs a new connection for each request for ever.
    monkeypatch.setattr(_connection, "SINGLE_USE_PERIOD", _connection.MAX_TRUSTED_IDLE)
    upstream = CountingUpstream(reply(), stutter_late, reply())
    async with make_world(upstream, **ONCE) as world:
        await call_all(world, [1, 2])
        await asyncio.sleep(0.25)
        await call_all(world, [3, 4])
    assert upstream.ids_by_connection == [[1, 2], [3, 4]]


async def test_connection_to_an_earlier_address_is_not_used():
    # Guards against the answer of the process that had an upstream's id before.
    first, second = Upstream(reply(b"one")), Upstream(reply(b"two"))
    async with make_world(first, **ONCE) as world:
        await world.call(number=1)
        pool = world.forwarder.parts.pool
        address = f"{HOST}:{await second.start()}"
        connection = await pool.acquire("u0", address, "q2", repeatable=True)
        assert connection.address == address
        connection.abort()
    second.server.close()


async def test_streams_in_chunks_share_a_connection():
    # Guards against a check of the last bytes that closes sound connections.
    async def stream(reader, writer, head):
        events = chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n"
        for part in (stream_head(head), events[:-3], events[-3:]):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)

    upstream = CountingUpstream(stream)
    async with make_world(upstream, kind=RouteKind.STREAM) as world:
        await call_all(world, [1, 2, 3])
    assert upstream.ids_by_connection == [[1, 2, 3]]


async def test_request_whose_connection_closes_before_it_is_sent_goes_elsewhere(
    monkeypatch,
):
    # Guards against a refusal to repeat a request that no upstream has received.
    first, second = Upstream(reply(b"one")), Upstream(reply(b"two"))
    send = _connection.UpstreamConnection.is_connected
    closed = []

    def close_once(connection):
        if not closed and connection.request_count_ == 0:
            closed.append(connection)
            connection.abort()
        return send(connection)

    async with make_world(first, second, max_attempts=2, **ONCE) as world:
        monkeypatch.setattr(_connection.UpstreamConnection, "is_connected", close_once)
        head, _ = await world.call(number=1)
    assert closed
    assert "200 OK" in head
    assert len(first.requests) + len(second.requests) == 1


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
