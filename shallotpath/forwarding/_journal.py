"""Write one log line and the metrics of each request."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Protocol

from ..gateway import Failure, GatewayCall, Placement, Rejection


class Reporter(Protocol):
    """Write log lines and metrics."""

    def event(self, kind: str, **fields: object) -> None:
        """Write a log line with fields."""
        ...

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        ...

    def observe(self, name: str, duration: timedelta, **labels: str) -> None:
        """Add a duration to a histogram."""
        ...


def milliseconds(duration: timedelta) -> float:
    """Return a duration in milliseconds with one decimal."""
    return round(duration / timedelta(milliseconds=1), 1)


def report_crash(
    reporter: Reporter, upstream_id: str, evidence: str, losses: int
) -> None:
    """Log and count an upstream that is gone after it lost requests of this entry."""
    reporter.count("upstream_crashes", evidence=evidence)
    reporter.event(
        "upstream_crashed", upstream=upstream_id, evidence=evidence, losses=losses
    )


@dataclass(slots=True)
class RequestJournal:
    """Collect the decisions about one request and the reasons for them."""

    reporter: Reporter
    request_id: str
    arrived_at: datetime
    steps: list[str] = field(default_factory=list)
    first_byte_at: datetime | None = None

    def placed(self, placement: Placement, now: datetime) -> None:
        """Record the chosen upstream and the age of its state at this entry."""
        upstream = placement.upstream
        age = milliseconds(now - upstream.received_at)
        predicted = milliseconds(placement.prediction.first_token)
        self.steps.append(
            f"{self._elapsed(now)} to {upstream.id} version={placement.version} "
            f"predicted={predicted}{_describe_correction(placement)} age={age}"
            f"{_describe_start_deadline(placement, now)}{_describe_level(placement)}"
        )
        if placement.rank.ordered:
            outcome = "minimum_share" if placement.minimum_share else "admitted"
            self._count_admission(placement, outcome)

    def sent(self, connection: int, request_count: int) -> None:
        """Record the connection and how many requests it has carried."""
        self.steps.append(f"on connection {connection}, its request {request_count}")

    def discarded(self, status: int, request_id: str) -> None:
        """Record a response that does not belong to the request."""
        self.reporter.count(
            "responses_discarded", id="other" if request_id else "missing"
        )
        self.steps.append(f"discarded status {status} for request {request_id!r:.80}")

    def unreadable_load(self, upstream_id: str) -> None:
        """Record that an upstream reported its load in a form that cannot be read."""
        self.reporter.count("server_loads_unreadable")
        self.steps.append(f"unreadable load report of {upstream_id}")

    def failed(self, failure: Failure, events: int, now: datetime) -> None:
        """Record how an attempt failed and how many events it had relayed."""
        relayed = f" events={events}" if events else ""
        self.steps.append(
            f"{self._elapsed(now)} {failure.kind}{relayed} {failure.detail}"
        )

    def rejected(self, rejection: Rejection, now: datetime) -> None:
        """Record why no upstream was chosen."""
        predicted = rejection.predicted
        self.steps.append(
            f"{self._elapsed(now)} no upstream: {rejection.reason} "
            f"candidates={rejection.candidates} "
            f"predicted={None if predicted is None else milliseconds(predicted)}"
            f"{_describe_level(rejection)}"
        )
        if rejection.rank.ordered:
            self._count_admission(rejection, f"refused_{rejection.obstacle}")

    def stopping(self, now: datetime) -> None:
        """Record that the request came too late before a planned stop."""
        self.steps.append(f"{self._elapsed(now)} refused: this entry is stopping")

    def shed(self, now: datetime) -> None:
        """Record that the request was ended for want of memory."""
        self.reporter.count("requests_shed")
        self.steps.append(f"{self._elapsed(now)} ended for want of memory")

    def full(self, now: datetime) -> None:
        """Record that the request was refused for want of memory."""
        self.reporter.count("requests_refused_for_memory")
        self.steps.append(f"{self._elapsed(now)} refused for want of memory")

    def suspected(self, subject: str, now: datetime) -> None:
        """Record why a request counts as one that crashes its upstream."""
        self.steps.append(f"{self._elapsed(now)} refused: {subject} crashed upstreams")

    def close(
        self,
        outcome: str,
        status: int,
        now: datetime,
        call: GatewayCall | None,
        version: int,
    ) -> None:
        """Write the request's log line and metrics."""
        first = self.first_byte_at
        route = call.route.id if call else ""
        self.reporter.count("requests", outcome=outcome)
        if first is not None:
            self.reporter.observe("first_byte", first - self.arrived_at)
        self.reporter.event(
            "request",
            request=self.request_id,
            outcome=outcome,
            status=status,
            route=route,
            service=call.service if call else "",
            team=call.team if call else "",
            came_back=call.is_retry if call else False,
            patience_ms=milliseconds(call.caller_timeout) if call else None,
            prompt_tokens=call.prompt_tokens if call else 0,
            output_tokens=call.output_tokens if call else 0,
            prompt_parts=call.prompt_parts if call else (),
            first_ms=milliseconds(first - self.arrived_at) if first else None,
            total_ms=milliseconds(now - self.arrived_at),
            configuration=version,
            steps=self.steps,
        )

    def _count_admission(self, decision: Placement | Rejection, outcome: str) -> None:
        rank = str(decision.rank.position)
        self.reporter.count("admissions", rank=rank, outcome=outcome)

    def _elapsed(self, now: datetime) -> str:
        return f"+{milliseconds(now - self.arrived_at)}ms"


def _describe_level(decision: Placement | Rejection) -> str:
    """Return what decided if priorities compete; empty otherwise."""
    level = decision.level
    if level is None:
        return ""
    if isinstance(decision, Placement):
        how = f"priority={decision.priority}"
        if decision.minimum_share:
            how += " minimum_share"
    else:
        how = f"obstacle={decision.obstacle}"
    return (
        f" rank={decision.rank.position}/{decision.rank.count} {how} "
        f"pressure={level.pressure:.2f} busy={level.busy_share:.2f}"
    )


def _describe_correction(placement: Placement) -> str:
    """Return the part of the prediction that earlier errors account for."""
    correction = placement.prediction.correction
    return f" of_that_learnt={milliseconds(correction)}" if correction else ""


def _describe_start_deadline(placement: Placement, now: datetime) -> str:
    """Return how long outdated weights may still be used; empty for current ones."""
    if placement.start_deadline is None:
        return ""
    return f" begin_within={milliseconds(placement.start_deadline - now)}"
