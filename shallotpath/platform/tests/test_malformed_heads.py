"""Test calls that are answered by a head that is no answer in the protocol."""

import pytest

from shallotpath.core import PlatformError
from shallotpath.forwarding.tests.helpers import HOST, Upstream, answer
from shallotpath.forwarding.tests.test_malformed_heads import LINES
from shallotpath.platform import (
    Endpoint,
    EngineClient,
    HttpCaller,
    StoreClient,
    open_chunk_session,
    open_session,
)


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
