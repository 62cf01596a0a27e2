"""What the operators have asked for, folded from their records."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from functools import singledispatchmethod

from ._catalog import Catalog
from ._namings import Naming, NamingTimes, RecordTime


@dataclass(slots=True, frozen=True)
class CatalogNamed:
    """Apply a configuration."""

    catalog: Catalog


@dataclass(slots=True, frozen=True)
class DomainOut:
    """Take a failure domain out."""

    domain: str


@dataclass(slots=True, frozen=True)
class DomainBack:
    """Take a failure domain back."""

    domain: str


@dataclass(slots=True, frozen=True)
class WeightsNamed:
    """Set the weights that a model runs."""

    model: str
    version: int


OperatorRecord = CatalogNamed | DomainOut | DomainBack | WeightsNamed


@dataclass(slots=True, frozen=True)
class Target:
    """Hold the newest named weights of a model and since when each are named."""

    version: int
    times: NamingTimes

    def outdated_since(self, held: int) -> datetime | None:
        """Return when a version newer than the held one was first named."""
        return self.times.outdated_since(held)


class OperatorState:
    """Hold the configuration, the domains that are out and the named weights."""

    __slots__ = ("catalog_", "domains_out_", "targets_by_model_", "times_by_model_")

    def __init__(self) -> None:
        self.catalog_: Catalog | None = None
        self.domains_out_: set[str] = set()
        self.targets_by_model_: dict[str, Target] = {}
        self.times_by_model_: dict[str, NamingTimes] = {}

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return self.catalog_

    def target(self, model: str) -> Target | None:
        """Return the named weights of a model."""
        return self.targets_by_model_.get(model)

    def outdated_since(self, model: str, held: int) -> datetime | None:
        """Return when a version newer than the held one was named, as far as known.

        Peers may know of a naming whose record this process has not read yet.
        """
        times = self.times_by_model_.get(model)
        return times.outdated_since(held) if times else None

    def namings_after(self, at: datetime) -> dict[str, list[Naming]]:
        """Return by model what is known of those that had a naming after a time."""
        return {
            model: [Naming(model, version, time) for version, time in times]
            for model, times in self.times_by_model_.items()
            if times.known_after(at)
        }

    def hear_naming(self, naming: Naming) -> bool:
        """Record a naming's time from a peer and return whether it is new."""
        return self._times(naming.model).add(naming.version, naming.time)

    def _times(self, model: str) -> NamingTimes:
        return self.times_by_model_.setdefault(model, NamingTimes())

    @singledispatchmethod
    def apply(self, record: OperatorRecord, time: RecordTime | None) -> bool:
        """Apply a record and return whether it changed the state.

        The time is `None` if this process cannot tell when the record was written.
        """
        raise TypeError(f"{type(record).__name__} is not an operator's record")

    @apply.register
    def _(self, record: CatalogNamed, time: RecordTime | None) -> bool:
        if self.catalog_ and record.catalog.version <= self.catalog_.version:
            return False
        self.catalog_ = record.catalog
        return True

    @apply.register
    def _(self, record: DomainOut, time: RecordTime | None) -> bool:
        changed = record.domain not in self.domains_out_
        self.domains_out_.add(record.domain)
        return changed

    @apply.register
    def _(self, record: DomainBack, time: RecordTime | None) -> bool:
        changed = record.domain in self.domains_out_
        self.domains_out_.discard(record.domain)
        return changed

    @apply.register
    def _(self, record: WeightsNamed, time: RecordTime | None) -> bool:
        known = self.targets_by_model_.get(record.model)
        # A version that is written again was named when it was first written.
        if known and record.version <= known.version:
            return False
        times = self._times(record.model)
        times.add(record.version, time)
        self.targets_by_model_[record.model] = Target(record.version, times)
        return True
