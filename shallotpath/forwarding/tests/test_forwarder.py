"""Test requests through a forwarder to upstreams that fail in different ways."""

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


async def test_request_and_answer_are_relayed_unchanged():
    # Guards against changes to the target, headers or bodies, and against leaking the
    # caller's key to the upstream.
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
async def test_unknown_route_or_key_is_denied_unless_configuration_is_outdated(
    options, status
):
    # Guards against an entry behind a network partition that denies routes or keys
    # which were added meanwhile.
    async with make_world(Upstream(reply())) as world:
        head, _ = await world.call(**options)
        assert status in head
    async with make_world(Upstream(reply()), fresh=False) as world:
        head, _ = await world.call(**options)
        assert "503" in head
        assert "Retry-After" in head


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
async def test_refused_request_is_retried_elsewhere(kind):
    # Guards against giving up after one refusal, and relaying the refusal as an answer.
    full = reply(status="503 Busy", extra=["Shallotpath-Not-Executed: 1"])
    first, second = Upstream(full), Upstream(full)
    async with make_world(first, second, kind=kind) as world:
        head, _ = await world.call()
    assert "503" in head
    assert "Retry-After" in head
    assert "Shallotpath-Server-Seal" not in head
    assert len(first.requests) + len(second.requests) == 2


async def test_unrepeatable_request_is_sent_once_and_not_reported_as_refused():
    # Guards against a request that runs twice, or is reported as not run.
    first, second = Upstream(reset), Upstream(reset)
    async with make_world(first, second, **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head
    assert len(first.requests) + len(second.requests) == 1


@pytest.mark.parametrize("pause", [0.0, 0.3])
async def test_unrepeatable_request_avoids_connections_that_may_be_dropped(pause):
    # Guards against a request that is lost on a connection which the upstream dropped
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
        second, _ = await world.call(method="POST", body=b"order", number=2)
    assert "200" in first
    # A connection that was used just before is reused.
    assert ("200" if pause else "502") in second


async def test_503_without_a_not_executed_header_is_not_reported_as_refused():
    # Guards against telling the caller to retry a request that may have run.
    async with make_world(Upstream(reply(status="503 Busy")), **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head


async def test_address_of_another_upstream_is_not_used_again():
    # Guards against requests that are sent to the successor of a crashed upstream until
    # the old upstream's record expires.
    other = reply(status="421 No", extra=["Shallotpath-Instance-Id: u9"])
    successor, good = Upstream(other), Upstream(reply())
    async with make_world(successor, good, **ONCE) as world:
        heads = [await world.call(number=n, method="POST") for n in range(8)]
    assert len(successor.requests) == 1
    assert all("200" in head for head, _ in heads)


async def test_upstream_with_other_weights_is_not_forgotten():
    # Guards against forgetting an upstream whose 421 only means that it holds other
    # weights.
    other = reply(status="421 No", extra=["Shallotpath-Instance-Id: u0"])
    upstream = Upstream(other)
    async with make_world(upstream, **ONCE) as world:
        for number in range(3):
            head, _ = await world.call(number=number, method="POST")
            assert "503" in head
    assert len(upstream.requests) == 3


async def test_server_error_to_an_unrepeatable_request_keeps_status_and_seal():
    # Guards against replacing the upstream's own error with one of the entry.
    upstream = Upstream(reply(b"why", status="500 Oops"))
    async with make_world(upstream, **ONCE) as world:
        head, body = await world.call(method="POST", body=b"order")
    assert "500 Oops" in head
    assert "Shallotpath-Server-Seal: s" in head
    assert body == b"why"


async def test_repeatable_request_is_retried_after_a_failure():
    # Guards against relaying a reset, an error or silence that a retry would hide.
    for step in (reset, reply(status="500 Oops"), silence):
        faulty, good = Upstream(step), Upstream(reply(b"good"))
        async with make_world(faulty, good) as world:
            # Several requests, so that some choose the faulty upstream first.
            for number in range(4):
                _, body = await world.call(number=number)
                assert body == b"good"


async def test_request_waits_for_a_silent_upstream_without_retry_budget():
    # Guards against aborting a request for a retry that the budget does not allow.
    async def answer_late(reader, writer, head):
        await asyncio.sleep(0.8)
        writer.write(answer(head, b"late"))
        await writer.drain()

    async with make_world(
        Upstream(answer_late), Upstream(answer_late), budget=0
    ) as world:
        _, body = await world.call()
    assert body == b"late"


async def test_failed_connects_do_not_count_as_attempts():
    # Guards against refusing a request although only connects failed so far.
    port = await Upstream(reply()).start()
    closed = Upstream(reply())
    unreachable_port = await closed.start()
    closed.server.close()
    await closed.server.wait_closed()
    async with make_world(
        unreachable_port, port, **(ONCE | {"max_attempts": 1})
    ) as world:
        for number in range(3):
            head, _ = await world.call(number=number, method="POST", body=b"order")
            assert "200" in head


async def test_late_answer_to_another_request_is_skipped():
    # Guards against relaying the answer of one caller to another caller.
    async def answer_another_request_first(reader, writer, head):
        other = head.replace("Request-Id: q1", "Request-Id: q0")
        writer.write(answer(other, b"not yours") + answer(head, b"yours"))
        await writer.drain()

    async with make_world(Upstream(answer_another_request_first)) as world:
        _, body = await world.call(number=1)
        assert body == b"yours"


async def test_connection_with_surplus_bytes_is_not_reused():
    # Guards against reading a surplus response as the answer to the next request.
    async def answer_twice(reader, writer, head):
        writer.write(answer(head, b"one") + answer(head, b"two"))
        await writer.drain()

    upstream = Upstream(answer_twice, reply(b"fresh"))
    async with make_world(upstream) as world:
        _, first = await world.call(number=1)
        _, second = await world.call(number=2)
    assert (first, second) == (b"one", b"fresh")


@pytest.mark.parametrize("length", [True, False])
async def test_truncated_answer_is_not_relayed_as_complete(length):
    # Guards against a reset that is taken for the end of a body; a body without a
    # length ends when the connection closes.
    async def reset_in_body(reader, writer, head):
        whole = answer(head, b"x" * 1000, length=length)
        writer.write(whole[:-500])
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False

    async with make_world(Upstream(reset_in_body), **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head


async def test_answer_without_a_length_is_relayed_completely():
    # Guards against treating the close that ends such a body as a failure.
    async def unframed(reader, writer, head):
        writer.write(answer(head, b"x" * 1000, length=False))
        await writer.drain()
        return False

    async with make_world(Upstream(unframed)) as world:
        _, body = await world.call()
    assert body == b"x" * 1000


async def test_success_without_a_seal_is_not_relayed():
    # Guards against relaying a success that the upstream did not mark as its own.
    async with make_world(Upstream(reply(sealed=False)), **ONCE) as world:
        head, _ = await world.call(method="POST", body=b"order")
    assert "502" in head


def event(number):
    return b"id: %d\ndata: token\n\n" % number


async def test_stream_resumes_at_another_upstream_after_the_last_event():
    # Guards against a missing or duplicate event when an upstream fails mid-event.
    async def fail_in_stream(reader, writer, head):
        writer.write(stream_head(head) + chunk(event(1) + event(2) + b"id: 3\nda"))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False

    async def resume_after_last_event(reader, writer, head):
        start = 1
        for line in head.split("\r\n"):
            if line.startswith("Last-Event-Id:"):
                start = int(line.split(":")[1]) + 1
        body = b"".join(chunk(event(n)) for n in range(start, 6))
        writer.write(stream_head(head) + body + b"0\r\n\r\n")
        await writer.drain()

    for upstreams in (
        (Upstream(fail_in_stream), Upstream(resume_after_last_event)),
        (Upstream(resume_after_last_event), Upstream(fail_in_stream)),
    ):
        async with make_world(*upstreams, **STREAM) as world:
            for number in range(3):
                _, body = await world.call(number=number)
                assert body == b"".join(event(n) for n in range(1, 6))


async def test_unresumable_stream_is_not_ended_as_complete():
    # Guards against a truncated stream that the caller takes for a complete one.
    async def fail_in_stream(reader, writer, head):
        writer.write(stream_head(head) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)
        return False

    route = STREAM | {"resumable": False}
    async with make_world(Upstream(fail_in_stream), **route) as world:
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            await world.call()
    assert world.outcomes == ["broken_off"]


async def test_disconnect_of_the_caller_cancels_the_upstream_request():
    # Guards against upstreams that keep working for a caller that disconnected.
    upstream = Upstream(silence)
    started = asyncio.Event()

    async def wait_for_close(reader, writer, head):
        started.set()
        # The read returns when the connection is closed.
        if not await reader.read(1):
            upstream.lost.set()
        return False

    upstream.steps = [wait_for_close]
    async with make_world(upstream) as world:
        _, writer = await world.connect()
        writer.write(make_request())
        await started.wait()
        writer.close()
        await asyncio.wait_for(upstream.lost.wait(), 0.5)
        await asyncio.sleep(0)
    assert world.outcomes == ["caller_gone"]


async def test_request_ends_at_its_routes_timeout():
    # Guards against a request that outlasts its route's timeout at a silent upstream.
    async with make_world(Upstream(silence), timeout=ms(300), **ONCE) as world:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        head, _ = await world.call(method="POST", body=b"order")
        assert 0.3 <= loop.time() - started_s < 0.8
    assert "504" in head


async def test_stop_answers_pending_requests_and_closes_connections():
    # Guards against a request on a keep-alive connection that arrives after SIGTERM and
    # is aborted when the process ends.
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


async def test_stop_does_not_cut_off_the_second_of_two_requests_sent_at_once():
    # Guards against a connection that counts as idle because the first request on it
    # was answered after the second one had arrived.
    async def slow(reader, writer, head):
        await asyncio.sleep(0.2)
        writer.write(answer(head, b"second"))
        await writer.drain()

    async with make_world(Upstream(reply(b"first"), slow)) as world:
        reader, writer = await world.connect()
        writer.write(make_request(number=1) + make_request(number=2))
        assert (await read_answer(reader))[1] == b"first"
        await asyncio.sleep(0.05)
        world.listener.close_idle()
        assert (await read_answer(reader))[1] == b"second"


async def test_stop_answers_a_request_that_has_arrived_behind_another():
    # Guards against requests that were read and are dropped behind `Connection: close`.
    async with make_world(Upstream(reply(b"first"), reply(b"second"))) as world:
        parts = world.forwarder.parts
        parts.stops_at = parts.clock.now() + ms(5000)
        reader, writer = await world.connect()
        writer.write(make_request(number=1) + make_request(number=2))
        assert (await read_answer(reader))[1] == b"first"
        assert (await read_answer(reader))[1] == b"second"
        assert await asyncio.wait_for(reader.read(), 0.5) == b""


@pytest.mark.parametrize("kind", [RouteKind.ONCE, RouteKind.REPEATABLE])
async def test_request_that_is_complete_only_late_before_a_stop_is_refused(kind):
    # Guards against requests that are taken and passed on late in the grace period and
    # cut off without an answer at its end.
    upstream = Upstream(silence)
    async with make_world(upstream, kind=kind, timeout=ms(5000)) as world:
        parts = world.forwarder.parts
        reader, writer = await world.connect()
        sent = make_request(method="POST", body=b"order")
        writer.write(sent[:-2])
        await asyncio.sleep(0.05)
        parts.stops_at = parts.clock.now() + ms(1000)
        parts.accepting = False
        world.listener.close_idle()
        writer.write(sent[-2:])
        head, _ = await read_answer(reader)
        assert "503" in head
        assert "connection: close" in head.lower()
        assert "retry-after" in head.lower()
        assert upstream.requests == []


async def test_requests_are_answered_when_the_grace_period_ends():
    # Guards against connections that are closed without an answer at the end of the
    # grace period, and against upstreams that go on with the requests.
    upstream = Upstream(silence)
    async with make_world(upstream, kind=RouteKind.ONCE, timeout=ms(9000)) as world:
        parts = world.forwarder.parts
        before = asyncio.ensure_future(world.call(number=1, caller_timeout=8000))
        await asyncio.sleep(0.05)
        parts.stops_at = parts.clock.now() + ms(300)
        head, _ = await world.call(number=2, caller_timeout=8000)
        assert "504" in head
        assert any("Deadline-Ms: 2" in head for head, _ in upstream.requests)
        parts.deadlines.expire()
        head, _ = await asyncio.wait_for(before, 0.5)
        assert "504" in head
