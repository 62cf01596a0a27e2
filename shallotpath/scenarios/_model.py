"""The parsed form of a scenario."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

Value = str | int | timedelta


@dataclass(slots=True, frozen=True)
class DomainSpec:
    """Place a failure domain in a region."""

    id: str
    region: str


@dataclass(slots=True, frozen=True)
class EntrySpec:
    """Place an entry in a failure domain."""

    id: str
    domain: str


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """Describe a service; one with non-repeatable paths is plain."""

    id: str
    non_repeatable: str = ""


@dataclass(slots=True, frozen=True)
class UpstreamSpec:
    """Place an upstream and give its capacity when warm and when cold."""

    id: str
    service: str
    domain: str
    capacity: int = 8
    cold_capacity: int = 2


@dataclass(slots=True)
class Layout:
    """Hold what exists at the start, by id."""

    domains_by_id: dict[str, DomainSpec] = field(default_factory=dict)
    entries_by_id: dict[str, EntrySpec] = field(default_factory=dict)
    services_by_id: dict[str, ServiceSpec] = field(default_factory=dict)
    upstreams_by_id: dict[str, UpstreamSpec] = field(default_factory=dict)
    teams: list[str] = field(default_factory=list)
    presets: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Step:
    """Describe what happens at a time, and to what."""

    at: timedelta
    kind: str
    values: tuple[Value, ...]
    line: int


@dataclass(slots=True, frozen=True)
class Expectation:
    """Describe what must hold at the end of the run."""

    kind: str
    values: tuple[Value, ...]
    line: int


@dataclass(slots=True)
class Scenario:
    """Hold a whole scenario."""

    title: str
    decides: str = ""
    seed: int = 1
    end: timedelta = timedelta(seconds=20)
    layout: Layout = field(default_factory=Layout)
    steps: list[Step] = field(default_factory=list)
    expectations: list[Expectation] = field(default_factory=list)
