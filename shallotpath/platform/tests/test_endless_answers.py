"""Calls to engines, stores and origins whose responses never end."""

import asyncio
import json
import tracemalloc
from datetime import timedelta

import pytest

from shallotpath.core import PlatformError
from shallotpath.forwarding.tests.endless import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    ENDLESS_REST,
    EndlessUpstream,
    chunked,
    complete,
    unframed,
)
from shallotpath.forwarding.tests.helpers import HOST, Upstream, chunk, reply
from shallotpath.platform import (
    CallError,
    Endpoint,
    EngineClient,
    HttpCaller,
    OriginClient,
    StoreClient,
    open_session,
)

TIMEOUT = timedelta(milliseconds=500)
# Time beyond the time-out of a call that a busy machine may need.
SLACK_S = 0.6
# The largest response, and what socket buffers hold.
MAX_SENT_BYTES = 28 * 1024 * 1024
MAX_MEMORY_BYTES = 40 * 1024 * 1024

ENDLESS_ANSWERS = {
    "body without a length": (unframed, b"a"),
    "body in chunks": (chunked, chunk(b"a" * 10_000)),
}
# Calls do not compare request ids, so to them "other answers" are valid responses.
ENDLESS_PARTS = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_ANSWERS
del ENDLESS_PARTS["other answers"]
CALLS = {
    "manifest": lambda caller, address: OriginClient(caller).manifest(
        address, "m", 2, TIMEOUT
    ),
    "chunk": lambda caller, address: OriginClient(caller).chunk(
        address, "m", 2, 0, TIMEOUT
    ),
    "report": lambda caller, address: EngineClient(endpoint(address), caller).state(),
    "staged chunk": lambda caller, address: EngineClient(
        endpoint(address), caller
    ).staged("m", 0),
    "order": lambda caller, address: EngineClient(endpoint(address), caller).load(
        "m", 2, 0
    ),
    "read": lambda caller, address: StoreClient(endpoint(address), caller.session).read(
        "t", 0
    ),
    "listing": lambda caller, address: StoreClient(
        endpoint(address), caller.session
    ).newest("t"),
    "write": lambda caller, address: StoreClient(endpoint(address), caller.session).put(
        "t", "k", b"v"
    ),
}


def endpoint(address):
    host, port = address.split(":")
    return Endpoint(host, int(port))


async def make_call(upstream, call):
    """Make a call to an upstream; return its error and its duration in seconds."""
    address = f"{HOST}:{await upstream.start()}"
    loop = asyncio.get_running_loop()
    async with open_session() as session:
        started_at = loop.time()
        with pytest.raises(PlatformError) as caught:
            await call(HttpCaller(session), address)
        duration_s = loop.time() - started_at
    upstream.server.close()
    return caught.value, duration_s


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("case", ENDLESS_ANSWERS)
async def test_answer_without_an_end_is_cut_at_a_limit(case, call):
    # Guards against a response that fills the memory before the time-out.
    upstream = EndlessUpstream(*ENDLESS_ANSWERS[case])
    tracemalloc.start()
    try:
        await make_call(upstream, CALLS[call])
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    await asyncio.wait_for(upstream.lost.wait(), 1)
    assert upstream.sent_bytes < MAX_SENT_BYTES
    assert peak < MAX_MEMORY_BYTES


@pytest.mark.parametrize("pause", [None, 0.05])
@pytest.mark.parametrize("case", ENDLESS_PARTS)
async def test_call_to_an_endless_answer_ends_at_its_timeout(case, pause):
    # Guards against a call that lasts for as long as bytes arrive.
    upstream = EndlessUpstream(*ENDLESS_PARTS[case], pause=pause)
    error, duration_s = await make_call(upstream, CALLS["chunk"])
    assert isinstance(error, CallError)
    assert duration_s < TIMEOUT.total_seconds() + SLACK_S
    await asyncio.wait_for(upstream.lost.wait(), 1)


@pytest.mark.parametrize("case", ENDLESS_PARTS)
async def test_flood_ends_a_call_before_its_timeout(case):
    # Guards against a flood that occupies the link and the CPU until the time-out.
    upstream = EndlessUpstream(*ENDLESS_PARTS[case])
    error, duration_s = await make_call(upstream, CALLS["report"])
    await asyncio.wait_for(upstream.lost.wait(), 1)
    assert "Timeout" not in error.message
    assert duration_s < 1
    assert upstream.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize("case", ENDLESS_REST)
async def test_bytes_after_an_answer_close_the_connection(case):
    # Guards against an idle connection that is read for ever.
    upstream = EndlessUpstream(complete, ENDLESS_REST[case])
    url = f"http://{HOST}:{await upstream.start()}/"
    async with open_session() as session:
        assert await HttpCaller(session).call("GET", url, TIMEOUT) == b"whole"
        await asyncio.wait_for(upstream.lost.wait(), 5)
        assert upstream.sent_bytes < MAX_SENT_BYTES
    upstream.server.close()


async def test_each_call_has_a_connection_of_its_own():
    # Guards against the late second copy of a response as that of the next call, and
    # against connections that stay open.
    opened, closed = set(), []

    async def step(reader, writer, head):
        opened.add(writer)
        await reply(b"a" * 1000, extra=["X-Fill: " + "b" * 4000])(reader, writer, head)
        closed.append(await reader.read())
        return False

    upstream = Upstream(step)
    url = f"http://{HOST}:{await upstream.start()}/"
    async with open_session() as session:
        for _ in range(50):
            await HttpCaller(session).call("GET", url, TIMEOUT)
        await asyncio.sleep(0.1)
        assert closed == [b""] * 50
    upstream.server.close()
    assert len(opened) == 50


async def test_listing_whose_pages_never_end_raises_an_error(monkeypatch):
    # Guards against a call that never ends because the store always has more pages.
    monkeypatch.setattr("shallotpath.platform._store.MAX_LISTING_BYTES", 100_000)
    item = {"key": "k", "value": "", "offset": 1}
    page = {"end": 1, "items": [item] * 100, "hasMore": True}
    upstream = Upstream(reply(json.dumps(page).encode()))
    error, _ = await make_call(upstream, CALLS["listing"])
    assert "exceeds" in error.message
    assert len(upstream.requests) < 100
