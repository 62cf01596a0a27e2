"""Test that a connection that ends while it owes an answer is reported."""

import asyncio
from datetime import timedelta

import pytest
from aiohttp import web

from shallotpath.connections._limits import Phase
from shallotpath.forwarding import Listener

from .helpers import HOST, make_request


async def begin(request):
    """Begin an answer."""
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"x")
    return response


async def end_by_caller(request):
    await asyncio.sleep(5)


async def end_by_error(request):
    await begin(request)
    raise ValueError


async def end_by_close(request):
    await begin(request)
    request.protocol.force_close()
    await asyncio.sleep(5)


async def answer_whole(request):
    return web.Response()


@pytest.mark.parametrize(
    ("handler", "expected"),
    [
        (end_by_caller, [("caller", "closed")]),
        (end_by_error, [("entry", "error")]),
        (end_by_close, [("entry", "closed")]),
        (answer_whole, []),
    ],
)
async def test_connection_that_ends_before_its_answer_is_reported(handler, expected):
    # Guards against answers that are lost without a line that says who ended them.
    cuts = []
    listener = Listener(handler, on_cut=lambda *cut: cuts.append(cut))
    port = await listener.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(make_request())
    if handler is answer_whole:
        await reader.readuntil(b"\r\n\r\n")
    elif handler is end_by_caller:
        await asyncio.sleep(0.1)
    else:
        await reader.read()
    writer.close()
    await asyncio.sleep(0.1)
    await listener.stop()
    assert cuts == expected


async def test_incomplete_request_is_not_reported():
    # Guards against lines for callers that leave before they have asked for anything.
    cuts = []
    listener = Listener(answer_whole, on_cut=lambda *cut: cuts.append(cut))
    port = await listener.start(HOST, 0)
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(make_request()[:-8])
    await asyncio.sleep(0.1)
    writer.close()
    await asyncio.sleep(0.1)
    await listener.stop()
    assert cuts == []


async def test_failed_request_is_answered_while_connections_close():
    # Guards against a connection that closes without a word because its handler failed.
    async def fail(request):
        listener.close_idle()
        raise ValueError

    listener = Listener(fail)
    port = await listener.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(make_request())
    received = await reader.read()
    writer.close()
    await listener.stop()
    assert received.startswith(b"HTTP/1.1 500")


@pytest.mark.parametrize("early_bytes", [len(make_request()), 10])
async def test_request_behind_another_is_answered_while_connections_close(early_bytes):
    # Guards against requests that were read, in whole or in part, and get no answer.
    begun = asyncio.Event()

    async def answer(request):
        begun.set()
        await asyncio.sleep(0.1)
        return web.Response()

    listener = Listener(answer)
    port = await listener.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(make_request())
    await begun.wait()
    writer.write(make_request()[:early_bytes])
    listener.close_idle()
    await reader.readuntil(b"\r\n\r\n")
    writer.write(make_request()[early_bytes:])
    received = await reader.read()
    writer.close()
    await listener.stop()
    assert received.startswith(b"HTTP/1.1 200")


async def test_connection_is_busy_from_its_request_to_its_answer():
    # Guards against a connection that is closed for want of room although its request
    # has been read: in the iteration before its handler runs it seemed idle.
    begun, ended, phases = asyncio.Event(), asyncio.Event(), []

    async def handle(request):
        begun.set()
        await ended.wait()
        return web.Response()

    listener = Listener(handle)
    port = await listener.start(HOST, 0)
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(make_request())
    while not begun.is_set():
        phases += [connection.phase for connection in listener.table.connections_]
        await asyncio.sleep(0)
    ended.set()
    writer.close()
    await listener.stop()
    assert set(phases[phases.index(Phase.BUSY) :]) == {Phase.BUSY}


async def test_longer_idle_timeout_holds_for_open_connections():
    # Guards against kept connections that close under the next request of a caller who
    # goes by the limit that a configuration has raised.
    listener = Listener(answer_whole, idle_timeout=timedelta(seconds=0.2))
    port = await listener.start(HOST, 0)
    reader, writer = await asyncio.open_connection(HOST, port)
    for limit_s in (0.6, 0.2):
        limit = timedelta(seconds=limit_s)
        listener.set_limits(limit, 1024, max_header=1024, header_timeout=limit)
        writer.write(make_request())
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.4)
        assert reader.at_eof() is (limit_s < 0.4)
    writer.close()
    await listener.stop()
