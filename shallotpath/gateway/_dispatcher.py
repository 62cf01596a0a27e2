"""Placement and admission control: choice of an upstream or rejection."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import replace
from datetime import datetime, timedelta
from random import Random

from ..admission import DemandKey, DemandTracker, Level, Obstacle, Rank
from ._breaker import Breaker
from ._call import GatewayCall
from ._candidates import CandidateTable, sample_fit
from ._catalog import Service
from ._cold import ColdLimiter
from ._eligibility import Eligibility
from ._engine_model import Prediction
from ._loads import LoadTracker
from ._operator import OperatorState
from ._overload import OverloadDetector, SpillBudget
from ._placement import Placement, PlacementRules, Rejection, RejectReason
from ._prediction import LatencyPredictor
from ._query import Query
from ._ranked_admission import RankedAdmission
from ._rejections import RejectionPolicy
from ._subsets import EntrySubsets
from ._upstreams import Upstream, UpstreamTable
from ._wait_limits import is_admissible

# Preferred upstreams that are compared for a request.
PREFERRED_CANDIDATES = 8
# Preferred upstreams of other regions that are compared with those of the own region.
REMOTE_CANDIDATES = 2
# Random other upstreams of the own and of other regions that are compared if all
# preferred ones are too busy. The loads known of them are those of the last gossip
# round, and with a wider choice more entries take the same one.
OTHER_CANDIDATES = 1
# Covers errors of the prediction of when a request on outdated weights starts.
PREDICTION_SAFETY_FACTOR = 2
# Added to the cost of upstreams where a request would start after that bound.
LATE_START_PENALTY = timedelta(seconds=60)


class Dispatcher:
    """Choose upstreams for requests by the state that this entry knows."""

    __slots__ = (
        "breaker",
        "candidates_",
        "cold_limiter",
        "eligibility",
        "loads",
        "operator",
        "overload_detector_",
        "predictor",
        "random",
        "ranked",
        "rejections",
        "rules",
        "spill_budget_",
        "subsets",
        "upstreams",
    )

    def __init__(
        self,
        *,
        rules: PlacementRules,
        operator: OperatorState,
        upstreams: UpstreamTable,
        loads: LoadTracker,
        breaker: Breaker,
        subsets: EntrySubsets,
        random: Random,
    ) -> None:
        self.rules = rules
        self.operator = operator
        self.upstreams = upstreams
        self.loads = loads
        self.breaker = breaker
        self.subsets = subsets
        self.random = random
        self.cold_limiter = ColdLimiter()
        self.eligibility = Eligibility(
            rules=rules,
            operator=operator,
            upstreams=upstreams,
            loads=loads,
            breaker=breaker,
            subsets=subsets,
            cold_limiter=self.cold_limiter,
        )
        self.predictor = LatencyPredictor(loads, self.eligibility.region_of)
        self.rejections = RejectionPolicy(upstreams, random)
        self.overload_detector_ = OverloadDetector()
        self.ranked = RankedAdmission(self.predictor)
        self.spill_budget_ = SpillBudget()
        self.candidates_ = CandidateTable(
            upstreams=upstreams,
            subsets=subsets,
            own_region=rules.regions_by_domain.get(rules.domain, ""),
            region_of=self.eligibility.region_of,
        )

    def choose(
        self, call: GatewayCall, excluded: Collection[str], now: datetime
    ) -> Placement | Rejection:
        """Return the upstream for a request, or why there is none."""
        service = self.operator.catalog.services_by_id.get(call.service)
        if service is None:
            return self.rejections.reject(call, RejectReason.NO_UPSTREAM, now)
        rank = self.operator.catalog.rank(call.service, call.route)
        if service.engine is None or not rank.ordered:
            decision = self._choose(Query(call, service), excluded, now)
        else:
            decision = self._choose_by_rank(call, service, rank, excluded, now)
        placed = isinstance(decision, Placement)
        overloaded = _is_overloaded(decision)
        if (placed or overloaded) and not call.is_retry and not excluded:
            self.overload_detector_.record_first_attempt(
                call.service, rejected=overloaded
            )
        if placed:
            self.eligibility.record_placement(service, decision.upstream, now)
        return decision

    @property
    def demand(self) -> DemandTracker:
        """Return the recent demand of services with several priorities."""
        return self.ranked.priorities.demand

    def admission_levels(self, now: datetime) -> dict[DemandKey, Level]:
        """Return the level of each priority that was seen lately."""
        priorities = self.ranked.priorities
        return {
            key: priorities.level(key, self.candidates_.get(key.service).count, now)
            for key in self.demand.recent_keys(now)
        }

    def _choose_by_rank(
        self,
        call: GatewayCall,
        service: Service,
        rank: Rank,
        excluded: Collection[str],
        now: datetime,
    ) -> Placement | Rejection:
        """Choose an upstream for a request that competes with other priorities."""
        upstreams = self.candidates_.get(call.service).count
        contender = self.ranked.contender(call, service, rank, upstreams, now)
        if excluded:
            # A stream that has begun is not given up for more urgent requests.
            contender = replace(contender, level=Level())
        decision = self._choose(Query(call, service, contender), excluded, now)
        if _is_overloaded(decision) and not excluded:
            favoured = self.ranked.with_minimum_share(contender)
            if favoured is not None:
                query = Query(call, service, favoured)
                decision = self._choose(query, excluded, now)
        placed = isinstance(decision, Placement)
        if (placed or _is_overloaded(decision)) and not excluded:
            self.ranked.record(contender, refused=not placed, now=now)
        return decision

    def _choose(
        self, query: Query, excluded: Collection[str], now: datetime
    ) -> Placement | Rejection:
        decision = self._choose_candidate(query, excluded, now)
        if decision is None or _lacks_weights(decision):
            # None of the sampled upstreams is fit, but others may be.
            decision = self._choose_from_all(query, excluded, now)
        return decision

    def _choose_candidate(
        self,
        query: Query,
        excluded: Collection[str],
        now: datetime,
    ) -> Placement | Rejection | None:
        """Choose among the preferred upstreams, then among a few others.

        Return `None` if none of those is fit.
        """
        call, service = query.call, query.service
        self.spill_budget_.record_request(call.service)

        def is_fit(upstream: Upstream) -> bool:
            return self.eligibility.is_fit(call, service, upstream, excluded, now)

        def sample(upstreams: Sequence[Upstream], count: int) -> list[Upstream]:
            return sample_fit(upstreams, count, is_fit, self.random)

        groups = self.candidates_.get(call.service)
        known = sample(groups.preferred, PREFERRED_CANDIDATES)
        known += sample(groups.remote_preferred, REMOTE_CANDIDATES)
        first = self._place(query, known, now) if known else None
        if isinstance(first, Placement):
            return first
        more = sample(groups.remote_preferred, PREFERRED_CANDIDATES)
        second = self._place(query, more, now) if more else None
        if isinstance(second, Placement):
            return second
        rejection = first or second
        # A retry within this entry has lost time and goes wherever it can, and so does
        # a request that overtakes all others.
        spills_freely = bool(excluded) or query.is_most_urgent
        if (
            rejection
            and not spills_freely
            and not self.spill_budget_.available(call.service)
        ):
            return rejection
        others = sample(groups.regional, OTHER_CANDIDATES)
        others += sample(groups.remote, OTHER_CANDIDATES)
        third = self._place(query, others, now) if others else None
        if rejection and isinstance(third, Placement) and not query.is_most_urgent:
            self.spill_budget_.spend(call.service)
        return third if isinstance(third, Placement) else rejection or third

    def _choose_from_all(
        self,
        query: Query,
        excluded: Collection[str],
        now: datetime,
    ) -> Placement | Rejection:
        """Choose among all upstreams, or return the reason why none can be used."""
        call, service = query.call, query.service
        eligible, reason, allowed = self.eligibility.relaxed(
            call, service, excluded, now
        )
        if not eligible:
            return self.rejections.reject(call, reason, now, allowed)
        count = min(len(eligible), PREFERRED_CANDIDATES)
        return self._place(query, self.random.sample(eligible, count), now)

    def _place(
        self, query: Query, upstreams: list[Upstream], now: datetime
    ) -> Placement | Rejection:
        """Choose the best of some upstreams, or reject if it is too busy."""
        call = query.call
        versions_by_id = {
            u.id: self.eligibility.usable_version(call, u, now) for u in upstreams
        }
        start_deadlines_by_id = {
            u.id: self.eligibility.start_deadline(call.model, versions_by_id[u.id], u)
            for u in upstreams
        }
        upstream, prediction = self._best_upstream(
            query, upstreams, start_deadlines_by_id, now
        )
        start_deadline = start_deadlines_by_id[upstream.id]
        if not _starts_in_time(start_deadline, prediction, now):
            return self.rejections.reject(
                call, RejectReason.NO_WEIGHTS, now, len(upstreams)
            )
        obstacle = self._find_obstacle(query, upstream, prediction, now)
        if obstacle is not None:
            rejection = self.rejections.reject(
                call,
                RejectReason.OVERLOADED,
                now,
                len(upstreams),
                predicted=prediction,
                rank=query.rank,
            )
            return replace(
                rejection, rank=query.rank, obstacle=obstacle, level=query.level
            )
        return Placement(
            upstream,
            versions_by_id[upstream.id] or None,
            query.engine_priority,
            prediction,
            start_deadline,
            query.rank,
            query.level,
            query.minimum_share,
        )

    def _find_obstacle(
        self, query: Query, upstream: Upstream, prediction: Prediction, now: datetime
    ) -> Obstacle | None:
        """Return why an upstream is too busy for a request."""
        if query.contender is not None:
            return self.ranked.find_obstacle(query.contender, upstream, prediction, now)
        detector = self.overload_detector_
        admissible = is_admissible(query.call, query.service, prediction, detector, now)
        return None if admissible else Obstacle.WAIT

    def _is_same_region(self, upstream: Upstream) -> bool:
        return self.eligibility.region_of(upstream) == self.candidates_.own_region

    def _best_upstream(
        self,
        query: Query,
        upstreams: list[Upstream],
        start_deadlines_by_id: Mapping[str, datetime | None],
        now: datetime,
    ) -> tuple[Upstream, Prediction]:
        best, best_cost = None, None
        for upstream in upstreams:
            prediction = self.predictor.predict(
                query.call,
                query.service,
                upstream,
                now,
                priority=query.engine_priority,
            )
            cost = prediction.first_token + prediction.correction
            if not _starts_in_time(start_deadlines_by_id[upstream.id], prediction, now):
                cost += LATE_START_PENALTY
            if not self._is_same_region(upstream):
                cost += self.predictor.region_cost(query.call, query.service)
            if best_cost is None or cost < best_cost:
                best, best_cost = (upstream, prediction), cost
        return best


def _is_overloaded(decision: Placement | Rejection) -> bool:
    return (
        isinstance(decision, Rejection) and decision.reason is RejectReason.OVERLOADED
    )


def _lacks_weights(decision: Placement | Rejection) -> bool:
    """Check whether a request was rejected for the weights of its candidates."""
    return (
        isinstance(decision, Rejection) and decision.reason is RejectReason.NO_WEIGHTS
    )


def _starts_in_time(
    start_deadline: datetime | None, prediction: Prediction, now: datetime
) -> bool:
    """Check whether a request starts while the upstream's weights may be used."""
    return (
        start_deadline is None
        or now + PREDICTION_SAFETY_FACTOR * prediction.first_token < start_deadline
    )
