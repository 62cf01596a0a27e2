import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import pytest

from shallotpath.claims import (
    ClaimDecided,
    ClaimState,
    KnownClaim,
    Phase,
    RefuseClaim,
    RunClaim,
)
from shallotpath.config import DomainState
from shallotpath.core import (
    Accepted,
    CallEnded,
    Cancel,
    Code,
    Credit,
    Data,
    Emit,
    End,
    EngineLost,
    Failed,
    Head,
    Heartbeat,
    HeartbeatReply,
    Ping,
    Pong,
    Refused,
    Resume,
    RunState,
    StatusQuery,
    StatusReply,
    Submit,
    Tick,
)
from shallotpath.runtime import AgentTimeouts
from shallotpath.standins import make_token

from .parts import TIMEOUT_S, Upstream, make_configuration, make_shell, until


class RawEntry:
    """Send frames to one agent and collect its replies."""

    def __init__(self, address):
        self.address = address
        self.shell = make_shell("entry", [])
        self.replies = asyncio.Queue()
        self.received_ = []

    async def __aenter__(self):
        for kind in (
            Accepted,
            Refused,
            Head,
            Data,
            End,
            Failed,
            StatusReply,
            HeartbeatReply,
        ):
            self.shell.handlers_by_type[kind] = lambda _, m: self.replies.put_nowait(m)
        await self.shell.start()
        return self

    async def __aexit__(self, *_):
        await self.shell.stop()

    def send(self, message):
        self.shell.peer.send(self.address, message)

    def submit(self, request_id="r", **changes):
        fields = {
            "service": "fold-model",
            "path": "generate",
            "team": "t",
            "body": json.dumps({"prompt": "crane", "max_tokens": 5}).encode(),
            "time_left": timedelta(seconds=30),
            "fingerprint": "f",
        }
        self.send(Submit(request_id, **{"attempt": 1, **fields, **changes}))

    async def next(self, *kinds):
        while True:
            message = await asyncio.wait_for(self.replies.get(), TIMEOUT_S)
            self.received_.append(message)
            if isinstance(message, kinds):
                return message

    def payload(self, request_id="r"):
        return b"".join(
            m.payload
            for m in self.received_
            if isinstance(m, Data) and m.request_id == request_id
        )


@asynccontextmanager
async def agent(service="fold-model", *, timeouts=None, **options):
    configuration = make_configuration()
    upstream = Upstream("a", service, **options)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(upstream.run(configuration, timeouts=timeouts))
        entry = RawEntry(upstream.shell.peer.address_)
        await stack.enter_async_context(entry)
        yield upstream, entry, configuration


async def test_a_generation_is_streamed_to_its_end():
    # Guards against frames that are lost or out of order, a slot that stays taken, and
    # a drain that waits after the answer is confirmed.
    async with agent() as (upstream, entry, _):
        entry.submit()
        end = await entry.next(End)
        assert make_token("d1", "crane", 4).encode() in entry.payload()
        assert (end.length, end.digest) == (len(entry.payload()), "d1")
        assert [type(m) for m in entry.received_[:2]] == [Accepted, Head]
        assert upstream.gate.running_ == set()
        entry.send(Credit("r", 1, end.length + 65537))
        await asyncio.wait_for(upstream.agent.drain(), TIMEOUT_S)


async def test_back_pressure_reaches_the_engine():
    # Guards against an agent that buffers more than its window for a slow reader.
    body = json.dumps({"prompt": "p", "max_tokens": 400_000}).encode()
    async with agent(token_interval_s=0.0) as (upstream, entry, _):
        entry.submit(body=body, window_bytes=1000)
        await entry.next(Data)
        tokens = -1
        while tokens != upstream.engine.counters_["tokens"]:
            tokens = upstream.engine.counters_["tokens"]
            await asyncio.sleep(0.5)
        assert 0 < tokens < 400_000
        assert upstream.agent.held_bytes <= 1000
        assert upstream.agent.in_flight == 1
        entry.send(Credit("r", 1, 2000))
        await until(lambda: upstream.agent.calls.calls_by_id_["r"].writer.next_seq > 1)


async def test_an_engine_crash_fails_the_calls_in_flight_and_names_them():
    # Guards against calls that hang after a crash, and crashes that are not counted
    # against the requests in flight.
    async with agent(token_interval_s=0.05) as (upstream, entry, _):
        entry.submit("r", fingerprint="f1")
        entry.submit("q", fingerprint="f2")
        await entry.next(Data)
        await entry.next(Data)
        upstream.engine.crash()
        failed = [await entry.next(Failed) for _ in range(2)]
        assert {f.code for f in failed} == {Code.UPSTREAM_FAILED}
        assert {f.run for f in failed} == {RunState.YES}
        (lost,) = upstream.events.of(EngineLost)
        assert sorted(lost.fingerprints) == ["f1", "f2"]
        entry.submit("s")
        assert (await entry.next(Refused)).code is Code.UPSTREAM_LOST


async def test_a_lost_plain_run_without_output_is_unknown():
    # Guards against a call that is reported as not run although the engine had received
    # it.
    async with agent("kit-desk", call_s=30) as (upstream, entry, _):
        entry.submit(service="kit-desk", path="stock", body=b"{}")
        await until(lambda: upstream.engine.tasks_by_id_)
        upstream.engine.crash()
        assert (await entry.next(Failed)).run is RunState.UNKNOWN
        ended = upstream.events.of(CallEnded)[0]
        assert (ended.run, ended.code) == (RunState.UNKNOWN, Code.UPSTREAM_FAILED)


async def test_an_answer_of_other_weights_is_not_passed_on():
    # Guards against answers from a version that the configuration does not name.
    async with agent() as (upstream, entry, configuration):
        upstream.agent.watch_task_.cancel()
        upstream.engine.digest_ = "d2"
        entry.submit()
        failed = await entry.next(Failed)
        assert (failed.code, failed.run) == (Code.WEIGHTS_NOT_READY, RunState.YES)
        assert entry.payload() == b""


async def test_a_call_that_must_not_run_is_refused_with_the_right_code():
    # Guards against a refusal with a wrong code, and a refused call that reaches the
    # engine.
    async with agent() as (upstream, entry, configuration):
        entry.submit("pinned", digest="d2")
        assert (await entry.next(Refused)).code is Code.WEIGHTS_NOT_READY
        entry.submit("late", time_left=timedelta(0))
        assert (await entry.next(Refused)).code is Code.DEADLINE_UNREACHABLE
        entry.submit("malformed", body=b"{")
        assert (await entry.next(Refused)).code is Code.MALFORMED_REQUEST
        entry.submit("other", service="kit-desk")
        assert (await entry.next(Refused)).code is Code.UNKNOWN_SERVICE
        configuration.domains_by_id["bne-a"] = DomainState("bne-a", "b", out=True)
        entry.submit("out")
        assert (await entry.next(Refused)).code is Code.DOMAIN_OUT
        upstream.agent.refuse_new_work()
        entry.submit("drain")
        assert (await entry.next(Refused)).code is Code.DRAINING
        assert upstream.engine.counters_["runs"] == 0


async def test_a_submit_that_arrives_after_the_answer_unknown_does_not_run():
    # Guards against a request that is reported as not run and runs afterwards.
    async with agent() as (upstream, entry, _):
        entry.send(StatusQuery("r", 1))
        assert (await entry.next(StatusReply)).state == "unknown"
        entry.submit()
        assert (await entry.next(Refused)).code is Code.CANCELLED
        entry.submit(attempt=2)
        await entry.next(End)
        assert upstream.engine.counters_["runs"] == 1


async def test_a_repeated_submit_runs_once():
    # Guards against a second run of a submit that the network duplicated.
    async with agent() as (upstream, entry, _):
        entry.submit()
        entry.submit()
        await entry.next(End)
        entry.submit()
        entry.send(Heartbeat(1))
        await entry.next(HeartbeatReply)
        assert upstream.engine.counters_["runs"] == 1


async def test_a_replaced_connection_resumes_the_stream():
    # Guards against a gap, or a second run, after the entry replaced its connection.
    async with agent(token_interval_s=0.01) as (upstream, entry, _):
        body = json.dumps({"prompt": "p", "max_tokens": 30}).encode()
        entry.submit(body=body)
        await entry.next(Data)
        entry.shell.peer.reconnect(entry.address)
        entry.send(Resume("r", 1, 0, 65536))
        end = await entry.next(End)
        frames = {m.seq: m.payload for m in entry.received_ if isinstance(m, Data)}
        assert len(frames) == end.frames
        whole = b"".join(frames[seq] for seq in sorted(frames))
        assert len(whole) == end.length
        assert upstream.engine.counters_["runs"] == 1


async def test_a_cancel_reaches_the_engine_and_frees_the_slot():
    # Guards against an engine that goes on with a cancelled run.
    async with agent(token_interval_s=0.2) as (upstream, entry, _):
        entry.submit()
        await entry.next(Data)
        entry.send(Cancel("r", 1))
        await until(lambda: not upstream.gate.running_)
        assert upstream.engine.tasks_by_id_ == {}
        assert upstream.engine.counters_["cancelled"] == 1


@pytest.mark.parametrize("silent", [False, True])
async def test_an_order_runs_to_its_end_when_its_entry_disappears(silent):
    # Guards against a non-repeatable call that is cut off halfway with its entry.
    timeouts = AgentTimeouts(entry_silence=timedelta(milliseconds=50))
    async with agent("kit-desk", call_s=0.5, timeouts=timeouts) as parts:
        upstream, entry, _ = parts
        order = {"service": "kit-desk", "path": "orders", "body": b"{}"}
        entry.submit(**order, key="k", repeatable=False)
        await entry.next(Accepted)
        if not silent:
            entry.send(Cancel("r", 1))
        await until(lambda: upstream.engine.counters_["completed"] == 1)
        await until(lambda: upstream.claims.states_by_key_["k"].phase == "finished")
        entry.submit("again", **order, key="k", repeatable=False)
        while (await entry.next(End)).request_id != "again":
            pass
        assert json.loads(entry.payload("again"))["state"] == "finished"
        assert upstream.engine.runs_by_key_["k"] == 1


async def test_a_claim_that_is_granted_after_the_deadline_does_not_run():
    # Guards against an order that runs after it was reported as not run, and
    # against a key that stays in the state "running".
    async with agent("kit-desk") as (upstream, entry, _):
        upstream.claims.request = lambda key, request_id, fresh, now: []
        order = {"service": "kit-desk", "path": "orders", "body": b"{}"}
        soon = timedelta(milliseconds=50)
        entry.submit(**order, key="k", repeatable=False, time_left=soon)
        refused = await entry.next(Refused)
        assert refused.code is Code.DEADLINE_EXCEEDED
        upstream.shell.dispatch(ClaimDecided("r", "k", RunClaim()))
        await until(lambda: upstream.claims.released_ == ["k"])
        assert upstream.engine.counters_["runs"] == 0


@pytest.mark.parametrize(
    ("decision", "code", "run"),
    [
        (KnownClaim(ClaimState(Phase.RUNNING)), Code.CLAIM_IN_PROGRESS, RunState.YES),
        (KnownClaim(ClaimState(Phase.UNKNOWN)), Code.CLAIM_UNKNOWN, RunState.UNKNOWN),
        (
            RefuseClaim(Code.CLAIM_UNKNOWN, RunState.UNKNOWN),
            Code.CLAIM_UNKNOWN,
            RunState.UNKNOWN,
        ),
    ],
)
async def test_a_key_that_may_have_run_is_never_handed_to_the_engine(
    decision, code, run
):
    # Guards against a second run of an order whose first run may have taken effect.
    async with agent("kit-desk") as (upstream, entry, _):
        upstream.claims.request = lambda key, request_id, fresh, now: [
            Emit(ClaimDecided(request_id, key, decision))
        ]
        order = {"service": "kit-desk", "path": "orders", "body": b"{}"}
        entry.submit(**order, key="k", repeatable=False)
        failed = await entry.next(Failed)
        assert (failed.code, failed.run) == (code, run)
        assert upstream.engine.counters_["runs"] == 0


async def test_a_repeatable_call_of_a_silent_entry_is_cancelled():
    # Guards against runs for entries that no longer exist.
    timeouts = AgentTimeouts(entry_silence=timedelta(milliseconds=50))
    async with agent(token_interval_s=1.0, timeouts=timeouts) as parts:
        upstream, entry, _ = parts
        entry.submit()
        await entry.next(Accepted)
        await until(lambda: not upstream.gate.running_)
        await until(lambda: upstream.engine.counters_["cancelled"] == 1)


async def test_queued_calls_start_in_a_free_slot_and_end_when_the_domain_is_out():
    # Guards against queued calls that wait for a slot in a domain that is out, and
    # running calls that are cut off with it.
    async with agent(token_interval_s=0.02) as (upstream, entry, configuration):
        upstream.gate.limit = 1
        entry.submit("r")
        entry.submit("q")
        assert (await entry.next(End)).request_id == "r"
        assert (await entry.next(End)).request_id == "q"
        entry.submit("running")
        entry.submit("queued")
        await entry.next(Data)
        configuration.domains_by_id["bne-a"] = DomainState("bne-a", "b", out=True)
        upstream.shell.dispatch(Tick())
        refused = await entry.next(Refused)
        assert (refused.request_id, refused.code) == ("queued", Code.DOMAIN_OUT)
        assert (await entry.next(End)).request_id == "running"


async def test_a_frozen_engine_gets_no_new_work():
    # Guards against calls that wait for an engine whose state is out of date.
    async with agent() as (upstream, entry, _):
        watch = upstream.agent.calls.watch
        await until(lambda: watch.observed_ is not None)
        upstream.agent.watch_task_.cancel()
        watch.observed_at_ -= timedelta(seconds=10)
        entry.submit()
        assert (await entry.next(Refused)).code is Code.UPSTREAM_LOST


async def test_the_gauges_show_held_bytes_and_calls_in_flight():
    # Guards against gauges that show nothing of the agent's load.
    async with agent(token_interval_s=0.05) as (upstream, entry, _):
        entry.submit()
        await entry.next(Data)
        upstream.shell.dispatch(Tick())
        assert upstream.telemetry.gauges_["in_flight"] == 1
        assert upstream.telemetry.gauges_["held_bytes"] > 0


async def test_a_bad_frame_is_counted_and_the_next_call_runs():
    # Guards against a frame that does not decode and stops the receiver.
    async with agent() as (upstream, entry, _):
        entry.shell.peer._dealer(entry.address).socket.send(b"\x93\x01\xa6Submit\x80")
        entry.submit()
        await entry.next(End)
        assert upstream.shell.peer.bad_frames_ == 1


async def test_an_order_that_waits_for_its_claim_holds_no_slot():
    # Guards against orders that queue behind a key whose witnesses do not answer.
    async with agent("kit-desk") as (upstream, entry, _):
        upstream.gate.limit = 1
        decide = upstream.claims.request
        upstream.claims.request = lambda key, request_id, fresh, now: (
            [] if key == "waits" else decide(key, request_id, fresh, now)
        )
        order = {"service": "kit-desk", "path": "orders", "body": b"{}"}
        entry.submit("first", **order, key="waits", repeatable=False)
        await entry.next(Accepted)
        entry.submit("second", **order, key="k", repeatable=False)
        assert (await entry.next(End)).request_id == "second"
        assert upstream.engine.runs_by_key_["waits"] == 0


async def test_membership_probes_are_left_to_the_node():
    # Guards against handlers of the request path that replace the node's handling
    # of probes, whose answers the membership waits for.
    async with agent() as (upstream, _, _):
        assert not {Ping, Pong} & set(upstream.shell.handlers_by_type)
