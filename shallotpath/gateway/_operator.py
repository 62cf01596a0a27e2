"""State that the operators set, built from their records."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from functools import singledispatchmethod

from ._announcements import AnnouncementTimes, VersionAnnouncement, WriteTime
from ._catalog import Catalog


@dataclass(slots=True, frozen=True)
class CatalogAnnounced:
    """Activate a configuration."""

    catalog: Catalog


@dataclass(slots=True, frozen=True)
class DomainDisabled:
    """Take a failure domain out of service."""

    domain: str


@dataclass(slots=True, frozen=True)
class DomainEnabled:
    """Take a failure domain back into service."""

    domain: str


@dataclass(slots=True, frozen=True)
class WeightsAnnounced:
    """Announce the weight version that a model is to use."""

    model: str
    version: int


OperatorRecord = CatalogAnnounced | DomainDisabled | DomainEnabled | WeightsAnnounced


@dataclass(slots=True, frozen=True)
class ModelTarget:
    """Hold the newest announced version of a model and all announcement times."""

    version: int
    times: AnnouncementTimes

    def outdated_since(self, held_version: int) -> datetime | None:
        """Return when a version newer than the held one was first announced."""
        return self.times.outdated_since(held_version)


class OperatorState:
    """Hold the configuration, the disabled domains and the announced weights."""

    __slots__ = (
        "catalog_",
        "disabled_domains_",
        "targets_by_model_",
        "times_by_model_",
    )

    def __init__(self) -> None:
        self.catalog_: Catalog | None = None
        self.disabled_domains_: set[str] = set()
        self.targets_by_model_: dict[str, ModelTarget] = {}
        self.times_by_model_: dict[str, AnnouncementTimes] = {}

    @property
    def catalog(self) -> Catalog | None:
        """Return the active configuration."""
        return self.catalog_

    def target(self, model: str) -> ModelTarget | None:
        """Return the announced weights of a model."""
        return self.targets_by_model_.get(model)

    def outdated_since(self, model: str, held_version: int) -> datetime | None:
        """Return when a version newer than the held one was announced, if known.

        Includes announcements from peers whose record this process has not read yet.
        """
        times = self.times_by_model_.get(model)
        return times.outdated_since(held_version) if times else None

    def announcements_after(self, at: datetime) -> dict[str, list[VersionAnnouncement]]:
        """Return all announcements of models with one after a time, by model."""
        return {
            model: [
                VersionAnnouncement(model, version, time) for version, time in times
            ]
            for model, times in self.times_by_model_.items()
            if times.has_time_after(at)
        }

    def merge_announcement(self, announcement: VersionAnnouncement) -> bool:
        """Add an announcement from a peer and return whether it changed the state."""
        return self._times(announcement.model).add(
            announcement.version, announcement.time
        )

    def _times(self, model: str) -> AnnouncementTimes:
        return self.times_by_model_.setdefault(model, AnnouncementTimes())

    @singledispatchmethod
    def apply(self, record: OperatorRecord, time: WriteTime | None) -> bool:
        """Apply a record and return whether it changed the state.

        The time is `None` if this process cannot tell when the record was written.
        """
        raise TypeError(f"{type(record).__name__} is not an operator's record")

    @apply.register
    def _(self, record: CatalogAnnounced, time: WriteTime | None) -> bool:
        if self.catalog_ and record.catalog.version <= self.catalog_.version:
            return False
        self.catalog_ = record.catalog
        return True

    @apply.register
    def _(self, record: DomainDisabled, time: WriteTime | None) -> bool:
        changed = record.domain not in self.disabled_domains_
        self.disabled_domains_.add(record.domain)
        return changed

    @apply.register
    def _(self, record: DomainEnabled, time: WriteTime | None) -> bool:
        changed = record.domain in self.disabled_domains_
        self.disabled_domains_.discard(record.domain)
        return changed

    @apply.register
    def _(self, record: WeightsAnnounced, time: WriteTime | None) -> bool:
        known = self.targets_by_model_.get(record.model)
        # Writing a version again does not change the time of its announcement.
        if known and record.version <= known.version:
            return False
        times = self._times(record.model)
        times.add(record.version, time)
        self.targets_by_model_[record.model] = ModelTarget(record.version, times)
        return True
