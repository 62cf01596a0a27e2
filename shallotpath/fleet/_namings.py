"""What processes tell each other of the times at which weights were named."""

from __future__ import annotations

from datetime import datetime, timedelta
from random import Random

from ..gateway import Naming, OperatorState
from ..replication import NamingsItem, News
from ._reporter import LineReporter

# A process that starts, or comes back after a cut, in this time after a naming learns
# how long it may still use the old weights. A naming of which peers say nothing counts
# as long ago. With a longer bound, namings are told until it ends.
MIN_TOLD_FOR = timedelta(seconds=60)
# Bounds the size of a message; over a few rounds all models are told.
MODELS_PER_MESSAGE = 8


class NamingExchange:
    """Tell peers the times of namings and take theirs."""

    def __init__(
        self,
        operator: OperatorState,
        *,
        bound: timedelta,
        random: Random,
        reporter: LineReporter,
    ) -> None:
        self.operator = operator
        self.told_for = max(bound, MIN_TOLD_FOR)
        self.random = random
        self.reporter = reporter

    def items(self, now: datetime) -> list[NamingsItem]:
        """Return what peers are to know."""
        namings_by_model = self.operator.namings_after(now - self.told_for)
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
        """Take the times that a peer knows."""
        for item in news.namings:
            for version, age_s in item.age_s_by_version.items():
                named_at = None if age_s is None else now - timedelta(seconds=age_s)
                if self.operator.hear_naming(Naming(item.model, version, named_at)):
                    self.reporter.event(
                        "naming_heard",
                        model=item.model,
                        version=version,
                        age_s=age_s,
                        peer=news.sender.id,
                    )


def _age_s(naming: Naming, now: datetime) -> float | None:
    if naming.named_at is None:
        return None
    return (now - naming.named_at).total_seconds()
