"""Prediction of the latency of a request at an upstream."""

from __future__ import annotations

from datetime import datetime, timedelta

from ._call import GatewayCall
from ._catalog import Service
from ._engine_model import Prediction, predict_first_token
from ._loads import LoadTracker
from ._upstreams import Upstream


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
        *,
        priority: int,
    ) -> Prediction:
        """Predict the time to the response, or to the first token of an engine.

        The priority is the one that the engine orders requests by.
        """
        load = self.loads.load(upstream.id, upstream.record.address, now)
        if service.engine is not None:
            load = load.ahead_of(priority, service.engine.slots)
            return predict_first_token(service.engine, load, call.prompt_tokens)
        slots = max(1, upstream.record.slots)
        return Prediction(
            call.route.target_latency * load.requests / slots, timedelta()
        )
