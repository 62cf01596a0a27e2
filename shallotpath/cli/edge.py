"""Run the process that serves callers on the users' platform."""

from __future__ import annotations

from ..fleet import EdgeProcess
from ._fleet_program import run_program


def main() -> None:
    """Run the program."""
    run_program(
        "shallot-edge",
        "Serve callers on the platform that SHALLOTPATH_CONFIG describes.",
        EdgeProcess,
    )


if __name__ == "__main__":
    main()
