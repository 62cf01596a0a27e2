"""Upstreams that add part of an answer to the end of an answer in chunks."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    SEAL,
    Upstream,
    answer,
    chunk,
    make_world,
    request_id,
    stream_head,
)

ROUTES = {
    "stream": {"kind": RouteKind.STREAM, "resumable": False},
    "resumable stream": {"kind": RouteKind.STREAM, "resumable": True},
    "repeatable": {"kind": RouteKind.REPEATABLE},
    "once": {"kind": RouteKind.ONCE},
}
EVENTS = chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n"
# What is left of the head of a copy of the first answer.
CUTS = {
    "code": b"HTTP/1.1 200 ",
    "value": f"HTTP/1.1 200 OK\r\n{SEAL}\r\nX-Note: ".encode(),
}


def failure(head):
    """Return a failure with its id at the end of its head."""
    lines = ["HTTP/1.1 500 Failed", SEAL, "Content-Length: 6"]
    lines.append("Content-Type: text/plain")
    lines.append(f"Shallotpath-Request-Id: {request_id(head)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\nfailed"


class CopyingUpstream(Upstream):
    """Serve the first request of a connection with a cut copy; fail the next ones."""

    def __init__(self, first_answer, left, pieces):
        super().__init__()
        self.first_answer = first_answer
        self.left = left
        self.pieces = pieces

    async def _serve(self, reader, writer):
        self.steps = [self._answer_first, self._fail]
        await super()._serve(reader, writer)

    async def _answer_first(self, reader, writer, head):
        if len(self.requests) > 1:
            await self._fail(reader, writer, head)
            return
        data = self.first_answer(head)
        if self.pieces == 2:
            # The end of the body and the copy arrive in a read of their own.
            writer.write(data[:-4])
            await writer.drain()
            await asyncio.sleep(0.02)
            data = data[-4:]
        writer.write(data + self.left)
        await writer.drain()

    async def _fail(self, reader, writer, head):
        writer.write(failure(head))
        await writer.drain()


def in_chunks(head):
    return stream_head(head) + EVENTS


def with_trailers(head):
    return in_chunks(head)[:-2] + b"X-Sum: 1\r\n\r\n"


def in_large_chunks(head):
    event = b"id: 1\ndata: " + b"a" * 60_000 + b"\n\n"
    return stream_head(head) + chunk(event) * 3 + EVENTS


def with_length(head):
    return answer(
        head, b"id: 1\ndata: a\n\n", extra=["Content-Type: text/event-stream"]
    )


@pytest.mark.parametrize("pieces", [1, 2])
@pytest.mark.parametrize(
    "first_answer", [in_chunks, in_large_chunks, with_trailers, with_length]
)
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("name", ROUTES)
async def test_part_of_a_copy_after_an_answer_is_not_joined_with_the_next_one(
    name, cut, first_answer, pieces
):
    # Guards against the status of a cut copy for a request that its upstream failed.
    # The copy arrives in one read with the last chunk, so its bytes are in the parser
    # before the next request is sent.
    upstream = CopyingUpstream(first_answer, CUTS[cut], pieces)
    async with make_world(upstream, **ROUTES[name]) as world:
        head, _ = await world.call(method="POST", number=1)
        assert "200 OK" in head
        head, body = await asyncio.wait_for(world.call(method="POST", number=2), 5)
    assert head.startswith("HTTP/1.1 500"), (head, body)


@pytest.mark.parametrize("pause_s", [0, 0.02])
@pytest.mark.parametrize("copy", [in_chunks, in_large_chunks, with_trailers])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("name", ROUTES)
async def test_part_of_a_copy_after_a_discarded_answer_is_not_joined(
    name, cut, copy, pause_s
):
    # Guards against the same where the answer in chunks is itself a late copy, which is
    # discarded while the next request waits.
    first_head = ""

    async def serve(reader, writer, head):
        nonlocal first_head
        first_head = head
        writer.write(in_chunks(head))
        await writer.drain()

    async def copy_twice(reader, writer, head):
        left = copy(first_head) + CUTS[cut]
        if pause_s:
            writer.write(left)
            await asyncio.sleep(pause_s)
            left = b""
        writer.write(left + failure(head))
        await writer.drain()

    upstream = Upstream(serve, copy_twice)
    async with make_world(upstream, max_attempts=1, **ROUTES[name]) as world:
        head, _ = await world.call(method="POST", number=1)
        assert "200 OK" in head
        head, body = await asyncio.wait_for(world.call(method="POST", number=2), 5)
    assert not head.lstrip().startswith("HTTP/1.1 200"), (head, body)


@pytest.mark.parametrize("name", ROUTES)
async def test_answer_in_one_read_with_a_late_copy_is_relayed(name):
    # Guards against answers that are lost because they come right behind a whole copy.
    first_head = ""

    async def serve(reader, writer, head):
        nonlocal first_head
        first_head = head
        writer.write(in_chunks(head))
        await writer.drain()

    async def copy_and_serve(reader, writer, head):
        writer.write(in_chunks(first_head) + in_chunks(head))
        await writer.drain()

    upstream = Upstream(serve, copy_and_serve)
    async with make_world(upstream, max_attempts=1, **ROUTES[name]) as world:
        await world.call(method="POST", number=1)
        head, _ = await asyncio.wait_for(world.call(method="POST", number=2), 5)
    assert "200 OK" in head
    assert "q2" in head
