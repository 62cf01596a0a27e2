"""Requests through the forwarder on loopback, with upstreams that misbehave."""

import asyncio

import pytest

from shallotpath.gateway import RouteKind

from .helpers import (
    Upstream,
    answer,
    chunk,
    make_request,
    make_world,
    ms,
    read_answer,
    reply,
    reset,
    reset_connection,
    silence,
    stream_head,
)

ONCE = {"kind": RouteKind.ONCE, "max_attempts": 3}
STREAM = {"kind": RouteKind.STREAM, "resumable": True, "timeout": ms(6000)}


async def test_request_and_answer_pass_unchanged():
    upstream = Upstream(reply(b"body", extra=["X-Own: 1", "Keep-Alive: timeout=5"]))
    async with make_world(upstream) as world:
        target = "/a/%7Eb/c%2Fd?q=%20+&r"
        head, body = await world.call(method="POST", target=target, body=b"x" * 700)
    sent_head, sent_body = upstream.requests[0]
    assert sent_head.startswith(f"POST {target} HTTP/1.1\r\n")
    assert sent_body == b"x" * 700
    assert "X-Api-Key" not in sent_head
    assert "Shallotpath-Tenant: team" in sent_head
    assert "200 OK" in head
    assert "X-Own: 1" in head
    assert "Shallotpath-Server-Seal: s" in head
    assert "Keep-Alive" not in head
    assert body == b"body"


@pytest.mark.parametrize(
    ("options", "status"),
    [({"target": "/b/x"}, "404"), ({"key": "other"}, "401")],
)
async def test_unknown_route_or_key_is_denied_unless_beliefs_are_old(options, status):
    # Guards against an entry behind a cut that denies what was added meanwhile.
    async with make_world(Upstream(reply())) as world:
        head, _ = await world.call(**options)
        assert status in head
    async with make_world(Upstream(reply()), fresh=False) as world:
        head, _ = await world.call(**options)
        assert "503" in head
        assert "Retry-After" in head


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
async def test_refusal_of_an_upstream_sends_the_request_elsewhere(kind):
    full = reply(status="503 Busy", extra=["Shallotpath-Not-Executed: 1"])
    first, second = Upstream(full), Upstream(full)
    async with make_world(first, second, kind=kind) as world:
        head, _ = await world.call()
    assert "503" in head
    assert "Retry-After" in head
    assert "Shallotpath-Server-Seal" not in head
    assert len(first.requests) + len(second.requests) == 2


async def test_request_that_may_run_once_is_sent_once_and_not_called_refused():
    # Guards against an order that runs twice, or is said not to have run.
    first, second = Upstream(reset), Upstream(reset)
    async with make_world(first, second, **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head
    assert len(first.requests) + len(second.requests) == 1


@pytest.mark.parametrize("pause", [0.0, 0.3])
async def test_order_is_not_sent_on_a_connection_that_may_have_been_dropped(pause):
    # Guards against an order that is lost on a connection which its upstream dropped
    # while it was idle.
    async def drop_after_answer(reader, writer, head):
        await reply()(reader, writer, head)
        if await reader.read(1):
            reset_connection(writer)
        return False

    upstream = Upstream(drop_after_answer)
    async with make_world(upstream, **ONCE) as world:
        first, _ = await world.call(method="POST", body=b"order")
        await asyncio.sleep(pause)
        second, _ = await world.call(method="POST", body=b"order")
    assert "200" in first
    # A connection that was in use just now is trusted.
    assert ("200" if pause else "502") in second


async def test_busy_answer_without_the_word_that_it_did_not_run_is_no_refusal():
    async with make_world(Upstream(reply(status="503 Busy")), **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head


async def test_address_of_another_upstream_is_not_used_again():
    # Guards against requests that go to a crashed upstream's successor until the
    # entry of the old one lapses.
    other = reply(status="421 No", extra=["Shallotpath-Instance-Id: u9"])
    successor, good = Upstream(other), Upstream(reply())
    async with make_world(successor, good, **ONCE) as world:
        heads = [await world.call(number=n, method="POST") for n in range(8)]
    assert len(successor.requests) == 1
    assert all("200" in head for head, _ in heads)


async def test_upstream_with_other_weights_stays_known():
    other = reply(status="421 No", extra=["Shallotpath-Instance-Id: u0"])
    upstream = Upstream(other)
    async with make_world(upstream, **ONCE) as world:
        for number in range(3):
            head, _ = await world.call(number=number, method="POST")
            assert "503" in head
    assert len(upstream.requests) == 3


async def test_failure_of_an_order_passes_with_its_status_and_seal():
    upstream = Upstream(reply(b"why", status="500 Oops"))
    async with make_world(upstream, **ONCE) as world:
        head, body = await world.call(method="POST", body=b"order")
    assert "500 Oops" in head
    assert "Shallotpath-Server-Seal: s" in head
    assert body == b"why"


async def test_repeatable_request_leaves_upstreams_that_fail():
    for step in (reset, reply(status="500 Oops"), silence):
        bad, good = Upstream(step), Upstream(reply(b"good"))
        async with make_world(bad, good) as world:
            # Both orders of the two upstreams are tried.
            for number in range(4):
                _, body = await world.call(number=number)
                assert body == b"good"


async def test_silent_upstream_is_kept_when_the_budget_is_spent():
    # Guards against requests that are cut off for a repeat that is not allowed.
    async def late(reader, writer, head):
        await asyncio.sleep(0.8)
        writer.write(answer(head, b"late"))
        await writer.drain()

    async with make_world(Upstream(late), Upstream(late), budget=0) as world:
        _, body = await world.call()
    assert body == b"late"


async def test_unreachable_upstreams_do_not_use_up_the_attempts():
    port = await Upstream(reply()).start()
    closed = Upstream(reply())
    dead = await closed.start()
    closed.server.close()
    await closed.server.wait_closed()
    async with make_world(dead, port, **(ONCE | {"max_attempts": 1})) as world:
        for number in range(3):
            head, _ = await world.call(number=number, method="POST", body=b"order")
            assert "200" in head


async def test_late_answer_to_another_request_is_skipped():
    # Guards against the answer of one caller that reaches another one.
    async def crossed(reader, writer, head):
        other = head.replace("Request-Id: q1", "Request-Id: q0")
        writer.write(answer(other, b"not yours") + answer(head, b"yours"))
        await writer.drain()

    async with make_world(Upstream(crossed)) as world:
        _, body = await world.call(number=1)
        assert body == b"yours"


async def test_surplus_bytes_end_the_connection():
    async def twice(reader, writer, head):
        writer.write(answer(head, b"one") + answer(head, b"two"))
        await writer.drain()

    upstream = Upstream(twice, reply(b"fresh"))
    async with make_world(upstream) as world:
        _, first = await world.call(number=1)
        _, second = await world.call(number=2)
    assert (first, second) == (b"one", b"fresh")


@pytest.mark.parametrize("length", [True, False])
async def test_answer_that_breaks_off_is_not_complete(length):
    # A body without a length ends with its connection, and a reset is no end.
    async def cut(reader, writer, head):
        whole = answer(head, b"x" * 1000, length=length)
        writer.write(whole[:-500])
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False

    async with make_world(Upstream(cut), **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head


async def test_answer_without_a_length_is_passed_on_whole():
    async def unframed(reader, writer, head):
        writer.write(answer(head, b"x" * 1000, length=False))
        await writer.drain()
        return False

    async with make_world(Upstream(unframed)) as world:
        _, body = await world.call()
    assert body == b"x" * 1000


async def test_success_without_a_seal_is_not_passed_on():
    async with make_world(Upstream(reply(sealed=False)), **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head


def event(number):
    return b"id: %d\ndata: token\n\n" % number


async def test_stream_goes_on_at_another_upstream_after_the_last_event():
    # Guards against a missing or doubled event when an upstream dies mid-event.
    async def breaks(reader, writer, head):
        writer.write(stream_head(head) + chunk(event(1) + event(2) + b"id: 3\nda"))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False

    async def resumes(reader, writer, head):
        start = 1
        for line in head.split("\r\n"):
            if line.startswith("Last-Event-Id:"):
                start = int(line.split(":")[1]) + 1
        body = b"".join(chunk(event(n)) for n in range(start, 6))
        writer.write(stream_head(head) + body + b"0\r\n\r\n")
        await writer.drain()

    for upstreams in (
        (Upstream(breaks), Upstream(resumes)),
        (Upstream(resumes), Upstream(breaks)),
    ):
        async with make_world(*upstreams, **STREAM) as world:
            for number in range(3):
                _, body = await world.call(number=number)
                assert body == b"".join(event(n) for n in range(1, 6))


async def test_stream_that_cannot_go_on_never_looks_complete():
    async def breaks(reader, writer, head):
        writer.write(stream_head(head) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False

    route = STREAM | {"resumable": False}
    async with make_world(Upstream(breaks), **route) as world:
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            await world.call()
    assert world.outcomes == ["broken_off"]


async def test_caller_that_leaves_ends_the_work_of_its_upstream():
    upstream = Upstream(silence)
    started = asyncio.Event()

    async def long(reader, writer, head):
        started.set()
        # The end of the connection wakes the read.
        if not await reader.read(1):
            upstream.lost.set()
        return False

    upstream.steps = [long]
    async with make_world(upstream) as world:
        _, writer = await world.connect()
        writer.write(make_request())
        await started.wait()
        writer.close()
        await asyncio.wait_for(upstream.lost.wait(), 0.5)
        await asyncio.sleep(0)
    assert world.outcomes == ["caller_gone"]


async def test_request_ends_at_its_routes_timeout():
    async with make_world(Upstream(silence), timeout=ms(300), **ONCE) as world:
        loop = asyncio.get_running_loop()
        began = loop.time()
        head, _ = await world.call(method="POST", body=b"order")
        assert 0.3 <= loop.time() - began < 0.8
    assert "504" in head


async def test_stop_answers_what_was_read_and_closes_connections():
    # Guards against a request on a kept connection that is cut long after SIGTERM.
    async def slow(reader, writer, head):
        await asyncio.sleep(0.2)
        writer.write(answer(head, b"late"))
        await writer.drain()

    async with make_world(Upstream(slow)) as world:
        idle_reader, _ = await world.connect()
        reader, writer = await world.connect()
        writer.write(make_request())
        await asyncio.sleep(0.05)
        world.listener.close()
        world.listener.close_idle()
        assert await asyncio.wait_for(idle_reader.read(), 0.5) == b""
        _, body = await read_answer(reader)
        assert body == b"late"
        assert await asyncio.wait_for(reader.read(), 0.5) == b""
        assert world.listener.active == 0
