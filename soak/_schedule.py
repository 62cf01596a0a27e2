"""Faults of a run, drawn from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ._settings import SoakSettings

FIRST_CYCLE = timedelta(seconds=2)
# Time from one naming of weights to the next one that faults are placed around.
CYCLE = timedelta(seconds=13)
# A cycle begins only if this much of the run is left.
SHORTEST_CYCLE = timedelta(seconds=9)


@dataclass(slots=True, frozen=True)
class Fault:
    """Numbers of what a fault hits, and how long it lasts."""

    targets: tuple[int, ...] = ()
    duration: timedelta = timedelta()


class NameWeights(Fault):
    """Set the next version of the weights."""


class OriginAway(Fault):
    """Make the origin break off all connections."""


class StoreRefuses(Fault):
    """Make the store refuse processes."""


class StopInTurn(Fault):
    """Stop entries by SIGTERM, each so long after the last, and start each again."""


class Kill(Fault):
    """Kill processes at the same moment and start them again."""


class Freeze(Fault):
    """Freeze processes."""


class ReplaceUpstream(Fault):
    """Replace an upstream: it leaves and comes back as a new one."""


class DomainOut(Fault):
    """Take a failure domain out."""


@dataclass(slots=True, frozen=True)
class Planned:
    """Fault and when it begins, counted from the start of the run."""

    at: timedelta
    fault: Fault


def make_schedule(settings: SoakSettings) -> list[Planned]:
    """Return the faults of a run in order of their beginning."""
    random = Random(settings.seed)
    planned: list[Planned] = []
    start = FIRST_CYCLE
    while start + SHORTEST_CYCLE <= settings.duration:
        planned += _cycle(settings, random, start)
        start += CYCLE
    return sorted(planned, key=lambda item: item.at)


def _cycle(settings: SoakSettings, random: Random, start: timedelta) -> list[Planned]:
    """Place faults around one naming of weights."""
    planned: list[Planned] = []

    def add(earliest: float, latest: float, fault: Fault) -> None:
        at = start + timedelta(seconds=random.uniform(earliest, latest))
        planned.append(Planned(at, fault))

    def lasting(shortest: float, longest: float) -> timedelta:
        return timedelta(seconds=random.uniform(shortest, longest))

    def some(count: int, most: int) -> tuple[int, ...]:
        return tuple(random.sample(range(count), random.randint(1, most)))

    programs = settings.entries + settings.engines
    add(0.5, 0.5, NameWeights())
    if random.random() < 0.5:
        add(1.0, 4.0, NameWeights())
    if random.random() < 0.8:
        add(0.0, 0.6, OriginAway((), lasting(7.0, 10.5)))
    if random.random() < 0.75:
        turn = random.sample(range(settings.entries), random.randint(2, 4))
        add(0.8, 3.0, StopInTurn(tuple(turn), lasting(0.7, 1.8)))
    if random.random() < 0.35:
        add(0.0, 7.0, Kill(some(programs, programs), lasting(0.2, 1.5)))
    if random.random() < 0.35:
        add(0.0, 7.0, Freeze(some(programs, 3), lasting(0.5, 4.0)))
    if random.random() < 0.25:
        everyone = tuple(range(programs))
        refused = random.choice([everyone, (random.randrange(programs),)])
        add(0.0, 8.0, StoreRefuses(refused, lasting(0.5, 3.0)))
    if random.random() < 0.35:
        add(0.0, 4.0, ReplaceUpstream((random.randrange(settings.engines),)))
    if random.random() < 0.25:
        out = (random.randrange(len(settings.domains)),)
        add(0.0, 3.0, DomainOut(out, lasting(6.0, 9.0)))
    return planned
