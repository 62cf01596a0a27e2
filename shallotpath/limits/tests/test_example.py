"""Test of the example that embeds the admission gate."""

import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed_gate.py"


def test_the_embedding_example_runs_and_its_limit_grows_only_when_warm():
    # Guards against a change of public names that breaks the example.
    running = runpy.run_path(str(EXAMPLE))["main"]()
    assert set(running[:4]) == {2}
    assert running[-1] > 2
