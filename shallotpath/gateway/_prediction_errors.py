"""How far predictions for engines were off lately, by service and region.

The rates of the configuration hold for engines that have their VM to themselves and for
links with room. Where VMs are shared and links are narrow, the answers show what the
rates leave out.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

# Weight of the newest error, an average over about the last six requests.
NEWEST_WEIGHT = 0.25
# One request changes the average by at most this times its weight, so that a few very
# late answers do not keep requests away.
MAX_STEP = timedelta(milliseconds=300)
MIN_REQUESTS = 3
# An error counts fully for the first time, as an entry sends few requests to another
# region, and nothing after the second, so that a region is tried again after its link
# had no room for a while.
FULL_WEIGHT_AGE = timedelta(seconds=1.5)
MAX_AGE = timedelta(seconds=4)


@dataclass(slots=True)
class _Average:
    error: timedelta
    updated_at: datetime
    count: int = 0


class PredictionErrors:
    """Average the time by which first tokens came later than predicted."""

    __slots__ = ("averages_by_key_",)

    def __init__(self) -> None:
        # By service and region, of which a deployment has few.
        self.averages_by_key_: dict[tuple[str, str], _Average] = {}

    def record(
        self, service: str, region: str, error: timedelta, now: datetime
    ) -> None:
        """Record by how much a first token came later than predicted."""
        known = self.averages_by_key_.setdefault(
            (service, region), _Average(timedelta(), now)
        )
        remembered = known.error * _freshness(known, now)
        step = min(max(error - remembered, -MAX_STEP), MAX_STEP)
        known.error = remembered + NEWEST_WEIGHT * step
        known.updated_at = now
        known.count += 1

    def delay(self, service: str, region: str, now: datetime) -> timedelta:
        """Return the time to add to predictions, zero where they were not too low.

        Predictions that were too high are kept: they hold back what would fill engines
        before the entries hear of each other's requests.
        """
        known = self.averages_by_key_.get((service, region))
        if known is None or known.count < MIN_REQUESTS:
            return timedelta()
        return max(timedelta(), known.error * _freshness(known, now))


def _freshness(average: _Average, now: datetime) -> float:
    left = MAX_AGE - (now - average.updated_at)
    return min(1.0, max(0.0, left / (MAX_AGE - FULL_WEIGHT_AGE)))
