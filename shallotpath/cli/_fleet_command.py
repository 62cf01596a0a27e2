"""Options of the programs that run on the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from .. import __version__
from ..core import SettingError
from ..platform import load_process_settings
from ._program import EXIT_OK, EXIT_SETTINGS, run_app


def run_options(name: str, help_text: str) -> None:
    """Answer `--help`, `--version` or `--check-config FILE` and exit."""
    app = App(name=name, help=help_text, version=f"{name} {__version__}")

    @app.default
    def check(
        *,
        check_config: Annotated[
            Path, Parameter(help="Check a settings file and exit.")
        ],
    ) -> int:
        try:
            load_process_settings(check_config)
        except SettingError as error:
            print(error.message, file=sys.stderr)
            return EXIT_SETTINGS
        return EXIT_OK

    run_app(app)
