"""Load of the burst experiment: the requests and their arrival times."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from random import Random

from ..config import (
    DomainState,
    ModelVersion,
    Preset,
    Service,
    ServiceKind,
    StaticConfiguration,
    Team,
)
from ..core import EPOCH
from ..limits import Call
from ._fake_engine import EngineModel, Run

SERVICE = "veisto-llm"
DIGEST = "d1"
LARGE_TEAM = "large"
SMALL_TEAMS = ("small-1", "small-2", "small-3", "small-4")


@dataclass(slots=True, frozen=True)
class BurstSettings:
    """Describe the load and the fleet."""

    seed: int = 1
    domains: int = 3
    upstreams: int = 12
    entries: int = 6
    # Calls/s before the burst; a warm upstream has a capacity of about 37 calls/s.
    rate: float = 200.0
    burst_factor: float = 2.0
    burst_at_s: float = 15.0
    burst_rise_s: float = 2.0
    duration_s: float = 32.0
    # Agents start cold with the run; calls that arrive earlier are not counted.
    measure_from_s: float = 10.0
    # A third of the upstreams start this long before the burst.
    cold_start_before_s: float = 0.5
    # One warm upstream loses its caches, and so turns cold, this long after the start
    # of the burst.
    cold_turn_after_s: float = 5.0
    deadline_s: float = 4.0
    large_share: float = 0.8
    report_lag_s: float = 2.0
    latency_s: float = 0.001
    poison_requests: int = 0
    # How often the caller of a poison request sends it again after a failure.
    poison_resends: int = 5
    engine: EngineModel = EngineModel()

    @property
    def cold_upstreams(self) -> int:
        """Return how many upstreams start just before the burst."""
        return self.upstreams // 3

    @property
    def window_end(self) -> datetime:
        """Return when the arrivals end."""
        return EPOCH + timedelta(seconds=self.duration_s)

    def starts(self) -> list[tuple[float, bool]]:
        """Return when each upstream starts and whether it is warm then."""
        late = self.burst_at_s - self.cold_start_before_s
        early = self.upstreams - self.cold_upstreams
        return [(0.0, True)] * early + [(late, False)] * self.cold_upstreams


@dataclass(slots=True, frozen=True)
class Arrival:
    """Describe one request of a caller."""

    seconds: float
    call: Call
    tokens: int
    poison: bool = False
    measured: bool = True

    def resent(self, number: int, delay: float) -> Arrival:
        """Return the copy that the caller sends after a failure."""
        deadline = self.call.deadline + timedelta(seconds=delay)
        request_id = f"{self.call.request_id}-{number}"
        call = replace(self.call, request_id=request_id, deadline=deadline)
        return replace(self, call=call, seconds=self.seconds + delay, measured=False)

    def run(self) -> Run:
        """Return a fresh run of the call."""
        return Run(self.call, self.tokens, self.poison)


def make_arrivals(settings: BurstSettings) -> list[Arrival]:
    """Return the arrivals of a seed, in order."""
    rng = Random(settings.seed)
    arrivals: list[Arrival] = []
    seconds = 0.0
    while True:
        seconds += rng.expovariate(_rate(settings, seconds))
        if seconds >= settings.duration_s:
            return _with_poison(arrivals, settings, rng)
        arrivals.append(_make_arrival(len(arrivals), seconds, settings, rng))


def make_configuration(settings: BurstSettings) -> StaticConfiguration:
    """Return the configuration of the experiment."""
    teams = (LARGE_TEAM, *SMALL_TEAMS)
    version = ModelVersion("veisto", "1", DIGEST, 1, 1)
    return StaticConfiguration(
        preset=Preset("peak", queue_share=0.8),
        teams_by_id={team: Team(team, "") for team in teams},
        services_by_id={
            SERVICE: Service(
                SERVICE,
                ServiceKind.MODEL,
                "veisto",
                "1",
                bytes_per_token=settings.engine.bytes_per_token,
            )
        },
        versions_by_id={version.id: version},
        domains_by_id={
            f"d{n}": DomainState(f"d{n}", "r") for n in range(settings.domains)
        },
    )


def _rate(settings: BurstSettings, seconds: float) -> float:
    progress = (seconds - settings.burst_at_s) / settings.burst_rise_s
    growth = (settings.burst_factor - 1) * min(1.0, max(0.0, progress))
    return settings.rate * (1 + growth)


def _make_arrival(
    number: int, seconds: float, settings: BurstSettings, rng: Random
) -> Arrival:
    large = rng.random() < settings.large_share
    max_tokens = rng.choice((20, 30, 40, 60))
    call = Call(
        request_id=f"r{number}",
        service=SERVICE,
        team=LARGE_TEAM if large else rng.choice(SMALL_TEAMS),
        deadline=EPOCH + timedelta(seconds=seconds + settings.deadline_s),
        prompt_bytes=rng.choice((512, 2048, 8192)),
        max_tokens=max_tokens,
        fingerprint=f"f{number}",
        prefix=f"p{rng.randrange(40)}",
    )
    tokens = int(max_tokens * rng.uniform(0.6, 1.0))
    return Arrival(seconds, call, tokens, measured=seconds >= settings.measure_from_s)


def _with_poison(
    arrivals: list[Arrival], settings: BurstSettings, rng: Random
) -> list[Arrival]:
    """Mark some requests as poison, which crashes each upstream that runs them."""
    chosen = set(rng.sample(range(len(arrivals)), settings.poison_requests))
    return [
        replace(arrival, poison=number in chosen)
        for number, arrival in enumerate(arrivals)
    ]
