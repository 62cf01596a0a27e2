"""Exchange of the demand by rank between entries."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

from ..admission import Demand, DemandKey, DemandTracker
from ..replication import DemandItem

# Larger figures of a peer are not plausible.
MAX_FIGURE = 1e6


def demand_items(tracker: DemandTracker, now: datetime) -> list[DemandItem]:
    """Return the own demand for peers."""
    return [
        DemandItem(
            key.service,
            key.rank,
            round(demand.offered, 2),
            round(demand.refused, 2),
            round(demand.work_s, 3),
            demand.target.total_seconds(),
        )
        for key, demand in tracker.own(now).items()
    ]


def update_peer_demand(
    tracker: DemandTracker, peer: str, items: Iterable[DemandItem], now: datetime
) -> None:
    """Replace the demand at a peer by what it reports."""
    demands_by_key = {
        DemandKey(item.service, item.rank): Demand(
            item.offered,
            item.refused,
            item.work_s,
            timedelta(seconds=item.target_s),
        )
        for item in items
        if _is_plausible(item)
    }
    tracker.update_peer(peer, demands_by_key, now)


def _is_plausible(item: DemandItem) -> bool:
    figures = (item.offered, item.refused, item.work_s, item.target_s)
    return all(0 <= figure <= MAX_FIGURE for figure in figures)
