"""Placement and admission control: choice of an upstream or rejection."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum
from random import Random

from ._breaker import Breaker
from ._call import GatewayCall
from ._candidates import CandidateTable, sample_fit
from ._catalog import Service
from ._cold import COLD_WINDOW, ColdLimit, ColdLimiter
from ._engine_model import EngineLoad, Prediction, predict_first_token
from ._loads import LoadTracker
from ._operator import OperatorState
from ._overload import OverloadDetector, SpillBudget
from ._subsets import EntrySubsets
from ._upstreams import Upstream, UpstreamTable

# Preferred upstreams that are compared for a request.
PREFERRED_CANDIDATES = 8
# Preferred upstreams of other regions that are compared with those of the own region.
REMOTE_CANDIDATES = 2
# Random other upstreams of the own and of other regions that are compared if all
# preferred ones are too busy. The loads known of them are those of the last gossip
# round, and with a wider choice more entries take the same one.
OTHER_CANDIDATES = 1
# Share of the target latency that a prediction may use; the rest covers its error.
ADMISSION_TARGET_SHARE = 0.9
# A retry has already missed its target latency, so it may wait behind first attempts.
RETRY_MAX_WAIT = timedelta(milliseconds=1500)
# Under sustained overload a retry only gets a slot that is free or about to become
# free; a full engine frees one every 110 ms.
OVERLOADED_RETRY_MAX_WAIT = timedelta(milliseconds=150)
# Requests per slot at which the queue of a service without engines counts as full.
MAX_REQUESTS_PER_SLOT = 3
# Added to the cost of upstreams in other regions, since links between regions have
# little bandwidth and are charged for.
REGION_PREFERENCE = timedelta(milliseconds=100)
# A request on outdated weights must start before the version bound. The margin covers
# the latency of the acknowledgement and of the request, the factor covers prediction
# errors.
VERSION_MARGIN = timedelta(milliseconds=350)
PREDICTION_SAFETY_FACTOR = 2
# Added to the cost of upstreams where a request would start after that bound.
LATE_START_PENALTY = timedelta(seconds=60)
# Engines run lower numbers first; a request without a priority has 5.
FIRST_ATTEMPT_PRIORITY = 4
RETRY_PRIORITY = 7
# Range of factors that spreads the retries of rejected callers over time.
RETRY_AFTER_JITTER = (0.7, 1.3)
MIN_RETRY_AFTER = timedelta(milliseconds=150)
# Callers honour a Retry-After of up to this share of their timeout.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Wait for an upstream that is about to accept requests again. Loading new weights takes
# seconds, so callers return about as late as they honour.
NO_UPSTREAM_RETRY_AFTER = timedelta(milliseconds=2500)


class RejectReason(StrEnum):
    """Describe why a request gets no upstream."""

    NO_UPSTREAM = "no_upstream"
    NO_WEIGHTS = "no_weights"
    OVERLOADED = "overloaded"
    COLD = "cold"


@dataclass(slots=True, frozen=True)
class Placement:
    """Describe where and how a request is sent."""

    upstream: Upstream
    version: int | None
    priority: int
    prediction: Prediction
    # Latest start of the request if the weights are outdated.
    start_deadline: datetime | None = None

    @property
    def yielding(self) -> bool:
        """Check whether the engine runs more urgent requests first."""
        return self.priority == RETRY_PRIORITY


@dataclass(slots=True, frozen=True)
class Rejection:
    """Describe why a request is rejected and when its caller may retry."""

    reason: RejectReason
    retry_after: timedelta
    candidates: int = 0
    predicted: timedelta | None = None


@dataclass(slots=True, frozen=True)
class PlacementRules:
    """Hold the settings of the operators for placement."""

    domain: str
    regions_by_domain: Mapping[str, str]
    version_bound: timedelta
    cold_excess: float
    cold_slack: float


class Dispatcher:
    """Choose upstreams for requests by the state that this entry knows."""

    __slots__ = (
        "breaker",
        "candidates_",
        "cold_limiter",
        "loads",
        "operator",
        "overload_detector_",
        "random",
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
        self.overload_detector_ = OverloadDetector()
        self.spill_budget_ = SpillBudget()
        self.candidates_ = CandidateTable(
            upstreams=upstreams,
            subsets=subsets,
            own_region=rules.regions_by_domain.get(rules.domain, ""),
            region_of=self._region_of,
        )

    def choose(
        self, call: GatewayCall, excluded: Collection[str], now: datetime
    ) -> Placement | Rejection:
        """Return the upstream for a request, or why there is none."""
        service = self.operator.catalog.services_by_id.get(call.service)
        if service is None:
            return self._reject(call, RejectReason.NO_UPSTREAM, now)
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
        limit = self._cold_limit(service)
        if placed and limit is not None:
            share = self._cold_share(decision.upstream, limit)
            self.cold_limiter.try_acquire(decision.upstream.id, share, now)
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
        limit = self._cold_limit(service)
        self.spill_budget_.record_request(call.service)

        def is_fit(upstream: Upstream) -> bool:
            return (
                upstream.id not in excluded
                and self.upstreams.is_usable(upstream, now)
                and self._has_room_after_return(upstream, now)
                and self._is_allowed(call, upstream)
                and self._is_sound(upstream, now)
                and self._usable_version(call, upstream, now) is not None
                and self._has_cold_capacity(upstream, limit, now)
            )

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
        allowed = [
            upstream
            for upstream in self.upstreams.usable(call.service, now)
            if self._is_allowed(call, upstream)
        ]
        loaded = [u for u in allowed if self._usable_version(call, u, now) is not None]
        if not loaded:
            reason = RejectReason.NO_WEIGHTS if allowed else RejectReason.NO_UPSTREAM
            return self._reject(call, reason, now, len(allowed))
        said = self.upstreams.notices.notices_by_id_
        eligible = [
            u
            for u in loaded
            if u.id not in excluded
            and (u.id not in said or self._has_room_after_return(u, now))
        ]
        reachable = [u for u in eligible if self.breaker.is_available(u.id, now)]
        # Without another upstream, one that has just failed is tried again.
        eligible = reachable or eligible
        healthy = [u for u in eligible if not self.breaker.faulty(u.id, now)]
        eligible = healthy or eligible
        if not eligible:
            return self._reject(call, RejectReason.NO_UPSTREAM, now, len(allowed))
        limit = self._cold_limit(service)
        eligible = [u for u in eligible if self._has_cold_capacity(u, limit, now)]
        if not eligible:
            return self._reject(call, RejectReason.COLD, now, len(allowed))
        current = [u for u in eligible if not self._is_outdated(call, u, now)]
        eligible = current or eligible
        count = min(len(eligible), PREFERRED_CANDIDATES)
        return self._place(call, service, self.random.sample(eligible, count), now)

    def _is_outdated(
        self, call: GatewayCall, upstream: Upstream, now: datetime
    ) -> bool:
        """Check whether newer weights than those of an upstream are announced."""
        version = self._usable_version(call, upstream, now)
        return self._start_deadline(call.model, version) is not None

    def _is_sound(self, upstream: Upstream, now: datetime) -> bool:
        """Check whether an upstream answered its last requests."""
        breaker = self.breaker
        return breaker.is_available(upstream.id, now) and not breaker.faulty(
            upstream.id, now
        )

    def _has_room_after_return(self, upstream: Upstream, now: datetime) -> bool:
        """Check whether an upstream that wanted no requests may have one more."""
        limit = self.upstreams.notices.max_requests(upstream.record, now)
        return limit is None or self.loads.own_requests(upstream.id) < limit

    def _has_cold_capacity(
        self, upstream: Upstream, limit: ColdLimit | None, now: datetime
    ) -> bool:
        """Check whether the own share of an upstream's cold limit is not used up."""
        if limit is None:
            return True
        share = self._cold_share(upstream, limit)
        return self.cold_limiter.has_capacity(upstream.id, share, now)

    def _cold_share(self, upstream: Upstream, limit: ColdLimit) -> int:
        region = self._region_of(upstream)
        return self.subsets.upstream_share(upstream.id, region, limit.planned)

    def _is_allowed(self, call: GatewayCall, upstream: Upstream) -> bool:
        domain = upstream.record.domain
        if domain in self.operator.disabled_domains_:
            return False
        region = self._region_of(upstream)
        for regions in (call.route.regions, call.regions):
            if regions and region not in regions:
                return False
        return True

    def _usable_version(
        self, call: GatewayCall, upstream: Upstream, now: datetime
    ) -> int | None:
        """Return the weight version to request, 0 for a call without a model."""
        if not call.model:
            return 0
        report = self.loads.report(upstream.record.address, now)
        if report is not None and report.model == call.model:
            if not report.accepting:
                return None
            held_version = report.version
        else:
            held_version = upstream.record.versions_by_model.get(call.model, 0)
        if not held_version:
            return None
        start_deadline = self._start_deadline(call.model, held_version)
        return held_version if start_deadline is None or now < start_deadline else None

    def _start_deadline(self, model: str, held_version: int) -> datetime | None:
        """Return the latest start of requests on outdated weights."""
        outdated_since = self.operator.outdated_since(model, held_version)
        if outdated_since is None:
            return None
        return outdated_since + self.rules.version_bound - VERSION_MARGIN

    def _place(
        self,
        call: GatewayCall,
        service: Service,
        upstreams: list[Upstream],
        now: datetime,
    ) -> Placement | Rejection:
        """Choose the best of some upstreams, or reject if it is too busy."""
        versions_by_id = {u.id: self._usable_version(call, u, now) for u in upstreams}
        start_deadlines_by_id = {
            u.id: self._start_deadline(call.model, versions_by_id[u.id])
            for u in upstreams
        }
        upstream, prediction = self._best_upstream(
            call, service, upstreams, start_deadlines_by_id, now
        )
        start_deadline = start_deadlines_by_id[upstream.id]
        if not _starts_in_time(start_deadline, prediction, now):
            return self._reject(call, RejectReason.NO_WEIGHTS, now, len(upstreams))
        if not self._is_admissible(call, service, prediction, now):
            return self._reject(
                call,
                RejectReason.OVERLOADED,
                now,
                len(upstreams),
                predicted=prediction,
            )
        version = versions_by_id[upstream.id] or None
        priority = RETRY_PRIORITY if call.is_retry else FIRST_ATTEMPT_PRIORITY
        return Placement(upstream, version, priority, prediction, start_deadline)

    def _region_of(self, upstream: Upstream) -> str:
        return self.rules.regions_by_domain.get(upstream.record.domain, "")

    def _is_same_region(self, upstream: Upstream) -> bool:
        return self._region_of(upstream) == self.candidates_.own_region

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
            load = self.loads.load(upstream.id, upstream.record.address, now)
            prediction = self._predict(call, service, upstream, load)
            cost = prediction.first_token
            if not _starts_in_time(start_deadlines_by_id[upstream.id], prediction, now):
                cost += LATE_START_PENALTY
            if not self._is_same_region(upstream):
                cost += REGION_PREFERENCE
            if best_cost is None or cost < best_cost:
                best, best_cost = (upstream, prediction), cost
        return best

    def _predict(
        self,
        call: GatewayCall,
        service: Service,
        upstream: Upstream,
        load: EngineLoad,
    ) -> Prediction:
        if service.engine is not None:
            if not call.is_retry:
                load = load.ahead_of_urgent(service.engine.slots)
            return predict_first_token(service.engine, load, call.prompt_tokens)
        slots = max(1, upstream.record.slots)
        return Prediction(
            call.route.target_latency * load.requests / slots, timedelta()
        )

    def _is_admissible(
        self,
        call: GatewayCall,
        service: Service,
        prediction: Prediction,
        now: datetime,
    ) -> bool:
        if service.engine is None:
            return prediction.wait < call.route.target_latency * MAX_REQUESTS_PER_SLOT
        if call.is_retry:
            sustained = self.overload_detector_.sustained(call.service)
            max_wait = OVERLOADED_RETRY_MAX_WAIT if sustained else RETRY_MAX_WAIT
            return prediction.wait <= min(max_wait, call.time_left(now) / 2)
        # The request's own prompt counts with the usual size, so that long prompts are
        # not rejected more often than short ones.
        usual_prefill = timedelta(
            seconds=service.engine.usual_prompt_tokens
            / service.engine.prefill_tokens_per_s
        )
        return (
            prediction.wait + usual_prefill
            <= call.route.target_latency * ADMISSION_TARGET_SHARE
        )

    def _cold_limit(self, service: Service) -> ColdLimit | None:
        if service.cold_requests_per_s <= 0:
            return None
        return ColdLimit(
            service.cold_requests_per_s, self.rules.cold_excess, self.rules.cold_slack
        )

    def _reject(
        self,
        call: GatewayCall,
        reason: RejectReason,
        now: datetime,
        candidates: int = 0,
        *,
        predicted: Prediction | None = None,
    ) -> Rejection:
        max_retry_after = max(
            MIN_RETRY_AFTER, call.time_left(now) * MAX_RETRY_AFTER_SHARE
        )
        if reason is RejectReason.COLD:
            wait = COLD_WINDOW * self.random.uniform(*RETRY_AFTER_JITTER)
        elif reason is not RejectReason.OVERLOADED:
            opens_at = self.upstreams.opens_at(call.service)
            wait = NO_UPSTREAM_RETRY_AFTER
            if opens_at is not None and opens_at > now:
                wait = min(wait, opens_at - now)
            wait *= self.random.uniform(*RETRY_AFTER_JITTER)
        elif call.model:
            wait = self._overload_retry_after(call, max_retry_after, now)
        else:
            excess_wait = predicted.wait - call.route.target_latency / 2
            wait = excess_wait * self.random.uniform(*RETRY_AFTER_JITTER)
        retry_after = min(max(wait, MIN_RETRY_AFTER), max_retry_after)
        first_token = predicted.first_token if predicted else None
        return Rejection(reason, retry_after, candidates, first_token)

    def _overload_retry_after(
        self, call: GatewayCall, max_retry_after: timedelta, now: datetime
    ) -> timedelta:
        """Return the retry delay while all engines are full.

        A caller that retried too soon would be taken for a first attempt and get the
        slot of one, although it has already missed its target latency.
        """
        earliest = min(max_retry_after, call.min_recognizable_delay(now))
        return earliest + (max_retry_after - earliest) * self.random.random()


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
