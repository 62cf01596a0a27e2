"""Test requests whose placement expires before they are sent or started."""

import asyncio
from dataclasses import replace

import pytest

from shallotpath.gateway import Placement, RouteKind

from .helpers import SuspendedClock, Upstream, make_world, ms, reply, silence


class OutdatedDispatcher:
    """Let the first placement use weights that are outdated after some time."""

    def __init__(self, dispatcher, after):
        self.dispatcher = dispatcher
        self.after = after
        self.placed = False

    def __getattr__(self, name):
        return getattr(self.dispatcher, name)

    def choose(self, call, excluded, now):
        decision = self.dispatcher.choose(call, excluded, now)
        if isinstance(decision, Placement) and not self.placed:
            self.placed = True
            return replace(decision, start_deadline=now + self.after)
        return decision


def expire_first_placement(world, after):
    parts = world.forwarder.parts
    parts.dispatcher = OutdatedDispatcher(parts.dispatcher, after)


async def test_request_that_does_not_start_on_outdated_weights_goes_elsewhere():
    # Guards against a request that waits in a queue until after the bound of its
    # weights and then runs on them.
    cancelled = []

    async def queue_first_request(reader, writer, head):
        if sum(len(upstream.requests) for upstream in upstreams) > 1:
            return await reply()(reader, writer, head)
        cancelled.append(await reader.read())
        return False

    upstreams = [Upstream(queue_first_request), Upstream(queue_first_request)]
    # The target is so late that only the bound of the weights ends the first attempt.
    async with make_world(*upstreams, target_latency=ms(1500)) as world:
        expire_first_placement(world, ms(150))
        head, _ = await asyncio.wait_for(world.call(), 1)
    assert "200 OK" in head
    assert all(len(upstream.requests) == 1 for upstream in upstreams)
    assert cancelled == [b""]


async def test_unrepeatable_request_that_did_not_start_is_not_reported_as_refused():
    # Guards against a promise that a request did not run although it may have.
    upstreams = [Upstream(silence), Upstream(silence)]
    once = {"kind": RouteKind.ONCE, "max_attempts": 3}
    async with make_world(*upstreams, **once) as world:
        expire_first_placement(world, ms(150))
        head, _ = await asyncio.wait_for(world.call(method="POST"), 1)
    assert "502" in head
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


@pytest.mark.parametrize("suspended", [ms(1000), ms(1900)])
async def test_placement_from_before_a_suspension_is_not_used(suspended):
    # Guards against a process that was paused between its decision and the send, and
    # that acts on what it knew before.
    clock = SuspendedClock()
    upstreams = [Upstream(reply()), Upstream(reply())]
    async with make_world(*upstreams, clock=clock, timeout=ms(3000)) as world:
        pool = world.forwarder.parts.pool
        acquire, acquired = pool.acquire, []

        async def acquire_slowly(*args, **options):
            connection = await acquire(*args, **options)
            if not acquired:
                clock.suspended = suspended
            acquired.append(args[0])
            return connection

        pool.acquire = acquire_slowly
        head, _ = await world.call()
    assert "200 OK" in head
    assert len(acquired) == 2
    assert sum(len(upstream.requests) for upstream in upstreams) == 1
