"""Upstreams that answer a request a second time, late, as random scripts."""

import asyncio
from collections import defaultdict
from contextlib import suppress
from random import Random

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    HOST,
    answer,
    chunk,
    make_request,
    make_world,
    ms,
    read_answer,
    read_message,
    request_id,
    stream_head,
)

ROUTES = [
    {"kind": RouteKind.STREAM, "resumable": True},
    {"kind": RouteKind.STREAM, "resumable": False},
    {"kind": RouteKind.REPEATABLE},
    {"kind": RouteKind.ONCE},
]
LOST = (asyncio.IncompleteReadError, ConnectionError, ValueError)
EVENTS = 5


def body_of(request, start=1):
    event = "id: {}\ndata: " + request + "\n\n"
    return "".join(map(event.format, range(start, EVENTS + 1))).encode()


class StutteringUpstream:
    """Answer in several ways, and write the answer before once more at times."""

    def __init__(self, random, statuses_by_request):
        self.random = random
        self.statuses_by_request = statuses_by_request

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        earlier = b""
        with suppress(*LOST):
            while True:
                head, _ = await read_message(reader)
                if self.random.random() < 0.4:
                    await self._write(writer, earlier)
                status, data = self._answer(head)
                self.statuses_by_request[request_id(head)].append(status)
                await self._write(writer, data)
                if not status:
                    break
                earlier = data
                if self.random.random() < 0.5:
                    # Without the id of its request.
                    earlier = data.replace(b"Shallotpath-Request-Id", b"X-Other")
                if self.random.random() < 0.15:
                    await asyncio.sleep(self.random.choice([0, 0.005]))
                    await self._write(writer, earlier)
        writer.close()

    def _answer(self, head):
        """Return the status, 0 if the answer is broken off, and the bytes."""
        lines = [line for line in head.split("\r\n") if "Last-Event-Id" in line]
        start = int(lines[0].split(":")[1]) + 1 if lines else 1
        body = body_of(request_id(head), start)
        whole = stream_head(head) + chunk(body) + b"0\r\n\r\n"
        kind = self.random.random()
        if kind < 0.6:
            return 200, whole
        if kind < 0.75:
            return 500, answer(head, b"failed", status="500 Failed")
        if kind < 0.85:
            extra = ["Shallotpath-Not-Executed: 1"]
            refused = answer(head, b"", status="503 Full", extra=extra, sealed=False)
            return 503, refused
        return 0, whole[: self.random.randrange(1, len(whole) - 1)]

    async def _write(self, writer, data):
        cut = self.random.randrange(len(data) + 1)
        for part in (data[:cut], data[cut:]):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.random.choice([0, 0, 0.002]))


async def call_in_turn(world, caller, statuses_by_request):
    """Send requests on kept connections and check each answer."""
    reader = writer = None
    for number in range(10):
        name = f"c{caller}n{number}"
        if writer is None:
            reader, writer = await world.connect()
        writer.write(make_request(number=name))
        try:
            head, body = await read_answer(reader)
        except LOST:
            writer.close()
            writer = None
            continue
        statuses = statuses_by_request[f"q{name}"]
        if "200 OK" in head:
            assert body == body_of(f"q{name}")
            assert 200 in statuses
        elif "503" in head:
            assert set(statuses) <= {503}
        if "close" in head.lower():
            writer.close()
            writer = None
    if writer is not None:
        writer.close()


@pytest.mark.parametrize("seed", range(12))
async def test_caller_gets_its_own_whole_answer_from_stuttering_upstreams(seed):
    # Guards against a success for a request that its upstream failed or never answered,
    # with the second copy of an answer to an earlier request.
    random, statuses_by_request = Random(seed), defaultdict(list)
    upstreams = [StutteringUpstream(random, statuses_by_request) for _ in range(2)]
    route = ROUTES[seed % len(ROUTES)]
    async with make_world(
        *upstreams, timeout=ms(1500), max_attempts=3, budget=10_000, **route
    ) as world:
        await asyncio.gather(
            *(call_in_turn(world, n, statuses_by_request) for n in range(4))
        )
    # The upstreams notice that their connections are closed.
    await asyncio.sleep(0.05)
