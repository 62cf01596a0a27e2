"""Test calls that are answered by a head that is no answer in the protocol."""

from datetime import timedelta

import pytest

from shallotpath.core import PlatformError, RunState, Submit
from shallotpath.forwarding.tests.helpers import HOST, Upstream
from shallotpath.forwarding.tests.test_malformed_heads import LINES, begin
from shallotpath.runtime import PlatformClient
from shallotpath.runtime._engine_client import EngineClient, EngineRunError
from shallotpath.runtime._weights_engine import EngineWeightsClient
from shallotpath.webclient import open_session
from shallotpath.weights import Order, OrderKind, OrderUnknown

# An RTSP head cannot be told from one of HTTP/1.0 here.
HTTP_LINES = [line for line in LINES if line.startswith("HTTP/")]
SUBMIT = Submit("q1", 1, "s", "x", "team", b"", timedelta(seconds=1))
ORDER = Order(OrderKind.LOAD, "d", 1)


async def run(session, url):
    """Return what is known of a run that failed, `None` for one with an answer."""
    try:
        async with EngineClient(session, url).run("r1", SUBMIT, b""):
            return None
    except EngineRunError as error:
        return error.run


async def order(session, url):
    """Return the outcome of an order."""
    return await EngineWeightsClient(session, url).order(ORDER)


async def read_log(session, url):
    """Return whether the platform counts as one that did not answer."""
    with pytest.raises(PlatformError) as caught:
        await PlatformClient(session, url).vms()
    return "did not answer" in caught.value.message


@pytest.mark.parametrize(
    ("call", "expected"),
    [(run, RunState.UNKNOWN), (order, OrderUnknown(ORDER)), (read_log, True)],
)
@pytest.mark.parametrize("line", HTTP_LINES)
async def test_malformed_head_is_no_answer_to_a_call(line, call, expected):
    # Guards against such a status relayed to a caller, and against an order that counts
    # as refused though the engine may carry it out.
    upstream = Upstream(begin(line, "length"))
    url = f"http://{HOST}:{await upstream.start()}"
    async with open_session() as session:
        assert await call(session, url) == expected
    upstream.server.close()
