"""Longest predicted wait with which a request is admitted."""

from __future__ import annotations

from datetime import datetime, timedelta

from ._call import GatewayCall
from ._catalog import Service
from ._engine_model import Prediction
from ._overload import OverloadDetector

# Share of the target latency that a prediction may use; the rest covers its error.
ADMISSION_TARGET_SHARE = 0.9
# A retry has already missed its target latency, so it may wait behind first attempts.
RETRY_MAX_WAIT = timedelta(milliseconds=1500)
# Under sustained overload a retry only gets a slot that is free or about to become
# free; a full engine frees one every 110 ms.
OVERLOADED_RETRY_MAX_WAIT = timedelta(milliseconds=150)
# Requests per slot at which the queue of a service without engines counts as full.
MAX_REQUESTS_PER_SLOT = 3


def is_admissible(
    call: GatewayCall,
    service: Service,
    prediction: Prediction,
    detector: OverloadDetector,
    now: datetime,
) -> bool:
    """Check whether a request meets its target, or as a retry is served soon."""
    if service.engine is None:
        return prediction.wait < call.route.target_latency * MAX_REQUESTS_PER_SLOT
    if call.is_retry:
        sustained = detector.sustained(call.service)
        max_wait = OVERLOADED_RETRY_MAX_WAIT if sustained else RETRY_MAX_WAIT
        return prediction.wait <= min(max_wait, call.time_left(now) / 2)
    # The request's own prompt counts with the usual size, so that long prompts are
    # not rejected more often than short ones.
    usual_prefill = timedelta(
        seconds=service.engine.usual_prompt_tokens / service.engine.prefill_tokens_per_s
    )
    return (
        prediction.wait + usual_prefill
        <= call.route.target_latency * ADMISSION_TARGET_SHARE
    )
