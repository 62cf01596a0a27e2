"""Placement and admission control: choice of an upstream or rejection."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from datetime import datetime, timedelta
from random import Random

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
from ._placement import (
    FIRST_ATTEMPT_PRIORITY,
    RETRY_PRIORITY,
    Placement,
    PlacementRules,
    Rejection,
    RejectReason,
)
from ._prediction import LatencyPredictor
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
        decision = self._choose_candidate(call, service, excluded, now)
        if decision is None or _lacks_weights(decision):
            # None of the sampled upstreams is fit, but others may be.
            decision = self._choose_from_all(call, service, excluded, now)
        placed = isinstance(decision, Placement)
        overloaded = not placed and decision.reason is RejectReason.OVERLOADED
        if (placed or overloaded) and not call.is_retry and not excluded:
            self.overload_detector_.record_first_attempt(
                call.service, rejected=overloaded
            )
        if placed:
            self.eligibility.record_placement(service, decision.upstream, now)
        return decision

    def _choose_candidate(
        self,
        call: GatewayCall,
        service: Service,
        excluded: Collection[str],
        now: datetime,
    ) -> Placement | Rejection | None:
        """Choose among the preferred upstreams, then among a few others.

        Return `None` if none of those is fit.
        """
        self.spill_budget_.record_request(call.service)

        def is_fit(upstream: Upstream) -> bool:
            return self.eligibility.is_fit(call, service, upstream, excluded, now)

        def sample(upstreams: Sequence[Upstream], count: int) -> list[Upstream]:
            return sample_fit(upstreams, count, is_fit, self.random)

        groups = self.candidates_.get(call.service)
        known = sample(groups.preferred, PREFERRED_CANDIDATES)
        known += sample(groups.remote_preferred, REMOTE_CANDIDATES)
        first = self._place(call, service, known, now) if known else None
        if isinstance(first, Placement):
            return first
        more = sample(groups.remote_preferred, PREFERRED_CANDIDATES)
        second = self._place(call, service, more, now) if more else None
        if isinstance(second, Placement):
            return second
        rejection = first or second
        # A retry within this entry has lost time and goes wherever it can.
        if (
            rejection
            and not excluded
            and not self.spill_budget_.available(call.service)
        ):
            return rejection
        others = sample(groups.regional, OTHER_CANDIDATES)
        others += sample(groups.remote, OTHER_CANDIDATES)
        third = self._place(call, service, others, now) if others else None
        if rejection and isinstance(third, Placement):
            self.spill_budget_.spend(call.service)
        return third if isinstance(third, Placement) else rejection or third

    def _choose_from_all(
        self,
        call: GatewayCall,
        service: Service,
        excluded: Collection[str],
        now: datetime,
    ) -> Placement | Rejection:
        """Choose among all upstreams, or return the reason why none can be used."""
        eligible, reason, allowed = self.eligibility.relaxed(
            call, service, excluded, now
        )
        if not eligible:
            return self.rejections.reject(call, reason, now, allowed)
        count = min(len(eligible), PREFERRED_CANDIDATES)
        return self._place(call, service, self.random.sample(eligible, count), now)

    def _place(
        self,
        call: GatewayCall,
        service: Service,
        upstreams: list[Upstream],
        now: datetime,
    ) -> Placement | Rejection:
        """Choose the best of some upstreams, or reject if it is too busy."""
        versions_by_id = {
            u.id: self.eligibility.usable_version(call, u, now) for u in upstreams
        }
        start_deadlines_by_id = {
            u.id: self.eligibility.start_deadline(call.model, versions_by_id[u.id])
            for u in upstreams
        }
        upstream, prediction = self._best_upstream(
            call, service, upstreams, start_deadlines_by_id, now
        )
        start_deadline = start_deadlines_by_id[upstream.id]
        if not _starts_in_time(start_deadline, prediction, now):
            return self.rejections.reject(
                call, RejectReason.NO_WEIGHTS, now, len(upstreams)
            )
        if not is_admissible(call, service, prediction, self.overload_detector_, now):
            return self.rejections.reject(
                call,
                RejectReason.OVERLOADED,
                now,
                len(upstreams),
                predicted=prediction,
            )
        version = versions_by_id[upstream.id] or None
        priority = RETRY_PRIORITY if call.is_retry else FIRST_ATTEMPT_PRIORITY
        return Placement(upstream, version, priority, prediction, start_deadline)

    def _is_same_region(self, upstream: Upstream) -> bool:
        return self.eligibility.region_of(upstream) == self.candidates_.own_region

    def _best_upstream(
        self,
        call: GatewayCall,
        service: Service,
        upstreams: list[Upstream],
        start_deadlines_by_id: Mapping[str, datetime | None],
        now: datetime,
    ) -> tuple[Upstream, Prediction]:
        best, best_cost = None, None
        for upstream in upstreams:
            prediction = self.predictor.predict(call, service, upstream, now)
            cost = prediction.first_token
            if not _starts_in_time(start_deadlines_by_id[upstream.id], prediction, now):
                cost += LATE_START_PENALTY
            if not self._is_same_region(upstream):
                cost += self.predictor.region_cost(call, service)
            if best_cost is None or cost < best_cost:
                best, best_cost = (upstream, prediction), cost
        return best


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
