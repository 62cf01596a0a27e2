"""Record what the answers of upstreams show, for the predictions of later requests."""

from __future__ import annotations

from ..gateway import GatewayCall
from ._attempt import Attempt
from ._parts import ForwarderParts

_SERVER_ERROR = 500


def record_answer_time(
    parts: ForwarderParts, call: GatewayCall, attempt: Attempt
) -> None:
    """Record how long an upstream took, unless it runs an engine or failed."""
    service = parts.dispatcher.operator.catalog.services_by_id.get(call.service)
    if service is None or service.engine is not None:
        return
    if attempt.status < _SERVER_ERROR:
        parts.dispatcher.loads.completions.record_answer(
            call.service,
            attempt.placement.upstream.id,
            call.route.id,
            duration=attempt.head_at - attempt.sent_at,
            now=attempt.head_at,
        )


def record_first_token(
    parts: ForwarderParts, call: GatewayCall, attempt: Attempt
) -> None:
    """Compare the prediction for a request with the time that its engine took."""
    placement, now = attempt.placement, parts.clock.now()
    # Requests that yield to others wait for an unknown number of those.
    if not placement.yielding:
        parts.dispatcher.predictor.record_first_token(
            call.service,
            placement.upstream,
            prediction=placement.prediction,
            duration=now - attempt.sent_at,
            now=now,
        )
