import asyncio
import json
from datetime import timedelta
from itertools import repeat
from random import Random

import pytest
from aiohttp import ClientError, web

from shallotpath.config import DomainState, Team
from shallotpath.core import Code, DrainRequested
from shallotpath.runtime import EntryLimits, EntryTimeouts
from shallotpath.standins import serve
from shallotpath.streams import _reader

from .parts import (
    TIMEOUT_S,
    FaultyTransport,
    SilentLink,
    Upstream,
    expected_stream,
    make_configuration,
    member_at,
    system,
    until,
)

FAST_RECONNECT_TIMEOUTS = EntryTimeouts(
    ping_interval=timedelta(milliseconds=100),
    silence=timedelta(milliseconds=400),
    lost_after=timedelta(seconds=30),
)
FAST_LOSS_TIMEOUTS = EntryTimeouts(
    ping_interval=timedelta(milliseconds=100),
    silence=timedelta(milliseconds=400),
    lost_after=timedelta(seconds=1),
)


async def test_generation_is_complete_and_names_its_version():
    # Guards against truncation, wrong headers and counts that remain after the end.
    async with system([Upstream("a", "fold-model")]) as entry:
        body = {"prompt": "crane", "max_tokens": 20}
        async with entry.post("/fold-model/generate", json=body) as answer:
            text = await answer.text()
        assert answer.headers["Content-Type"] == "text/event-stream"
        assert answer.headers["X-Weights-Version"] == "1"
        assert text == expected_stream("crane", 20)
        assert entry.router.in_flight_ == 0
        assert entry.server.held_bytes == 0


async def test_response_larger_than_the_window_is_complete():
    # Guards against a stream that stops because the credit window is never extended.
    limits = EntryLimits(window_bytes=100)
    upstream = Upstream("a", "fold-model", token_interval_s=0.0)
    async with system([upstream], limits=limits) as entry:
        assert await entry.generate(max_tokens=50) == expected_stream("crane", 50)


async def test_plain_response_keeps_its_status_and_body():
    # Guards against a plain response that loses its status, its JSON body or its path.
    async with system([Upstream("a", "kit-desk")]) as entry:
        async with entry.post("/kit-desk/stock", data=b"{}") as answer:
            body = await answer.json()
        assert (answer.status, body["path"]) == (200, "stock")


async def test_stream_of_a_crashed_engine_is_resumed_elsewhere():
    # Guards against lost, repeated or mixed tokens after a crash of the engine.
    upstreams = [Upstream(name, "fold-model", token_interval_s=0.02) for name in "ab"]
    async with system(upstreams) as entry:
        answer = asyncio.create_task(entry.generate(max_tokens=40))
        await until(lambda: upstreams[0].engine.counters_["tokens"] >= 10)
        upstreams[0].engine.crash()
        assert await answer == expected_stream("crane", 40)
        assert upstreams[1].engine.counters_["tokens"] < 40


async def test_a_stream_is_not_resumed_on_other_weights():
    # Guards against a response that mixes tokens of two versions.
    configuration = make_configuration()
    upstreams = [
        Upstream("a", "fold-model", token_interval_s=0.05),
        Upstream("b", "fold-model", digest="d2"),
    ]
    async with system(upstreams, configuration=configuration) as entry:
        entry.retries.attempts = 2
        answer = asyncio.create_task(entry.generate(max_tokens=40))
        await until(lambda: upstreams[0].engine.counters_["tokens"] >= 5)
        service = configuration.services_by_id["fold-model"]
        configuration.services_by_id["fold-model"] = type(service)(
            "fold-model", service.kind, "fold", "2"
        )
        upstreams[0].engine.crash()
        text = await answer
        assert "event: error" in text
        assert upstreams[1].engine.counters_["runs"] == 0
        problem = json.loads(text.rsplit("data: ", 1)[1])
        assert (problem["code"], problem["run"]) == ("weights_not_ready", "yes")


@pytest.mark.parametrize("seed", range(3))
async def test_answers_stay_whole_when_frames_are_lost_late_or_repeated(seed):
    # Guards against truncated or swapped responses on a faulty link.
    upstream = Upstream("a", "fold-model", token_interval_s=0.002)
    async with system([upstream]) as entry:
        random = Random(seed)
        entry.retries.attempts = 20
        upstream.shell.peer = FaultyTransport(upstream.shell.peer, random, 0.15)
        entry.shell.peer = FaultyTransport(entry.shell.peer, random, 0.15)
        prompts = [f"prompt {n}" for n in range(8)]
        texts = await asyncio.gather(*(entry.generate(p, 60) for p in prompts))
        assert texts == [expected_stream(p, 60) for p in prompts]


async def test_a_silent_connection_is_replaced_and_the_stream_resumed(monkeypatch):
    # Guards against waiting minutes for a TCP timeout, and against a second run. Resume
    # requests after silence are disabled, so only a new connection resumes the stream.
    monkeypatch.setattr(_reader, "RESUME_AFTER", timedelta(hours=1))
    upstream = Upstream("a", "fold-model", token_interval_s=0.02)
    async with (
        system([upstream], timeouts=FAST_RECONNECT_TIMEOUTS) as entry,
        SilentLink(upstream.shell.peer.address_) as link,
    ):
        entry.router.members[0] = member_at(upstream.member, link.address)
        answer = asyncio.create_task(entry.generate(max_tokens=60))
        await until(lambda: upstream.engine.counters_["tokens"] >= 10)
        link.silence()
        assert await answer == expected_stream("crane", 60)
        assert upstream.engine.counters_["runs"] == 1
        kinds = [kind for kind, _ in entry.telemetry.logs_]
        assert "connection_replaced" in kinds


async def test_a_frozen_agent_is_given_up_and_the_call_repeated_elsewhere():
    # Guards against a stream that hangs on an agent that no new connection reaches.
    upstreams = [Upstream(name, "fold-model", token_interval_s=0.02) for name in "ab"]
    async with (
        system(upstreams, timeouts=FAST_LOSS_TIMEOUTS) as entry,
        SilentLink(upstreams[0].shell.peer.address_) as link,
    ):
        entry.router.members[0] = member_at(upstreams[0].member, link.address)
        answer = asyncio.create_task(entry.generate(max_tokens=60))
        await until(lambda: upstreams[0].engine.counters_["tokens"] >= 10)
        link.silence_for_good()
        assert await answer == expected_stream("crane", 60)


async def test_unrepeatable_request_at_a_frozen_agent_is_not_sent_elsewhere():
    # Guards against an unrepeatable request that runs twice.
    upstreams = [Upstream(name, "kit-desk", call_s=0.5) for name in "ab"]
    async with (
        system(upstreams, timeouts=FAST_LOSS_TIMEOUTS) as entry,
        SilentLink(upstreams[0].shell.peer.address_) as link,
    ):
        entry.router.members[0] = member_at(upstreams[0].member, link.address)
        entry.homes_ = iter(entry.router.members)
        order = asyncio.create_task(post_order(entry))
        await until(lambda: upstreams[0].engine.counters_["runs"] == 1)
        link.silence_for_good()
        status, problem = await order
        assert (status, problem["run"]) == (502, "unknown")
        assert problem["code"] == "upstream_lost"
        await until(lambda: upstreams[0].engine.counters_["completed"] == 1)
        assert upstreams[1].engine.counters_["runs"] == 0


async def test_refused_unrepeatable_request_runs_once_at_its_next_home():
    # Guards against a second run, and against an error after a refusal without a run.
    upstreams = [Upstream(name, "kit-desk") for name in "ab"]
    async with system(upstreams) as entry:
        upstreams[0].agent.refuse_new_work()
        entry.homes_ = iter(entry.members)
        status, _ = await post_order(entry)
        assert status == 200
        assert upstreams[0].engine.counters_["runs"] == 0
        assert upstreams[1].engine.counters_["runs"] == 1


async def test_repeated_key_runs_once_and_reports_the_first_run():
    # Guards against a second run of a request with the same idempotency key.
    upstream = Upstream("a", "kit-desk")
    async with system([upstream]) as entry:
        await post_order(entry, key="k1")
        _, body = await post_order(entry, key="k1")
        assert body == {"idempotency_key": "kit-desk/t/k1", "state": "finished"}
        assert upstream.engine.counters_["runs"] == 1


async def test_generated_key_without_a_home_is_refused_as_not_run():
    # Guards against an unknown outcome for a key that the entry has just generated.
    async with system([Upstream("a", "kit-desk")]) as entry:
        entry.homes_ = repeat(None)
        status, problem = await post_order(entry)
        assert (status, problem["code"]) == (503, "claim_unavailable")
        assert problem["run"] == "no"


async def test_callers_own_key_without_a_home_may_have_run():
    # Guards against `run: no` for a key that ran before its home became unreachable.
    async with system([Upstream("a", "kit-desk")]) as entry:
        entry.homes_ = repeat(None)
        status, problem = await post_order(entry, "k1")
        assert (status, problem["code"]) == (503, "claim_unavailable")
        assert problem["run"] == "unknown"


async def test_disconnect_of_the_caller_cancels_the_run():
    # Guards against engines that generate tokens for closed connections.
    upstream = Upstream("a", "fold-model", token_interval_s=0.1)
    async with system([upstream]) as entry:
        answer = asyncio.create_task(entry.generate(max_tokens=1000))
        await until(lambda: upstream.engine.counters_["tokens"] >= 2)
        answer.cancel()
        await until(lambda: upstream.engine.counters_["cancelled"] == 1)
        await until(lambda: not upstream.gate.running_ and entry.server.in_flight == 0)


async def test_disconnect_of_the_caller_does_not_stop_an_unrepeatable_request():
    # Guards against an unrepeatable request that is interrupted halfway.
    upstream = Upstream("a", "kit-desk", call_s=0.5)
    async with system([upstream]) as entry:
        order = asyncio.create_task(post_order(entry))
        await until(lambda: upstream.engine.counters_["runs"] == 1)
        order.cancel()
        await until(lambda: entry.server.in_flight == 0)
        await until(lambda: upstream.engine.counters_["completed"] == 1)
        assert upstream.engine.counters_["cancelled"] == 0


async def test_a_drain_refuses_new_work_and_cuts_nothing_off():
    # Guards against a drain that interrupts streams or accepts new requests.
    upstream = Upstream("a", "fold-model", token_interval_s=0.02)
    async with system([upstream]) as entry:
        answer = asyncio.create_task(entry.generate(max_tokens=30))
        await until(lambda: upstream.engine.counters_["tokens"] >= 2)
        entry.shell.dispatch(DrainRequested())
        counters = upstream.engine.counters_
        drains = [
            asyncio.create_task(call_after(drain(), lambda: counters["completed"]))
            for drain in (entry.server.drain, upstream.agent.drain)
        ]
        async with entry.post("/fold-model/generate", data=b"{}") as refused:
            problem = await refused.json()
        assert (problem["code"], problem["run"]) == ("draining", "no")
        assert refused.headers["Retry-After"] == "1"
        async with entry.session.get(entry.server.url + "/healthz") as health:
            assert health.status == 503
        assert await answer == expected_stream("crane", 30)
        assert await asyncio.wait_for(asyncio.gather(*drains), TIMEOUT_S) == [1, 1]


async def test_a_slow_reader_is_cancelled_and_others_are_served():
    # Guards against memory that fills up for callers that do not read.
    budget = 40_000
    upstream = Upstream("a", "fold-model", token_interval_s=0.0, max_running=50)
    async with system([upstream], budget_bytes=budget) as entry:
        body = {"prompt": "slow", "max_tokens": 400_000}
        async with entry.post("/fold-model/generate", json=body):
            await until(
                lambda: (
                    "slow_readers_cancelled" in entry.telemetry.counts_
                    or entry.server.held_bytes > budget + 80_000
                )
            )
            assert entry.telemetry.counts_["slow_readers_cancelled"] == 1
            assert await entry.generate("normal", 50) == expected_stream("normal", 50)
        await until(lambda: not upstream.gate.running_)


async def test_caller_that_reads_nothing_is_cancelled_after_the_write_timeout():
    # Guards against a run that is blocked by a caller within the memory budget.
    timeouts = EntryTimeouts(write=timedelta(milliseconds=300))
    upstream = Upstream("a", "fold-model", token_interval_s=0.0)
    async with system([upstream], timeouts=timeouts) as entry:
        body = {"prompt": "slow", "max_tokens": 400_000}
        async with entry.post("/fold-model/generate", json=body):
            await until(lambda: "slow_readers_cancelled" in entry.telemetry.counts_)
        await until(lambda: not upstream.gate.running_)


async def test_interrupted_plain_body_aborts_the_connection():
    # Guards against a truncated body that looks complete.
    upstream = Upstream("a", "kit-desk")
    async with system([upstream]) as entry:

        async def break_off(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"half")
            await asyncio.sleep(0.2)
            request.transport.abort()
            return response

        app = web.Application()
        app.router.add_post("/run/{path:.*}", break_off)
        async with serve(app) as url:
            upstream.agent.calls.engine.url = url
            with pytest.raises(ClientError):
                async with entry.post("/kit-desk/stock", data=b"") as answer:
                    await answer.read()


async def test_refused_request_is_retried_elsewhere_and_the_last_refusal_reported():
    # Guards against an error while another upstream has room, and a lost reason.
    upstreams = [Upstream(name, "fold-model") for name in "ab"]
    async with system(upstreams) as entry:
        upstreams[0].gate.limit = upstreams[0].gate.queue = 0
        assert await entry.generate(max_tokens=5) == expected_stream("crane", 5)
        upstreams[1].gate.limit = upstreams[1].gate.queue = 0
        body = {"prompt": "p"}
        async with entry.post("/fold-model/generate", json=body) as answer:
            problem = await answer.json()
        assert (answer.status, problem["code"]) == (503, "overloaded")
        assert problem["run"] == "no"
        assert entry.router.failures_[0] == ("a", Code.OVERLOADED)


async def test_deadline_ends_the_request_and_the_run():
    # Guards against callers and runs that go on after the deadline.
    upstream = Upstream("a", "kit-desk", call_s=60)
    async with system([upstream]) as entry:
        headers = {"X-Deadline": "300ms"}
        async with entry.post("/kit-desk/stock", headers=headers) as answer:
            problem = await answer.json()
        assert (answer.status, problem["run"]) == (504, "unknown")
        await until(lambda: not upstream.gate.running_)


async def test_lost_submit_is_detected_and_sent_again():
    # Guards against a request that waits for its deadline after a lost frame.
    upstream = Upstream("a", "fold-model")

    class FirstMessageLost:
        def __init__(self, transport):
            self.transport = transport
            self.lost_ = False

        def send(self, peer, message):
            if not self.lost_:
                self.lost_ = True
                return True
            return self.transport.send(peer, message)

        def __getattr__(self, name):
            return getattr(self.transport, name)

    async with system([upstream]) as entry:
        entry.shell.peer = FirstMessageLost(entry.shell.peer)
        assert await entry.generate(max_tokens=5) == expected_stream("crane", 5)
        assert upstream.engine.counters_["runs"] == 1


async def test_another_incarnation_does_not_prove_that_nothing_ran():
    # Guards against `run: no` for a request that the agent ran before its restart.
    upstream = Upstream("a", "kit-desk", call_s=60)
    async with system([upstream]) as entry:
        order = asyncio.create_task(post_order(entry))
        await until(lambda: upstream.engine.counters_["runs"] == 1)
        member = upstream.member
        entry.membership.members_by_id["a"] = type(member)(
            member.id, member.role, "", "", member.address, "a-2"
        )
        _, problem = await order
        assert (problem["code"], problem["run"]) == ("upstream_lost", "unknown")


INVALID_REQUESTS = {
    "no_token": (401, {"headers": {"Authorization": ""}}),
    "wrong_token": (401, {"headers": {"Authorization": "Bearer x"}}),
    "wrong_scheme": (401, {"headers": {"Authorization": "Basic secret"}}),
    "odd_token": (401, {"headers": {"Authorization": "Bearer \udcff"}}),
    "service": (404, {"path": "/nothing/x"}),
    "no_service": (404, {"path": "/"}),
    "no_path": (400, {"path": "/fold-model/"}),
    "odd_path": (400, {"path": "/fold-model/a%2F..%2Fb"}),
    "encoded_path": (400, {"path": "/kit-desk/orders%3Fx"}),
    "query": (400, {"path": "/fold-model/generate?a=1"}),
    "deadline": (400, {"headers": {"X-Deadline": "30"}}),
    "long_deadline": (400, {"headers": {"X-Deadline": "99999999999d"}}),
    "zero_deadline": (400, {"headers": {"X-Deadline": "0s"}}),
    "key": (400, {"headers": {"Idempotency-Key": "a b"}}),
    "long_key": (400, {"headers": {"Idempotency-Key": "k" * 201}}),
    "no_json": (400, {"data": b"{"}),
    "no_prompt": (400, {"data": b"{}"}),
    "not_utf8": (400, {"data": b'{"prompt": "\xff"}'}),
    "tokens": (400, {"data": b'{"prompt": "p", "max_tokens": -1}'}),
    "resume": (400, {"data": b'{"prompt": "p", "resume_from": 2}'}),
    "large": (413, {"data": b"x" * 3000}),
}


@pytest.mark.parametrize("kind", INVALID_REQUESTS)
async def test_malformed_request_is_refused_with_a_remedy(kind):
    # Guards against invalid requests that reach an engine, and errors without a remedy.
    status, change = INVALID_REQUESTS[kind]
    options = {"data": b'{"prompt": "p"}', "path": "/fold-model/generate", **change}
    upstream = Upstream("a", "fold-model")
    async with system([upstream], limits=EntryLimits(body_bytes=2000)) as entry:
        async with entry.post(**options) as resp:
            problem = await resp.json()
        assert (resp.status, resp.content_type) == (status, "application/problem+json")
        assert problem["run"] == "no"
        assert ";" in problem["detail"]
        assert upstream.engine.counters_["runs"] == 0


async def test_other_methods_chunked_bodies_and_slow_bodies_are_refused():
    # Guards against chunked or slow uploads that evade the limits, and other methods.
    limits = EntryLimits(body_bytes=2000, body_timeout=timedelta(milliseconds=200))
    async with system([Upstream("a", "fold-model")], limits=limits) as entry:

        async def chunks(delay):
            for _ in range(30):
                yield b"x" * 100
                await asyncio.sleep(delay)

        path = "/fold-model/generate"
        async with entry.post(path, data=chunks(0)) as answer:
            assert answer.status == 413
        async with entry.post(path, data=chunks(0.1)) as answer:
            assert answer.status == 408
        headers = {"Authorization": "Bearer secret"}
        url = entry.server.url + path
        async with entry.session.put(url, headers=headers) as answer:
            assert answer.status == 405
        assert entry.server.in_flight == 0


async def test_team_at_its_limit_and_missing_configuration_are_refused():
    # Guards against a team that exceeds its limit, and service without a configuration.
    configuration = make_configuration()
    team = configuration.teams_by_id["t"]
    configuration.teams_by_id["t"] = Team("t", team.token_digest, max_in_flight=0)
    upstream = Upstream("a", "fold-model")
    async with system([upstream], configuration=configuration) as entry:
        body = {"prompt": "p"}
        async with entry.post("/fold-model/generate", json=body) as answer:
            assert (await answer.json())["code"] == "team_limit"
        configuration.offset = -1
        async with entry.post("/fold-model/generate", json=body) as answer:
            assert (await answer.json())["code"] == "no_configuration"


async def test_exception_in_the_entry_is_not_reported_as_not_run():
    # Guards against `run: no` after an exception in the entry while the request runs.
    upstream = Upstream("a", "kit-desk", call_s=0.2)
    async with system([upstream]) as entry:
        order = asyncio.create_task(post_order(entry))
        await until(lambda: upstream.engine.counters_["runs"] == 1)
        entry.server.calls.configuration = None
        status, problem = await order
        assert (status, problem["run"]) == (502, "unknown")


async def test_bodies_above_the_total_of_the_process_are_refused():
    # Guards against memory that fills up with request bodies.
    limits = EntryLimits(total_body_bytes=1000)
    async with system([Upstream("a", "kit-desk")], limits=limits) as entry:
        async with entry.post("/kit-desk/stock", data=b"x" * 2000) as answer:
            assert (await answer.json())["code"] == "overloaded"
        async with entry.post("/kit-desk/stock", data=b"x" * 500) as answer:
            assert answer.status == 200


async def test_health_check_fails_while_the_domain_is_out():
    # Guards against load balancers that keep an entry whose failure domain is out.
    configuration = make_configuration()
    async with system([], configuration=configuration) as entry:
        url = entry.server.url + "/healthz"
        async with entry.session.get(url) as health:
            assert health.status == 200
        configuration.domains_by_id["bne-a"] = DomainState("bne-a", "b", out=True)
        async with entry.session.get(url) as health:
            assert health.status == 503


async def call_after(awaitable, function):
    await awaitable
    return function()


async def post_order(entry, key=""):
    headers = {"Idempotency-Key": key} if key else {}
    async with entry.post("/kit-desk/orders", data=b"{}", headers=headers) as answer:
        return answer.status, await answer.json()
