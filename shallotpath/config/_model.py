"""What operators configure: teams, services, versions, presets and domains."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Protocol


class ServiceKind(StrEnum):
    """Distinguish services with model weights from plain services."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class Team:
    """Describe a team and its share of each upstream."""

    id: str
    token_digest: str
    weight: int = 1
    priority: int = 0
    max_in_flight: int = 1000


@dataclass(slots=True, frozen=True)
class Service:
    """Describe a service that callers reach under its name."""

    id: str
    kind: ServiceKind
    model: str = ""
    version: str = ""
    non_repeatable_paths: list[str] = field(default_factory=list)
    min_ready: int = 1
    default_deadline: timedelta = timedelta(seconds=30)
    bytes_per_token: int = 1024
    default_max_tokens: int = 256

    def repeatable(self, path: str) -> bool:
        """Check whether a request to a path may be sent more than once."""
        return path.strip("/") not in self.non_repeatable_paths


@dataclass(slots=True, frozen=True)
class ModelVersion:
    """Describe published weights, pinned by the digest of their manifest."""

    model: str
    version: str
    digest: str
    size: int
    chunk_bytes: int
    region: str = ""

    @property
    def id(self) -> str:
        """Return the key of this version."""
        return f"{self.model}/{self.version}"


@dataclass(slots=True, frozen=True)
class DomainState:
    """Describe a failure domain and whether it is taken out of service."""

    id: str
    region: str
    out: bool = False


@dataclass(slots=True, frozen=True)
class Preset:
    """Describe limits and priorities that operators apply together."""

    id: str
    retry_share: float = 0.1
    domain_ramp: timedelta = timedelta(seconds=20)
    queue_share: float = 0.5
    weights_rate_share: float = 0.5
    min_priority: int = 0


DEFAULT_PRESET = Preset("ordinary")


class ConfigurationView(Protocol):
    """Read the configuration in force on this process."""

    @property
    def offset(self) -> int:
        """Return the log offset of the configuration, or -1 if there is none."""
        ...

    @property
    def preset(self) -> Preset:
        """Return the one preset in force."""
        ...

    @property
    def teams_by_id(self) -> Mapping[str, Team]:
        """Return all teams."""
        ...

    @property
    def services_by_id(self) -> Mapping[str, Service]:
        """Return all services."""
        ...

    @property
    def versions_by_id(self) -> Mapping[str, ModelVersion]:
        """Return all published versions."""
        ...

    @property
    def domains_by_id(self) -> Mapping[str, DomainState]:
        """Return all failure domains."""
        ...

    @property
    def paused_services(self) -> Sequence[str]:
        """Return the services whose rolling updates are paused."""
        ...


@dataclass(slots=True)
class StaticConfiguration:
    """Fixed configuration, for tests and embedding."""

    offset: int = 0
    preset: Preset = DEFAULT_PRESET
    teams_by_id: dict[str, Team] = field(default_factory=dict)
    services_by_id: dict[str, Service] = field(default_factory=dict)
    versions_by_id: dict[str, ModelVersion] = field(default_factory=dict)
    domains_by_id: dict[str, DomainState] = field(default_factory=dict)
    paused_services: list[str] = field(default_factory=list)
