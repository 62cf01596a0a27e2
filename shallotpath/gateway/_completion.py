"""Predict when a request completes on an upstream of a service without engines.

Two sources are combined, and neither decides alone: what the upstream reports of itself
(running, waiting, slowness), for as long as that is recent, and what the entries know
without it (requests in flight, times to answer).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from ._answer_times import AnswerTimes
from ._engine_model import Prediction
from ._server_load import LoadFigure, ServerLoad, ServerLoads

# A report alone makes an upstream look at most this busy, which is below the bound at
# which requests are rejected. A false report then changes the order of the upstreams,
# and no request is rejected for it.
MAX_REPORTED_PER_SLOT = 2.0
# A peer's request counts as answered after this many usual times to answer. Its entry
# tells of the end only with its next message, several such times later.
PEER_LIFETIME_IN_USUAL_TIMES = 2
# Share of what the entries know that counts against a report of less.
KNOWN_SHARE = 0.5


@dataclass(slots=True, frozen=True)
class ServerState:
    """Describe an upstream as it is estimated to be now."""

    requests: float
    slots: int
    # Time that work takes relative to the usual one.
    slowness: float = 1.0

    @property
    def requests_per_slot(self) -> float:
        """Return the requests for each slot."""
        return self.requests / self.slots


class CompletionModel:
    """Estimate the state of upstreams and predict completions from it."""

    __slots__ = (
        "answer_times",
        "first_tokens",
        "reporting_services_",
        "server_loads",
        "service_of",
        "shared_services_",
    )

    def __init__(self, service_of: Callable[[str], str | None]) -> None:
        # Return the service of a registered upstream.
        self.service_of = service_of
        self.server_loads = ServerLoads()
        self.answer_times = AnswerTimes()
        self.first_tokens = AnswerTimes()
        # Services of which an upstream has reported its load.
        self.reporting_services_: set[str] = set()
        # Those of which one has reported its slowness, as it shares its VM.
        self.shared_services_: set[str] = set()

    def record_report(self, upstream_id: str, load: ServerLoad, now: datetime) -> None:
        """Record what an upstream reports of itself."""
        service = self.service_of(upstream_id)
        if service is not None:
            self.reporting_services_.add(service)
            self.server_loads.record(upstream_id, load, now)
            if load.slowness is not None:
                self.shared_services_.add(service)

    def shares_vms(self, service: str) -> bool:
        """Check whether upstreams of a service report how slow their VMs are."""
        return service in self.shared_services_

    def usual_time(self, service: str, route: str = "") -> timedelta | None:
        """Return the usual time to answer of a service whose upstreams report loads.

        `None` before it is known, and for services without reports, where the requests
        in flight decide alone.
        """
        if service not in self.reporting_services_:
            return None
        usual = self.answer_times.usual(service, route)
        # A rare route counts as the service's others until it has answers of its own.
        return usual or self.answer_times.usual(service)

    def record_answer(
        self,
        service: str,
        upstream_id: str,
        route: str,
        *,
        duration: timedelta,
        now: datetime,
    ) -> None:
        """Record the time that an upstream took to answer a request."""
        self.answer_times.record(
            service, upstream_id, route, duration=duration, now=now
        )

    def record_first_token(
        self, service: str, upstream_id: str, duration: timedelta, now: datetime
    ) -> None:
        """Record the time to the first token of an engine."""
        self.first_tokens.record(service, upstream_id, "", duration=duration, now=now)

    def unread_lifetime(self, upstream_id: str) -> timedelta | None:
        """Return how long the prompt of a peer's request counts as unread.

        `None` where engines have their VMs to themselves, or before it is known.
        """
        service = self.service_of(upstream_id)
        return None if service is None else self.first_tokens.usual(service)

    def peer_lifetime(self, upstream_id: str) -> timedelta | None:
        """Return how long a request of a peer counts if it has not been heard of since.

        `None` keeps it until the peer's next message: for engines, whose requests last
        longer than that, and for services without reports.
        """
        service = self.service_of(upstream_id)
        usual = None if service is None else self.usual_time(service)
        return None if usual is None else PEER_LIFETIME_IN_USUAL_TIMES * usual

    def state(
        self,
        service: str,
        upstream_id: str,
        route: str,
        *,
        slots: int,
        own_requests: int,
        known_requests: int,
        now: datetime,
    ) -> ServerState:
        """Estimate the state of an upstream.

        The known requests are those of all entries, the own ones among them.
        """
        figure = self.server_loads.figure(upstream_id, now)
        shown = self.answer_times.ratio(service, upstream_id, route, now)
        return ServerState(
            _blend_requests(figure, own_requests, known_requests, slots),
            slots,
            _blend_slowness(figure, shown),
        )


def predict_completion(usual_time: timedelta, state: ServerState) -> Prediction:
    """Predict the time until a request that arrives now is answered.

    The wait grows evenly with the requests for each slot, although requests up to the
    slots do not wait: the estimates are older than the requests that arrive meanwhile,
    and among upstreams with free slots the emptier one is the safer choice.
    """
    work = usual_time * state.slowness
    return Prediction(work * state.requests_per_slot, work)


def _blend_requests(
    figure: LoadFigure | None, own: int, known: int, slots: int
) -> float:
    if figure is None:
        return known
    reported = min(figure.load.requests, MAX_REPORTED_PER_SLOT * slots)
    blended = figure.weight * reported + (1 - figure.weight) * known
    return max(blended, own, KNOWN_SHARE * known)


def _blend_slowness(figure: LoadFigure | None, shown: float) -> float:
    """Return the slowness from the report and from what answers showed.

    An upstream that reports to be as usual while its answers are slow is believed by
    half.
    """
    reported = figure.load.slowness if figure else None
    if reported is None:
        return shown
    blended = figure.weight * reported + (1 - figure.weight) * shown
    return max(blended, 1 + KNOWN_SHARE * (shown - 1))
