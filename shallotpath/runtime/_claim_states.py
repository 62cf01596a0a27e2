"""Outcome of a run with an idempotency key: its record and its report."""

from __future__ import annotations

import msgspec

from ..claims import Phase
from ..core import Code, RunState, Submit
from ._agent_part import ClaimFinished, ClaimReleased
from ._inbound import Failure, InboundCall

STATUS_OK = 200
STATUS_UNKNOWN = 0


def claim_end(submit: Submit, failure: Failure | None) -> ClaimFinished | ClaimReleased:
    """Return the event that records in the claim table how a run ended."""
    if failure is not None and failure.run is RunState.NO:
        return ClaimReleased(submit.key, submit.request_id)
    status = STATUS_OK if failure is None else STATUS_UNKNOWN
    return ClaimFinished(submit.key, submit.request_id, status)


def answer_known(call: InboundCall, phase: Phase) -> Failure | None:
    """Write the state of the run of a repeated key, or return the failure."""
    if phase is Phase.RUNNING:
        return Failure(Code.CLAIM_IN_PROGRESS, RunState.YES)
    if phase is not Phase.FINISHED:
        return Failure(Code.CLAIM_UNKNOWN, RunState.UNKNOWN)
    call.writer.begin(200, "application/json", "")
    answer = {"idempotency_key": call.submit.key, "state": phase}
    call.writer.write(msgspec.json.encode(answer))
    return None
