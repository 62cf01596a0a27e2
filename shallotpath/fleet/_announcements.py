"""What processes tell each other of the times at which weights were named."""

from __future__ import annotations

from datetime import datetime, timedelta
from random import Random

from ..gateway import OperatorState, VersionAnnouncement, WriteTime
from ..replication import AnnouncementsItem, GossipMessage
from ._reporter import LineReporter

# A process that starts, or comes back after a cut, in this time after an announcement
# learns how long it may still use the old weights. An announcement of which peers say
# nothing counts as long ago. With a longer bound, announcements are told until it ends.
MIN_SHARE_DURATION = timedelta(seconds=60)
# Bounds the size of a message; a random choice, so that all are told in some rounds.
MAX_MODELS_PER_MESSAGE = 8


class AnnouncementExchange:
    """Tell peers the times of announcements and take theirs."""

    def __init__(
        self,
        operator: OperatorState,
        *,
        bound: timedelta,
        random: Random,
        reporter: LineReporter,
    ) -> None:
        self.operator = operator
        self.share_duration = max(bound, MIN_SHARE_DURATION)
        self.random = random
        self.reporter = reporter

    def items(self, now: datetime) -> list[AnnouncementsItem]:
        """Return what peers are to know."""
        announcements_by_model = self.operator.announcements_after(
            now - self.share_duration
        )
        models = list(announcements_by_model)
        if len(models) > MAX_MODELS_PER_MESSAGE:
            models = self.random.sample(models, MAX_MODELS_PER_MESSAGE)
        return [
            # All versions go together: with a later one alone, a peer would count the
            # bound of an earlier one from the later one's time.
            AnnouncementsItem(
                model,
                {a.version: _age_s(a, now) for a in announcements_by_model[model]},
            )
            for model in models
        ]

    def merge(self, message: GossipMessage, now: datetime) -> None:
        """Take the times that a peer knows."""
        for item in message.announcements:
            for version, age_s in item.age_s_by_version.items():
                time = None
                if age_s is not None:
                    time = WriteTime(now - timedelta(seconds=age_s))
                if self.operator.merge_announcement(
                    VersionAnnouncement(item.model, version, time)
                ):
                    self.reporter.event(
                        "naming_heard",
                        model=item.model,
                        version=version,
                        age_s=age_s,
                        peer=message.sender.id,
                    )


def _age_s(announcement: VersionAnnouncement, now: datetime) -> float | None:
    """Return the age for peers; those that know a better time are not misled."""
    if announcement.time is None or not announcement.time.exact:
        return None
    return (now - announcement.time.at).total_seconds()
