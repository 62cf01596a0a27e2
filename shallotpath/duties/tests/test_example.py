"""Test of the example that embeds a lease."""

import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed_lease.py"


def test_the_embedding_example_hands_the_duty_over():
    # Guards against a change of public names that breaks the example.
    seen = runpy.run_path(str(EXAMPLE))["main"]()
    assert seen == [
        ("vm-1", True, 1),
        ("vm-2", False, 1),
        ("vm-1", False, 1),
        ("vm-2", True, 2),
    ]
