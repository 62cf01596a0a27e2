"""Prediction of the latency of a request at an upstream."""

from __future__ import annotations

from datetime import datetime, timedelta

from ._call import GatewayCall
from ._catalog import Service
from ._completion import predict_completion
from ._engine_model import Prediction, predict_first_token
from ._loads import LoadTracker
from ._upstreams import Upstream

# Added to the cost of upstreams in other regions, since links between regions have
# little bandwidth and are charged for.
REGION_PREFERENCE = timedelta(milliseconds=100)
# The same for services whose completions are predicted, as a share of the target: work
# leaves a busy region once it waits there for a quarter of what its caller allows.
REGION_PREFERENCE_SHARE = 0.25


class LatencyPredictor:
    """Predict how long requests wait at upstreams by the loads that are known."""

    __slots__ = ("loads",)

    def __init__(self, loads: LoadTracker) -> None:
        self.loads = loads

    def predict(
        self,
        call: GatewayCall,
        service: Service,
        upstream: Upstream,
        now: datetime,
    ) -> Prediction:
        """Predict the time to the response, or to the first token of an engine."""
        load = self.loads.load(upstream.id, upstream.record.address, now)
        if service.engine is not None:
            if not call.is_retry:
                load = load.ahead_of_urgent(service.engine.slots)
            return predict_first_token(service.engine, load, call.prompt_tokens)
        slots = max(1, upstream.record.slots)
        completions = self.loads.completions
        usual_time = completions.usual_time(service.id, call.route.id)
        if usual_time is not None:
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
        return Prediction(
            call.route.target_latency * load.requests / slots, timedelta()
        )

    def region_cost(self, call: GatewayCall, service: Service) -> timedelta:
        """Return what is added to the cost of upstreams in other regions."""
        if service.engine is None:
            usual_time = self.loads.completions.usual_time(service.id, call.route.id)
            if usual_time is not None:
                return REGION_PREFERENCE_SHARE * call.route.target_latency
        return REGION_PREFERENCE
