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

    __slots__ = ("named_at_by_version_",)

    def __init__(self) -> None:
        self.named_at_by_version_: dict[int, datetime | None] = {}

    def add(self, version: int, named_at: datetime | None) -> bool:
        """Take a time; tell whether it is news."""
        times = self.named_at_by_version_
        if len(times) == KEPT_NAMINGS:
            # What was merged before is not kept again.
            version = max(version, min(times))
        if version in times:
            known = times[version]
            if named_at is None:
                return False
            if known is not None and known - named_at < MIN_CORRECTION:
                return False
        times[version] = named_at
        if len(times) > KEPT_NAMINGS:
            self._merge_oldest()
        return True

    def outdated_since(self, held: int) -> datetime | None:
        """Return when a version newer than the held one was first named."""
        times = self.named_at_by_version_.items()
        newer = [at or LONG_AGO for version, at in times if version > held]
        return min(newer, default=None)

    def known_after(self, at: datetime) -> bool:
        """Tell whether one of the namings is known to have come after a time."""
        times = self.named_at_by_version_.values()
        return any(named_at is not None and named_at > at for named_at in times)

    def __iter__(self) -> Iterator[tuple[int, datetime | None]]:
        yield from self.named_at_by_version_.items()

    def _merge_oldest(self) -> None:
        """Let the next version stand for the oldest one, with the earlier time."""
        times = self.named_at_by_version_
        oldest, following = sorted(times)[:2]
        at = times.pop(oldest)
        known = times[following]
        times[following] = min(at, known) if at and known else None
