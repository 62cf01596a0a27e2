"""Test answers that their callers take more slowly than they are written."""

import asyncio
import gc
import socket
import weakref
from datetime import timedelta

import pytest
from aiohttp import web

from shallotpath.connections import ConnectionLimits, ConnectionTable
from shallotpath.connections import _protocol as protocol
from shallotpath.forwarding import HeldKind, Listener, MemoryBudget
from shallotpath.webserver import GuardedServer

from .helpers import HOST, make_request

UNSENT_BYTES = 32 * 1024
PART = b"p" * 4096


async def answer_slow_reader(request):
    """Write an answer until the kernel takes no more and a little is left."""
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    while request.transport.get_write_buffer_size() < UNSENT_BYTES:
        await response.write(PART)
    return response


async def ask(port):
    """Send a request on a connection with a small buffer."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (HOST, port))
    await loop.sock_sendall(connection, make_request())
    return connection


async def read(connection, *, until):
    """Read in small parts until a condition holds or the connection ends."""
    received = b""
    while not until():
        data = await asyncio.get_running_loop().sock_recv(connection, 4096)
        if not data:
            break
        received += data
    return received


def abort_all(listener):
    """Leave what the kernel holds, as the end of the process does."""
    for connection in list(listener.server_.connections):
        connection.tcp_transport_.abort()


@pytest.mark.parametrize("stopping", [False, True])
async def test_answer_counts_until_the_kernel_has_taken_it(stopping):
    # Guards against planned stops that cut off answers which are written but not sent.
    listener = Listener(answer_slow_reader)
    port = await listener.start(HOST, 0)
    connection = await ask(port)
    await asyncio.sleep(0.2)
    if stopping:
        listener.close()
        listener.close_idle()
    async with asyncio.timeout(5):
        received = await read(connection, until=lambda: listener.active == 0)
        abort_all(listener)
        received += await read(connection, until=lambda: False)
    connection.close()
    await listener.stop()
    assert received.endswith(b"\r\n0\r\n\r\n")
    assert len(received) > UNSENT_BYTES


async def test_stop_of_an_application_waits_until_answers_are_sent():
    # Guards against the same in the servers of the project's own interface.
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer_slow_reader)
    table = ConnectionTable()
    server = GuardedServer(app, table)
    await server.start(HOST, 0)
    connection = await ask(int(server.url.rpartition(":")[2]))
    await asyncio.sleep(0.2)
    async with asyncio.timeout(5):
        stopping = asyncio.ensure_future(server.stop())
        await asyncio.sleep(0.2)
        received = await read(connection, until=stopping.done)
        for other in list(table.connections_):
            other.tcp_transport_.abort()
        received += await read(connection, until=lambda: False)
        await stopping
    connection.close()
    assert received.endswith(b"\r\n0\r\n\r\n")


async def test_stop_reports_answers_that_are_not_sent():
    # Guards against answers that are cut off at the end of a stop without a line.
    cuts = []
    listener = Listener(answer_slow_reader, on_cut=lambda *cut: cuts.append(cut))
    port = await listener.start(HOST, 0)
    connection = await ask(port)
    await asyncio.sleep(0.2)
    await listener.stop()
    connection.close()
    assert cuts == [("entry", "stopped")]


async def test_answer_that_gives_way_to_others_is_reported(monkeypatch):
    # Guards against answers that are cut off for want of room without a line.
    monkeypatch.setattr(protocol, "READ_TIMEOUT", timedelta(milliseconds=100))
    cuts = []
    table = ConnectionTable(ConnectionLimits(connections=1))
    listener = Listener(
        answer_slow_reader, table=table, on_cut=lambda *cut: cuts.append(cut)
    )
    port = await listener.start(HOST, 0)
    connections = [await ask(port)]
    await asyncio.sleep(0.3)
    connections.append(await ask(port))
    await asyncio.sleep(0.1)
    assert cuts == [("entry", "no_room")]
    for connection in connections:
        connection.close()
    await listener.stop()


async def test_request_behind_an_answer_that_is_sent_is_reported():
    # Guards against a queued request that gets no answer and no line.
    cuts = []
    listener = Listener(answer_slow_reader, on_cut=lambda *cut: cuts.append(cut))
    port = await listener.start(HOST, 0)
    connection = await ask(port)
    await asyncio.get_running_loop().sock_sendall(connection, make_request())
    await asyncio.sleep(0.2)
    connection.shutdown(socket.SHUT_WR)
    async with asyncio.timeout(5):
        await read(connection, until=lambda: False)
    connection.close()
    await listener.stop()
    assert cuts == [("caller", "closed")]


async def test_answer_that_is_taken_in_full_is_not_reported():
    # Guards against lines for callers that leave once they have their slow answers.
    cuts = []
    listener = Listener(answer_slow_reader, on_cut=lambda *cut: cuts.append(cut))
    port = await listener.start(HOST, 0)
    connection = await ask(port)
    await asyncio.sleep(0.2)
    connection.shutdown(socket.SHUT_WR)
    async with asyncio.timeout(5):
        received = await read(connection, until=lambda: False)
    connection.close()
    await listener.stop()
    assert received.endswith(b"\r\n0\r\n\r\n")
    assert cuts == []


class Token:
    """Tell whether the body that it belongs to still exists."""


class TrackedBody(bytes):
    """A body that can be followed; objects of bytes take no weak references."""


async def test_idle_connection_does_not_hold_the_body_of_its_last_answer():
    # Guards against kept connections that fill the memory of an entry.
    tokens = []

    async def answer(request):
        body = TrackedBody(1000)
        body.token = Token()
        tokens.append(weakref.ref(body.token))
        return web.Response(body=body)

    listener = Listener(answer)
    port = await listener.start(HOST, 0)
    connection = await ask(port)
    async with asyncio.timeout(5):
        await read(connection, until=lambda: tokens and listener.active == 0)
    gc.collect()
    assert [token() for token in tokens] == [None]
    assert len(listener.server_.connections) == 1
    connection.close()
    await listener.stop()


async def test_unsent_bytes_of_an_answer_count_until_they_are_taken():
    # Guards against bytes outside the memory budget after the answer is written.
    memory = MemoryBudget()
    listener = Listener(answer_slow_reader, memory=memory)
    port = await listener.start(HOST, 0)
    connection = await ask(port)
    await asyncio.sleep(0.2)
    held_bytes = memory.held_bytes
    async with asyncio.timeout(5):
        await read(connection, until=lambda: listener.active == 0)
    connection.close()
    await listener.stop()
    assert held_bytes >= UNSENT_BYTES
    assert memory.held_bytes == 0


@pytest.mark.parametrize("half_closed", [False, True])
async def test_unsent_answers_are_cut_while_memory_is_short(half_closed):
    # Guards against callers that read nothing and use up the budget together.
    cuts = []
    memory = MemoryBudget(3 * UNSENT_BYTES)
    listener = Listener(
        answer_slow_reader, memory=memory, on_cut=lambda *cut: cuts.append(cut)
    )
    port = await listener.start(HOST, 0)
    connections = []
    for _ in range(4):
        connections.append(await ask(port))
        await asyncio.sleep(0.05)
        if half_closed:
            connections[-1].shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.3)
    assert memory.held_bytes <= memory.limit_bytes
    assert cuts == [("entry", "memory")] * 2
    for connection in connections:
        connection.close()
    await listener.stop()


async def test_idle_connections_with_large_heads_close_while_memory_is_short():
    # Guards against heads of answered requests that use up the memory uncounted.
    async def answer(request):
        return web.Response()

    memory = MemoryBudget(64 * 1024)
    listener = Listener(answer, memory=memory)
    port = await listener.start(HOST, 0)
    fields = "".join(f"X-{n}: {n:0100}\r\n" for n in range(30)).encode()
    connections = []
    for _ in range(20):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(make_request().replace(b"\r\n", b"\r\n" + fields, 1))
        await reader.readuntil(b"\r\n\r\n")
        connections.append(writer)
    await asyncio.sleep(0.1)
    assert memory.held_by_kind[HeldKind.KEPT] == memory.held_bytes
    assert 0 < memory.held_bytes <= memory.limit_bytes
    assert 0 < len(listener.server_.connections) < len(connections)
    for writer in connections:
        writer.close()
    await asyncio.sleep(0.1)
    assert memory.held_bytes == 0
    await listener.stop()
