from datetime import timedelta

from soak._schedule import AnnounceVersion, StoreFall, make_schedule
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
