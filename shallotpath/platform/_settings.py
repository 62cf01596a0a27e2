"""Settings file of a process on the platform."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import isfinite, nan
from pathlib import Path

from ..core import SettingError
from ..settings import check_host_port

SETTINGS_VARIABLE = "SHALLOTPATH_CONFIG"
# The settings file has no address for metrics; the deployment file sets this variable
# next to the metrics port that it declares.
METRICS_PORT_VARIABLE = "SHALLOTPATH_METRICS_PORT"
# Index of the peer port in the range of internal ports; the same on all VMs.
PEER_PORT_INDEX = 0
PORT_COUNT = 1 << 16
# Name in the list of duties under which usage reports are asked for.
USAGE_DUTY = "usage_report"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """Describe a host and port to listen on or to call."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class DutySettings:
    """Hold where calls of duties go and what bounds them."""

    address: Endpoint
    # The receiver rejects calls whose fencing token is lower than one it has seen.
    checks_token: bool
    calls_per_s: float
    lease: timedelta
    # Calls that arrive within this time after their sender woke up do no harm.
    wake_slack: timedelta
    # Length of the windows of the wall clock for which usage is reported.
    usage_window: timedelta
    # Share by which a count may differ from the truth.
    usage_tolerance: float
    # Time after the end of a window by which its report is due.
    usage_due: timedelta
    reports_usage: bool


@dataclass(slots=True, frozen=True)
class ProcessSettings:
    """Hold the settings that the platform gives a process."""

    node: str
    host: str
    domain: str
    regions_by_domain: dict[str, str]
    # Addresses to listen on for requests, readiness probes and control calls.
    callers: Endpoint | None
    readiness: Endpoint | None
    control: Endpoint | None
    # Address of the upstream on the same VM, if it has one.
    engine: Endpoint | None
    peer_port: int
    # `None` if the metrics are served on the peer port only.
    metrics_port: int | None
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    memory_bytes: int
    # `None` leaves the limit that the process was started with.
    max_descriptors: int | None
    # Bandwidth of the VM's link in each direction.
    link_bytes_per_s: float
    # Time between SIGTERM and SIGKILL.
    stop_grace: timedelta
    # Retries of a service within `budget_window`: a share of its requests, and a
    # number that is allowed on top of it.
    budget_ratio: float
    budget_extra: float
    budget_window: timedelta
    # A cold upstream may get `cold_requests_per_s * cold_excess + cold_slack` requests
    # a second from all entries together.
    cold_excess: float
    cold_slack: float
    # Time after an announcement until no request may begin on outdated weights.
    version_bound: timedelta
    # `None` where the deployment has no duties.
    duties: DutySettings | None = None

    @property
    def region(self) -> str:
        """Return the region of the process's failure domain."""
        return self.regions_by_domain.get(self.domain, "")


def load_process_settings(path: Path | None = None) -> ProcessSettings:
    """Read a settings file, by default the one that the environment names."""
    if path is None:
        name = os.environ.get(SETTINGS_VARIABLE)
        if not name:
            raise SettingError(
                f"{SETTINGS_VARIABLE} is not set; set it to the settings file's path"
            )
        path = Path(name)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(
            f"{path} cannot be read: {error}; check the path and its encoding"
        ) from error
    return parse_process_settings(text, os.environ)


def parse_process_settings(
    text: str, environment: Mapping[str, str] | None = None
) -> ProcessSettings:
    """Parse lines of the form `a.b=value`; unknown keys are ignored."""
    values = dict(
        line.strip().split("=", 1)
        for line in text.splitlines()
        if "=" in line and not line.lstrip().startswith("#")
    )
    reader = _SettingsReader(values)
    environment_reader = _SettingsReader(dict(environment or {}))
    settings = ProcessSettings(
        node=reader.text("node"),
        host=reader.text("ip"),
        domain=reader.text("zone"),
        regions_by_domain={
            key.removeprefix("zones."): value
            for key, value in values.items()
            if key.startswith("zones.")
        },
        callers=reader.endpoint("listen.front"),
        readiness=reader.endpoint("listen.ready"),
        control=reader.endpoint("listen.control"),
        engine=reader.endpoint("app"),
        peer_port=reader.first_port("internalPorts") + PEER_PORT_INDEX,
        metrics_port=environment_reader.port(METRICS_PORT_VARIABLE),
        seeds=reader.endpoints("seeds"),
        store=reader.required_endpoint("platform.address"),
        memory_bytes=int(reader.number("limits.memoryMb", 256) * 1_000_000),
        max_descriptors=int(reader.number("limits.maxFds", 0)) or None,
        link_bytes_per_s=reader.number("limits.linkMbps", 100) * 1_000_000 / 8,
        stop_grace=timedelta(seconds=reader.number("bounds.graceS", 8)),
        budget_ratio=reader.number("bounds.budgetRatio", 0.1),
        budget_extra=reader.number("bounds.budgetExtra", 10),
        budget_window=timedelta(seconds=reader.number("bounds.budgetWindowS", 10)),
        cold_excess=reader.number("bounds.coldExcess", 1),
        cold_slack=reader.number("bounds.coldSlack", 0),
        version_bound=timedelta(milliseconds=reader.number("bounds.version_ms", 8000)),
        duties=_duty_settings(reader),
    )
    faults = reader.faults_ + environment_reader.faults_
    if faults:
        raise SettingError("; ".join(faults))
    return settings


def _duty_settings(reader: _SettingsReader) -> DutySettings | None:
    address = reader.endpoint("cloud.address")
    if address is None:
        return None
    window_s = reader.number("bounds.reportWindowS", 0)
    return DutySettings(
        address=address,
        checks_token=reader.flag("bounds.requireFence"),
        calls_per_s=reader.number("cloud.dutyPerS", 10),
        lease=timedelta(milliseconds=reader.number("bounds.leaseMs", 3000)),
        wake_slack=timedelta(milliseconds=reader.number("bounds.thawSlackMs", 300)),
        usage_window=timedelta(seconds=window_s),
        usage_tolerance=reader.number("bounds.usageOff", 0.05),
        usage_due=timedelta(seconds=reader.number("bounds.usageLateS", 10)),
        reports_usage=window_s > 0
        and USAGE_DUTY in reader.texts("cloud.duties", default=USAGE_DUTY),
    )


class _SettingsReader:
    """Convert single values and collect the faults of all."""

    __slots__ = ("faults_", "values")

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values
        self.faults_: list[str] = []

    def text(self, key: str) -> str:
        value = self.values.get(key, "")
        if not value:
            self.faults_.append(f"{key} is missing; add a line {key}=VALUE")
        return value

    def texts(self, key: str, *, default: str) -> list[str]:
        value = self.values.get(key, default)
        return [part.strip() for part in value.split(",") if part.strip()]

    def flag(self, key: str) -> bool:
        return self.values.get(key, "").lower() == "true"

    def number(self, key: str, default: float) -> float:
        value = self.values.get(key, "")
        if not value:
            return float(default)
        try:
            number = float(value)
        except ValueError:
            number = nan
        if not isfinite(number):
            self.faults_.append(f"{key}={value} is not a number; use one such as 2.5")
            return float(default)
        return number

    def endpoint(self, key: str) -> Endpoint | None:
        value = self.values.get(key, "")
        return self._endpoint(key, value) if value else None

    def required_endpoint(self, key: str) -> Endpoint:
        return self._endpoint(key, self.text(key)) or Endpoint("", 0)

    def endpoints(self, key: str) -> tuple[Endpoint, ...]:
        parts = [part for part in self.values.get(key, "").split(",") if part]
        found = (self._endpoint(key, part) for part in parts)
        return tuple(endpoint for endpoint in found if endpoint)

    def first_port(self, key: str) -> int:
        value = self.values.get(key, "")
        try:
            return int(value.split(",")[0])
        except ValueError:
            self.faults_.append(
                f"{key}={value} is not a port range; write the first and the last port"
            )
            return 0

    def port(self, key: str) -> int | None:
        value = self.values.get(key, "")
        if not value:
            return None
        if not value.isdecimal() or not 0 < int(value) < PORT_COUNT:
            self.faults_.append(f"{key}={value} is not a port; use one such as 9464")
            return None
        return int(value)

    def _endpoint(self, key: str, value: str) -> Endpoint | None:
        if not value:
            return None
        try:
            return Endpoint(*check_host_port(value))
        except ValueError as error:
            self.faults_.append(f"{key}: {error}")
            return None
