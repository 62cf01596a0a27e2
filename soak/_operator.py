"""Configurations that the operator publishes during a run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from shallotpath.fleet.tests.processes import ENGINE, make_config
from shallotpath.fleet.tests.standins import HOST as LOOPBACK

from ._callers import HOST
from ._content import TEAM, TEAM_KEY
from ._ledger import Kind

ENGINE_SERVICE = "llm"
PLAIN_SERVICE = "desk"
# Configurations move routes from the other services to these.
SPARE_ENGINE_SERVICE = "spare-llm"
SPARE_PLAIN_SERVICE = "spare-desk"
ENGINE_SLOTS = 16
ENGINE_TOKENS = 100_000
ROUTE_KINDS = {
    Kind.STREAM: "streaming",
    Kind.RESUMABLE: "streaming",
    Kind.ORDER: "non_idempotent",
    Kind.LOOKUP: "idempotent",
}
DEFAULT_ROUTE_TIMEOUT = timedelta(milliseconds=6000)
# Shorter than the longest streams of the stand-ins.
LOW_ROUTE_TIMEOUT = timedelta(milliseconds=2500)
HIGH_ROUTE_TIMEOUT = timedelta(milliseconds=20000)
# The callers keep within the lowest limits except for the idle time, which they read.
DEFAULT_IDLE_TIMEOUT = timedelta(seconds=15)
LOW_LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 4096,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 1500,
}
HIGH_LIMITS = {
    "maxHeaderBytes": 65536,
    "maxBodyBytes": 8 * 1024 * 1024,
    "headerTimeoutMs": 10000,
    "idleTimeoutMs": 30000,
}
FEW_ROUTES = 3
MANY_ROUTES = 400


class Change(StrEnum):
    """Name a change from one version of the configuration to the next."""

    MOVE_STREAMS = "move streams"
    MOVE_PLAIN_ROUTES = "move plain routes"
    RETURN_ROUTES = "return routes"
    SPLIT_ROUTES = "split routes"
    SHIFT_WEIGHTS = "shift weights"
    ADD_ROUTES = "add routes"
    ADD_MANY_ROUTES = "add many routes"
    REMOVE_ROUTES = "remove routes"
    ADD_TEAM = "add team"
    REMOVE_TEAM = "remove team"
    ADD_KEY = "add key"
    LOWER_TIMEOUTS = "lower time-outs"
    RAISE_TIMEOUTS = "raise time-outs"
    LOWER_LIMITS = "lower limits"
    RAISE_LIMITS = "raise limits"


@dataclass(slots=True)
class Configuration:
    """Hold the state of the configuration and change it step by step."""

    origin_port: int
    version_: int = 1
    route_timeout_: timedelta = DEFAULT_ROUTE_TIMEOUT
    limits_: dict[str, int] | None = None
    # Weight of the spare service by kind; the usual service has the rest.
    spare_weights_: dict[Kind, int] | None = None
    added_routes_: int = 0
    added_teams_: int = 0
    added_keys_: int = 0

    @property
    def idle_timeout(self) -> timedelta:
        """Return how long a connection of a caller may be idle."""
        if self.limits_ is None:
            return DEFAULT_IDLE_TIMEOUT
        return timedelta(milliseconds=self.limits_["idleTimeoutMs"])

    def apply(self, change: Change) -> None:
        """Apply a change and count the version."""
        _STEPS[change](self)
        self.version_ += 1

    def record(self) -> dict[str, object]:
        """Return the configuration as the operator writes it."""
        config = make_config(self.version_, f"{LOOPBACK}:{self.origin_port}")
        engine = ENGINE | {"slots": ENGINE_SLOTS, "kvTokens": ENGINE_TOKENS}
        added = [f"added-{number}" for number in range(self.added_routes_)]
        config |= {
            "routes": [
                *(self._route(kind) for kind in Kind),
                *(self._route(Kind.LOOKUP) | _added_route(name) for name in added),
            ],
            "services": [
                {"name": ENGINE_SERVICE, "engine": engine},
                {"name": PLAIN_SERVICE},
                {"name": SPARE_ENGINE_SERVICE, "engine": engine},
                {"name": SPARE_PLAIN_SERVICE},
                config["services"][-1],
            ],
            "tenants": [
                {"name": TEAM, "apiKeys": [TEAM_KEY, *self._keys("key")]},
                *(
                    {"name": f"team-{number}", "apiKeys": [f"team-key-{number}"]}
                    for number in range(self.added_teams_)
                ),
            ],
        }
        return config if self.limits_ is None else config | {"limits": self.limits_}

    def _keys(self, prefix: str) -> list[str]:
        return [f"{prefix}-{number}" for number in range(self.added_keys_)]

    def _route(self, kind: Kind) -> dict[str, object]:
        service, spare = PLAIN_SERVICE, SPARE_PLAIN_SERVICE
        if kind.streaming:
            service, spare = ENGINE_SERVICE, SPARE_ENGINE_SERVICE
        spare_weight = (self.spare_weights_ or {}).get(kind, 0)
        destination = {"service": spare if spare_weight == 100 else service}
        if 0 < spare_weight < 100:
            destination = {
                "split": [
                    {"service": service, "weight": 100 - spare_weight},
                    {"service": spare, "weight": spare_weight},
                ]
            }
        return destination | {
            "name": f"route-{kind}",
            "host": HOST,
            "pathPrefix": f"/{kind}/",
            "kind": ROUTE_KINDS[kind],
            "timeoutMs": self.route_timeout_ // timedelta(milliseconds=1),
            "targetLatencyMs": 400,
            "gapTargetMs": 400,
            "maxAttempts": 3,
            "canResume": kind is Kind.RESUMABLE,
        }

    def _weigh_spare(self, weight: int, kinds: tuple[Kind, ...] = tuple(Kind)) -> None:
        self.spare_weights_ = (self.spare_weights_ or {}) | dict.fromkeys(kinds, weight)

    def _add_routes(self, count: int) -> None:
        self.added_routes_ = min(MANY_ROUTES, self.added_routes_ + count)

    def _remove_routes(self) -> None:
        self.added_routes_ = 0

    def _add_teams(self, count: int) -> None:
        self.added_teams_ = max(0, self.added_teams_ + count)

    def _add_key(self) -> None:
        self.added_keys_ += 1

    def _set_timeout(self, timeout: timedelta) -> None:
        self.route_timeout_ = timeout

    def _set_limits(self, limits: dict[str, int]) -> None:
        self.limits_ = limits


def _added_route(name: str) -> dict[str, object]:
    return {"name": name, "pathPrefix": f"/{name}/"}


_STREAMS = tuple(kind for kind in Kind if kind.streaming)
_PLAIN = tuple(kind for kind in Kind if not kind.streaming)
_STEPS: dict[Change, Callable[[Configuration], None]] = {
    Change.MOVE_STREAMS: lambda c: c._weigh_spare(100, _STREAMS),
    Change.MOVE_PLAIN_ROUTES: lambda c: c._weigh_spare(100, _PLAIN),
    Change.RETURN_ROUTES: lambda c: c._weigh_spare(0),
    Change.SPLIT_ROUTES: lambda c: c._weigh_spare(20),
    Change.SHIFT_WEIGHTS: lambda c: c._weigh_spare(60),
    Change.ADD_ROUTES: lambda c: c._add_routes(FEW_ROUTES),
    Change.ADD_MANY_ROUTES: lambda c: c._add_routes(MANY_ROUTES),
    Change.REMOVE_ROUTES: lambda c: c._remove_routes(),
    Change.ADD_TEAM: lambda c: c._add_teams(1),
    Change.REMOVE_TEAM: lambda c: c._add_teams(-1),
    Change.ADD_KEY: lambda c: c._add_key(),
    Change.LOWER_TIMEOUTS: lambda c: c._set_timeout(LOW_ROUTE_TIMEOUT),
    Change.RAISE_TIMEOUTS: lambda c: c._set_timeout(HIGH_ROUTE_TIMEOUT),
    Change.LOWER_LIMITS: lambda c: c._set_limits(LOW_LIMITS),
    Change.RAISE_LIMITS: lambda c: c._set_limits(HIGH_LIMITS),
}
