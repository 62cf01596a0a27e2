"""Admission to the engines of a service whose requests have several priorities."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from ..admission import (
    Applicant,
    DemandKey,
    Level,
    Obstacle,
    PriorityAdmission,
    Rank,
    find_obstacle,
    work_factor,
)
from ._call import GatewayCall
from ._catalog import Service
from ._engine_model import Prediction, engine_time
from ._overload import SUSTAINED_OVERLOAD_SHARE
from ._prediction import LatencyPredictor
from ._upstreams import Upstream
from ._wait_limits import max_first_wait, max_retry_wait


@dataclass(slots=True, frozen=True)
class Contender:
    """Describe a request that competes with others of other priorities."""

    call: GatewayCall
    service: Service
    rank: Rank
    level: Level
    work: timedelta
    max_wait: timedelta
    # A retry has missed its target. While first attempts of its own priority are
    # refused for more urgent requests, the room that is left goes to those.
    yields: bool = False
    # Whether it is decided as one of the most urgent, so that its kind does not starve.
    minimum_share: bool = False

    @property
    def key(self) -> DemandKey:
        """Return the key of the demand that the request belongs to."""
        return DemandKey(self.call.service, self.rank.position)

    @property
    def group(self) -> tuple[DemandKey, str]:
        """Return the group whose minimum share the request may use."""
        return (self.key, self.call.team)

    @property
    def engine_priority(self) -> int:
        """Return the number that engines order requests by."""
        rank = replace(self.rank, position=0) if self.minimum_share else self.rank
        return rank.engine_priority(is_retry=self.call.is_retry)


class RankedAdmission:
    """Decide which of several priorities an engine has room for."""

    __slots__ = ("predictor", "priorities")

    def __init__(self, predictor: LatencyPredictor) -> None:
        self.predictor = predictor
        self.priorities = PriorityAdmission()

    def contender(
        self,
        call: GatewayCall,
        service: Service,
        rank: Rank,
        upstreams: int,
        now: datetime,
    ) -> Contender:
        """Return a request together with the level that holds for it now."""
        rates = service.engine
        key = DemandKey(call.service, rank.position)
        work = engine_time(rates, call.prompt_tokens, call.output_tokens)
        usual_work = engine_time(
            rates, rates.usual_prompt_tokens, rates.usual_output_tokens
        )
        sustained = False
        if call.is_retry:
            sustained = (
                self.priorities.refused_share(key, now) > SUSTAINED_OVERLOAD_SHARE
            )
            max_wait = max_retry_wait(call, now, sustained=sustained)
        else:
            target = max_first_wait(call.route.target_latency, rates)
            max_wait = target * work_factor(work, usual_work)
        level = self.priorities.level(key, upstreams, now)
        return Contender(call, service, rank, level, work, max_wait, sustained)

    def with_minimum_share(self, contender: Contender) -> Contender | None:
        """Return a refused request as one of its minimum share, if some is left."""
        if contender.call.is_retry or contender.rank.position == 0:
            return None
        if not self.priorities.shares.available(contender.group):
            return None
        max_wait, target = contender.max_wait, contender.level.target
        if target is not None:
            # The looser target of a rank does not make its share larger.
            rates = contender.service.engine
            max_wait = min(max_wait, max_first_wait(target, rates))
        return replace(contender, minimum_share=True, max_wait=max_wait, level=Level())

    def find_obstacle(
        self,
        contender: Contender,
        upstream: Upstream,
        prediction: Prediction,
        now: datetime,
    ) -> Obstacle | None:
        """Return why an upstream has no room for a request."""
        level = contender.level
        if contender.yields and level.pressure:
            return Obstacle.LEVEL
        if level.target is None:
            most_urgent_wait = most_urgent_max_wait = timedelta()
        else:
            first = self.predictor.predict(
                contender.call, contender.service, upstream, now, priority=0
            )
            most_urgent_wait = first.wait
            most_urgent_max_wait = max_first_wait(
                level.target, contender.service.engine
            )
        applicant = Applicant(
            prediction.wait,
            prediction.queueing,
            contender.max_wait,
            most_urgent_wait,
            most_urgent_max_wait,
        )
        return find_obstacle(applicant, level)

    def record(self, contender: Contender, *, refused: bool, now: datetime) -> None:
        """Record the decision about a first attempt."""
        call = contender.call
        service = call.service
        shares = self.priorities.shares
        if not refused:
            shares.admitted(contender.group)
        if call.is_retry:
            return
        shares.offer(contender.group, self.priorities.minimum_share(service, now))
        self.priorities.demand.record(
            contender.key,
            target=call.route.target_latency,
            work=contender.work,
            refused=refused,
            now=now,
        )
