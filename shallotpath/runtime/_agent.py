"""Server of an agent: its message handlers and its life cycle."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from datetime import datetime, timedelta

from ..claims import ClaimDecided
from ..config import ConfigurationView
from ..core import (
    Cancel,
    Code,
    Credit,
    Heartbeat,
    HeartbeatReply,
    Resume,
    StatusQuery,
    StatusReply,
    Submit,
)
from ..streams import SlowReaderBudget
from ._agent_calls import RETRY_AFTER, AgentCalls
from ._agent_part import AgentPart
from ._call_review import CallReview
from ._engine_client import EngineClient
from ._inbound import UNKNOWN_STATE, InboundCall
from ._ports import ConfiguredWeights, GatePort, WeightsPort
from ._shell import Shell
from ._timeouts import AgentTimeouts

MAX_REJECTED_ATTEMPTS = 10_000
DRAIN_POLL_S = 0.02
PEER_RETENTION = timedelta(minutes=1)
DEFAULT_BUDGET_BYTES = 8 * 1024**2


class AgentServer:
    """Control all access to one upstream."""

    def __init__(
        self,
        *,
        shell: Shell,
        part: AgentPart,
        configuration: ConfigurationView,
        gate: GatePort,
        engine: EngineClient,
        service: str,
        domain: str,
        incarnation: str,
        weights: WeightsPort | None = None,
        timeouts: AgentTimeouts | None = None,
        budget_bytes: int = DEFAULT_BUDGET_BYTES,
    ) -> None:
        self.shell = shell
        self.part = part
        self.calls = AgentCalls(
            shell=shell,
            configuration=configuration,
            gate=gate,
            engine=engine,
            weights=weights or ConfiguredWeights(configuration),
            service=service,
            domain=domain,
            incarnation=incarnation,
            timeouts=timeouts or AgentTimeouts(),
            budget=SlowReaderBudget(budget_bytes),
        )
        self.review = CallReview(self.calls)
        self.rejected_attempts_by_id_: OrderedDict[str, int] = OrderedDict()
        self.received_at_by_peer_: dict[str, datetime] = {}
        self.watch_task_: asyncio.Task | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for readers."""
        return self.calls.budget.held_bytes

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are queued or run."""
        return self.calls.in_flight

    async def start(self) -> None:
        """Register the message handlers and poll the engine; start the shell first."""
        self.part.listener_ = self
        self.shell.handlers_by_type.update(
            {
                Submit: self._on_submit,
                Credit: self._on_credit,
                Resume: self._on_resume,
                StatusQuery: self._on_status_query,
                Cancel: self._on_cancel,
                Heartbeat: self._on_heartbeat,
            }
        )
        self.watch_task_ = self.shell.spawn(self.calls.watch.run())

    async def drain(self) -> None:
        """Refuse new work and wait until all accepted calls are answered."""
        self.refuse_new_work()
        for call in list(self.calls.calls_by_id_.values()):
            while self.calls.unfinished(call):  # noqa: ASYNC110
                await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Cancel all runs and stop polling the engine."""
        calls = self.calls.calls_by_id_.values()
        tasks = [call.task for call in calls if call.task is not None]
        tasks.append(self.watch_task_)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.part.listener_ = None

    def refuse_new_work(self) -> None:
        """Start to refuse new work."""
        if not self.calls.checks.draining_:
            self.calls.checks.draining_ = True
            self.shell.telemetry.log("draining", {"in_flight": str(self.in_flight)})

    def claim_decided(self, event: ClaimDecided) -> None:
        """Pass the decision on an idempotency key to the call that waits for it."""
        self.calls.claim_decided(event)

    def schedule_check(self) -> None:
        """Check deadlines, silent entries and budgets after the current event."""
        asyncio.get_running_loop().call_soon(self._check)

    def _check(self) -> None:
        self.review.run(self.received_at_by_peer_)
        limit = self.shell.clock.now() - PEER_RETENTION
        peers = {call.peer for call in self.calls.calls_by_id_.values()}
        for peer, received_at in list(self.received_at_by_peer_.items()):
            if received_at < limit and peer not in peers:
                del self.received_at_by_peer_[peer]

    def _on_submit(self, peer: str, submit: Submit) -> None:
        self._record_contact(peer)
        existing = self.calls.calls_by_id_.get(submit.request_id)
        if existing is not None and existing.submit.attempt >= submit.attempt:
            return
        if existing is not None and existing.active:
            # The earlier attempt still occupies the engine.
            self.calls.detach(existing)
            self.calls.refuse(peer, submit, Code.OVERLOADED, RETRY_AFTER)
        elif self.rejected_attempts_by_id_.get(submit.request_id, -1) >= submit.attempt:
            self.calls.refuse(peer, submit, Code.CANCELLED)
        else:
            self.calls.submit(peer, submit)

    def _on_credit(self, peer: str, credit: Credit) -> None:
        self._record_contact(peer)
        call = self._find_call(credit)
        if call is not None:
            call.writer.credit(credit.total_bytes)
            self.calls.flush(call, progress=True)

    def _on_resume(self, peer: str, resume: Resume) -> None:
        self._record_contact(peer)
        call = self._find_call(resume)
        if call is None:
            self._reply_unknown(peer, resume)
            return
        call.peer = peer
        call.writer.resume(resume.from_seq, resume.total_bytes)
        self.calls.repeat_outcome(call)
        self.calls.flush(call)

    def _on_status_query(self, peer: str, query: StatusQuery) -> None:
        self._record_contact(peer)
        call = self._find_call(query)
        if call is None:
            self._reply_unknown(peer, query)
            return
        call.peer = peer
        reply = StatusReply(
            query.request_id,
            call.state,
            query.attempt,
            self.calls.incarnation,
            call.writer.next_seq,
        )
        self.shell.peer.send(peer, reply)
        self.calls.repeat_outcome(call)

    def _on_cancel(self, peer: str, cancel: Cancel) -> None:
        self._record_contact(peer)
        call = self._find_call(cancel)
        if call is None:
            self._reject_late_submit(cancel)
        elif call.active:
            self.calls.detach(call)

    def _on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        self._record_contact(peer)
        self.shell.peer.send(peer, HeartbeatReply(heartbeat.nonce, self.calls.load()))

    def _find_call(
        self, message: Credit | Resume | StatusQuery | Cancel
    ) -> InboundCall | None:
        call = self.calls.calls_by_id_.get(message.request_id)
        if call is not None and call.submit.attempt == message.attempt:
            return call
        return None

    def _reply_unknown(self, peer: str, message: Resume | StatusQuery) -> None:
        existing = self.calls.calls_by_id_.get(message.request_id)
        if existing is not None and existing.submit.attempt > message.attempt:
            return
        self._reject_late_submit(message)
        reply = StatusReply(
            message.request_id,
            UNKNOWN_STATE,
            message.attempt,
            self.calls.incarnation,
            0,
        )
        self.shell.peer.send(peer, reply)

    def _reject_late_submit(self, message: Resume | StatusQuery | Cancel) -> None:
        # The entry treats the answer "unknown" as "did not run", so a Submit that is
        # still in transit on an older connection must be refused.
        self.rejected_attempts_by_id_[message.request_id] = message.attempt
        self.rejected_attempts_by_id_.move_to_end(message.request_id)
        if len(self.rejected_attempts_by_id_) > MAX_REJECTED_ATTEMPTS:
            self.rejected_attempts_by_id_.popitem(last=False)

    def _record_contact(self, peer: str) -> None:
        self.received_at_by_peer_[peer] = self.shell.clock.now()
