"""Test of the example that embeds the admission by priority."""

import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed_admission.py"


def test_the_embedding_example_runs_and_refuses_as_the_pressure_grows():
    # Guards against a change of public names that breaks the example.
    obstacles = runpy.run_path(str(EXAMPLE))["main"]()
    assert obstacles[0] is None
    assert obstacles[-1] is not None
