"""Test calls that are answered by a head that is no answer in the protocol."""

from contextlib import suppress

import pytest

from shallotpath import webclient
from shallotpath.core import PlatformError
from shallotpath.forwarding.tests.helpers import HOST, Upstream, answer, reply
from shallotpath.forwarding.tests.test_malformed_heads import LINES
from shallotpath.platform import (
    Endpoint,
    EngineClient,
    HttpCaller,
    StoreClient,
    open_chunk_session,
    open_session,
)
from shallotpath.runtime._weights_engine import (
    EngineWeightsClient as RunningEngineClient,
)
from shallotpath.weights import Order, OrderKind, OrderRejected

ORDER = Order(OrderKind.LOAD, "d", 1)


@pytest.mark.parametrize("make_session", [open_session, open_chunk_session])
@pytest.mark.parametrize("line", LINES)
async def test_malformed_head_is_no_answer_to_a_call(line, make_session):
    # Guards against reports and pages read from such answers, and against a call that
    # waits for its time-out behind one.
    async def step(reader, writer, head):
        sound = answer(head, b"{}")
        writer.write(line.encode() + sound.removeprefix(b"HTTP/1.1 200 OK"))
        await writer.drain()

    upstream = Upstream(step)
    address = Endpoint(HOST, await upstream.start())
    async with make_session() as session:
        for call in (
            EngineClient(address, HttpCaller(session)).state(),
            StoreClient(address, session).read("keyed.t", 0),
        ):
            with pytest.raises(PlatformError, match="MalformedAnswerError"):
                await call
    upstream.server.close()


@pytest.mark.parametrize("status", ["302 Found", "307 Temporary Redirect"])
async def test_redirect_is_not_followed(status):
    # Guards against an order or a record that is sent to an address which nobody chose,
    # and against the answer from there taken for that of the engine or store.
    other = Upstream(reply(b"{}"))
    url = f"http://{HOST}:{await other.start()}/"
    upstream = Upstream(reply(b"", status=status, extra=[f"Location: {url}"]))
    address = Endpoint(HOST, await upstream.start())
    async with open_session() as session, webclient.open_session() as web_session:
        for call in (
            EngineClient(address, HttpCaller(session)).load("m", 1, 0),
            StoreClient(address, session).put("keyed.t", "k", b"v"),
            RunningEngineClient(web_session, f"http://{address}").order(ORDER),
        ):
            with suppress(PlatformError):
                assert await call == OrderRejected(ORDER)
    upstream.server.close()
    other.server.close()
    assert (len(upstream.requests), other.requests) == (3, [])
