"""Exchange between peers of the times at which weight versions were announced."""

from __future__ import annotations

from datetime import datetime, timedelta
from random import Random

from ..gateway import OperatorState, VersionAnnouncement, WriteTime
from ..replication import AnnouncementsItem, GossipMessage
from ._reporter import LineReporter

# A process that starts or reconnects within this time of an announcement learns from
# its peers how long it may still use the old weights. An announcement that no peer
# reports counts as long past. A longer version bound extends this duration.
MIN_SHARED_FOR = timedelta(seconds=60)
# Bounds the size of a message. Models are sampled at random, so that each one is sent
# within a few rounds.
MODELS_PER_MESSAGE = 8


class AnnouncementExchange:
    """Exchange the times of announcements with peers."""

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

    def items(self, now: datetime) -> list[AnnouncementsItem]:
        """Return the recent announcements to send to peers."""
        announcements_by_model = self.operator.announcements_after(
            now - self.shared_for
        )
        models = list(announcements_by_model)
        if len(models) > MODELS_PER_MESSAGE:
            models = self.random.sample(models, MODELS_PER_MESSAGE)
        return [
            # All versions of a model are sent together: with a later version alone, a
            # peer would start the bound of an earlier one at the later one's time.
            AnnouncementsItem(
                model,
                {a.version: _age_s(a, now) for a in announcements_by_model[model]},
            )
            for model in models
        ]

    def merge(self, message: GossipMessage, now: datetime) -> None:
        """Merge the times that a peer reports."""
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
    """Return the age to send, `None` if inexact so that peers keep a better time."""
    if announcement.time is None or not announcement.time.exact:
        return None
    return (now - announcement.time.at).total_seconds()
