"""Longest predicted wait with which a request is admitted."""

from __future__ import annotations

from datetime import datetime, timedelta

from ._call import GatewayCall
from ._catalog import EngineRates, Service
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
        return prediction.wait <= max_retry_wait(call, now, sustained=sustained)
    # The request's own prompt counts with the usual size, so that long prompts are
    # not rejected more often than short ones.
    return (
        prediction.wait + usual_prefill(service.engine)
        <= call.route.target_latency * ADMISSION_TARGET_SHARE
    )


def max_retry_wait(call: GatewayCall, now: datetime, *, sustained: bool) -> timedelta:
    """Return the longest wait of a retry at an engine."""
    max_wait = OVERLOADED_RETRY_MAX_WAIT if sustained else RETRY_MAX_WAIT
    return min(max_wait, call.time_left(now) / 2)


def max_first_wait(target: timedelta, rates: EngineRates) -> timedelta:
    """Return the longest wait with which an engine meets a target."""
    return target * ADMISSION_TARGET_SHARE - usual_prefill(rates)


def usual_prefill(rates: EngineRates) -> timedelta:
    """Return the time to read a prompt of the usual size."""
    return timedelta(seconds=rates.usual_prompt_tokens / rates.prefill_tokens_per_s)
