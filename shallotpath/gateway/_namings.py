"""Since when the weights of a model are named, version by version."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

# Versions whose naming is remembered for each model.
KEPT_NAMINGS = 8
# A difference below this is the delay of a message, not a better time.
MIN_CORRECTION = timedelta(milliseconds=20)
# Stands for a time that is not known: requests must have begun long ago.
LONG_AGO = datetime.fromtimestamp(0, UTC)


@dataclass(slots=True, frozen=True)
class RecordTime:
    """Describe when a record was written: just before the time, or not before it.

    An exact time is that at which a process that followed the records got it. Another
    one is the last time at which the record was not there.
    """

    at: datetime
    exact: bool = True


@dataclass(slots=True, frozen=True)
class Naming:
    """Describe when a version of a model was named, `None` if that is not known."""

    model: str
    version: int
    time: RecordTime | None


class NamingTimes:
    """Hold the best known time of each naming of one model."""

    __slots__ = ("times_by_version_", "unknown_through_")

    def __init__(self) -> None:
        self.times_by_version_: dict[int, RecordTime | None] = {}
        # Highest version that is no longer kept and was named at an unknown time.
        self.unknown_through_ = 0

    def add(self, version: int, time: RecordTime | None) -> bool:
        """Record a time and return whether it is new."""
        times = self.times_by_version_
        if len(times) == KEPT_NAMINGS and version < min(times):
            return self._add_merged(version, time)
        if version in times and not _corrects(time, times[version]):
            return False
        times[version] = time
        if len(times) > KEPT_NAMINGS:
            self._merge_oldest()
        return True

    def outdated_since(self, held: int) -> datetime | None:
        """Return when a version newer than the held one was first named."""
        if held < self.unknown_through_:
            return LONG_AGO
        newer = [
            time.at if time else LONG_AGO
            for version, time in self.times_by_version_.items()
            if version > held
        ]
        return min(newer, default=None)

    def known_after(self, at: datetime) -> bool:
        """Check whether one of the namings is known to have come after a time."""
        times = self.times_by_version_.values()
        return any(time is not None and time.at > at for time in times)

    def __iter__(self) -> Iterator[tuple[int, RecordTime | None]]:
        if self.unknown_through_:
            yield self.unknown_through_, None
        yield from self.times_by_version_.items()

    def _merge_oldest(self) -> None:
        """Merge the oldest version into the next one, with the earlier time."""
        times = self.times_by_version_
        oldest = min(times)
        time = times.pop(oldest)
        following = min(times)
        known = times[following]
        if time is None or known is None:
            self.unknown_through_ = oldest
        elif time.at < known.at:
            times[following] = time

    def _add_merged(self, version: int, time: RecordTime | None) -> bool:
        """Record the time of a version that the oldest kept one stands for."""
        if time is None:
            news = version > self.unknown_through_
            self.unknown_through_ = max(version, self.unknown_through_)
            return news
        times = self.times_by_version_
        oldest = min(times)
        known = times[oldest]
        if known is None or known.at - time.at < MIN_CORRECTION:
            return False
        times[oldest] = time
        return True


def _corrects(time: RecordTime | None, known: RecordTime | None) -> bool:
    """Check whether a time is closer to the naming than the known one."""
    if time is None:
        return False
    if known is None:
        return True
    if time.exact and known.exact:
        return known.at - time.at >= MIN_CORRECTION
    if not time.exact and not known.exact:
        return time.at > known.at
    return time.exact
