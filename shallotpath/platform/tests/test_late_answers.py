"""Engines, stores and origins that write an answer a second time, late."""

import asyncio
from datetime import timedelta

import pytest

from shallotpath.core import PlatformError
from shallotpath.forwarding.tests.helpers import HOST, Upstream, answer
from shallotpath.platform import (
    CallError,
    Endpoint,
    EngineClient,
    HttpCaller,
    StoreClient,
    open_session,
)

TIMEOUT = timedelta(seconds=1)


def report(version):
    return b'{"models": [{"name": "m", "version": %d}], "seq": %d}' % (version, version)


def page(end, value):
    content = b"\x01k" + value
    return end.to_bytes(8, "big") + bytes(8) + len(content).to_bytes(4, "big") + content


async def held_version(caller, address):
    return (await EngineClient(address, caller).state()).models[0].version


async def read_value(caller, address):
    read = await StoreClient(address, caller.session).read("keyed.t", 0)
    return read.records[0].value


async def staged_chunk(caller, address):
    return await EngineClient(address, caller).staged("m", 0)


async def order(caller, address):
    """Return the status of a refused order, `None` for one that was accepted."""
    try:
        await EngineClient(address, caller).load("m", 1, 0)
    except CallError as error:
        return error.status
    return None


# A call, the answers to a first and a second one, and the result of the second.
CALLS = {
    "report": (held_version, report(1), report(2), 2),
    "store": (read_value, page(1, b"old"), page(2, b"new"), b"new"),
    "staged chunk": (staged_chunk, b"intact", b"corrupt", b"corrupt"),
    "order": (order, b"", None, 409),
}


class Stuttering(Upstream):
    """Write each answer once more when the next request of its connection comes."""

    def __init__(self, *bodies):
        super().__init__()
        self.bodies = list(bodies)

    async def _serve(self, reader, writer):
        earlier = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                body = self.bodies.pop(0)
                own = (
                    answer(head, b"", status="409 Conflict")
                    if body is None
                    else answer(head, body)
                )
                writer.write(earlier)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(own)
                await writer.drain()
                earlier = own
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.mark.parametrize("name", CALLS)
async def test_second_copy_of_an_answer_is_not_taken_for_that_of_the_next_call(name):
    # Guards against old reports, pages and chunks taken for new ones, and against an
    # order that counts as accepted although the engine refused it.
    call, first, second, expected = CALLS[name]
    upstream = Stuttering(first, second)
    address = Endpoint(HOST, await upstream.start())
    async with open_session() as session:
        caller = HttpCaller(session)
        await call(caller, address)
        try:
            result = await asyncio.wait_for(call(caller, address), 1)
        except (CallError, PlatformError) as error:
            result = error
    upstream.server.close()
    assert result == expected
