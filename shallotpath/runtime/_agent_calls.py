"""Calls of an agent: admission, runs on the engine and their ends."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from datetime import datetime, timedelta

from ..claims import ClaimDecided, ClaimDecision, KnownClaim, RefuseClaim, RunClaim
from ..config import ConfigurationView
from ..core import (
    DECODING_ERRORS,
    Accepted,
    CallEnded,
    Code,
    EngineLost,
    EngineObserved,
    Failed,
    Load,
    Message,
    Refused,
    RunState,
    Submit,
)
from ..limits import Admit, Call, Refuse
from ..streams import ResponseWriter, SlowReaderBudget
from ._admission import AdmissionChecks
from ._agent_part import ClaimReleased, ClaimWanted
from ._claim_states import answer_known, claim_end
from ._engine_client import EngineClient
from ._engine_run import EngineRun
from ._engine_watch import EngineWatch
from ._inbound import CallState, Failure, InboundCall, make_call
from ._ports import (
    GatePort,
    WeightsPort,
)
from ._shell import Shell
from ._timeouts import AgentTimeouts

RETRY_AFTER = timedelta(seconds=1)
# Bounds the memory of one stream, whatever window its entry asks for.
MAX_WINDOW_BYTES = 1024 * 1024
# Refusals whose cause soon ends by itself; the entry is told when to retry.
TRANSIENT_REFUSALS = frozenset({Code.WEIGHTS_NOT_READY, Code.UPSTREAM_LOST})


class AgentCalls:
    """Admit calls, run them on the engine and keep their results for entries."""

    def __init__(
        self,
        *,
        shell: Shell,
        configuration: ConfigurationView,
        gate: GatePort,
        engine: EngineClient,
        weights: WeightsPort,
        service: str,
        domain: str,
        incarnation: str,
        timeouts: AgentTimeouts,
        budget: SlowReaderBudget,
    ) -> None:
        self.shell = shell
        self.configuration = configuration
        self.gate = gate
        self.engine = engine
        self.weights = weights
        self.service = service
        self.incarnation = incarnation
        self.timeouts = timeouts
        self.budget = budget
        self.watch = EngineWatch(
            engine, shell.clock, self._on_engine_observed, self._on_engine_lost
        )
        self.runner = EngineRun(engine, self.watch, self.flush, gate.held)
        self.checks = AdmissionChecks(
            configuration=configuration,
            weights=weights,
            watch=self.watch,
            service=service,
            domain=domain,
        )
        self.calls_by_id_: dict[str, InboundCall] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are queued or run."""
        return sum(call.active for call in self.calls_by_id_.values())

    def load(self) -> Load:
        """Return the load to report to entries."""
        return replace(
            self.gate.load(), incarnation=self.incarnation, digest=self.watch.digest
        )

    def unfinished(self, call: InboundCall) -> bool:
        """Check whether a drain must wait for the call."""
        return call.active or (
            call.state is CallState.ENDED
            and not call.writer.settled
            and not call.detached
            and self.shell.clock.now() - call.done_at < self.timeouts.answer_kept
        )

    def submit(self, peer: str, submit: Submit) -> None:
        """Refuse, queue or start an attempt."""
        now = self.shell.clock.now()
        code = self.checks.refusal(submit, now)
        if code is not None:
            retry_after = RETRY_AFTER if code in TRANSIENT_REFUSALS else None
            self.refuse(peer, submit, code, retry_after)
            return
        service = self.configuration.services_by_id[submit.service]
        try:
            gate_call = make_call(submit, service, now)
        except DECODING_ERRORS:
            self.refuse(peer, submit, Code.MALFORMED_REQUEST)
            return
        if submit.repeatable:
            self._admit(peer, submit, gate_call, now)
        else:
            self._start_claim(self._record(peer, submit, gate_call))

    def _admit(self, peer: str, submit: Submit, gate_call: Call, now: datetime) -> None:
        decision = self.gate.request(gate_call, now)
        if isinstance(decision, Refuse):
            self.refuse(peer, submit, decision.code, decision.retry_after)
            return
        call = self._record(peer, submit, gate_call)
        if isinstance(decision, Admit):
            self._start(call)

    def _start_claim(self, call: InboundCall) -> None:
        # The decision on an idempotency key can take seconds; the call must not hold
        # a concurrency slot of the upstream meanwhile.
        call.state = CallState.CLAIMING
        self._accept(call)
        self._spawn(call, self._claim(call))

    async def _claim(self, call: InboundCall) -> None:
        try:
            decision = await self._wait_for_decision(call)
        except asyncio.CancelledError:
            if call.stop_failure is None:
                raise
            self.end(call, call.stop_failure)
            return
        if isinstance(decision, RefuseClaim):
            self.end(call, Failure(decision.code, decision.run))
        elif isinstance(decision, KnownClaim):
            self.end(call, answer_known(call, decision.state.phase))
        else:
            self._admit_claimed(call)

    def _admit_claimed(self, call: InboundCall) -> None:
        decision = self.gate.request(call.call, self.shell.clock.now())
        if isinstance(decision, Refuse):
            self.end(call, Failure(decision.code, RunState.NO))
            return
        call.state = CallState.QUEUED
        call.task = None
        if isinstance(decision, Admit):
            self._start(call)

    def refuse(
        self,
        peer: str,
        submit: Submit,
        code: Code,
        retry_after: timedelta | None = None,
    ) -> None:
        """Reply that an attempt was not sent to the upstream."""
        refused = Refused(
            submit.request_id, submit.attempt, code, self.load(), retry_after
        )
        self.shell.telemetry.count("refused", {"code": code}, 1)
        self._send(peer, refused)

    def detach(self, call: InboundCall) -> None:
        """Stop a call that is repeatable or queued; let others run without a reader."""
        if call.submit.repeatable or call.state is CallState.QUEUED:
            self.stop(call, Code.CANCELLED)
        else:
            call.detached = True
            call.room.set()

    def stop(self, call: InboundCall, code: Code) -> None:
        """Stop a call early."""
        if call.task is None:
            self.end(call, Failure(code, RunState.NO))
        elif call.stop_failure is None:
            call.stop_failure = Failure(code, call.run)
            self._interrupt(call)

    def _interrupt(self, call: InboundCall) -> None:
        if call.task is not asyncio.current_task():
            call.task.cancel()

    def flush(self, call: InboundCall, *, progress: bool = False) -> None:
        """Send the frames that the credit allows and update the reader budget."""
        for message in call.writer.frames():
            self._send(call.peer, message)
        if call.writer.room > 0:
            call.room.set()
        self.budget.update(
            call.submit.request_id,
            call.writer.held_bytes,
            self.shell.clock.now(),
            progress=progress,
        )

    def repeat_outcome(self, call: InboundCall) -> None:
        """Send the refusal or failure of a call again, if it has one."""
        if call.outcome is not None:
            self._send(call.peer, call.outcome)

    def claim_decided(self, event: ClaimDecided) -> None:
        """Pass on the decision on a key, or release the key if its call is over."""
        granted = isinstance(event.decision, RunClaim)
        call = self.calls_by_id_.get(event.request_id)
        if call is not None and call.active:
            if not call.claimed:
                call.claimed = granted
                call.set_decision(event.decision)
        elif granted and (call is None or not call.claimed):
            released = ClaimReleased(event.key, event.request_id)
            asyncio.get_running_loop().call_soon(self.shell.dispatch, released)

    def _record(self, peer: str, submit: Submit, gate_call: Call) -> InboundCall:
        window = max(1, min(submit.window_bytes, MAX_WINDOW_BYTES))
        writer = ResponseWriter(submit.request_id, submit.attempt, window)
        call = InboundCall(submit, gate_call, peer, writer)
        self.calls_by_id_[submit.request_id] = call
        return call

    def _start(self, call: InboundCall) -> None:
        call.state = CallState.RUNNING
        self._accept(call)
        self._spawn(call, self._run(call))

    def _accept(self, call: InboundCall) -> None:
        ids = (call.submit.request_id, call.submit.attempt)
        self._send(call.peer, Accepted(*ids, self.incarnation, self.load()))

    def _spawn(self, call: InboundCall, coroutine: Coroutine) -> None:
        call.task = self.shell.spawn(coroutine)
        call.task.add_done_callback(lambda _: self._end_if_stopped(call))

    def _end_if_stopped(self, call: InboundCall) -> None:
        # A task that is cancelled before its first step reaches no `except` clause.
        if call.stop_failure is not None:
            self.end(call, call.stop_failure)

    async def _run(self, call: InboundCall) -> None:
        try:
            failure = await self._run_on_engine(call)
        except asyncio.CancelledError:
            if call.stop_failure is None:
                raise
            failure = call.stop_failure
        except Exception:
            self.end(call, Failure(Code.UPSTREAM_FAILED, call.run))
            raise
        if failure is not None and call.handed_over:
            # The gate must not free the slot while the engine still runs the call.
            await self.engine.cancel(call.run_id)
        self.end(call, failure)

    async def _run_on_engine(self, call: InboundCall) -> Failure | None:
        digest = self.weights.digest(self.service)
        # The engine may have changed while the call was queued.
        code = self.checks.engine_refusal(call.submit, self.shell.clock.now())
        if code is not None:
            return Failure(code, RunState.NO)
        service = self.configuration.services_by_id[self.service]
        return await self.runner.run(call, service, digest)

    async def _wait_for_decision(self, call: InboundCall) -> ClaimDecision:
        submit = call.submit
        call.decision_future = asyncio.get_running_loop().create_future()
        wanted = ClaimWanted(submit.key, submit.request_id, submit.fresh_key)
        self.shell.dispatch(wanted)
        return await call.decision_future

    def end(self, call: InboundCall, failure: Failure | None) -> None:
        """Close a call, report its end and start queued calls in its slot."""
        if not call.active:
            return
        now = self.shell.clock.now()
        call.done_at = now
        # The record stays for status queries; the body is not needed any more.
        call.submit = replace(call.submit, body=b"")
        self._report_end(call, failure)
        if failure is None and call.discarded:
            failure = Failure(Code.SLOW_READER, RunState.YES)
        if failure is None:
            call.state = CallState.ENDED
            call.writer.finish(self.load())
            self.flush(call)
        else:
            self._fail(call, failure)
        completed = call.state is CallState.ENDED
        for gate_call in self.gate.release(call.submit.request_id, completed, now):
            self.start_queued(gate_call)

    def _report_end(self, call: InboundCall, failure: Failure | None) -> None:
        submit = call.submit
        run = failure.run if failure else RunState.YES
        code = failure.code if failure else None
        if call.handed_over:
            self.shell.dispatch(CallEnded(submit.request_id, run, code))
        if call.claimed:
            self.shell.dispatch(claim_end(submit, failure))

    def _fail(self, call: InboundCall, failure: Failure) -> None:
        submit = call.submit
        ids = (submit.request_id, submit.attempt, failure.code)
        if failure.run is RunState.NO:
            call.state = CallState.REFUSED
            call.outcome = Refused(*ids, self.load(), RETRY_AFTER)
        else:
            call.state = CallState.FAILED
            call.outcome = Failed(*ids, failure.run, self.load())
        self.drop_answer(call)
        self.shell.telemetry.count("call_failed", {"code": failure.code}, 1)
        self.repeat_outcome(call)

    def start_queued(self, gate_call: Call) -> None:
        """Start a queued call that the gate has admitted."""
        call = self.calls_by_id_.get(gate_call.request_id)
        if call is not None and call.state is CallState.QUEUED:
            self._start(call)
        else:
            now = self.shell.clock.now()
            for other in self.gate.release(gate_call.request_id, False, now):
                self.start_queued(other)

    def drop_answer(self, call: InboundCall) -> None:
        """Discard the buffered rest of an answer."""
        call.writer.drop()
        self.budget.remove(call.submit.request_id)

    def _on_engine_observed(self, observed: EngineObserved) -> None:
        self.shell.dispatch(observed)
        if not self.in_flight - self._queued_count():
            # Queued calls normally start when a run ends; without runs, the gate is
            # asked for them here.
            for gate_call in self.gate.release("", False, self.shell.clock.now()):
                self.start_queued(gate_call)

    def _queued_count(self) -> int:
        states = [call.state for call in self.calls_by_id_.values()]
        return states.count(CallState.QUEUED)

    def _on_engine_lost(self, new_incarnation: str) -> None:
        lost = [
            call
            for call in self.calls_by_id_.values()
            if call.active
            and call.handed_over
            and (not call.incarnation or call.incarnation != new_incarnation)
        ]
        self.shell.telemetry.log("engine_lost", {"in_flight": str(len(lost))})
        fingerprints = [call.submit.fingerprint for call in lost]
        self.shell.dispatch(EngineLost([text for text in fingerprints if text]))
        for call in lost:
            self.stop(call, Code.UPSTREAM_FAILED)

    def _send(self, peer: str, message: Message) -> None:
        # A frame that the full send queue drops is sent again when the entry resumes.
        if not self.shell.peer.send(peer, message):
            self.shell.telemetry.count("send_dropped", {}, 1)
