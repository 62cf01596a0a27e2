from datetime import timedelta

from soak._schedule import NameWeights, make_schedule
from soak._settings import SoakSettings

MINUTE = timedelta(seconds=60)


def test_a_seed_has_one_schedule():
    # Guards against failures that their seed does not bring back.
    first = make_schedule(SoakSettings(seed=7, duration=MINUTE))
    assert first == make_schedule(SoakSettings(seed=7, duration=MINUTE))
    assert first != make_schedule(SoakSettings(seed=8, duration=MINUTE))


def test_each_schedule_names_weights_within_its_run():
    # Guards against runs that never put the bound of new weights to the test.
    for seed in range(50):
        settings = SoakSettings(seed=seed, duration=MINUTE)
        planned = make_schedule(settings)
        assert any(isinstance(item.fault, NameWeights) for item in planned)
        assert all(timedelta() <= item.at <= MINUTE for item in planned)
