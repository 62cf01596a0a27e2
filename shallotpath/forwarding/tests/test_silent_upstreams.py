"""Test upstreams that fall silent for a while and then go on with their answers."""

import asyncio
from random import Random

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    Upstream,
    chunk,
    make_request,
    make_world,
    ms,
    reply,
    request_id,
    reset,
    silence,
    stream_head,
)

STREAM = {
    "kind": RouteKind.STREAM,
    "resumable": True,
    "timeout": ms(6000),
    "max_attempts": 3,
}
BUSY = reply(status="503 Busy", extra=["Shallotpath-Not-Executed: 1"])
FAILURES = {
    "refused": BUSY,
    "lost": reset,
    "error": reply(status="500 Failed"),
    "garbled": reply(sealed=False),
    "silent": silence,
}


def event(number):
    return chunk(b"id: %d\ndata: x\n\n" % number)


def pause_in_stream(pause_s, events=4, before=1):
    """Return a step that falls silent after some events and then ends its stream."""

    async def step(reader, writer, head):
        writer.write(stream_head(head) + b"".join(map(event, range(1, before + 1))))
        await asyncio.sleep(pause_s)
        writer.write(b"".join(map(event, range(before + 1, events + 1))) + chunk(b""))
        await writer.drain()

    return step


def event_ids(body):
    return [int(line[3:]) for line in body.split(b"\n") if line.startswith(b"id:")]


def prefer_first(world):
    """Let the first upstream be chosen before the others."""
    parts = world.forwarder.parts
    for number in range(1, len(parts.dispatcher.upstreams.upstreams_by_id_)):
        parts.dispatcher.breaker.record_unreachable(f"u{number}", parts.clock.now())


async def call_first(world, **options):
    prefer_first(world)
    return await world.call(caller_timeout=6000, **options)


def held(world):
    """Return what the entry counts for requests in progress."""
    loads = world.forwarder.parts.dispatcher.loads
    return world.listener.memory.held_bytes, dict(loads.own_loads())


@pytest.mark.parametrize("failure", FAILURES)
async def test_stream_goes_on_after_a_silence_if_no_other_upstream_continues_it(
    failure,
):
    # Guards against a stream that is broken off because its upstream was silent for a
    # moment and another one did not continue it.
    others = [Upstream(FAILURES[failure]) for _ in range(2)]
    async with make_world(Upstream(pause_in_stream(1.3)), *others, **STREAM) as world:
        head, body = await call_first(world)
        assert "200 OK" in head
        assert event_ids(body) == [1, 2, 3, 4]
        assert held(world) == (0, {})


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("route", [{}, STREAM])
async def test_late_answer_counts_if_no_other_upstream_has_answered(failure, route):
    # Guards against a 502 or 503 for a request whose upstream was silent for a moment
    # before its answer, while another one failed.
    async def answer_late(reader, writer, head):
        await asyncio.sleep(0.9)
        await reply(b"id: 1\n\n")(reader, writer, head)

    others = [Upstream(FAILURES[failure]) for _ in range(2)]
    async with make_world(Upstream(answer_late), *others, **route) as world:
        head, body = await call_first(world)
        assert "200 OK" in head
        assert body == b"id: 1\n\n"
        assert held(world) == (0, {})


async def test_upstream_that_is_asked_in_vain_is_told_so():
    # Guards against upstreams that go on working on a request that another one has
    # answered meanwhile.
    ended = asyncio.Event()

    async def work(reader, writer, head):
        await reader.read()
        ended.set()
        return False

    upstreams = Upstream(pause_in_stream(1.0)), Upstream(work)
    async with make_world(*upstreams, **STREAM) as world:
        _, body = await call_first(world)
        assert event_ids(body) == [1, 2, 3, 4]
        assert len(upstreams[1].requests) == 1
        async with asyncio.timeout(0.5):
            await ended.wait()


@pytest.mark.parametrize("end", [reset, silence])
async def test_stream_is_continued_elsewhere_if_its_upstream_never_goes_on(end):
    # Guards against a stream that waits for an upstream which has crashed.
    async def begin(reader, writer, head):
        writer.write(stream_head(head) + event(1))
        await asyncio.sleep(0.9)
        return await end(reader, writer, head)

    async def go_on(reader, writer, head):
        assert "Last-Event-Id: 1" in head
        await asyncio.sleep(0.3)
        writer.write(stream_head(head) + event(2) + event(3) + chunk(b""))

    async with make_world(Upstream(begin), Upstream(go_on), **STREAM) as world:
        head, body = await call_first(world)
        assert event_ids(body) == [1, 2, 3]
        assert held(world) == (0, {})


async def test_hedges_keep_to_the_attempts_of_the_route():
    # Guards against a request that runs at more upstreams than its route allows while
    # connections to some of them are slow to open.
    upstreams = [Upstream(silence) for _ in range(4)]
    async with make_world(*upstreams, **STREAM) as world:
        pool, reached = world.forwarder.parts.pool, []
        open_connection = pool.open

        async def open_slowly(upstream_id, address):
            reached.append(upstream_id)
            await asyncio.sleep(0.35)
            return await open_connection(upstream_id, address)

        pool.open = open_slowly
        await world.call(caller_timeout=2500)
        assert len(set(reached)) == 3
        assert sum(len(upstream.requests) for upstream in upstreams) == 3


async def test_caller_that_leaves_ends_all_that_it_asked_for():
    # Guards against upstreams that work on for a caller who has left.
    ended = [asyncio.Event(), asyncio.Event()]

    def work(number):
        async def step(reader, writer, head):
            await reader.read()
            ended[number].set()
            return False

        return step

    upstreams = [Upstream(work(number)) for number in range(2)]
    async with make_world(*upstreams) as world:
        prefer_first(world)
        _, writer = await world.connect()
        writer.write(make_request())
        await asyncio.sleep(0.6)
        assert [len(upstream.requests) for upstream in upstreams] == [1, 1]
        writer.close()
        async with asyncio.timeout(0.5):
            await asyncio.gather(*(event.wait() for event in ended))
        await asyncio.sleep(0.05)
        assert held(world) == (0, {})


def draw_step(random):
    """Return a step that resumes a stream, refuses, or is silent somewhere in it."""
    kind = random.choice(["busy", "whole", "silent", "silent"])
    silent_at, pause_s = random.randint(0, 5), random.choice([0.5, 0.9, 1.4, 1.9])

    async def step(reader, writer, head):
        first = 1
        for line in head.split("\r\n"):
            if line.startswith("Last-Event-Id:"):
                first = int(line.split(":")[1]) + 1
        if kind == "busy":
            return await BUSY(reader, writer, head)
        for number in range(first, 6):
            if number == first:
                if kind == "silent" and silent_at == 0:
                    await asyncio.sleep(pause_s)
                writer.write(stream_head(head))
            writer.write(event(number))
            if kind == "silent" and silent_at == number:
                await asyncio.sleep(pause_s)
            await asyncio.sleep(0.01)
        if first > 5:
            writer.write(stream_head(head))
        writer.write(chunk(b""))
        await writer.drain()
        return None

    return step


@pytest.mark.parametrize("seed", range(4))
async def test_no_answer_is_cut_by_sound_upstreams_that_pause_or_refuse(seed):
    # Guards against answers that end early, and pieces that are lost or come twice,
    # where upstreams only refuse requests or are silent for up to 1.9 s.
    random = Random(seed)
    upstreams = [Upstream(*(draw_step(random) for _ in range(40))) for _ in range(3)]
    async with make_world(*upstreams, **STREAM) as world:
        answers = await asyncio.gather(
            *(world.call(number=n, caller_timeout=6000) for n in range(24))
        )
        for head, body in answers:
            refused = "503" in head and "Shallotpath-Server-Seal" not in head
            assert refused or event_ids(body) == [1, 2, 3, 4, 5]
        assert held(world) == (0, {})


async def test_one_late_answer_does_not_pause_an_upstream_that_answers_others():
    # Guards against callers who are refused, or wait for new connections, because one
    # answer of a sound upstream is late.
    async def work(reader, writer, head):
        if request_id(head) == "q1":
            await asyncio.sleep(0.7)
        await reply()(reader, writer, head)

    async with make_world(Upstream(work), Upstream(reply())) as world:
        parts = world.forwarder.parts
        late = asyncio.ensure_future(call_first(world))
        await asyncio.sleep(0.05)
        parts.dispatcher.breaker.record_unreachable("u1", parts.clock.now())
        await world.call(number=2)
        await asyncio.sleep(0.15)
        opened = parts.pool.opened_
        for number in range(3, 8):
            parts.dispatcher.breaker.record_unreachable("u1", parts.clock.now())
            await world.call(number=number)
            await asyncio.sleep(0.04)
        assert parts.dispatcher.breaker.is_available("u0", parts.clock.now())
        await late
        # The late request went to the other upstream too, on a connection of its own.
        assert parts.pool.opened_ == opened + 1


async def test_upstream_that_sends_nothing_is_paused():
    # Guards against requests that are sent to an upstream which answers nobody, on
    # connections that may be dead.
    upstreams = Upstream(reply(), silence), Upstream(reply())
    async with make_world(*upstreams) as world:
        parts = world.forwarder.parts
        await call_first(world)
        assert parts.pool.idle_by_id_["u0"]
        prefer_first(world)
        await world.call(number=2)
        assert not parts.dispatcher.breaker.is_available("u0", parts.clock.now())
        assert not parts.pool.idle_by_id_.get("u0")
