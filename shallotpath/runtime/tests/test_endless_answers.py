"""Engines and platforms whose answers never end."""

import asyncio
import tracemalloc

import pytest
from aiohttp import ClientSession

from shallotpath.core import PlatformError
from shallotpath.forwarding.tests.endless import EndlessUpstream, chunked, unframed
from shallotpath.forwarding.tests.helpers import HOST, answer, chunk
from shallotpath.runtime import PlatformClient
from shallotpath.runtime._engine_client import EngineClient, EngineDownError
from shallotpath.runtime._weights_engine import EngineWeightsClient

LIMIT = 1024 * 1024
# The largest page, and what the kernel holds.
MAX_TAKEN_BYTES = 80 * 1024 * 1024
MAX_MEMORY_BYTES = 100 * 1024 * 1024
MAX_MESSAGE_CHARS = 5000

CALLS = {
    "log": lambda s, url: PlatformClient(s, url).read("config", 0, wait_ms=0),
    "VM list": lambda s, url: PlatformClient(s, url).vms(),
    "chunk": lambda s, url: PlatformClient(s, url).chunk("m", "1", 0, max_bytes=LIMIT),
    "engine": lambda s, url: EngineClient(s, url).observe(),
}
SILENT_CALLS = {
    "state": lambda s, url: EngineWeightsClient(s, url).state(),
    "chunk": lambda s, url: EngineWeightsClient(s, url).get("d", 0, max_bytes=LIMIT),
}
ENDLESS = {"unframed": (unframed, b"a"), "chunks": (chunked, chunk(b"a" * 10_000))}


async def run(upstream, call):
    """Make a call to an endless upstream and check what it took."""
    url = f"http://{HOST}:{await upstream.start()}"
    tracemalloc.start()
    try:
        async with ClientSession() as session:
            return await call(session, url)
    finally:
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await asyncio.wait_for(upstream.lost.wait(), 1)
        upstream.server.close()
        assert upstream.sent_bytes < MAX_TAKEN_BYTES
        assert peak < MAX_MEMORY_BYTES


@pytest.mark.parametrize("case", ENDLESS)
@pytest.mark.parametrize("call", CALLS)
async def test_answer_without_an_end_fails_its_call(call, case):
    # Guards against an answer that fills the memory within the time-out.
    with pytest.raises((PlatformError, EngineDownError)):
        await run(EndlessUpstream(*ENDLESS[case]), CALLS[call])


@pytest.mark.parametrize("case", ENDLESS)
@pytest.mark.parametrize("call", SILENT_CALLS)
async def test_answer_without_an_end_counts_as_none(call, case):
    # Guards against an answer that fills the memory within the time-out.
    assert await run(EndlessUpstream(*ENDLESS[case]), SILENT_CALLS[call]) is None


async def test_text_of_an_error_is_not_read_without_an_end():
    # Guards against an error whose text fills the memory and the log.
    def failure(head):
        return answer(head, b"", status="500 Oops", length=False)

    with pytest.raises(PlatformError) as caught:
        await run(EndlessUpstream(failure, b"a"), CALLS["log"])
    assert "answered 500" in caught.value.message
    assert len(caught.value.message) < MAX_MESSAGE_CHARS
