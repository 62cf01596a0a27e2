"""Connections of a listener on loopback addresses."""

import asyncio
import gc
import socket
import sys
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

from aiohttp import web

from shallotpath.connections import (
    BodyRefusedError,
    ConnectionLimits,
    ConnectionTable,
    Phase,
)
from shallotpath.connections import _protocol as protocol
from shallotpath.core import MonotonicClock
from shallotpath.webserver import GuardedServer

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
LIMITS = {"header_timeout": timedelta(seconds=10), "idle_timeout": timedelta(hours=1)}


class SkippingClock(MonotonicClock):
    """Run ahead of the event loop by a time that a test sets."""

    skipped = timedelta()

    def now(self):
        return super().now() + self.skipped


class World:
    """Hold a server whose answers wait for `released`, or for its callers."""

    def __init__(self, **limits):
        self.clock = SkippingClock()
        options = {"connections": 4} | LIMITS | limits
        self.table = ConnectionTable(ConnectionLimits(**options), clock=self.clock)
        app = web.Application()
        app.router.add_route("*", "/", self.handle)
        self.server = GuardedServer(app, self.table)
        self.released = asyncio.Event()
        self.answer = b"ok"

    async def handle(self, request):
        try:
            await request.read()
        except BodyRefusedError as error:
            return web.Response(status=error.status, text=str(error))
        await self.released.wait()
        return web.Response(body=self.answer)

    async def call(self, data):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        address = self.server.url.removeprefix("http://").split(":")
        await asyncio.get_running_loop().sock_connect(
            sock, (address[0], int(address[1]))
        )
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(data)
        return reader, writer

    async def until(self, *phases):
        """Wait until the table has just connections of these phases."""
        async with asyncio.timeout(10):
            while sorted(c.phase for c in self.table.connections_) != sorted(phases):  # noqa: ASYNC110
                await asyncio.sleep(0.01)


@asynccontextmanager
async def running(**limits):
    world = World(**limits)
    await world.server.start("127.0.0.1", 0)
    try:
        yield world
    finally:
        world.released.set()
        await world.server.stop()


async def first_line(reader):
    async with asyncio.timeout(10):
        return await reader.readline()


async def test_request_in_progress_survives_a_crowd_of_connections():
    # Guards against an answer that is lost because others fill the listener.
    async with running() as world:
        kept = await world.call(HEAD + b"Content-Length: 2\r\n\r\nab")
        await world.until(Phase.BUSY)
        crowd = [await world.call(b"") for _ in range(9)]
        world.released.set()
        assert b" 200 " in await first_line(kept[0])
        assert await first_line(crowd[0][0]) == b""
        assert world.table.closed.counts_by_reason["no_room"] >= 6


async def test_long_and_slow_heads_and_slow_bodies_are_refused():
    # Guards against memory and descriptors that callers keep with what never ends.
    async with running(header_bytes=1000) as world:
        reader, _ = await world.call(HEAD + b"X: aaaaaaaaaaaaaaaaaaaaaa\r\n" * 100)
        assert b" 431 " in await first_line(reader)
        head, body = (
            await world.call(HEAD),
            await world.call(HEAD + b"Content-Length: 9\r\n\r\nab"),
        )
        await world.until(Phase.HEAD, Phase.BODY)
        world.clock.skipped = timedelta(seconds=11)
        assert b" 408 " in await first_line(head[0])
        world.clock.skipped = timedelta(hours=2)
        assert b" 408 " in await first_line(body[0])


async def test_requests_that_cannot_be_parsed_write_no_traceback(caplog):
    # Guards against a log that fills up with what callers send.
    async with running() as world:
        reader, _ = await world.call(HEAD + b"no field\r\n\r\n")
        assert b" 400 " in await first_line(reader)
        assert world.table.closed.counts_by_reason["malformed"] == 1
        assert caplog.records == []


async def test_slow_head_behind_a_request_leaves_its_answer():
    # Guards against a request that is cut off because of the next one.
    async with running() as world:
        request = HEAD + b"Content-Length: 2\r\n\r\nab"
        reader, _ = await world.call(request + b"POST / HT")
        await world.until(Phase.BUSY)
        world.clock.skipped = timedelta(seconds=11)
        await asyncio.sleep(1)
        world.released.set()
        assert b" 200 " in await first_line(reader)


async def test_answer_that_is_not_taken_gives_way_to_others(monkeypatch):
    # Guards against callers that keep the listener full with answers they do not take.
    async with running(connections=1) as world:
        world.answer = b"a" * 10_000_000
        world.released.set()
        unread = await world.call(HEAD + b"Content-Length: 0\r\n\r\n")
        async with asyncio.timeout(10):
            while not any(c.unread_since_ for c in world.table.connections_):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        refused, _ = await world.call(b"")
        with suppress(ConnectionError):
            assert await first_line(refused) == b""
        world.clock.skipped = protocol.READ_TIMEOUT + timedelta(seconds=1)
        reader, _ = await world.call(HEAD + b"Content-Length: 0\r\n\r\n")
        assert b" 200 " in await first_line(reader)
        unread[1].close()


async def test_held_connection_whose_body_has_arrived_is_not_refused():
    # Guards against a kept connection that stays paused after its answer.
    async with running() as world:
        request = HEAD + b"Content-Length: 2\r\n\r\nab"
        reader, writer = await world.call(request)
        await world.until(Phase.BUSY)
        (connection,) = world.table.connections_
        connection.hold()
        world.table.refuse_costly(connection)
        world.released.set()
        for _ in range(2):
            assert b" 200 " in await first_line(reader)
            await reader.readuntil(b"ok")
            writer.write(request)


async def test_held_connection_that_is_kept_is_not_closed():
    # Guards against a request in the kernel whose connection ends for an earlier one.
    async with running() as world:
        world.released.set()
        request = HEAD + b"Content-Length: 2\r\n\r\nab"
        reader, writer = await world.call(request)
        await reader.readuntil(b"ok")
        await world.until(Phase.KEPT)
        (connection,) = world.table.connections_
        connection.hold()
        writer.write(request)
        await asyncio.sleep(0.05)
        world.table.refuse_costly(connection)
        assert b" 200 " in await first_line(reader)


async def test_held_connection_reads_again_after_its_turn():
    # Guards against connections that stay paused, or are read although they are held.
    async with running() as world:
        world.released.set()
        reader, writer = await world.call(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        await world.until(Phase.BODY)
        (connection,) = world.table.connections_
        connection.hold()
        connection.resume_reading()
        assert not connection.waits_for_client
        connection.release()
        assert connection.waits_for_client
        writer.write(b"1\r\na\r\n" * 20_000 + b"0\r\n\r\n")
        assert b" 200 " in await first_line(reader)


async def test_idle_connection_lets_go_of_its_last_answer():
    # Guards against kept connections that fill the memory of a process.
    async with running() as world:
        world.answer = bytearray(b"ok")
        world.released.set()
        before = sys.getrefcount(world.answer)
        reader, _ = await world.call(HEAD + b"Content-Length: 0\r\n\r\n")
        await reader.readuntil(b"ok")
        await world.until(Phase.KEPT)
        gc.collect()
        after = sys.getrefcount(world.answer)
        assert after == before
