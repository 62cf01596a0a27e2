"""Command line of the programs that read a settings file."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, CycloptsError, Parameter

from .. import __version__
from ..core import SettingError
from ..settings import load_settings
from ..telemetry import configure_logging

EXIT_OK = 0
EXIT_SETTINGS = 2

ProgramRunner = Callable[[Any, asyncio.Event], Awaitable[None]]


def make_program(
    name: str,
    help_text: str,
    settings_cls: type,
    run: ProgramRunner,
    check: Callable[[Any], None] | None = None,
) -> App:
    """Return the command line of a program that runs until it is stopped.

    `check` raises `SettingError` for faults that concern several settings.
    """
    app = App(name=name, help=help_text, version=f"{name} {__version__}")

    @app.default
    def start(
        *,
        config: Annotated[Path, Parameter(help="INI file with the settings.")],
        check_config: Annotated[
            bool, Parameter(negative="", help="Check the settings and exit.")
        ] = False,
    ) -> int:
        try:
            settings = load_settings(settings_cls, config)
            if check is not None:
                check(settings)
        except SettingError as error:
            print(error.message, file=sys.stderr)
            return EXIT_SETTINGS
        if check_config:
            return EXIT_OK
        configure_logging()
        asyncio.run(_run_until_stopped(settings, run))
        return EXIT_OK

    return app


def run_app(app: App) -> None:
    """Run a command line and exit with its code; wrong usage exits with 2."""
    try:
        result = app(
            sys.argv[1:],
            exit_on_error=False,
            print_error=True,
            result_action="return_value",
        )
    except CycloptsError:
        sys.exit(EXIT_SETTINGS)
    sys.exit(result if isinstance(result, int) else EXIT_OK)


async def _run_until_stopped(settings: Any, run: ProgramRunner) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await run(settings, stopping)
