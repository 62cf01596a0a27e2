"""Program `shallotctl`: operators change and inspect the configuration."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import zmq
from cyclopts import App, CycloptsError

from .. import __version__
from ..core import PlatformError, SettingError, ShallotError
from ._ctl_check import config as configuration
from ._ctl_claims import claims
from ._ctl_objects import (
    DEFAULT_OPTIONS,
    domains,
    presets,
    rollouts,
    services,
    teams,
    versions,
)
from ._ctl_options import (
    EXIT_DONE,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
    Options,
    read_settings,
)
from ._ctl_reports import register
from ._ctl_session import print_rows

EPILOGUE = (
    "Exit codes: 0 done, 1 rejected with reason and remedy, 2 usage or settings, "
    "3 platform unavailable or not in force everywhere in time."
)

app = App(
    name="shallotctl",
    help="Change and inspect the configuration of shallotpath.",
    help_epilogue=EPILOGUE,
    version=__version__,
    result_action="return_value",
    exit_on_error=False,
    print_error=True,
)
for group in (
    teams,
    services,
    versions,
    presets,
    domains,
    rollouts,
    claims,
    configuration,
):
    app.command(group)
register(app, versions)


@app.default
def check_config(*, config: Path | None = None, check_config: bool = False) -> int:
    """Check the settings file and exit."""
    if not check_config:
        app.help_print([])
        return EXIT_USAGE
    if config is None:
        raise SettingError("no settings file is given; add --config FILE")
    url, _ = read_settings(config)
    Options(platform=url).platform_url  # noqa: B018
    return EXIT_DONE


@app.command
def keys(*, options: Options = DEFAULT_OPTIONS) -> int:
    """Create a key pair for [security]."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    rows = [{"public_key": public, "secret_key": secret}]
    print_rows(options, ["public_key", "secret_key"], rows)
    return EXIT_DONE


async def run(tokens: list[str]) -> int:
    """Run one command line and return its exit code."""
    try:
        result = await app.run_async(tokens)
    except CycloptsError:
        return EXIT_USAGE
    except SettingError as error:
        return report(error, EXIT_USAGE)
    except PlatformError as error:
        return report(error, EXIT_UNAVAILABLE)
    return result if isinstance(result, int) else EXIT_DONE


def report(error: ShallotError, code: int) -> int:
    """Print an error and return the exit code."""
    print(f"{error.code}: {error.message}", file=sys.stderr)
    return code


def main() -> None:
    """Run the program."""
    sys.exit(asyncio.run(run(sys.argv[1:])))


if __name__ == "__main__":
    main()
