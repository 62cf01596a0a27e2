"""Times at which the weight versions of a model were announced."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

# Versions whose announcement is remembered for each model.
MAX_KEPT_VERSIONS = 8
# A smaller difference is message delay and doesn't make a time more precise.
MIN_TIME_CORRECTION = timedelta(milliseconds=20)
# Stands in for an unknown announcement time: any bound counted from it has passed.
UNIX_EPOCH = datetime.fromtimestamp(0, UTC)


@dataclass(slots=True, frozen=True)
class WriteTime:
    """Hold the time at which a record was written, or a lower bound of it.

    An exact time is the one at which a process that was following the records received
    it, just after the write. Otherwise it is the last time at which the record was
    known to be absent.
    """

    at: datetime
    exact: bool = True


@dataclass(slots=True, frozen=True)
class VersionAnnouncement:
    """Hold when a version of a model was announced, `None` if not known."""

    model: str
    version: int
    time: WriteTime | None


class AnnouncementTimes:
    """Hold the best known time of each announcement of one model."""

    __slots__ = ("times_by_version_", "unknown_time_through_")

    def __init__(self) -> None:
        self.times_by_version_: dict[int, WriteTime | None] = {}
        # Highest version that was merged while its announcement time was unknown.
        self.unknown_time_through_ = 0

    def add(self, version: int, time: WriteTime | None) -> bool:
        """Add an announcement and return whether it changed what is known."""
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
        """Return when a version newer than the held one was first announced."""
        if held_version < self.unknown_time_through_:
            return UNIX_EPOCH
        newer = [
            time.at if time else UNIX_EPOCH
            for version, time in self.times_by_version_.items()
            if version > held_version
        ]
        return min(newer, default=None)

    def announced_at_by_version(self) -> dict[int, datetime | None]:
        """Return when each remembered version was announced, `None` if not known."""
        return {
            version: time.at if time else None
            for version, time in self.times_by_version_.items()
        }

    def has_time_after(self, at: datetime) -> bool:
        """Check whether an announcement is known to be later than a time."""
        times = self.times_by_version_.values()
        return any(time is not None and time.at > at for time in times)

    def __iter__(self) -> Iterator[tuple[int, WriteTime | None]]:
        if self.unknown_time_through_:
            yield self.unknown_time_through_, None
        yield from self.times_by_version_.items()

    def _merge_oldest(self) -> None:
        """Merge the oldest version into the next one, keeping the earlier time."""
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
        """Add the time of a version that was merged into the oldest kept one."""
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
    """Check whether a time is closer to the announcement than the known one."""
    if time is None:
        return False
    if known is None:
        return True
    if time.exact and known.exact:
        return known.at - time.at >= MIN_TIME_CORRECTION
    if not time.exact and not known.exact:
        return time.at > known.at
    return time.exact
