"""Test that requests draw on the memory budget and give back on every path."""

import asyncio
from contextlib import suppress

import pytest

from shallotpath.forwarding import HeldKind, MemoryBudget
from shallotpath.gateway import RouteKind

from .endless import ENDLESS_HEADS, EndlessUpstream, stream_with_one_event, unframed
from .helpers import (
    Upstream,
    answer,
    chunk,
    make_request,
    make_world,
    ms,
    read_answer,
    reply,
    reset,
    silence,
)

KIB = 1024
LIMIT = 4 * KIB * KIB
BROKEN = (asyncio.IncompleteReadError, ConnectionError, ValueError)
ONCE = {"kind": RouteKind.ONCE}
STREAM = {"kind": RouteKind.STREAM, "resumable": True}


class RecordingBudget(MemoryBudget):
    """Remember which kinds of bytes were held."""

    def __init__(self, limit_bytes):
        super().__init__(limit_bytes)
        self.kinds = set()

    def change(self, kind, change):
        self.kinds.add(kind)
        super().change(kind, change)


async def eventually(condition):
    """Wait up to a second until a condition holds."""
    async with asyncio.timeout(1):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def oops(head):
    return answer(head, b"", status="500 Oops", length=False)


def long_answer(size):
    return Upstream(reply(b"a" * size))


# Upstreams of requests and the options of their route, by how the request ends.
ENDS = {
    "served": (lambda: [long_answer(100 * KIB)], {}),
    "relayed in parts": (lambda: [long_answer(KIB * KIB)], {}),
    "retried": (lambda: [Upstream(reset), Upstream(reply())], {}),
    "error kept and retried": (
        lambda: [Upstream(reply(b"a" * KIB, status="500 Oops")), Upstream(reply())],
        {},
    ),
    "endless error": (lambda: [EndlessUpstream(oops, b"a")], {}),
    "endless other answers": (
        lambda: [EndlessUpstream(*ENDLESS_HEADS["other answers"])],
        ONCE,
    ),
    "endless body of another answer": (
        lambda: [EndlessUpstream(*ENDLESS_HEADS["body of another answer"])],
        ONCE,
    ),
    "endless event": (
        lambda: [EndlessUpstream(stream_with_one_event, chunk(b"a" * 1000))],
        STREAM,
    ),
    "deadline": (lambda: [Upstream(silence)], {}),
    "deadline in a body": (lambda: [EndlessUpstream(unframed, b"a", pause=0.02)], ONCE),
}


@pytest.mark.parametrize("end", ENDS)
async def test_request_gives_back_all_memory(end):
    # Guards against bytes that stay counted until the budget is used up.
    upstreams, route = ENDS[end]
    memory = RecordingBudget(LIMIT)
    async with make_world(*upstreams(), memory=memory, timeout=ms(600), **route) as w:
        reader, writer = await w.connect()
        writer.write(make_request(body=b"b" * KIB, method="POST", caller_timeout=600))
        with suppress(*BROKEN):
            await asyncio.wait_for(read_answer(reader), 2)
        await eventually(lambda: memory.held_bytes == 0)
        writer.close()
    assert HeldKind.REQUEST in memory.kinds
    assert not any(memory.held_by_kind.values())


@pytest.mark.parametrize("route", [{}, ONCE, STREAM])
async def test_request_of_a_caller_that_has_gone_gives_back_all_memory(route):
    # Guards against bytes that stay counted after a cancelled request.
    memory = MemoryBudget(LIMIT)
    part = chunk(b"data: " + b"a" * 1000 + b"\n\n")
    upstream = EndlessUpstream(stream_with_one_event, part)
    async with make_world(upstream, memory=memory, **route) as world:
        reader, writer = await world.connect()
        writer.write(make_request())
        await reader.read(KIB)
        await eventually(lambda: memory.held_bytes > KIB)
        writer.transport.abort()
        await eventually(lambda: memory.held_bytes == 0)


async def test_slow_callers_stay_within_the_budget_and_small_answers_go_on():
    # Guards against slow callers of endless answers that use up the memory, or of
    # requests with small answers that are refused for them.
    memory = MemoryBudget(LIMIT)
    peak = 0
    faulty = [EndlessUpstream(unframed, b"a") for _ in range(4)]
    async with (
        make_world(*faulty, memory=memory, **ONCE) as world,
        make_world(Upstream(reply()), memory=memory) as sound,
    ):
        connections = [await world.connect() for _ in range(60)]
        for number, (_, writer) in enumerate(connections):
            writer.write(make_request(number=number))
        for number in range(20):
            head, _ = await sound.call(number=number)
            assert "200" in head
            peak = max(peak, memory.held_bytes)
            await asyncio.sleep(0.02)
        for _, writer in connections:
            writer.transport.abort()
        await eventually(lambda: memory.held_bytes == 0)
    assert LIMIT / 4 < peak <= LIMIT


async def test_body_that_cannot_be_held_is_refused_and_not_sent():
    # Guards against bodies of requests that use up the memory, and against a refusal of
    # small requests that could be held.
    memory, upstream = MemoryBudget(LIMIT), Upstream(reply())
    memory.open().hold(HeldKind.REQUEST, LIMIT // 2)
    async with make_world(upstream, memory=memory) as world:
        head, _ = await world.call(method="POST", body=b"a" * KIB * KIB)
        assert "503" in head
        assert "Retry-After" in head
        assert not upstream.requests
        head, _ = await world.call(method="POST", body=b"a" * KIB, number=2)
        assert "200" in head
    assert world.outcomes == ["refused", "served"]


async def test_requests_are_refused_while_the_budget_is_used_up():
    # Guards against requests that are accepted and then ended for want of memory.
    memory, upstream = MemoryBudget(LIMIT), Upstream(reply())
    lease = memory.open()
    lease.hold(HeldKind.REQUEST, LIMIT + 1)
    async with make_world(upstream, memory=memory) as world:
        head, _ = await world.call()
        assert "503" in head
        assert "Retry-After" in head
        lease.close()
        head, _ = await world.call(number=2)
        assert "200" in head
    assert len(upstream.requests) == 1


async def test_shed_response_is_broken_off_and_logged():
    # Guards against a truncated response that the caller takes for a whole one.
    memory = MemoryBudget(LIMIT)
    faulty = EndlessUpstream(unframed, b"a")
    async with make_world(faulty, memory=memory, **ONCE) as world:
        reader, writer = await world.connect()
        writer.write(make_request())
        await eventually(lambda: memory.held_by_kind[HeldKind.UNSENT] > 16 * KIB)
        memory.open().hold(HeldKind.REQUEST, LIMIT)
        with pytest.raises(BROKEN):
            await read_answer(reader)
        await eventually(lambda: world.outcomes == ["shed"])
        writer.close()
