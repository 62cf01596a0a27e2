import asyncio
from types import SimpleNamespace

from shallotpath.runtime._token_batch import TokenBatch, TokenBatches


def make_call(run_id, active=True, interval=1.0):
    return SimpleNamespace(
        run_id=run_id, active=active, token_at=0.0, token_interval=interval
    )


async def test_active_calls_of_a_batch_are_flushed_once_and_ended_calls_are_not():
    # Guards against tokens that are never flushed, and frames after the end of a call.
    flushed = []
    batch = TokenBatch(flushed.append, 0.0)
    first, second = make_call("a"), make_call("b", active=False)
    batch.add(first)
    batch.add(second)
    batch.add(first)
    await asyncio.sleep(0.02)
    assert flushed == [first]
    batch.add(first)
    await asyncio.sleep(0.02)
    assert flushed == [first, first]


async def test_only_fast_streams_wait_for_a_second_token():
    # Guards against a delay that makes the interval between tokens too long.
    batches = TokenBatches(lambda call: None)
    slow, fast = make_call("slow"), make_call("fast", interval=0.010)
    batches.add(slow)
    batches.add(fast)
    assert list(batches.normal.calls_by_id_) == ["slow"]
    assert list(batches.fast.calls_by_id_) == ["fast"]
