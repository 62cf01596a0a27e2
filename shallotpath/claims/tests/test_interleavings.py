"""Random interleavings find no fault, and find one if claims are not agreed."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from shallotpath.claims.tests.machine import Interleavings
from shallotpath.claims.tests.mutants import NaiveTable

STEPS = 60
ALL_CHECKS = list(HealthCheck)


def test_no_interleaving_runs_a_key_twice_or_refuses_falsely():
    run_state_machine_as_test(
        Interleavings,
        settings=settings(
            settings(), stateful_step_count=STEPS, suppress_health_check=ALL_CHECKS
        ),
    )


class NaiveInterleavings(Interleavings):
    make_table = NaiveTable


def test_the_check_finds_that_a_naive_table_runs_keys_twice():
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
