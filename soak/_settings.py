"""Settings of a run."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path


@dataclass(slots=True, frozen=True)
class SoakSettings:
    """Sizes and bounds of a run."""

    seed: int
    duration: timedelta = timedelta(seconds=30)
    domains: tuple[str, ...] = ("a-1", "b-1")
    entries: int = 4
    engines: int = 4
    callers: int = 12
    # A request must not begin on older weights later than this after the naming.
    version_bound: timedelta = timedelta(seconds=5)
    # A process is bound by the promises once it ran undisturbed for this long.
    contact: timedelta = timedelta(seconds=3)
    # An upstream that leaves gets no new request later than this.
    drain_bound: timedelta = timedelta(seconds=2)
    # A domain that is taken out gets no new request later than this.
    domain_bound: timedelta = timedelta(seconds=5)
    # Time between SIGTERM and SIGKILL.
    stop_grace: timedelta = timedelta(seconds=6)
    # Directory whose `shallotpath` package is run; the installed one by default.
    programs: Path | None = None
    # Directory for settings files and logs.
    workspace: Path | None = None
