"""Recent demand of each rank of a service, over all entries."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

# Bursts last some seconds. A longer memory would refuse requests after the end of one,
# a shorter one would vary with single requests.
DECAY_TIME = timedelta(milliseconds=1500)
DECAY_STEP = timedelta(milliseconds=20)
# A rank with less demand than this has not been seen lately.
MIN_OFFERED = 0.05
# Bounds the memory that a faulty peer can make a process use.
MAX_KEYS = 256


class DemandKey(NamedTuple):
    """Identify the requests of one rank of a service, 0 for the most urgent."""

    service: str
    rank: int


@dataclass(slots=True, frozen=True)
class Demand:
    """Hold decayed sums over the first attempts of one rank."""

    offered: float
    refused: float
    # Time of upstreams that the admitted requests need, in seconds.
    work_s: float
    # Tightest target latency among them.
    target: timedelta

    @property
    def refused_share(self) -> float:
        """Return the share of requests that were refused."""
        return self.refused / self.offered if self.offered > 0 else 0.0

    @property
    def work_per_s(self) -> float:
        """Return the upstream time that is admitted per second, in seconds."""
        return self.work_s / DECAY_TIME.total_seconds()

    def scaled(self, factor: float) -> Demand:
        """Return the demand after it has decayed by a factor."""
        return Demand(
            self.offered * factor,
            self.refused * factor,
            self.work_s * factor,
            self.target,
        )

    def plus(self, other: Demand, sign: int = 1) -> Demand:
        """Return the sum or the difference; sums do not become negative."""
        return Demand(
            max(0.0, self.offered + sign * other.offered),
            max(0.0, self.refused + sign * other.refused),
            max(0.0, self.work_s + sign * other.work_s),
            min(self.target, other.target),
        )


@dataclass(slots=True, frozen=True)
class _PeerDemand:
    received_at: datetime
    demands_by_key: dict[DemandKey, Demand]


class DemandTracker:
    """Sum the own demand and that of peers.

    All sums decay at the same rate, so a peer that falls silent needs no expiry and a
    decision does not iterate over the peers.
    """

    __slots__ = ("decayed_at_", "own_by_key_", "peers_by_id_", "totals_by_key_")

    def __init__(self) -> None:
        self.decayed_at_: datetime | None = None
        self.own_by_key_: dict[DemandKey, Demand] = {}
        self.totals_by_key_: dict[DemandKey, Demand] = {}
        self.peers_by_id_: dict[str, _PeerDemand] = {}

    def record(
        self,
        key: DemandKey,
        *,
        target: timedelta,
        work: timedelta,
        refused: bool,
        now: datetime,
    ) -> None:
        """Record the decision about a first attempt."""
        self._decay(now)
        work_s = 0.0 if refused else work.total_seconds()
        one = Demand(1.0, float(refused), work_s, target)
        for demands in (self.own_by_key_, self.totals_by_key_):
            known = demands.get(key)
            demands[key] = one if known is None else known.plus(one)

    def own(self, now: datetime) -> dict[DemandKey, Demand]:
        """Return the own demand, for peers."""
        self._decay(now)
        return dict(self.own_by_key_)

    def update_peer(
        self, peer: str, demands_by_key: Mapping[DemandKey, Demand], now: datetime
    ) -> None:
        """Replace the demand at another entry."""
        self._decay(now)
        known = self.peers_by_id_.pop(peer, None)
        totals = self.totals_by_key_
        if known is not None:
            factor = _decay_factor(now - known.received_at)
            for key, demand in known.demands_by_key.items():
                if key in totals:
                    totals[key] = totals[key].plus(demand.scaled(factor), -1)
        if not demands_by_key:
            return
        kept = dict(list(demands_by_key.items())[:MAX_KEYS])
        self.peers_by_id_[peer] = _PeerDemand(now, kept)
        for key, demand in kept.items():
            total = totals.get(key)
            if total is not None:
                totals[key] = total.plus(demand)
            elif len(totals) < MAX_KEYS:
                totals[key] = demand

    def recent_keys(self, now: datetime) -> list[DemandKey]:
        """Return the services and ranks with recent demand."""
        self._decay(now)
        return list(self.totals_by_key_)

    def get(self, key: DemandKey, now: datetime) -> Demand | None:
        """Return the recent demand of one rank."""
        self._decay(now)
        return self.totals_by_key_.get(key)

    def more_urgent(self, key: DemandKey, now: datetime) -> list[Demand]:
        """Return the recent demand of the more urgent ranks of a service."""
        self._decay(now)
        return [
            demand
            for other, demand in self.totals_by_key_.items()
            if other.service == key.service and other.rank < key.rank
        ]

    def by_rank(self, service: str, now: datetime) -> dict[int, Demand]:
        """Return the recent demand of a service by rank."""
        self._decay(now)
        return {
            key.rank: demand
            for key, demand in self.totals_by_key_.items()
            if key.service == service
        }

    def _decay(self, now: datetime) -> None:
        if self.decayed_at_ is None:
            self.decayed_at_ = now
        elapsed = now - self.decayed_at_
        if elapsed < DECAY_STEP:
            return
        self.decayed_at_ = now
        factor = _decay_factor(elapsed)
        for demands in (self.own_by_key_, self.totals_by_key_):
            for key, demand in list(demands.items()):
                if demand.offered * factor < MIN_OFFERED:
                    del demands[key]
                else:
                    demands[key] = demand.scaled(factor)


def _decay_factor(elapsed: timedelta) -> float:
    return math.exp(-max(0.0, elapsed / DECAY_TIME))
