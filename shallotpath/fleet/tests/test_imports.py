"""Imports of the platform's programs, and names that only the adapter may use."""

import subprocess
import sys

import pytest

# Packages that only the programs outside the platform use.
UNUSED = (
    "zmq",
    "transitions",
    "cyclopts",
    "shallotpath.claims",
    "shallotpath.membership",
    "shallotpath.runtime",
    "shallotpath.nodes",
    "shallotpath.streams",
    "shallotpath.standins",
)


@pytest.mark.parametrize("program", ["edge", "mate"])
def test_platform_programs_load_only_what_they_use(program):
    # Guards against memory and start-up time spent on packages that these programs do
    # not use.
    code = (
        f"import sys, shallotpath.cli.{program}; "
        "print('\\n'.join(name for name in sys.modules))"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = result.stdout.split()
    assert [name for name in loaded if name.startswith(UNUSED)] == []


def test_platform_names_stay_in_the_adapter():
    # Guards against names of the platform outside the adapter package.
    from pathlib import Path

    root = Path(__file__).parents[2]
    named = [
        str(path.relative_to(root))
        for path in root.rglob("*.py")
        if "platform" not in path.parts[-2:-1]
        and "tests" not in path.parts
        and "shallotpath-" in path.read_text().lower()
    ]
    assert named == []
