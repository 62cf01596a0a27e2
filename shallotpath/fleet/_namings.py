"""What processes tell each other of the times at which weights were named."""

from __future__ import annotations

from datetime import datetime, timedelta
from random import Random

from ..gateway import Naming, OperatorState, RecordTime
from ..replication import NamingsItem, News
from ._reporter import LineReporter

# A process that starts, or comes back after a cut, in this time after a naming learns
# how long it may still use the old weights. A naming of which peers say nothing counts
# as long ago. With a longer bound, namings are told until it ends.
MIN_SHARED_FOR = timedelta(seconds=60)
# Bounds the size of a message; a random choice, so that all are told in some rounds.
MODELS_PER_MESSAGE = 8


class NamingExchange:
    """Exchange the times of namings with peers."""

    def __init__(
        self,
        operator: OperatorState,
        *,
        bound: timedelta,
        random: Random,
        reporter: LineReporter,
    ) -> None:
        self.operator = operator
        self.shared_for = max(bound, MIN_SHARED_FOR)
        self.random = random
        self.reporter = reporter

    def items(self, now: datetime) -> list[NamingsItem]:
        """Return what peers are to know."""
        namings_by_model = self.operator.namings_after(now - self.shared_for)
        models = list(namings_by_model)
        if len(models) > MODELS_PER_MESSAGE:
            models = self.random.sample(models, MODELS_PER_MESSAGE)
        return [
            # All versions go together: with a later one alone, a peer would count the
            # bound of an earlier one from the later one's time.
            NamingsItem(
                model, {n.version: _age_s(n, now) for n in namings_by_model[model]}
            )
            for model in models
        ]

    def hear(self, news: News, now: datetime) -> None:
        """Record the times that a peer knows."""
        for item in news.namings:
            for version, age_s in item.age_s_by_version.items():
                time = None
                if age_s is not None:
                    time = RecordTime(now - timedelta(seconds=age_s))
                if self.operator.hear_naming(Naming(item.model, version, time)):
                    self.reporter.event(
                        "naming_heard",
                        model=item.model,
                        version=version,
                        age_s=age_s,
                        peer=news.sender.id,
                    )


def _age_s(naming: Naming, now: datetime) -> float | None:
    """Return the age for peers; those that know a better time are not misled."""
    if naming.time is None or not naming.time.exact:
        return None
    return (now - naming.time.at).total_seconds()
