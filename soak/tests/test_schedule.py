from dataclasses import replace
from datetime import timedelta

from soak._schedule import (
    UNPLANNED_FAULTS,
    AnnounceVersion,
    ChangeConfiguration,
    Silence,
    StoreFall,
    make_schedule,
)
from soak._settings import SoakSettings

MINUTE = timedelta(seconds=60)


def test_same_seed_gives_same_schedule():
    # Guards against failures that their seed does not reproduce.
    first = make_schedule(SoakSettings(seed=7, duration=MINUTE))
    assert first == make_schedule(SoakSettings(seed=7, duration=MINUTE))
    assert first != make_schedule(SoakSettings(seed=8, duration=MINUTE))


def test_each_schedule_announces_weights_within_its_run():
    # Guards against runs that never exercise the bound for new weights.
    for seed in range(50):
        settings = SoakSettings(seed=seed, duration=MINUTE)
        scheduled = make_schedule(settings)
        assert any(isinstance(item.fault, AnnounceVersion) for item in scheduled)
        assert all(timedelta() <= item.at <= MINUTE for item in scheduled)


def test_some_schedules_return_the_store_from_a_copy():
    # Guards against runs that never exercise a rise of the store's era.
    faults = [
        item.fault
        for seed in range(50)
        for item in make_schedule(SoakSettings(seed=seed, duration=MINUTE))
    ]
    falls = [fault for fault in faults if isinstance(fault, StoreFall)]
    assert len(falls) > 20
    assert all(timedelta() < fall.duration for fall in falls)


def test_each_schedule_has_silences_beside_configurations_within_its_run():
    # Guards against runs without the faults that have lost answers in the past.
    for seed in range(50):
        scheduled = make_schedule(SoakSettings(seed=seed, duration=MINUTE))
        silences = [each for each in scheduled if isinstance(each.fault, Silence)]
        changes = [
            each for each in scheduled if isinstance(each.fault, ChangeConfiguration)
        ]
        assert silences
        assert all(
            any(abs(silence.at - each.at) <= timedelta(seconds=1) for each in changes)
            for silence in silences
        )
        assert all(timedelta() <= each.at <= MINUTE for each in scheduled)


def test_planned_schedule_has_the_other_faults_of_its_seed():
    # Guards against a run of a seed without kills that is another run.
    for seed in range(20):
        settings = SoakSettings(seed=seed, duration=MINUTE)
        planned = make_schedule(replace(settings, planned_only=True))
        every = make_schedule(settings)
        left_out = [each for each in every if each not in planned]
        assert planned == [each for each in every if each not in left_out]
        assert all(isinstance(each.fault, UNPLANNED_FAULTS) for each in left_out)
        assert not any(isinstance(each.fault, UNPLANNED_FAULTS) for each in planned)
