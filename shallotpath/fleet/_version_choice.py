"""Decision of a sidecar between the transfer in progress and a newer version."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..core import Clock
from ..gateway import OperatorState
from ..platform import ProcessSettings
from ..swarm import (
    CurrentTransfer,
    OriginLimits,
    SwarmPlan,
    TransferTimes,
    VersionPlanner,
)
from ._reporter import LineReporter


class VersionChoice:
    """Ask the planner with what the configuration says, and report its decisions."""

    def __init__(
        self,
        settings: ProcessSettings,
        operator: OperatorState,
        *,
        origin_limits: Callable[[], OriginLimits],
        clock: Clock,
        reporter: LineReporter,
    ) -> None:
        self.settings = settings
        self.operator = operator
        self.origin_limits = origin_limits
        self.clock = clock
        self.reporter = reporter
        self.reported_: tuple[object, ...] = ()

    def finishes_first(self, plan: SwarmPlan, held: int) -> bool:
        """Check whether to finish a transfer although a newer version was announced."""
        target = self.operator.target(plan.model)
        announced = target.times.announced_at_by_version() if target else {}
        if not announced or max(announced) <= plan.version:
            return True
        times = TransferTimes.over_links(
            plan.size_bytes,
            link_bytes_per_s=self.settings.link_bytes_per_s,
            origin_bytes_per_s=self.origin_limits().bytes_per_s,
            load_time=self._load_time(plan.model),
            bound=self.settings.version_bound,
        )
        now = self.clock.now()
        current = CurrentTransfer(
            plan.version, plan.started_at, plan.coverage, plan.stalled(now)
        )
        finishes = VersionPlanner(times).finishes_first(
            current,
            held=held,
            announced_at_by_version=announced,
            now=now,
        )
        newest = max(announced)
        decision = (plan.model, plan.version, newest, finishes, current.stalled)
        if decision != self.reported_:
            self.reported_ = decision
            self.reporter.event(
                "weights_planned",
                model=plan.model,
                version=plan.version,
                newest=newest,
                finishes=finishes,
                coverage=round(current.coverage, 2),
                stalled=current.stalled,
                transfer_s=round(times.transfer.total_seconds(), 2),
            )
        return finishes

    def _load_time(self, model: str) -> timedelta:
        catalog = self.operator.catalog
        for service in catalog.services_by_id.values() if catalog else ():
            if service.engine and model in service.models:
                return service.load_time
        return timedelta()
