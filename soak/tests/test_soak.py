from datetime import timedelta

import pytest

from soak import SoakSettings, run_soak

# Announces weights, makes the origin unavailable and restarts the entries in turn.
SEED = 2
# Lets upstreams fall silent while others are full, beside sixteen configurations.
SILENCE_SEED = 114
DURATION = timedelta(seconds=16)


@pytest.mark.timeout(120)
async def test_invariants_hold_while_entries_restart_around_an_announcement(tmp_path):
    # Guards against restarted entries that use old weights for the whole bound, as in
    # a past incident, and against requests lost in planned stops.
    settings = SoakSettings(seed=SEED, duration=DURATION, workspace=tmp_path)
    verdict = await run_soak(settings)
    assert not verdict.violations, verdict.text()
    assert verdict.counts["stops"] == 4, verdict.text()
    assert verdict.counts["exposed"] > 0, verdict.text()
    assert verdict.counts["status 200"] > 100, verdict.text()


@pytest.mark.timeout(120)
async def test_no_answer_is_lost_beside_silences_and_configurations(tmp_path):
    # Guards against streams that are broken off because their upstream was silent for a
    # moment, as in a past incident, while configurations change and others refuse.
    settings = SoakSettings(
        seed=SILENCE_SEED, duration=DURATION, planned_only=True, workspace=tmp_path
    )
    verdict = await run_soak(settings)
    assert not verdict.violations, verdict.text()
    assert verdict.counts["configurations"] > 5, verdict.text()
    assert verdict.counts["status 200"] > 100, verdict.text()
