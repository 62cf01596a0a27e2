"""Which upstreams may run a request, by rules, weights, health and cold limits."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime, timedelta

from ._breaker import Breaker
from ._call import GatewayCall
from ._catalog import Service
from ._cold import ColdLimit, ColdLimiter
from ._loads import LoadTracker
from ._operator import OperatorState
from ._placement import PlacementRules, RejectReason
from ._subsets import EntrySubsets
from ._upstreams import Upstream, UpstreamTable

# A request on outdated weights must start before the version bound. The margin covers
# the latency of the acknowledgement and of the request.
VERSION_MARGIN = timedelta(milliseconds=350)
# The same for upstreams in other regions: while new weights fill the links between
# regions, a request and then its withdrawal each wait there for half a second.
REMOTE_VERSION_MARGIN = timedelta(milliseconds=1000)


class Eligibility:
    """Decide which upstreams may run a request."""

    __slots__ = (
        "breaker",
        "cold_limiter",
        "loads",
        "operator",
        "rules",
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
        cold_limiter: ColdLimiter,
    ) -> None:
        self.rules = rules
        self.operator = operator
        self.upstreams = upstreams
        self.loads = loads
        self.breaker = breaker
        self.subsets = subsets
        self.cold_limiter = cold_limiter

    def is_fit(
        self,
        call: GatewayCall,
        service: Service,
        upstream: Upstream,
        excluded: Collection[str],
        now: datetime,
    ) -> bool:
        """Check whether an upstream meets all criteria."""
        return (
            upstream.id not in excluded
            and self.upstreams.is_usable(upstream, now)
            and self._has_room_after_return(upstream, now)
            and self._is_allowed(call, upstream)
            and self._is_sound(upstream, now)
            and self.usable_version(call, upstream, now) is not None
            and self._has_cold_capacity(upstream, self._cold_limit(service), now)
        )

    def relaxed(
        self,
        call: GatewayCall,
        service: Service,
        excluded: Collection[str],
        now: datetime,
    ) -> tuple[list[Upstream], RejectReason, int]:
        """Return all eligible upstreams, relaxing soft criteria that none meets.

        Also return the reason if there are none, and the number of upstreams that the
        rules allow.
        """
        allowed = [
            upstream
            for upstream in self.upstreams.usable(call.service, now)
            if self._is_allowed(call, upstream)
        ]
        loaded = [u for u in allowed if self.usable_version(call, u, now) is not None]
        if not loaded:
            reason = RejectReason.NO_WEIGHTS if allowed else RejectReason.NO_UPSTREAM
            return [], reason, len(allowed)
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
            return [], RejectReason.NO_UPSTREAM, len(allowed)
        limit = self._cold_limit(service)
        eligible = [u for u in eligible if self._has_cold_capacity(u, limit, now)]
        if not eligible:
            return [], RejectReason.COLD, len(allowed)
        current = [u for u in eligible if not self._is_outdated(call, u, now)]
        return current or eligible, RejectReason.OVERLOADED, len(allowed)

    def record_placement(
        self, service: Service, upstream: Upstream, now: datetime
    ) -> None:
        """Count a request against the cold limit of its upstream."""
        limit = self._cold_limit(service)
        if limit is not None:
            share = self._cold_share(upstream, limit)
            self.cold_limiter.try_acquire(upstream.id, share, now)

    def _is_outdated(
        self, call: GatewayCall, upstream: Upstream, now: datetime
    ) -> bool:
        """Check whether newer weights than those of an upstream are announced."""
        version = self.usable_version(call, upstream, now)
        return self.start_deadline(call.model, version, upstream) is not None

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
        region = self.region_of(upstream)
        return self.subsets.upstream_share(upstream.id, region, limit.planned)

    def _is_allowed(self, call: GatewayCall, upstream: Upstream) -> bool:
        """Check whether the rules of operators allow an upstream."""
        domain = upstream.record.domain
        if domain in self.operator.disabled_domains_:
            return False
        region = self.region_of(upstream)
        for regions in (call.route.regions, call.regions):
            if regions and region not in regions:
                return False
        return True

    def usable_version(
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
        start_deadline = self.start_deadline(call.model, held_version, upstream)
        return held_version if start_deadline is None or now < start_deadline else None

    def start_deadline(
        self, model: str, held_version: int, upstream: Upstream
    ) -> datetime | None:
        """Return the latest start of requests on outdated weights."""
        outdated_since = self.operator.outdated_since(model, held_version)
        if outdated_since is None:
            return None
        own_region = self.rules.regions_by_domain.get(self.rules.domain, "")
        is_remote = self.region_of(upstream) != own_region
        margin = REMOTE_VERSION_MARGIN if is_remote else VERSION_MARGIN
        return outdated_since + self.rules.version_bound - margin

    def region_of(self, upstream: Upstream) -> str:
        """Return the region of an upstream."""
        return self.rules.regions_by_domain.get(upstream.record.domain, "")

    def _cold_limit(self, service: Service) -> ColdLimit | None:
        if service.cold_requests_per_s <= 0:
            return None
        return ColdLimit(
            service.cold_requests_per_s, self.rules.cold_excess, self.rules.cold_slack
        )
