"""Test answers that their callers take more slowly than they are written."""

import asyncio
import socket

import pytest
from aiohttp import web

from shallotpath.forwarding import Listener

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
