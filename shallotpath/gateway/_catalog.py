"""Routes, services and teams of one configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from ..admission import Rank
from ..core import rendezvous_score

_SCORE_RANGE = 2**64


class RouteKind(StrEnum):
    """Define whether requests of a route may run more than once."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class EngineRates:
    """Describe the speed and capacity of an engine."""

    slots: int
    step: timedelta
    step_per_sequence: timedelta
    step_per_kilotoken: timedelta
    prefill_tokens_per_s: float
    prefill_per_megapair: timedelta
    chunk_tokens: int
    steps_per_pass: int
    memory_tokens: int
    usual_prompt_tokens: int
    usual_output_tokens: int


@dataclass(slots=True, frozen=True)
class Service:
    """Describe a service that runs on upstreams."""

    id: str
    health_path: str
    max_connections: int
    cold_period: timedelta
    cold_requests_per_s: float
    engine: EngineRates | None = None
    models: tuple[str, ...] = ()
    # Time that an engine needs to load weights that are already on its VM.
    load_time: timedelta = timedelta()


@dataclass(slots=True, frozen=True)
class Origin:
    """Describe a server that weights are downloaded from."""

    id: str
    address: str
    # Bandwidth of its link and connections that it accepts, `None` if not given.
    bytes_per_s: float | None = None
    max_connections: int | None = None


@dataclass(slots=True, frozen=True)
class WeightedService:
    """Assign a service a share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Describe which requests go to which service, and how."""

    id: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: timedelta
    target_latency: timedelta
    priority: int
    shares: tuple[WeightedService, ...]
    max_attempts: int
    public: bool
    resumable: bool
    gap_target: timedelta
    regions: frozenset[str]

    @property
    def repeatable(self) -> bool:
        """Check whether a request may run more than once."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )

    def service_for(self, request_id: str) -> str:
        """Return the service of a request, chosen by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = rendezvous_score(request_id, self.id) / _SCORE_RANGE * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclass(slots=True, frozen=True)
class Team:
    """Describe a team and the keys that its callers use."""

    id: str
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limit what a caller may send and how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


@dataclass(slots=True)
class Catalog:
    """Hold one configuration and look up its routes."""

    version: int
    routes: tuple[Route, ...]
    services_by_id: dict[str, Service]
    origins_by_id: dict[str, Origin]
    teams_by_key: dict[str, Team]
    limits: CallerLimits
    requires_keys: bool
    routes_by_host_: dict[str, list[Route]] = field(default_factory=dict)
    priorities_by_service_: dict[str, tuple[int, ...]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda r: len(r.prefix), reverse=True):
            self.routes_by_host_.setdefault(route.host.lower(), []).append(route)
        self._collect_priorities()

    def _collect_priorities(self) -> None:
        priorities_by_service: dict[str, set[int]] = {}
        for route in self.routes:
            for share in route.shares:
                known = priorities_by_service.setdefault(share.service, set())
                known.add(route.priority)
        self.priorities_by_service_ = {
            service: tuple(sorted(priorities))
            for service, priorities in priorities_by_service.items()
        }

    def rank(self, service: str, route: Route) -> Rank:
        """Return the rank of a route among those that lead to a service."""
        return Rank.of(route.priority, self.priorities_by_service_.get(service, ()))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path."""
        # An IPv6 address has colons, but none after its bracket.
        name = host.rpartition(":")[0] if ":" in host.rpartition("]")[2] else host
        name = name.lower()
        for route in self.routes_by_host_.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
