"""How a claimed run ended, as the claim table keeps and reports it."""

from __future__ import annotations

from ..core import Code, RunState
from ._inbound import UNKNOWN_STATE, Failure

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


def known_failure(state: str) -> Failure | None:
    """Return the answer to a repeated key, or `None` if its run completed."""
    if state == COMPLETED:
        return None
    return _FAILURE_BY_STATE.get(state, Failure(Code.CLAIM_UNKNOWN, RunState.UNKNOWN))
