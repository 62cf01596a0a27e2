"""How a claimed run ended, as the claim table keeps and reports it."""

from __future__ import annotations

import msgspec

from ..core import Code, RunState
from ._inbound import UNKNOWN_STATE, Failure, InboundCall

COMPLETED = "completed"
NOT_RUN = "not_run"
RUNNING = "running"

_FAILURE_BY_STATE = {
    RUNNING: Failure(Code.CLAIM_IN_PROGRESS, RunState.YES),
    NOT_RUN: Failure(Code.UPSTREAM_FAILED, RunState.NO),
}


def claim_status(failure: Failure | None) -> str:
    """Return the status to keep for a claimed run."""
    if failure is None:
        return COMPLETED
    return NOT_RUN if failure.run is RunState.NO else UNKNOWN_STATE


def answer_known(call: InboundCall, state: str) -> Failure | None:
    """Answer a repeated key with the state of its run, or return the failure."""
    if state != COMPLETED:
        unknown = Failure(Code.CLAIM_UNKNOWN, RunState.UNKNOWN)
        return _FAILURE_BY_STATE.get(state, unknown)
    call.writer.begin(200, "application/json", "")
    answer = {"idempotency_key": call.submit.key, "state": state}
    call.writer.write(msgspec.json.encode(answer))
    return None
