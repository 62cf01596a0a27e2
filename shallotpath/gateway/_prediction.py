"""Prediction of the latency of a request at an upstream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta

from ..admission import UNRANKED
from ._call import GatewayCall
from ._catalog import Service
from ._completion import predict_completion
from ._engine_model import EngineLoad, Prediction, predict_first_token
from ._loads import LoadTracker
from ._prediction_errors import PredictionErrors
from ._upstreams import Upstream

# Added to the cost of upstreams in other regions, since links between regions have
# little bandwidth and are charged for.
REGION_PREFERENCE = timedelta(milliseconds=100)
# The same for services whose completions are predicted, as a share of the target: work
# leaves a busy region once it waits there for a quarter of what its caller allows.
REGION_PREFERENCE_SHARE = 0.25


class LatencyPredictor:
    """Predict how long requests wait at upstreams by the loads that are known."""

    __slots__ = ("errors", "loads", "region_of")

    def __init__(
        self,
        loads: LoadTracker,
        region_of: Callable[[Upstream], str],
    ) -> None:
        self.loads = loads
        self.region_of = region_of
        self.errors = PredictionErrors()

    def predict(
        self,
        call: GatewayCall,
        service: Service,
        upstream: Upstream,
        now: datetime,
        *,
        priority: int | None = None,
    ) -> Prediction:
        """Predict the time to the response, or to the first token of an engine.

        The priority is the one that the engine orders requests by; without it, that of
        a service with one priority.
        """
        load = self.loads.load(upstream.id, upstream.record.address, now)
        if service.engine is None:
            return self._predict_completion(call, service, upstream, load, now)
        if priority is None:
            priority = UNRANKED.engine_priority(is_retry=call.is_retry)
        load = load.ahead_of(priority, service.engine.slots)
        predicted = predict_first_token(service.engine, load, call.prompt_tokens)
        if not self.loads.completions.shares_vms(service.id):
            return predicted
        delay = self.errors.delay(service.id, self.region_of(upstream), now)
        return replace(predicted, wait=predicted.wait + delay, correction=delay)

    def record_first_token(
        self,
        service: str,
        upstream: Upstream,
        *,
        prediction: Prediction,
        duration: timedelta,
        now: datetime,
    ) -> None:
        """Compare a prediction with the time that an engine took."""
        completions = self.loads.completions
        if completions.shares_vms(service):
            error = duration - (prediction.first_token - prediction.correction)
            self.errors.record(service, self.region_of(upstream), error, now)
            completions.record_first_token(service, upstream.id, duration, now)

    def region_cost(self, call: GatewayCall, service: Service) -> timedelta:
        """Return what is added to the cost of upstreams in other regions.

        The delay of the links to them is part of the predictions.
        """
        if service.engine is None:
            usual_time = self.loads.completions.usual_time(service.id, call.route.id)
            if usual_time is not None:
                return REGION_PREFERENCE_SHARE * call.route.target_latency
        return REGION_PREFERENCE

    def _predict_completion(
        self,
        call: GatewayCall,
        service: Service,
        upstream: Upstream,
        load: EngineLoad,
        now: datetime,
    ) -> Prediction:
        slots = max(1, upstream.record.slots)
        completions = self.loads.completions
        usual_time = completions.usual_time(service.id, call.route.id)
        if usual_time is None:
            wait = call.route.target_latency * load.requests / slots
            return Prediction(wait, timedelta())
        state = completions.state(
            service.id,
            upstream.id,
            call.route.id,
            slots=slots,
            own_requests=self.loads.own_requests(upstream.id),
            known_requests=load.requests,
            now=now,
        )
        return predict_completion(usual_time, state)
