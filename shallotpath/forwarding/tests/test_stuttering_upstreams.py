"""Upstreams that answer a request a second time, late, as random scripts."""

import asyncio
from collections import defaultdict
from contextlib import suppress
from random import Random

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    HOST,
    SEAL,
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


def body_of(name, start=1):
    event = "id: {}\ndata: " + name + "\n\n"
    return "".join(map(event.format, range(start, EVENTS + 1))).encode()


def name_of(head):
    """Return the name of a request, which unlike its id is unique."""
    return head.split(" ")[1].rpartition("/")[2]


def cut_in_head(random, data):
    """Return an answer that breaks off in its head, often at the end of a line."""
    lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
    whole = b"\r\n".join(lines[: random.randint(1, len(lines))])
    return whole if random.random() < 0.5 else whole[: random.randint(1, len(whole))]


class StutteringUpstream:
    """Answer in several ways, and write the answer before once more at times."""

    def __init__(self, random, statuses_by_name, *, cut):
        self.random = random
        self.statuses_by_name = statuses_by_name
        self.cut = cut

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
                self.statuses_by_name[name_of(head)].append(status)
                await self._write(writer, data)
                if not status:
                    break
                earlier = data
                if self.random.random() < 0.5:
                    # Without the id of its request.
                    earlier = data.replace(b"Shallotpath-Request-Id", b"X-Other")
                if self.cut and self.random.random() < 0.8:
                    earlier = cut_in_head(self.random, earlier)
                if self.random.random() < 0.15:
                    await asyncio.sleep(self.random.choice([0, 0.005]))
                    await self._write(writer, earlier)
        writer.close()

    def _answer(self, head):
        """Return the status, 0 if the answer is broken off, and the bytes."""
        lines = [line for line in head.split("\r\n") if "Last-Event-Id" in line]
        start = int(lines[0].split(":")[1]) + 1 if lines else 1
        body = body_of(name_of(head), start)
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


class Ids:
    """Choose ids that are unique, or that callers repeat in turn and at once."""

    def __init__(self, random, *, repeat):
        self.random = random
        self.repeat = repeat

    def choose(self, earlier):
        """Return the id of a caller's next request."""
        if self.repeat and earlier and self.random.random() < 0.5:
            return self.random.choice(earlier[-3:])
        if self.repeat and self.random.random() < 0.3:
            return f"shared{self.random.randrange(3)}"
        return f"{self.random.getrandbits(64):x}"


def find_mismatch(head, body, name, sent_id, statuses):
    """Describe why an answer is not one that an upstream gave to the request."""
    status = int(head.split()[1])
    if status == 200:
        if 200 not in statuses or body != body_of(name):
            return f"success with {body!r}"
        if request_id(head) != sent_id:
            return "success with another id"
    elif status == 503 and not set(statuses) <= {503}:
        return "refusal of an executed request"
    elif SEAL in head and status not in statuses:
        return f"{status} of an upstream that answered otherwise"
    return ""


async def call_in_turn(world, caller, ids, statuses_by_name, mismatches):
    """Send requests on kept connections; check answers and return how many came."""
    reader = writer = None
    earlier, count = [], 0
    for number in range(10):
        name = f"c{caller}n{number}"
        earlier.append(ids.choose(earlier))
        if writer is None:
            reader, writer = await world.connect()
        request = make_request(target=f"/a/{name}")
        writer.write(request.replace(b"-Id: q1\r", b"-Id: %b\r" % earlier[-1].encode()))
        try:
            head, body = await read_answer(reader)
        except LOST:
            writer.close()
            writer = None
            continue
        count += 1
        statuses = statuses_by_name[name]
        mismatch = find_mismatch(head, body, name, earlier[-1], statuses)
        if mismatch:
            mismatches.append((name, earlier[-1], statuses, mismatch))
        if "close" in head.lower():
            writer.close()
            writer = None
    if writer is not None:
        writer.close()
    return count


SCRIPTS = {
    "whole copies": {"repeat": False, "cut": False},
    "repeated ids": {"repeat": True, "cut": False},
    "cut copies": {"repeat": False, "cut": True},
}


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("script", SCRIPTS)
async def test_caller_gets_its_own_whole_answer_from_stuttering_upstreams(script, seed):
    # Guards against a success for a request that its upstream failed or never answered,
    # with the second copy of an answer to an earlier request: one with the same id, or
    # one whose head breaks off and is completed by the next answer.
    random, statuses_by_name = Random(seed), defaultdict(list)
    mismatches = []
    options = SCRIPTS[script]
    upstreams = [
        StutteringUpstream(random, statuses_by_name, cut=options["cut"])
        for _ in range(2)
    ]
    ids = Ids(random, repeat=options["repeat"])
    route = ROUTES[seed % len(ROUTES)]
    async with make_world(
        *upstreams, timeout=ms(1500), max_attempts=3, budget=10_000, **route
    ) as world:
        counts = await asyncio.gather(
            *(
                call_in_turn(world, n, ids, statuses_by_name, mismatches)
                for n in range(4)
            )
        )
    # The upstreams notice that their connections are closed.
    await asyncio.sleep(0.05)
    assert mismatches == []
    # Callers lose a few answers to streams that break off.
    assert sum(counts) >= 20
