"""Tests with engines and platforms whose answers never end."""

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

MAX_CHUNK_BYTES = 1024 * 1024
# The largest page plus what the kernel's socket buffers hold.
MAX_SENT_BYTES = 80 * 1024 * 1024
MAX_MEMORY_BYTES = 100 * 1024 * 1024
MAX_MESSAGE_CHARS = 5000

RAISING_CALLS_BY_NAME = {
    "log": lambda s, url: PlatformClient(s, url).read("config", 0, wait_ms=0),
    "VM list": lambda s, url: PlatformClient(s, url).vms(),
    "chunk": lambda s, url: PlatformClient(s, url).chunk(
        "m", "1", 0, max_bytes=MAX_CHUNK_BYTES
    ),
    "engine": lambda s, url: EngineClient(s, url).observe(),
}
NONE_CALLS_BY_NAME = {
    "state": lambda s, url: EngineWeightsClient(s, url).state(),
    "chunk": lambda s, url: EngineWeightsClient(s, url).get(
        "d", 0, max_bytes=MAX_CHUNK_BYTES
    ),
}
ANSWERS_BY_NAME = {
    "unframed": (unframed, b"a"),
    "chunks": (chunked, chunk(b"a" * 10_000)),
}


async def run(upstream, call):
    """Make a call to an endless upstream and check the bytes and memory used."""
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
        assert upstream.sent_bytes < MAX_SENT_BYTES
        assert peak < MAX_MEMORY_BYTES


@pytest.mark.parametrize("case", ANSWERS_BY_NAME)
@pytest.mark.parametrize("call", RAISING_CALLS_BY_NAME)
async def test_answer_without_an_end_fails_its_call(call, case):
    # Guards against an answer that fills the memory within the time-out.
    with pytest.raises((PlatformError, EngineDownError)):
        await run(EndlessUpstream(*ANSWERS_BY_NAME[case]), RAISING_CALLS_BY_NAME[call])


@pytest.mark.parametrize("case", ANSWERS_BY_NAME)
@pytest.mark.parametrize("call", NONE_CALLS_BY_NAME)
async def test_answer_without_an_end_counts_as_none(call, case):
    # Guards against an answer that fills the memory within the time-out.
    assert (
        await run(EndlessUpstream(*ANSWERS_BY_NAME[case]), NONE_CALLS_BY_NAME[call])
        is None
    )


async def test_text_of_an_error_is_not_read_without_an_end():
    # Guards against an error whose text fills the memory and the log.
    def failure(head):
        return answer(head, b"", status="500 Oops", length=False)

    with pytest.raises(PlatformError) as caught:
        await run(EndlessUpstream(failure, b"a"), RAISING_CALLS_BY_NAME["log"])
    assert "answered 500" in caught.value.message
    assert len(caught.value.message) < MAX_MESSAGE_CHARS
