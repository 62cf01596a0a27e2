"""What the operators have asked for, folded from their records."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from functools import singledispatchmethod

from ._catalog import Catalog

# Versions whose naming is remembered for each model.
KEPT_NAMINGS = 8


@dataclass(slots=True, frozen=True)
class CatalogNamed:
    """Put a configuration in force."""

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
    """Name the weights that a model runs."""

    model: str
    version: int


OperatorRecord = CatalogNamed | DomainOut | DomainBack | WeightsNamed


@dataclass(slots=True, frozen=True)
class Target:
    """Hold the named weights of a model and when this process learnt of each."""

    version: int
    learnt_by_version: dict[int, datetime]

    def outdated_since(self, held: int) -> datetime | None:
        """Return when a version newer than the held one was first named."""
        newer = [at for v, at in self.learnt_by_version.items() if v > held]
        return min(newer, default=None)


class OperatorState:
    """Hold the configuration, the domains that are out and the named weights."""

    __slots__ = ("catalog_", "domains_out_", "targets_by_model_")

    def __init__(self) -> None:
        self.catalog_: Catalog | None = None
        self.domains_out_: set[str] = set()
        self.targets_by_model_: dict[str, Target] = {}

    @property
    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return self.catalog_

    def target(self, model: str) -> Target | None:
        """Return the named weights of a model."""
        return self.targets_by_model_.get(model)

    @singledispatchmethod
    def apply(self, record: OperatorRecord, now: datetime) -> bool:
        """Take a record; tell whether it changed the state."""
        raise TypeError(f"{type(record).__name__} is not an operator's record")

    @apply.register
    def _(self, record: CatalogNamed, now: datetime) -> bool:
        if self.catalog_ and record.catalog.version <= self.catalog_.version:
            return False
        self.catalog_ = record.catalog
        return True

    @apply.register
    def _(self, record: DomainOut, now: datetime) -> bool:
        changed = record.domain not in self.domains_out_
        self.domains_out_.add(record.domain)
        return changed

    @apply.register
    def _(self, record: DomainBack, now: datetime) -> bool:
        changed = record.domain in self.domains_out_
        self.domains_out_.discard(record.domain)
        return changed

    @apply.register
    def _(self, record: WeightsNamed, now: datetime) -> bool:
        known = self.targets_by_model_.get(record.model)
        if known and record.version <= known.version:
            return False
        learnt = dict(known.learnt_by_version) if known else {}
        for version in sorted(learnt)[: max(0, len(learnt) + 1 - KEPT_NAMINGS)]:
            # The oldest namings merge into the next one, which keeps their time.
            later = min((v for v in learnt if v > version), default=record.version)
            learnt[later] = min(learnt.pop(version), learnt.get(later, now))
        learnt.setdefault(record.version, now)
        target = Target(record.version, learnt)
        self.targets_by_model_[record.model] = target
        return True
