"""Reports on the era of the store, and rules for what is retained from earlier eras."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from ..core import Clock
from ..platform import StoreEra
from ..replication import UNKNOWN_ERA
from ._reporter import LineReporter

if TYPE_CHECKING:
    from ._topics import TopicReplica

# Ages that peers send are cut here; all records have expired by then.
MAX_AGE_S = 3600.0
MAX_REPORTED_VALUE = 32


@dataclass(slots=True, frozen=True)
class Retention:
    """Hold how long records of earlier eras stay in use after the store's return."""

    time: timedelta
    # Keep a removal until its key is written again, if the copy still has the key.
    keeps_removals: bool = False


# Live upstreams write again within about 2 s of the store's return; the rest is slack.
# The record of an upstream that has left is written by nobody, so that its removal
# must outlast the copy, which may still have the upstream.
UPSTREAM_RETENTION = Retention(timedelta(seconds=2.5), keeps_removals=True)
# Operators write again in no given time. Configurations and versions of weights rise
# only, and a domain that is out of use for some seconds too long costs less than
# requests to one that is to be empty.
OPERATOR_RETENTION = Retention(timedelta(seconds=10))


class EraFollower:
    """Apply a rise of the store's era to all topics of a process."""

    __slots__ = ("clock", "era", "learned_at_", "reporter", "topics")

    def __init__(
        self,
        clock: Clock,
        reporter: LineReporter,
        topics: Callable[[], Collection[TopicReplica]],
    ) -> None:
        self.clock = clock
        self.reporter = reporter
        # Returns the replicas of the process.
        self.topics = topics
        self.era = StoreEra()
        self.era.on_unreadable = self._report_unreadable
        self.era.add_listener(self._enter)
        # When this process or a peer first learned of the era.
        self.learned_at_: datetime | None = None

    def age_s(self, now: datetime) -> float | None:
        """Return the seconds since a process first learned of the era."""
        if self.learned_at_ is None:
            return None
        return round((now - self.learned_at_).total_seconds(), 2)

    def learn(self, era: int, age_s: float | None) -> None:
        """Take over from a peer an era, or that it was learned of earlier."""
        age = timedelta(seconds=min(age_s or 0, MAX_AGE_S))
        self.era.learn(era, age)
        learned_at = self.clock.now() - age
        if era == self.era.era != UNKNOWN_ERA and learned_at < self.learned_at_:
            self._date(learned_at)

    def _date(self, learned_at: datetime) -> None:
        self.learned_at_ = learned_at
        for topic in self.topics():
            topic.fell_at_ = learned_at

    def _enter(self, era: int, age: timedelta) -> None:
        fell = self.learned_at_ is not None
        for topic in self.topics():
            topic.fall(era)
        self._date(self.clock.now() - age)
        self.reporter.gauge("store_era", era)
        if fell:
            self.reporter.count("store_falls")
        self.reporter.event(
            "store_fell_back" if fell else "store_era",
            era=era,
            learned_s=age.total_seconds(),
            retained={topic.topic: topic.retained for topic in self.topics()},
        )

    def _report_unreadable(self, value: str | None) -> None:
        known = None if self.era.era == UNKNOWN_ERA else self.era.era
        value = value[:MAX_REPORTED_VALUE] if value else value
        self.reporter.event("store_era_unknown", value=value, era=known)
