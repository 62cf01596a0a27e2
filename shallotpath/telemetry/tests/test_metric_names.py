import re
from pathlib import Path

ROOT = Path(__file__).parents[3]
METRIC_USE = re.compile(
    r"(?:Count|Gauge|(?:telemetry|reporter)\.(?:count|gauge|observe))"
    r"\(\s*\"([a-z_]+)\""
)


def test_every_metric_is_documented():
    # Guards against a metric whose meaning operators cannot look up.
    page = (ROOT / "docs" / "metrics.md").read_text()
    sources = [
        path
        for path in (ROOT / "shallotpath").rglob("*.py")
        if "tests" not in path.parts
    ]
    used_names = {
        name for path in sources for name in METRIC_USE.findall(path.read_text())
    }
    assert len(used_names) > 20
    assert {name for name in used_names if f"`{name}`" not in page} == set()
