"""How a claimed run ended, as the claim table keeps and reports it."""

from __future__ import annotations

from ..claims import Phase
from ..core import Code, RunState, Submit
from ._agent_part import ClaimFinished, ClaimReleased
from ._inbound import Failure

STATUS_OK = 200
STATUS_UNKNOWN = 0


def claim_end(submit: Submit, failure: Failure | None) -> ClaimFinished | ClaimReleased:
    """Return the event that tells the claim table how a claimed run ended."""
    if failure is not None and failure.run is RunState.NO:
        return ClaimReleased(submit.key, submit.request_id)
    status = STATUS_OK if failure is None else STATUS_UNKNOWN
    return ClaimFinished(submit.key, submit.request_id, status)


def known_failure(phase: Phase) -> Failure | None:
    """Return the answer to a repeated key, or `None` if its run completed."""
    if phase is Phase.FINISHED:
        return None
    if phase is Phase.RUNNING:
        return Failure(Code.CLAIM_IN_PROGRESS, RunState.YES)
    return Failure(Code.CLAIM_UNKNOWN, RunState.UNKNOWN)
