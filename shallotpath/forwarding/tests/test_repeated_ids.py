"""Callers that send a request again under the id that it had."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    HOST,
    Upstream,
    answer,
    chunk,
    make_request,
    make_world,
    ms,
    read_answer,
    reply,
    stream_head,
)

NOT_EXECUTED = "Shallotpath-Not-Executed: full"
ROUTES = {
    "stream": {"kind": RouteKind.STREAM, "resumable": False},
    "resumable stream": {"kind": RouteKind.STREAM, "resumable": True},
    "repeatable": {"kind": RouteKind.REPEATABLE},
    "once": {"kind": RouteKind.ONCE},
}
EVENTS = chunk(b"id: 1\ndata: a\n\n") + chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n"
FAILURES = {
    "500": {"status": "500 Failed"},
    "503": {"status": "503 Full", "extra": [NOT_EXECUTED], "sealed": False},
}


def served(head, name):
    if "stream" in name:
        return stream_head(head) + EVENTS
    return answer(head, b"first answer")


def without_id(data):
    return data.replace(b"Shallotpath-Request-Id", b"Other-Header")


def repeat_then_fail(name, failure, *, labelled, cut):
    """Return a step that writes the first answer once more, then a failure."""

    async def step(reader, writer, head):
        copy = served(head, name)
        if not labelled:
            copy = without_id(copy)
        end = {"whole": len(copy), "head": 20, "body": len(copy) - 3}[cut]
        writer.write(copy[:end])
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(copy[end:] + answer(head, b"failed", **failure))
        await writer.drain()

    return step


@pytest.mark.parametrize("cut", ["whole", "head", "body"])
@pytest.mark.parametrize("labelled", [True, False])
@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("name", ROUTES)
async def test_second_copy_is_not_the_answer_to_a_request_with_the_same_id(
    name, failure, labelled, cut
):
    # Guards against a success for a request that its upstream failed, with the late
    # second copy of the answer to an earlier request that had the same id.
    async def serve(reader, writer, head):
        writer.write(served(head, name))
        await writer.drain()

    again = repeat_then_fail(name, FAILURES[failure], labelled=labelled, cut=cut)
    upstream = FailingUpstream(serve, again, FAILURES[failure])
    async with make_world(upstream, max_attempts=3, **ROUTES[name]) as world:
        head, _ = await world.call(number=7)
        assert "200 OK" in head
        head, body = await world.call(number=7)
    assert "200 OK" not in head
    assert b"first answer" not in body


class FailingUpstream(Upstream):
    """Serve the first request; then fail, after a second copy on its connection."""

    def __init__(self, serve, again, failure):
        super().__init__()
        self.steps_by_connection = iter([[serve, again]])
        self.failure = failure

    async def _serve(self, reader, writer):
        self.steps = next(self.steps_by_connection, [reply(**self.failure)])
        await super()._serve(reader, writer)


async def test_request_without_an_id_does_not_take_an_answer_without_one():
    # Guards against the late copy of another request's answer for a request that has
    # no id.
    async def serve(reader, writer, head):
        writer.write(answer(head, b"first answer"))
        await writer.drain()

    again = repeat_then_fail("once", FAILURES["500"], labelled=False, cut="whole")
    upstream = FailingUpstream(serve, again, FAILURES["500"])
    async with make_world(upstream, **ROUTES["once"]) as world:
        await world.call(number=7)
        reader, writer = await world.connect()
        request = make_request().replace(b"Shallotpath-Request-Id: q1\r\n", b"")
        writer.write(request)
        head, body = await read_answer(reader)
        writer.close()
    assert "200 OK" not in head
    assert b"first answer" not in body


async def test_request_with_several_ids_is_refused():
    # Guards against a caller whose request makes sound upstreams seem faulty, because
    # they answer it with another of its ids.
    upstream = Upstream(reply())
    async with make_world(upstream) as world:
        reader, writer = await world.connect()
        first = b"Shallotpath-Request-Id: q0\r\n"
        request = make_request().replace(b"Host:", first + b"Host:")
        writer.write(request)
        head, _ = await read_answer(reader)
        writer.close()
    assert "400" in head
    assert upstream.requests == []


async def test_load_of_requests_with_one_id_is_removed_when_they_end():
    # Guards against upstreams that seem full for ever because requests under way at the
    # same time had the same id.
    async def slow(reader, writer, head):
        await asyncio.sleep(0.1)
        writer.write(answer(head))
        await writer.drain()

    upstreams = [Upstream(slow), Upstream(slow)]
    async with make_world(*upstreams, target_latency=ms(1000)) as world:
        await asyncio.gather(*(world.call(number=7) for _ in range(6)))
        loads = world.forwarder.parts.dispatcher.loads.own_loads()
    assert loads == {}


async def test_connection_closes_on_bytes_that_come_before_its_first_request():
    # Guards against an answer that was written before the request was sent.
    async def greet(reader, writer):
        writer.write(answer("Shallotpath-Request-Id: q7", b"early"))
        await writer.drain()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(greet, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with make_world(port) as world:
        pool = world.forwarder.parts.pool
        connection = await pool.open("u0", f"{HOST}:{port}")
        await asyncio.sleep(0.05)
        assert not connection.is_connected()
    server.close()


async def test_caller_with_a_long_id_does_not_make_upstreams_seem_faulty():
    # Guards against a caller whose id is longer than what the entry reads of an answer,
    # so that sound upstreams that echo it seem to send garbled answers.
    async def echo(reader, writer, head):
        writer.write(answer(head))
        await writer.drain()

    class Wide(Upstream):
        async def start(self):
            self.server = await asyncio.start_server(
                self._serve, HOST, 0, limit=1 << 20
            )
            return self.server.sockets[0].getsockname()[1]

    upstreams = [Wide(echo), Wide(echo)]
    async with make_world(*upstreams, kind=RouteKind.REPEATABLE) as world:
        for _ in range(3):
            await world.call(number="1" * 40_000)
        breaker = world.forwarder.parts.dispatcher.breaker
        now = world.forwarder.parts.clock.now()
        assert not any(breaker.faulty(f"u{number}", now) for number in range(2))
