"""Since when the weights of a model are named, version by version."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

# Versions whose announcement is remembered for each model.
MAX_KEPT_VERSIONS = 8
# A difference below this is the delay of a message, not a better time.
MIN_TIME_CORRECTION = timedelta(milliseconds=20)
# Stands for a time that is not known: requests must have begun long ago.
UNIX_EPOCH = datetime.fromtimestamp(0, UTC)


@dataclass(slots=True, frozen=True)
class WriteTime:
    """Tell when a record was written: just before the time, or not before it.

    An exact time is that at which a process that followed the records got it. Another
    one is the last time at which the record was not there.
    """

    at: datetime
    exact: bool = True


@dataclass(slots=True, frozen=True)
class VersionAnnouncement:
    """Tell when a version of a model was named, `None` if that is not known."""

    model: str
    version: int
    time: WriteTime | None


class AnnouncementTimes:
    """Hold the best known time of each announcement of one model."""

    __slots__ = ("times_by_version_", "unknown_time_through_")

    def __init__(self) -> None:
        self.times_by_version_: dict[int, WriteTime | None] = {}
        # Highest version that is no longer kept and was named at an unknown time.
        self.unknown_time_through_ = 0

    def add(self, version: int, time: WriteTime | None) -> bool:
        """Take a time; tell whether it is news."""
        times = self.times_by_version_
        if len(times) == MAX_KEPT_VERSIONS and version < min(times):
            return self._add_to_merged(version, time)
        if version in times and not _is_better_time(time, times[version]):
            return False
        times[version] = time
        if len(times) > MAX_KEPT_VERSIONS:
            self._merge_oldest()
        return True

    def outdated_since(self, held_version: int) -> datetime | None:
        """Return when a version newer than the held one was first named."""
        if held_version < self.unknown_time_through_:
            return UNIX_EPOCH
        newer = [
            time.at if time else UNIX_EPOCH
            for version, time in self.times_by_version_.items()
            if version > held_version
        ]
        return min(newer, default=None)

    def has_time_after(self, at: datetime) -> bool:
        """Tell whether one of the announcements is known to have come after a time."""
        times = self.times_by_version_.values()
        return any(time is not None and time.at > at for time in times)

    def __iter__(self) -> Iterator[tuple[int, WriteTime | None]]:
        if self.unknown_time_through_:
            yield self.unknown_time_through_, None
        yield from self.times_by_version_.items()

    def _merge_oldest(self) -> None:
        """Merge the oldest version into the next one, with the earlier time."""
        times = self.times_by_version_
        oldest = min(times)
        time = times.pop(oldest)
        next_version = min(times)
        known = times[next_version]
        if time is None or known is None:
            self.unknown_time_through_ = oldest
        elif time.at < known.at:
            times[next_version] = time

    def _add_to_merged(self, version: int, time: WriteTime | None) -> bool:
        """Take the time of a version that the oldest kept one stands for."""
        if time is None:
            changed = version > self.unknown_time_through_
            self.unknown_time_through_ = max(version, self.unknown_time_through_)
            return changed
        times = self.times_by_version_
        oldest = min(times)
        known = times[oldest]
        if known is None or known.at - time.at < MIN_TIME_CORRECTION:
            return False
        times[oldest] = time
        return True


def _is_better_time(time: WriteTime | None, known: WriteTime | None) -> bool:
    """Tell whether a time is closer to the announcement than the known one."""
    if time is None:
        return False
    if known is None:
        return True
    if time.exact and known.exact:
        return known.at - time.at >= MIN_TIME_CORRECTION
    if not time.exact and not known.exact:
        return time.at > known.at
    return time.exact
