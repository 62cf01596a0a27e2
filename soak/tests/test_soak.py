from datetime import timedelta

import pytest

from soak import SoakSettings, run_soak

# Weights are named, the origin is away and the entries are stopped in turn.
SEED = 2
DURATION = timedelta(seconds=16)


@pytest.mark.timeout(120)
async def test_promises_hold_while_entries_are_stopped_around_an_announcement(tmp_path):
    # Guards against the incident in which entries that started again went on with
    # old weights for a whole bound, and against losses in planned stops.
    settings = SoakSettings(seed=SEED, duration=DURATION, workspace=tmp_path)
    verdict = await run_soak(settings)
    assert not verdict.broken, verdict.text()
    assert verdict.counts["stops"] == 4, verdict.text()
    assert verdict.counts["exposed"] > 0, verdict.text()
    assert verdict.counts["status 200"] > 100, verdict.text()
