"""Schedule of the faults of a run, generated from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ._settings import SoakSettings

FIRST_CYCLE_START = timedelta(seconds=2)
# Time between the starts of two cycles. Each cycle places faults around an
# announcement of weights.
CYCLE_INTERVAL = timedelta(seconds=13)
# A cycle starts only if this much of the run is left.
MIN_CYCLE_LENGTH = timedelta(seconds=9)


@dataclass(slots=True, frozen=True)
class Fault:
    """Hold the numbers of the targets of a fault, and its duration."""

    targets: tuple[int, ...] = ()
    duration: timedelta = timedelta()


class AnnounceVersion(Fault):
    """Announce the next version of the weights."""


class OriginOutage(Fault):
    """Make the origin abort all connections."""


class StoreOutage(Fault):
    """Make the store refuse calls of the target processes."""


class RollingStop(Fault):
    """Restart entries by SIGTERM one after the other, `duration` apart."""


class Kill(Fault):
    """Kill processes at the same time and start them again after `duration`."""


class Freeze(Fault):
    """Suspend processes by SIGSTOP for `duration`."""


class ReplaceUpstream(Fault):
    """Drain an upstream and start a new incarnation in its place."""


class EvacuateDomain(Fault):
    """Evacuate a failure domain for `duration`."""


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """Hold a fault and its start time, relative to the start of the run."""

    at: timedelta
    fault: Fault


def make_schedule(settings: SoakSettings) -> list[ScheduledFault]:
    """Return the faults of a run in order of their start times."""
    random = Random(settings.seed)
    scheduled: list[ScheduledFault] = []
    start = FIRST_CYCLE_START
    while start + MIN_CYCLE_LENGTH <= settings.duration:
        scheduled += _schedule_cycle(settings, random, start)
        start += CYCLE_INTERVAL
    return sorted(scheduled, key=lambda item: item.at)


def _schedule_cycle(
    settings: SoakSettings, random: Random, start: timedelta
) -> list[ScheduledFault]:
    """Place faults around one announcement of weights."""
    scheduled: list[ScheduledFault] = []

    def add(earliest: float, latest: float, fault: Fault) -> None:
        at = start + timedelta(seconds=random.uniform(earliest, latest))
        scheduled.append(ScheduledFault(at, fault))

    def random_duration(shortest: float, longest: float) -> timedelta:
        return timedelta(seconds=random.uniform(shortest, longest))

    def random_targets(count: int, most: int) -> tuple[int, ...]:
        return tuple(random.sample(range(count), random.randint(1, most)))

    programs = settings.entries + settings.engines
    add(0.5, 0.5, AnnounceVersion())
    if random.random() < 0.5:
        add(1.0, 4.0, AnnounceVersion())
    if random.random() < 0.8:
        add(0.0, 0.6, OriginOutage((), random_duration(7.0, 10.5)))
    if random.random() < 0.75:
        stop_order = random.sample(range(settings.entries), random.randint(2, 4))
        add(0.8, 3.0, RollingStop(tuple(stop_order), random_duration(0.7, 1.8)))
    if random.random() < 0.35:
        add(
            0.0,
            7.0,
            Kill(random_targets(programs, programs), random_duration(0.2, 1.5)),
        )
    if random.random() < 0.35:
        add(0.0, 7.0, Freeze(random_targets(programs, 3), random_duration(0.5, 4.0)))
    if random.random() < 0.25:
        all_programs = tuple(range(programs))
        refused_programs = random.choice([all_programs, (random.randrange(programs),)])
        add(0.0, 8.0, StoreOutage(refused_programs, random_duration(0.5, 3.0)))
    if random.random() < 0.35:
        add(0.0, 4.0, ReplaceUpstream((random.randrange(settings.engines),)))
    if random.random() < 0.25:
        evacuated = (random.randrange(len(settings.domains)),)
        add(0.0, 3.0, EvacuateDomain(evacuated, random_duration(6.0, 9.0)))
    return scheduled
