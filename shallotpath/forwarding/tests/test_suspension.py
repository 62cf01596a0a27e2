"""Test requests that are pending while the VM is suspended."""

import asyncio
import re

from shallotpath.gateway import RouteKind

from .helpers import (
    SuspendedClock,
    Upstream,
    make_request,
    make_world,
    ms,
    read_answer,
    reply,
    reset,
    silence,
)

ONCE = {"kind": RouteKind.ONCE, "max_attempts": 3}


async def test_pending_request_times_out_after_a_suspension():
    # Guards against timers that fire late by the duration of the suspension.
    clock = SuspendedClock()
    upstream = Upstream(silence, reply())
    async with make_world(upstream, clock=clock, **ONCE) as world:
        reader, writer = await world.connect()
        writer.write(make_request(method="POST", body=b"order"))
        await asyncio.sleep(0.1)
        clock.suspended = ms(1700)
        # Timers are adjusted when the next request arrives after the suspension.
        await world.call(number=2)
        head, _ = await asyncio.wait_for(read_answer(reader), 0.5)
        writer.close()
        lengths = [
            f["for_s"] for kind, f in world.reporter.events if kind == "suspended"
        ]
    assert "504" in head
    assert [round(length, 1) for length in lengths] == [1.7]


async def test_request_read_after_its_deadline_is_not_sent():
    # Guards against a request that reaches an upstream although its deadline passed
    # while the VM was suspended.
    clock = SuspendedClock()
    upstream = Upstream(reply(extra=["Keep-Alive: timeout=30"]))
    async with make_world(upstream, clock=clock) as world:
        # Leaves an idle connection that the next request could reuse.
        await world.call()
        reader, writer = await world.connect()
        request = make_request(method="POST", body=b"order", number=2)
        writer.write(request[:-2])
        await asyncio.sleep(0.1)
        clock.suspended = ms(6000)
        writer.write(request[-2:])
        head, _ = await asyncio.wait_for(read_answer(reader), 0.5)
        writer.close()
    assert "503" in head
    assert len(upstream.requests) == 1


async def test_retry_after_a_suspension_sends_the_remaining_time():
    # Guards against a deadline header that ignores the suspension, so that the upstream
    # works for a caller that has given up.
    clock = SuspendedClock()
    heads = []

    async def suspend_once(reader, writer, head):
        heads.append(head)
        if len(heads) == 1:
            clock.suspended = ms(1500)
            return await reset(reader, writer, head)
        return await reply()(reader, writer, head)

    upstreams = [Upstream(suspend_once), Upstream(suspend_once)]
    async with make_world(*upstreams, clock=clock) as world:
        head, _ = await world.call(caller_timeout=2000)
    assert "200 OK" in head
    (left,) = re.findall(r"Shallotpath-Deadline-Ms: (\d+)", heads[1])
    assert 0 < int(left) <= 500


async def test_connection_from_before_a_suspension_is_not_reused():
    # Guards against an idle time that ignores the suspension, so that a connection
    # seems to have been used just before.
    clock = SuspendedClock()
    upstream = Upstream(reply())
    accepted = []

    async def count_connections(reader, writer, head):
        accepted.append(writer)
        return await reply()(reader, writer, head)

    upstream.steps = [count_connections]
    async with make_world(upstream, clock=clock) as world:
        await world.call(number=1)
        clock.suspended = ms(6000)
        await world.call(number=2)
    assert accepted[0] is not accepted[1]
