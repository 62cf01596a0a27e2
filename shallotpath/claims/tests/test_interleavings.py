"""Random interleavings show no second run, and show one without agreed claims."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from shallotpath.claims.tests.machine import Interleavings
from shallotpath.claims.tests.mutants import NaiveTable

STEPS = 60
ALL_CHECKS = list(HealthCheck)


def test_no_interleaving_runs_a_key_twice_or_refuses_falsely():
    # Guards against second runs and false `run: no` in interleavings not listed in
    # test_faults.
    run_state_machine_as_test(
        Interleavings,
        settings=settings(
            settings(), stateful_step_count=STEPS, suppress_health_check=ALL_CHECKS
        ),
    )


class NaiveInterleavings(Interleavings):
    make_table = NaiveTable


def test_the_check_finds_that_a_naive_table_runs_keys_twice():
    # Guards against a state machine that would not reach or notice a second run.
    with pytest.raises(AssertionError, match="ran:"):
        run_state_machine_as_test(
            NaiveInterleavings,
            settings=settings(
                derandomize=True,
                database=None,
                phases=[Phase.generate],
                stateful_step_count=STEPS,
                suppress_health_check=ALL_CHECKS,
            ),
        )
