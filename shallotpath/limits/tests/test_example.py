import runpy
from pathlib import Path

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed_gate.py"


def test_the_embedding_example_runs_and_its_limit_grows_only_when_warm():
    # Guards against an example that a change of the public names has broken.
    running = runpy.run_path(str(EXAMPLE))["main"]()
    assert set(running[:4]) == {2}
    assert running[-1] > 2
