"""What upstreams report of their own load, and how long a report is worth something."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

# Shared VMs slow down and recover several times a second. A figure counts fully for the
# first time and nothing after the second one; in between its weight falls evenly.
FULL_WEIGHT_AGE = timedelta(milliseconds=30)
MAX_FIGURE_AGE = timedelta(milliseconds=150)
# Figures above these are taken for errors of their sender.
MAX_REPORTED_REQUESTS = 100_000
MAX_REPORTED_SLOWNESS_PERCENT = 100_000
# A slowness above this counts as this one, so that no figure keeps all requests away.
MAX_SLOWNESS = 4.0
# Bounds the memory at an entry that sees upstreams come and go.
MAX_UPSTREAMS = 2000


@dataclass(slots=True, frozen=True)
class ServerLoad:
    """Hold the load that an upstream reports of itself in a response."""

    running: int
    waiting: int
    slots: int
    # Time that work takes at this moment, in percent of the usual one.
    slowness_percent: int | None = None

    @property
    def requests(self) -> int:
        """Return the requests that the upstream holds."""
        return self.running + self.waiting

    @property
    def slowness(self) -> float | None:
        """Return how much longer work takes than usual; `None` if it is not reported.

        An upstream that reports less than the usual time counts as a usual one.
        """
        if self.slowness_percent is None:
            return None
        return min(max(1.0, self.slowness_percent / 100), MAX_SLOWNESS)


def is_plausible(load: ServerLoad) -> bool:
    """Check whether a report can be true."""
    if min(load.running, load.waiting) < 0 or load.slots < 1:
        return False
    if max(load.running, load.waiting, load.slots) > MAX_REPORTED_REQUESTS:
        return False
    percent = load.slowness_percent
    return percent is None or 0 < percent <= MAX_REPORTED_SLOWNESS_PERCENT


@dataclass(slots=True, frozen=True)
class LoadFigure:
    """Hold the last report of an upstream and what it is worth now."""

    load: ServerLoad
    received_at: datetime
    # From 1 for a new report to 0 for one that is too old.
    weight: float


class ServerLoads:
    """Keep the last report of each upstream."""

    __slots__ = ("figures_by_id_",)

    def __init__(self) -> None:
        self.figures_by_id_: OrderedDict[str, tuple[ServerLoad, datetime]] = (
            OrderedDict()
        )

    def record(self, upstream_id: str, load: ServerLoad, now: datetime) -> None:
        """Replace the report of an upstream."""
        self.figures_by_id_[upstream_id] = (load, now)
        self.figures_by_id_.move_to_end(upstream_id)
        if len(self.figures_by_id_) > MAX_UPSTREAMS:
            self.figures_by_id_.popitem(last=False)

    def figure(self, upstream_id: str, now: datetime) -> LoadFigure | None:
        """Return the report of an upstream while it is worth something."""
        known = self.figures_by_id_.get(upstream_id)
        if known is None:
            return None
        load, received_at = known
        weight = _weight(now - received_at)
        return LoadFigure(load, received_at, weight) if weight > 0 else None


def _weight(age: timedelta) -> float:
    if age <= FULL_WEIGHT_AGE:
        return 1.0
    return max(0.0, (MAX_FIGURE_AGE - age) / (MAX_FIGURE_AGE - FULL_WEIGHT_AGE))
