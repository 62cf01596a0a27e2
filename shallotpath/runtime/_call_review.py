"""Periodic review of the calls of an agent: expiry, silent entries, slow readers."""

from __future__ import annotations

from datetime import datetime

from ..core import Code, Failed, RunState
from ._agent_calls import AgentCalls
from ._inbound import CallState, Failure, InboundCall


class CallReview:
    """Stop calls that must not continue and remove records of calls that ended."""

    __slots__ = ("calls",)

    def __init__(self, calls: AgentCalls) -> None:
        self.calls = calls

    def run(self, received_at_by_peer: dict[str, datetime]) -> None:
        """Review all calls once."""
        calls = self.calls
        now = calls.shell.clock.now()
        for expired in calls.gate.expire(now):
            call = calls.calls_by_id_.get(expired.call.request_id)
            if call is not None:
                calls.end(call, Failure(expired.code, RunState.NO))
        # Queued calls can also start without the end of another call: when the limit
        # grows or a pause ends.
        for queued_call in calls.gate.ready(now):
            calls.start_queued(queued_call)
        for call in list(calls.calls_by_id_.values()):
            if call.active:
                self._review_active(call, now, received_at_by_peer)
            else:
                self._review_done(call, now)
        for request_id in calls.budget.streams_to_cancel(now):
            self._stop_slow_reader(calls.calls_by_id_[request_id])

    def _review_active(
        self, call: InboundCall, now: datetime, received_at_by_peer: dict[str, datetime]
    ) -> None:
        calls = self.calls
        received_at = received_at_by_peer.get(call.peer, now)
        may_stop = call.submit.repeatable or call.state is not CallState.RUNNING
        if call.state is CallState.QUEUED and calls.checks.domain_out:
            calls.stop(call, Code.DOMAIN_OUT)
        elif now - received_at > calls.timeouts.entry_silence:
            calls.detach(call)
        elif now > call.call.deadline and may_stop:
            calls.stop(call, Code.DEADLINE_EXCEEDED)

    def _review_done(self, call: InboundCall, now: datetime) -> None:
        calls = self.calls
        kept_for = calls.timeouts.answer_kept
        if now - call.done_at > kept_for and call.writer.held_bytes:
            calls.drop_answer(call)
            call.outcome = self._slow_reader_failure(call)
        # The record is kept beyond the deadline, so that a late status query about a
        # request that ran is never answered with "unknown".
        if now > max(call.done_at, call.call.deadline) + kept_for:
            calls.budget.remove(call.submit.request_id)
            del calls.calls_by_id_[call.submit.request_id]

    def _stop_slow_reader(self, call: InboundCall) -> None:
        calls = self.calls
        if call.active and call.submit.repeatable:
            calls.stop(call, Code.SLOW_READER)
            return
        # An unrepeatable request must not be interrupted, so it runs on and its
        # response is dropped.
        call.detached = call.discarded = True
        calls.drop_answer(call)
        call.room.set()
        if not call.active:
            call.outcome = self._slow_reader_failure(call)
            calls.repeat_outcome(call)

    def _slow_reader_failure(self, call: InboundCall) -> Failed:
        ids = (call.submit.request_id, call.submit.attempt)
        return Failed(*ids, Code.SLOW_READER, RunState.YES, self.calls.load())
