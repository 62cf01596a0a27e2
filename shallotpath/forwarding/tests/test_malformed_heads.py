"""Test answers whose head is no answer in the protocol."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import Upstream, answer, chunk, make_world, ms, reply
from .test_faulty_answers import break_off, event

KINDS = {
    "repeatable": {"kind": RouteKind.REPEATABLE},
    "once": {"kind": RouteKind.ONCE},
    "stream": {"kind": RouteKind.STREAM},
    "resumable": {"kind": RouteKind.STREAM, "resumable": True},
}
FRAMINGS = {
    "length": (b"Content-Length: 9", event(1)[-13:-4]),
    "chunks": (b"Transfer-Encoding: chunked", chunk(event(1)) + b"0\r\n\r\n"),
    "none": (b"X-Framing: none", event(1)),
}
LINES = [f"HTTP/1.1 {s} X" for s in ("000", "001", "099", "101", "199", "600", "999")]
LINES += ["HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "RTSP/1.0 200 OK"]
CODINGS = ["gzip, chunked", "chunked, gzip", "xchunked", "gzip", "chunked, chunked"]
HEADS = [
    (line, "X-A: a") for line in (*LINES, "HTTP/1.1 200 O\x01K", "HTTP/1.1 500 \0")
]
HEADS += [("HTTP/1.1 200 OK", f"Transfer-Encoding: {coding}") for coding in CODINGS]
HEADS += [
    ("HTTP/1.1 200 OK", field) for field in ("X-A: a\x02b", "Content-Type: a\x7f")
]


def begin(line, framing="none", *, extra=()):
    """Return a step that begins an answer and keeps the connection open."""
    field, body = FRAMINGS[framing]

    async def step(reader, writer, head):
        sound = answer(head, b"", extra=["Shallotpath-Not-Executed: full", *extra])
        fields = sound.partition(b"\r\n")[2].replace(b"Content-Length: 0", field)
        writer.write(line.encode() + b"\r\n" + fields + body)
        await writer.drain()

    return step


async def call(*upstreams, **route):
    """Make a call; return its answer and the kinds of the failures before it."""
    async with make_world(*upstreams, **{"timeout": ms(2000)} | route) as world:
        async with asyncio.timeout(1):
            head, body = await world.call()
        journal = str(world.reporter.events)
        return head.split()[1], body, journal.count("garbled")


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("line", "field"), HEADS)
async def test_malformed_head_fails_its_attempt_at_once(
    line, field, kind, framing, caplog
):
    # Guards against such an answer that is relayed, taken for a refusal, waited for
    # until the time-out, or replaced by an internal error.
    upstreams = [Upstream(begin(line, framing, extra=[field])) for _ in range(2)]
    status, _, garbled = await call(*upstreams, **KINDS[kind])
    sent = sum(len(upstream.requests) for upstream in upstreams)
    assert (status, sent) == ("502", 2 if kind in ("repeatable", "resumable") else 1)
    assert garbled
    assert not caplog.records
    async with asyncio.timeout(1):
        await asyncio.gather(*(u.lost.wait() for u in upstreams if u.requests))


@pytest.mark.parametrize("line", LINES)
async def test_stream_is_resumed_behind_a_malformed_head(line):
    # Guards against a stream that ends with its first malformed answer.
    steps = [break_off, begin(line, "chunks"), reply(event(2))]
    upstreams = [Upstream() for _ in range(3)]
    for upstream in upstreams:
        # Whichever is chosen takes the next step.
        upstream.steps = steps
    status, body, garbled = await call(*upstreams, **KINDS["resumable"], max_attempts=3)
    assert (status, body, bool(garbled)) == ("200", event(1) + event(2), True)


@pytest.mark.parametrize("line", ["HTTP/1.1 102 X", "HTTP/1.1 199"])
async def test_final_answer_follows_an_interim_one(line):
    # Guards against interim responses taken for malformed ones.
    async def step(reader, writer, head):
        writer.write(f"{line}\r\n\r\n".encode() + answer(head))

    assert await call(Upstream(step), **KINDS["once"]) == ("200", b"ok", 0)
