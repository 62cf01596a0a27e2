"""Engines and stores that write bytes before they have read a call."""

import asyncio
from datetime import timedelta

import pytest

from shallotpath import webclient
from shallotpath.forwarding.tests.helpers import HOST
from shallotpath.platform import CallError, HttpCaller, open_session

EARLY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly"
REFUSAL = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("make_session", [open_session, webclient.open_session])
async def test_bytes_before_a_call_are_not_its_answer(make_session):
    # Guards against a call that counts as answered by bytes that came before it was
    # sent, on a connection that is new.
    async def greet(reader, writer):
        writer.write(EARLY)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(REFUSAL)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    server = await asyncio.start_server(greet, HOST, 0)
    url = f"http://{HOST}:{server.sockets[0].getsockname()[1]}/"
    results = []
    async with make_session() as session:
        caller = HttpCaller(session)
        for _ in range(10):
            try:
                results.append(await caller.call("GET", url, timedelta(seconds=1)))
            except CallError as error:
                results.append(error)
    server.close()
    assert b"early" not in results
