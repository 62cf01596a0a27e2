"""Schedule of the faults of a run, generated from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ._operator import Change
from ._settings import SoakSettings

FIRST_CYCLE_START = timedelta(seconds=2)
# Time between the starts of two cycles. Each cycle places faults around an
# announcement of weights.
CYCLE_INTERVAL = timedelta(seconds=13)
# A cycle starts only if this much of the run is left.
MIN_CYCLE_LENGTH = timedelta(seconds=9)
# Range of the number of series of configurations in a cycle, and of versions in one.
SERIES_RANGE = (2, 4)
VERSIONS_RANGE = (1, 5)
# Ranges of the time between two versions, in a quick and in a slow series.
QUICK_INTERVAL_S = (0.0, 0.15)
SLOW_INTERVAL_S = (0.3, 1.2)
SILENCE_RANGE_S = (0.3, 2.0)
# Range of the start of silences, relative to the start of a series.
SILENCE_OFFSET_S = (-0.8, 0.6)
SILENT_UPSTREAMS_RANGE = (1, 3)
# Range of the start of a series in a cycle; the first one lies beside rolling stops.
STOP_SERIES_S = (0.5, 4.0)
SERIES_S = (0.0, 11.0)


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


class StoreFall(Fault):
    """Take the store away for a moment and return it from a copy as old as `duration`.

    What the operator and the upstreams wrote since is written again.
    """


class RollingStop(Fault):
    """Restart entries by SIGTERM one after the other, `duration` apart."""


class Kill(Fault):
    """Kill processes at the same time and start them again after `duration`."""


class Freeze(Fault):
    """Suspend processes by SIGSTOP for `duration`."""


class ReplaceUpstream(Fault):
    """Drain an upstream and start a new incarnation in its place."""


class SayLeaving(Fault):
    """Let an upstream say in its answers that it leaves, while its record is ready."""


class TurnAway(Fault):
    """Let an upstream refuse all requests for `duration` and ask to be left alone."""


class RemoveRecord(Fault):
    """Remove the record of an upstream that goes on serving for a while."""


class WriteOddRecords(Fault):
    """Write records of upstreams that cannot be read, for `duration`."""


class EvacuateDomain(Fault):
    """Evacuate a failure domain for `duration`."""


class ReloadSettings(Fault):
    """Send SIGHUP to entries, `duration` apart."""


@dataclass(slots=True, frozen=True)
class Silence(Fault):
    """Let upstreams send nothing for `duration` and go on exactly where they were."""

    # Upstreams that refuse requests meanwhile because they are full.
    full: tuple[int, ...] = ()
    # Whether reports and heartbeats stop too.
    with_reports: bool = False


@dataclass(slots=True, frozen=True)
class ChangeConfiguration(Fault):
    """Write versions of the configuration, `duration` apart."""

    changes: tuple[Change, ...] = ()


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """Hold a fault and its start time, relative to the start of the run."""

    at: timedelta
    fault: Fault


UNPLANNED_FAULTS = (Kill, Freeze, StoreOutage, OriginOutage)


def make_schedule(settings: SoakSettings) -> list[ScheduledFault]:
    """Return the faults of a run in order of their start times."""
    random = Random(settings.seed)
    scheduled: list[ScheduledFault] = []
    start = FIRST_CYCLE_START
    # Separate, so that earlier seeds keep their other faults.
    upstream_random = Random(f"upstreams {settings.seed}")
    fall_random = Random(f"falls {settings.seed}")
    reload_random = Random(f"reloads {settings.seed}")
    silence_random = Random(f"silences {settings.seed}")
    while start + MIN_CYCLE_LENGTH <= settings.duration:
        scheduled += _schedule_cycle(settings, random, start)
        scheduled += _schedule_upstream_faults(settings, upstream_random, start)
        scheduled += _schedule_silences(settings, silence_random, start)
        scheduled.append(_schedule_reload(settings, reload_random, start))
        if fall_random.random() < 0.4:
            age = timedelta(seconds=fall_random.uniform(0.5, 5.0))
            at = start + timedelta(seconds=fall_random.uniform(2.0, 8.0))
            scheduled.append(ScheduledFault(at, StoreFall((), age)))
        start += CYCLE_INTERVAL
    if settings.planned_only:
        scheduled = [x for x in scheduled if not isinstance(x.fault, UNPLANNED_FAULTS)]
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


def _schedule_upstream_faults(
    settings: SoakSettings, random: Random, start: timedelta
) -> list[ScheduledFault]:
    """Place faults of upstreams and of what others write about them."""
    upstreams = settings.engines + settings.plain_upstreams
    faults: list[Fault] = []
    if random.random() < 0.5:
        faults.append(SayLeaving((random.randrange(upstreams),)))
    if random.random() < 0.5:
        duration = timedelta(seconds=random.uniform(1.5, 5.0))
        faults.append(TurnAway((random.randrange(upstreams),), duration))
    if random.random() < 0.4:
        faults.append(RemoveRecord((random.randrange(upstreams),)))
    if random.random() < 0.4:
        faults.append(WriteOddRecords((), timedelta(seconds=random.uniform(2.0, 8.0))))
    return [
        ScheduledFault(start + timedelta(seconds=random.uniform(0.0, 5.0)), fault)
        for fault in faults
    ]


def _schedule_reload(
    settings: SoakSettings, random: Random, start: timedelta
) -> ScheduledFault:
    """Place a reload of some entries, at times while others stop."""
    count = random.randint(1, settings.entries)
    targets = tuple(random.sample(range(settings.entries), count))
    fault = ReloadSettings(targets, timedelta(seconds=random.uniform(0.0, 0.5)))
    return ScheduledFault(start + timedelta(seconds=random.uniform(*SERIES_S)), fault)


def _schedule_silences(
    settings: SoakSettings, random: Random, start: timedelta
) -> list[ScheduledFault]:
    """Place series of configurations, with silences of upstreams beside them."""
    scheduled: list[ScheduledFault] = []
    upstreams = range(
        settings.engines + settings.plain_upstreams + 2 * settings.spare_upstreams
    )
    for number in range(random.randint(*SERIES_RANGE)):
        at_s = random.uniform(*(SERIES_S if number else STOP_SERIES_S))
        interval = QUICK_INTERVAL_S if random.random() < 0.5 else SLOW_INTERVAL_S
        changes = random.choices(list(Change), k=random.randint(*VERSIONS_RANGE))
        faults: list[tuple[float, Fault]] = [
            (
                at_s,
                ChangeConfiguration(
                    duration=timedelta(seconds=random.uniform(*interval)),
                    changes=tuple(changes),
                ),
            )
        ]
        chosen = random.sample(upstreams, len(upstreams))
        silent_count = random.randint(*SILENT_UPSTREAMS_RANGE)
        for target in chosen[:silent_count]:
            silence = Silence(
                (target,),
                timedelta(seconds=random.uniform(*SILENCE_RANGE_S)),
                full=tuple(chosen[silent_count : silent_count + random.randint(0, 3)]),
                with_reports=random.random() < 0.5,
            )
            offset_s = random.uniform(*SILENCE_OFFSET_S)
            faults.append((max(0.0, at_s + offset_s), silence))
        scheduled += [
            ScheduledFault(start + timedelta(seconds=second), fault)
            for second, fault in faults
        ]
    return scheduled
