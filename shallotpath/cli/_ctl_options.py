"""Options and settings that the commands of shallotctl share."""

from __future__ import annotations

from configparser import ConfigParser
from configparser import Error as ParserError
from dataclasses import dataclass, field
from getpass import getuser
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import Parameter

from ..core import SettingError

EXIT_DONE = 0
EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3

_KNOWN_KEYS = {"platform": {"url"}, "operator": {"name"}}


@Parameter(name="*")
@dataclass(frozen=True)
class Options:
    """Hold the options of every command."""

    config: Annotated[Path | None, Parameter(help="INI file with [platform] url.")] = (
        None
    )
    platform: Annotated[
        str, Parameter(env_var="SHALLOT_PLATFORM", help="URL of the platform.")
    ] = ""
    operator: Annotated[str, Parameter(help="Name recorded with changes.")] = ""
    node: Annotated[
        list[str], Parameter(help="Status URL of a process; default: VM list.")
    ] = field(default_factory=list)
    output: Annotated[Literal["text", "json"], Parameter(help="Output format.")] = (
        "text"
    )
    dry_run: Annotated[
        bool, Parameter(negative="", help="Check a change, append nothing.")
    ] = False
    wait: Annotated[
        bool, Parameter(negative="", help="Wait until in force everywhere.")
    ] = False
    timeout: Annotated[str, Parameter(help="Longest time to wait.")] = "15s"
    yes: Annotated[bool, Parameter(negative="", help="Do not ask.")] = False
    command_id: Annotated[
        str, Parameter(help="Id of an earlier attempt that may have taken effect.")
    ] = ""

    @property
    def operator_name(self) -> str:
        """Return the operator that changes are recorded under."""
        return self.operator or read_settings(self.config)[1] or getuser()

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform or raise `SettingError`."""
        url = self.platform or read_settings(self.config)[0]
        if not url.startswith(("http://", "https://")):
            raise SettingError(
                f"platform URL {url!r} is not an HTTP URL; give --platform, set "
                "SHALLOT_PLATFORM or set url in [platform] of --config"
            )
        return url.rstrip("/")


def read_settings(path: Path | None) -> tuple[str, str]:
    """Return the platform URL and the operator name of an INI file."""
    if path is None:
        return "", ""
    parser = ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, ParserError) as error:
        raise SettingError(f"{path}: {error}; check the file") from error
    check_settings(path, parser)
    return (
        parser.get("platform", "url", fallback=""),
        parser.get("operator", "name", fallback=""),
    )


def check_settings(path: Path, parser: ConfigParser) -> None:
    """Check that the file holds known keys only; raise one error with all faults."""
    faults = []
    for section in parser.sections():
        known = _KNOWN_KEYS.get(section)
        if known is None:
            faults.append(
                f"{path}: section [{section}] is unknown; "
                f"use one of {', '.join(sorted(_KNOWN_KEYS))}"
            )
            continue
        faults += [
            f"{path}: [{section}] {key} is unknown; use one of "
            f"{', '.join(sorted(known))}"
            for key in parser[section]
            if key not in known
        ]
    if faults:
        raise SettingError("\n".join(faults))
