"""Since when the weights of a model are named, version by version."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

# Versions whose naming is remembered for each model.
KEPT_NAMINGS = 8
# A difference below this is the delay of a message, not a better time.
MIN_CORRECTION = timedelta(milliseconds=20)
# Stands for a naming that nobody saw happen: old weights get no time.
LONG_AGO = datetime.fromtimestamp(0, UTC)


@dataclass(slots=True, frozen=True)
class Naming:
    """Tell when a version of a model was named, `None` if that is not known."""

    model: str
    version: int
    named_at: datetime | None


class NamingTimes:
    """Hold the earliest known time of each naming of one model.

    A time comes from a process that followed the records when the naming came, so it
    is never earlier than the naming itself; the earliest of all is the closest.
    """

    __slots__ = ("named_at_by_version_", "unknown_through_")

    def __init__(self) -> None:
        self.named_at_by_version_: dict[int, datetime | None] = {}
        # Highest version that is no longer kept and was named at an unknown time.
        self.unknown_through_ = 0

    def add(self, version: int, named_at: datetime | None) -> bool:
        """Take a time; tell whether it is news."""
        times = self.named_at_by_version_
        if len(times) == KEPT_NAMINGS and version < min(times):
            return self._add_merged(version, named_at)
        if version in times and not _corrects(named_at, times[version]):
            return False
        times[version] = named_at
        if len(times) > KEPT_NAMINGS:
            self._merge_oldest()
        return True

    def _merge_oldest(self) -> None:
        """Let the next version stand for the oldest one, with the earlier time."""
        times = self.named_at_by_version_
        oldest = min(times)
        named_at = times.pop(oldest)
        following = min(times)
        known = times[following]
        if named_at is None or known is None:
            self.unknown_through_ = oldest
        else:
            times[following] = min(named_at, known)

    def _add_merged(self, version: int, named_at: datetime | None) -> bool:
        """Take the time of a version that the oldest kept one stands for."""
        if named_at is None:
            news = version > self.unknown_through_
            self.unknown_through_ = max(version, self.unknown_through_)
            return news
        times = self.named_at_by_version_
        oldest = min(times)
        known = times[oldest]
        if known is None or not _corrects(named_at, known):
            return False
        times[oldest] = named_at
        return True

    def outdated_since(self, held: int) -> datetime | None:
        """Return when a version newer than the held one was first named."""
        if held < self.unknown_through_:
            return LONG_AGO
        times = self.named_at_by_version_.items()
        newer = [at or LONG_AGO for version, at in times if version > held]
        return min(newer, default=None)

    def known_after(self, at: datetime) -> bool:
        """Tell whether one of the namings is known to have come after a time."""
        times = self.named_at_by_version_.values()
        return any(named_at is not None and named_at > at for named_at in times)

    def __iter__(self) -> Iterator[tuple[int, datetime | None]]:
        if self.unknown_through_:
            yield self.unknown_through_, None
        yield from self.named_at_by_version_.items()


def _corrects(named_at: datetime | None, known: datetime | None) -> bool:
    """Tell whether a time is better than the one that is known."""
    if named_at is None:
        return False
    return known is None or known - named_at >= MIN_CORRECTION
