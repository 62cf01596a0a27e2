"""Settings of a soak run."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path


@dataclass(slots=True, frozen=True)
class SoakSettings:
    """Hold the sizes and time bounds of a run."""

    seed: int
    duration: timedelta = timedelta(seconds=30)
    domains: tuple[str, ...] = ("a-1", "b-1")
    entries: int = 4
    engines: int = 4
    plain_upstreams: int = 2
    # Upstreams of each of the two services to which configurations move routes.
    spare_upstreams: int = 2
    callers: int = 12
    # Callers with idle connections and slow bodies.
    slow_callers: int = 8
    # Callers that send several requests before they read the answers.
    pipelining_callers: int = 4
    # No request may start on older weights later than this after an announcement.
    version_bound: timedelta = timedelta(seconds=5)
    # A process is held to the bounds once it has run undisturbed for this long.
    settling_time: timedelta = timedelta(seconds=3)
    # A draining upstream gets no new request later than this.
    drain_bound: timedelta = timedelta(seconds=2)
    # An upstream that asked an entry to leave it alone gets at most so many requests of
    # it, from this time on.
    closed_margin: timedelta = timedelta(milliseconds=500)
    closed_requests: int = 2
    # A configuration is in force everywhere once so much time has passed.
    configuration_bound: timedelta = timedelta(seconds=2)
    # An evacuated domain gets no new request later than this.
    domain_bound: timedelta = timedelta(seconds=5)
    # Time between SIGTERM and SIGKILL.
    stop_grace: timedelta = timedelta(seconds=6)
    # Leave out kills, suspensions and outages, which excuse lost requests.
    planned_only: bool = False
    # Directory whose `shallotpath` package is run; the one that the soak
    # imports by default.
    programs: Path | None = None
    # Directory for settings files and logs.
    workspace: Path | None = None
