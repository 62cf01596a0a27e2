"""Test requests that crash upstreams by one part of their prompt."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    Upstream,
    answer,
    chunk,
    make_world,
    ms,
    reset_connection,
    stream_head,
)

ROUTE = {
    "kind": RouteKind.STREAM,
    "resumable": True,
    "max_attempts": 2,
    "timeout": ms(6000),
    "target_latency": ms(1000),
}
EVENTS = [b"id: %d\ndata: x\n\n" % number for number in range(3)]


class FragileUpstream(Upstream):
    """Stream events; crash for good when an answer to a deadly part begins."""

    def __init__(self, deadly=frozenset({"dead"}), *, sends_head=True):
        super().__init__(self._stream)
        self.deadly = deadly
        self.sends_head = sends_head
        self.crashed = False
        self.writers = set()

    async def _stream(self, reader, writer, head):
        self.writers.add(writer)
        prompt = head.lower().partition("-prefix: ")[2].partition("\r\n")[0]
        parts = {part.partition(":")[0] for part in prompt.split(",")}
        is_deadly = bool(parts & self.deadly)
        if self.sends_head or not is_deadly:
            writer.write(stream_head(head))
            await writer.drain()
        await asyncio.sleep(0.01)
        if is_deadly:
            self.crash()
            return False
        for event in EVENTS:
            writer.write(chunk(event))
        writer.write(b"0\r\n\r\n")
        return True

    def crash(self):
        self.crashed = True
        self.server.close()
        for writer in self.writers:
            reset_connection(writer)


async def call(world, number, *parts):
    """Send a request whose body and last part no other request has."""
    head, body = await world.call(
        method="POST",
        number=number,
        body=b"prompt %d" % number,
        parts=(*parts, f"own{number}"),
    )
    return head.split()[1], body


@pytest.mark.parametrize("sends_head", [True, False])
async def test_part_that_crashes_upstreams_is_refused_whatever_else_its_requests_hold(
    sends_head,
):
    # Guards against requests that crash one upstream after the other by one part of
    # their prompts, because no two of them are alike.
    upstreams = [FragileUpstream(sends_head=sends_head) for _ in range(8)]
    async with make_world(*upstreams, **ROUTE) as world:
        await call(world, 0, "shared")
        for number in range(1, 20, 2):
            status, _ = await call(world, number, "shared", "dead")
            assert status in ("502", "503")
            sound = await call(world, number + 1, "shared")
            assert sound == ("200", b"".join(EVENTS))
    assert sum(upstream.crashed for upstream in upstreams) <= 3


async def test_refusal_of_an_upstream_does_not_clear_a_deadly_part():
    # Guards against a part that crashes upstreams again because one of them refused a
    # request with it.
    async def reject(reader, writer, head):
        writer.write(answer(head, b"too large", status="400 Too large"))
        await writer.drain()

    async with make_world(Upstream(reject), **ROUTE) as world:
        suspects = world.forwarder.parts.suspects.parts
        now = world.forwarder.parts.clock.now()
        for number in range(2):
            suspects.record_crash(f"gone{number}", [("/dead",)], now)
        status, _ = await call(world, 1, "dead")
        assert status == "400"
        suspects.record_crash("gone2", [("/dead",)], now)
        status, _ = await call(world, 2, "dead")
    assert status == "503"


async def test_lost_connection_to_an_upstream_that_lives_charges_no_part():
    # Guards against parts refused because upstreams reset connections.
    async def reset_after_head(reader, writer, head):
        writer.write(stream_head(head))
        await writer.drain()
        reset_connection(writer)
        return False

    upstreams = [Upstream(reset_after_head) for _ in range(6)]
    async with make_world(*upstreams, **ROUTE) as world:
        for number in range(8):
            await call(world, number, "part")
            await asyncio.sleep(0.02)
        suspects = world.forwarder.parts.suspects
    assert not suspects.parts.suspects_by_part_
    assert not suspects.losses_by_upstream_id_
