"""What processes tell each other of the times at which weights were named."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..gateway import Naming, OperatorState
from ..replication import NamingItem, News
from ._reporter import LineReporter

# A process that starts, or comes back after a cut, in this time after a naming learns
# how long it may still use the old weights. A naming of which peers say nothing counts
# as long ago.
TOLD_FOR = timedelta(seconds=60)


class NamingExchange:
    """Tell peers the times of namings and take theirs."""

    def __init__(self, operator: OperatorState, reporter: LineReporter) -> None:
        self.operator = operator
        self.reporter = reporter

    def items(self, now: datetime) -> list[NamingItem]:
        """Return what peers are to know."""
        return [
            NamingItem(naming.model, naming.version, _age_s(naming, now))
            for naming in self.operator.namings_after(now - TOLD_FOR)
        ]

    def hear(self, news: News, now: datetime) -> None:
        """Take the times that a peer knows."""
        for item in news.namings:
            named_at = None
            if item.age_s is not None:
                named_at = now - timedelta(seconds=item.age_s)
            if self.operator.hear_naming(Naming(item.model, item.version, named_at)):
                self.reporter.event(
                    "naming_heard",
                    model=item.model,
                    version=item.version,
                    age_s=item.age_s,
                    peer=news.sender.id,
                )


def _age_s(naming: Naming, now: datetime) -> float | None:
    if naming.named_at is None:
        return None
    return (now - naming.named_at).total_seconds()
