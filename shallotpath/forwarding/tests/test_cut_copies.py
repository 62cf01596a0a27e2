"""Upstreams that write an earlier answer once more, cut off inside its head."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import SEAL, Upstream, chunk, make_world, request_id

ROUTES = {
    "stream": {"kind": RouteKind.STREAM, "resumable": False},
    "resumable stream": {"kind": RouteKind.STREAM, "resumable": True},
    "repeatable": {"kind": RouteKind.REPEATABLE},
    "once": {"kind": RouteKind.ONCE},
}
PLAIN = ["Content-Length: 6", "Content-Type: text/plain"]
STREAM = ["Transfer-Encoding: chunked", "Content-Type: text/event-stream"]
EVENTS = chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n"
ANSWERS = {
    "200": ("HTTP/1.1 200 OK", SEAL, *STREAM, EVENTS),
    "500": ("HTTP/1.1 500 Failed", SEAL, *PLAIN, b"failed"),
    "503": ("HTTP/1.1 503 Full", "Shallotpath-Not-Executed: 1", *PLAIN, b"failed"),
}
# What is left of the head of the copy; the next answer follows at once.
CUTS = {"code": "HTTP/1.1 {} ", "line": "{}", "name": "{}\r\nX:", "seal": "{}\r\n{}"}


def encode(status, own_id):
    """Return an answer with its id at the end of its head."""
    *lines, body = ANSWERS[status]
    lines.append(f"Shallotpath-Request-Id: {own_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@pytest.mark.parametrize("pause_s", [0, 0.02])
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize(
    "first, second", [("200", "500"), ("200", "503"), ("500", "200")]
)
@pytest.mark.parametrize("name", ROUTES)
async def test_head_of_a_cut_copy_is_not_joined_with_the_next_answer(
    name, first, second, cut, pause_s
):
    # Guards against the status of a second, cut copy of an earlier answer with the id
    # and the body of the next one, as a success for a request that failed.
    line = ANSWERS[first][0]
    left = CUTS[cut].format(first if cut == "code" else line, SEAL).encode()
    count = 0

    async def step(reader, writer, head):
        nonlocal count
        count += 1
        if count == 2:
            writer.write(left)
            await asyncio.sleep(pause_s)
        writer.write(encode(first if count == 1 else second, request_id(head)))
        await writer.drain()

    async with make_world(Upstream(step), **ROUTES[name]) as world:
        head, _ = await world.call(method="POST", number=1)
        assert line in head
        head, body = await asyncio.wait_for(world.call(method="POST", number=2), 5)
    assert not head.lstrip().startswith(f"HTTP/1.1 {first}"), (head, body)
