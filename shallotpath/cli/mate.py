"""Run the process beside a model engine on the users' platform."""

from __future__ import annotations

from ..fleet import SidecarProcess
from ._fleet_program import run_program


def main() -> None:
    """Run the program."""
    run_program(
        "shallot-mate",
        "Keep the weights of the engine that SHALLOTPATH_CONFIG names.",
        SidecarProcess,
    )


if __name__ == "__main__":
    main()
