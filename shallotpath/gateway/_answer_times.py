"""Times that upstreams take to answer, as their answers show."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import datetime, timedelta

# Share by which one answer moves an estimate. A step does not depend on how long the
# answer took, so a few very long ones do not shift the estimate.
STEP = 0.08
# The first answers move it faster, so that an entry that has just started learns soon.
FIRST_STEP = 0.5
# Without new answers an upstream counts as a usual one again after this time: one that
# was slow for a moment must not stay without requests.
MAX_RATIO_AGE = timedelta(seconds=2)
# Answers of one upstream that are needed before they count, and bounds of what they can
# show. Neither a slow nor a fast spell may empty or flood an upstream.
MIN_ANSWERS = 3
MIN_RATIO = 0.5
MAX_RATIO = 4.0
# Bounds the memory at 900 upstreams with several routes each.
MAX_ESTIMATES = 8000


@dataclass(slots=True)
class _Estimate:
    """Follow the median of durations by steps of its own size."""

    seconds: float
    updated_at: datetime
    count: int = 1

    def update(self, seconds: float, now: datetime) -> None:
        step = max(STEP, FIRST_STEP / self.count)
        self.seconds *= 1 + step if seconds > self.seconds else 1 / (1 + step)
        self.updated_at = now
        self.count += 1


class AnswerTimes:
    """Learn the usual time to answer by service and route, and that of upstreams."""

    __slots__ = ("estimates_by_key_",)

    def __init__(self) -> None:
        # Keys are (service, upstream, route), with an empty name for all of them.
        self.estimates_by_key_: OrderedDict[tuple[str, str, str], _Estimate] = (
            OrderedDict()
        )

    def record(
        self,
        service: str,
        upstream_id: str,
        route: str,
        *,
        duration: timedelta,
        now: datetime,
    ) -> None:
        """Record the time that an upstream took to answer a request."""
        seconds = max(duration.total_seconds(), 1e-4)
        keys = {(service, "", ""), (service, "", route), (service, upstream_id, route)}
        for key in keys:
            self._update(key, seconds, now)

    def usual(self, service: str, route: str = "") -> timedelta | None:
        """Return the usual time to answer, `None` before it is known.

        Without a route it is that of all routes of the service.
        """
        known = self.estimates_by_key_.get((service, "", route))
        if known is None or known.count < MIN_ANSWERS:
            return None
        return timedelta(seconds=known.seconds)

    def ratio(self, service: str, upstream_id: str, route: str, now: datetime) -> float:
        """Return the time to answer of an upstream relative to the usual one."""
        usual = self.estimates_by_key_.get((service, "", route))
        known = self.estimates_by_key_.get((service, upstream_id, route))
        if usual is None or known is None or known.count < MIN_ANSWERS:
            return 1.0
        weight = max(0.0, 1 - (now - known.updated_at) / MAX_RATIO_AGE)
        ratio = min(max(known.seconds / usual.seconds, MIN_RATIO), MAX_RATIO)
        return 1 + weight * (ratio - 1)

    def _update(self, key: tuple[str, str, str], seconds: float, now: datetime) -> None:
        known = self.estimates_by_key_.get(key)
        if known is None:
            self.estimates_by_key_[key] = _Estimate(seconds, now)
        else:
            known.update(seconds, now)
        self.estimates_by_key_.move_to_end(key)
        if len(self.estimates_by_key_) > MAX_ESTIMATES:
            self.estimates_by_key_.popitem(last=False)
