"""Command that checks a configuration of the platform before it is sent."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

import msgspec
from cyclopts import App, Parameter

from ..core import PlatformError, SettingError
from ..forwarding import max_body_bytes
from ..platform import (
    ConfigurationFile,
    Endpoint,
    RecordError,
    decode_configuration,
    fetch_configuration,
    load_process_settings,
    open_session,
)
from ..validation import (
    Deployment,
    Finding,
    Severity,
    check_configuration,
    compare_catalogs,
)
from ._ctl_objects import DEFAULT_OPTIONS
from ._ctl_options import Options
from ._ctl_session import print_failure, print_json, print_rows

EXIT_CLEAN = 0
EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
EXIT_NO_VERSION_IN_FORCE = 3

config = App(name="config", help="Configuration records of the platform.")


@config.command
async def check(
    file: Path,
    /,
    *,
    against: Annotated[
        str, Parameter(help="File or http://HOST:PORT of the store, to compare with.")
    ] = "",
    settings: Annotated[
        Path | None,
        Parameter(help="Settings file of an entry; adds checks against its limits."),
    ] = None,
    options: Options = DEFAULT_OPTIONS,
) -> int:
    """Check a configuration; exit codes: 0 clean, 1 findings, 2 unreadable, 3 no base.

    A finding is an entry that is wrong, has no effect or contradicts another one. With
    `--against` it also prints what differs from the version in force.
    """
    try:
        checked = decode_configuration(_read(file))
        deployment = _deployment(settings)
    except (RecordError, SettingError) as error:
        print_failure(options, error.message)
        return EXIT_UNREADABLE
    findings = _unknown_fields(checked) + check_configuration(
        checked.catalog, checked.teams, checked.service_ids, deployment
    )
    differences = []
    if against:
        try:
            base = decode_configuration(await _read_base(against))
        except (PlatformError, SettingError) as error:
            print_failure(options, f"version in force: {error.message}")
            return EXIT_NO_VERSION_IN_FORCE
        differences = compare_catalogs(
            base.catalog, checked.catalog, base.teams, checked.teams
        )
        findings += _stale_version(base, checked)
    findings.sort(key=lambda finding: finding.severity is not Severity.ERROR)
    _print(options, findings, differences, compared=bool(against))
    return EXIT_FINDINGS if findings else EXIT_CLEAN


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise SettingError(f"{path} cannot be read: {error}; check the path") from error


async def _read_base(against: str) -> bytes:
    """Return the version to compare with, from the store or from a file."""
    if not against.startswith("http://"):
        return _read(Path(against))
    address = urlsplit(against)
    try:
        endpoint = Endpoint(address.hostname or "", address.port or 0)
    except ValueError as error:
        raise SettingError(f"{against} is not http://HOST:PORT: {error}") from error
    async with open_session() as session:
        return await fetch_configuration(endpoint, session)


def _deployment(path: Path | None) -> Deployment:
    if path is None:
        return Deployment()
    settings = load_process_settings(path)
    return Deployment(
        regions_by_domain=settings.regions_by_domain,
        max_body_bytes=max_body_bytes(settings.memory_bytes),
        budget_ratio=settings.budget_ratio,
        budget_extra=settings.budget_extra,
    )


def _unknown_fields(checked: ConfigurationFile) -> list[Finding]:
    return [
        Finding(Severity.WARNING, "unknown-field", place, "no program reads this field")
        for place in checked.unknown_fields
    ]


def _stale_version(base: ConfigurationFile, checked: ConfigurationFile) -> list:
    old, new = base.catalog.version, checked.catalog.version
    if new > old:
        return []
    message = f"version {new} is not above {old}, which is in force, and is ignored"
    return [Finding(Severity.ERROR, "stale-version", "version", message)]


def _print(options: Options, findings: list, differences: list, *, compared) -> None:
    finding_rows = [msgspec.to_builtins(finding) for finding in findings]
    difference_rows = [msgspec.to_builtins(difference) for difference in differences]
    if options.output == "json":
        print_json({"findings": finding_rows, "differences": difference_rows})
        return
    if finding_rows:
        print_rows(options, ["severity", "code", "place", "message"], finding_rows)
    else:
        print("no findings")
    if difference_rows:
        print_rows(options, ["change", "place", "detail", "effect"], difference_rows)
    elif compared:
        print("no differences from the version in force")
    sys.stdout.flush()
