"""Placement and admission: which upstream gets a request, and which gets none."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum
from random import Random

from ._breaker import Breaker
from ._call import GatewayCall
from ._catalog import Service
from ._cold import ColdBuckets, ColdLimit
from ._engine_model import EngineLoad, Prediction, predict_first_token
from ._loads import LoadBook
from ._operator import OperatorState
from ._overload import OverloadGauge
from ._upstreams import Upstream, UpstreamTable

# Candidates in other regions whose predictions are compared with those of the own
# region; all of them would send every entry to the same upstream until figures are
# exchanged again.
FAR_CANDIDATES = 2
# Part of the target that the prediction may use up; the rest covers its error.
ADMITTED_PART = 0.9
# A caller that came back is late already, so it may wait behind those that are not.
LATE_WAIT = timedelta(milliseconds=1500)
# Under lasting overload it gets what first attempts leave: a slot that is free or
# becomes free at once; a full engine frees one each 110 ms.
OVERLOADED_LATE_WAIT = timedelta(milliseconds=150)
# Requests that a plain service may hold per slot before its queue is called full.
PLAIN_REQUESTS_PER_SLOT = 3
# An upstream in the entry's own region is preferred up to this difference, since
# links between regions are narrow and priced.
REGION_PREFERENCE = timedelta(milliseconds=100)
# A request for older weights must begin before the bound. The margin covers the way
# of the acknowledgement and of the request, the factor the error of the prediction.
VERSION_MARGIN = timedelta(milliseconds=350)
VERSION_FACTOR = 2
# Cost of an upstream at which a request would begin on outdated weights.
TOO_LATE = timedelta(seconds=60)
# Engines admit urgent requests first; 5 is what a request without priority has.
ON_TIME_PRIORITY = 4
LATE_PRIORITY = 7
# Shares of the wait by which refused callers return, so that they spread.
RETURN_SPREAD = (0.7, 1.3)
MIN_RETURN = timedelta(milliseconds=150)
# Callers honour Retry-After up to this share of their time.
HONOURED_SHARE = 1 / 3
# Wait for an upstream that is about to take work again; new weights take seconds, so
# callers return as late as they honour.
NO_UPSTREAM_RETURN = timedelta(milliseconds=2500)


class RejectReason(StrEnum):
    """Describe why a request gets no upstream."""

    NO_UPSTREAM = "no_upstream"
    NO_WEIGHTS = "no_weights"
    OVERLOADED = "overloaded"
    COLD = "cold"


@dataclass(slots=True, frozen=True)
class Placement:
    """Identify the upstream of a request."""

    upstream: Upstream
    version: int | None
    priority: int
    prediction: Prediction
    # When the request must have begun, if the weights are outdated.
    begin_by: datetime | None = None

    @property
    def yielding(self) -> bool:
        """Check whether the engine lets more urgent requests go first."""
        return self.priority == LATE_PRIORITY


@dataclass(slots=True, frozen=True)
class Rejection:
    """Describe why a request is refused and when its caller may retry."""

    reason: RejectReason
    retry_after: timedelta
    candidates: int = 0
    predicted: timedelta | None = None


@dataclass(slots=True, frozen=True)
class PlacementRules:
    """Bounds that the operators set for placement."""

    domain: str
    regions_by_domain: Mapping[str, str]
    version_bound: timedelta
    cold_excess: float
    cold_slack: float


class Dispatcher:
    """Choose upstreams for requests from what this entry knows."""

    __slots__ = (
        "breaker",
        "buckets_",
        "loads",
        "operator",
        "overload_",
        "random",
        "rules",
        "upstreams",
    )

    def __init__(
        self,
        *,
        rules: PlacementRules,
        operator: OperatorState,
        upstreams: UpstreamTable,
        loads: LoadBook,
        breaker: Breaker,
        random: Random,
    ) -> None:
        self.rules = rules
        self.operator = operator
        self.upstreams = upstreams
        self.loads = loads
        self.breaker = breaker
        self.random = random
        self.buckets_ = ColdBuckets()
        self.overload_ = OverloadGauge()

    def choose(
        self,
        call: GatewayCall,
        excluded: Collection[str],
        entries: int,
        now: datetime,
    ) -> Placement | Rejection:
        """Return the upstream for a request, or why there is none."""
        service = self.operator.catalog.services_by_id.get(call.service)
        if service is None:
            return self._reject(call, RejectReason.NO_UPSTREAM, now)
        allowed = [
            upstream
            for upstream in self.upstreams.usable(call.service, now)
            if self._allowed(call, upstream)
        ]
        weights_by_id = {u.id: self._weights(call, u, now) for u in allowed}
        fit = [u for u in allowed if weights_by_id[u.id] is not None]
        if not fit:
            reason = RejectReason.NO_WEIGHTS if allowed else RejectReason.NO_UPSTREAM
            return self._reject(call, reason, now, len(allowed))
        fit = [u for u in fit if u.id not in excluded]
        reachable = [u for u in fit if self.breaker.available(u.id, now)]
        # With no other upstream left, one that failed just now is still worth a try.
        fit = reachable or fit
        sound = [u for u in fit if not self.breaker.faulty(u.id)]
        fit = sound or fit
        if not fit:
            return self._reject(call, RejectReason.NO_UPSTREAM, now, len(allowed))
        limit = self._cold_limit(service)
        if limit is not None:
            fit = [u for u in fit if self.buckets_.free(u.id, limit, entries, now)]
            if not fit:
                return self._reject(call, RejectReason.COLD, now, len(allowed))
        placement = self._place(call, service, fit, weights_by_id, now)
        if not call.came_back and not excluded:
            refused = isinstance(placement, Rejection)
            self.overload_.first_attempt(call.service, refused=refused)
        if isinstance(placement, Placement) and limit is not None:
            self.buckets_.take(placement.upstream.id, limit, entries, now)
        return placement

    def _allowed(self, call: GatewayCall, upstream: Upstream) -> bool:
        domain = upstream.record.domain
        if domain in self.operator.domains_out_:
            return False
        region = self.rules.regions_by_domain.get(domain, "")
        for regions in (call.route.regions, call.regions):
            if regions and region not in regions:
                return False
        return True

    def _weights(
        self, call: GatewayCall, upstream: Upstream, now: datetime
    ) -> int | None:
        """Return the weights to ask for; 0 for a call without a model."""
        if not call.model:
            return 0
        report = self.loads.report(upstream.record.address, now)
        if report is not None and report.model == call.model:
            if not report.accepting:
                return None
            held = report.version
        else:
            held = upstream.record.versions_by_model.get(call.model, 0)
        if not held:
            return None
        begin_by = self._begin_by(call.model, held)
        return held if begin_by is None or now < begin_by else None

    def _begin_by(self, model: str, held: int) -> datetime | None:
        """Return when requests must have begun on weights that are outdated."""
        since = self.operator.outdated_since(model, held)
        if since is None:
            return None
        return since + self.rules.version_bound - VERSION_MARGIN

    def _place(
        self,
        call: GatewayCall,
        service: Service,
        fit: list[Upstream],
        weights_by_id: Mapping[str, int | None],
        now: datetime,
    ) -> Placement | Rejection:
        begin_by_id = {
            u.id: self._begin_by(call.model, weights_by_id[u.id]) for u in fit
        }
        near = [u for u in fit if self._is_near(u)]
        far = [u for u in fit if not self._is_near(u)]
        far = self.random.sample(far, min(FAR_CANDIDATES, len(far)))
        first = self.random.sample(near, len(near)) + far
        upstream, prediction = self._best(call, service, first, begin_by_id, now)
        if not self._admits(call, service, prediction, now):
            upstream, prediction = self._best(call, service, fit, begin_by_id, now)
        if not _begins_by(begin_by_id[upstream.id], prediction, now):
            return self._reject(call, RejectReason.NO_WEIGHTS, now, len(fit))
        if not self._admits(call, service, prediction, now):
            return self._reject(
                call,
                RejectReason.OVERLOADED,
                now,
                len(fit),
                predicted=prediction,
            )
        version = weights_by_id[upstream.id] or None
        priority = LATE_PRIORITY if call.came_back else ON_TIME_PRIORITY
        begin_by = begin_by_id[upstream.id]
        return Placement(upstream, version, priority, prediction, begin_by)

    def _is_near(self, upstream: Upstream) -> bool:
        regions = self.rules.regions_by_domain
        return regions.get(upstream.record.domain) == regions.get(self.rules.domain)

    def _best(
        self,
        call: GatewayCall,
        service: Service,
        upstreams: list[Upstream],
        begin_by_id: Mapping[str, datetime | None],
        now: datetime,
    ) -> tuple[Upstream, Prediction]:
        best, best_cost = None, None
        for upstream in upstreams:
            load = self.loads.load(upstream.id, upstream.record.address, now)
            prediction = self._predict(call, service, upstream, load)
            cost = prediction.first_token
            if not _begins_by(begin_by_id[upstream.id], prediction, now):
                cost += TOO_LATE
            if not self._is_near(upstream):
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
            if not call.came_back:
                load = load.ahead_of_urgent(service.engine.slots)
            return predict_first_token(service.engine, load, call.prompt_tokens)
        slots = max(1, upstream.record.slots)
        return Prediction(
            call.route.target_latency * load.requests / slots, timedelta()
        )

    def _admits(
        self,
        call: GatewayCall,
        service: Service,
        prediction: Prediction,
        now: datetime,
    ) -> bool:
        if service.engine is None:
            return prediction.wait < call.route.target_latency * PLAIN_REQUESTS_PER_SLOT
        if call.came_back:
            lasting = self.overload_.lasting(call.service)
            longest = OVERLOADED_LATE_WAIT if lasting else LATE_WAIT
            return prediction.wait <= min(longest, call.time_left(now) / 2)
        # The own prompt is counted at the usual size, so that long ones are not
        # refused more often than short ones.
        usual = timedelta(
            seconds=service.engine.usual_prompt_tokens
            / service.engine.read_tokens_per_s
        )
        return prediction.wait + usual <= call.route.target_latency * ADMITTED_PART

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
        longest = max(MIN_RETURN, call.time_left(now) * HONOURED_SHARE)
        if reason is not RejectReason.OVERLOADED:
            wait = NO_UPSTREAM_RETURN * self.random.uniform(*RETURN_SPREAD)
        elif call.model:
            wait = self._overload_return(call, longest, now)
        else:
            excess = predicted.wait - call.route.target_latency / 2
            wait = excess * self.random.uniform(*RETURN_SPREAD)
        retry_after = min(max(wait, MIN_RETURN), longest)
        first_token = predicted.first_token if predicted else None
        return Rejection(reason, retry_after, candidates, first_token)

    def _overload_return(
        self, call: GatewayCall, longest: timedelta, now: datetime
    ) -> timedelta:
        """Return when to come back to full engines.

        A caller that returned sooner than it can be told from a first attempt would
        take the slot of one, though it is late.
        """
        earliest = min(longest, call.time_to_known_return(now))
        return earliest + (longest - earliest) * self.random.random()


def _begins_by(
    begin_by: datetime | None, prediction: Prediction, now: datetime
) -> bool:
    """Check whether a request begins before the upstream's weights may not be used."""
    return begin_by is None or now + VERSION_FACTOR * prediction.first_token < begin_by
