"""Settings of each program."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..core import parse_duration, parse_rate, parse_size
from ._checks import (
    check_bool,
    check_choice,
    check_count,
    check_endpoint,
    check_endpoints,
    check_host_port,
    check_name,
    check_url,
    check_whole,
)
from ._fields import setting


@dataclass(slots=True, frozen=True, kw_only=True)
class NodeSettings:
    """Hold what entries and agents have in common."""

    id: str = setting("node", "id", check_name)
    domain: str = setting("node", "domain", check_name)
    region: str = setting("node", "region", check_name)
    peer: str = setting("node", "peer", check_endpoint)
    bulk: str = setting("node", "bulk", check_endpoint)
    http: tuple[str, int] = setting("node", "http", check_host_port)
    platform_url: str = setting("platform", "url", check_url)
    vm_list_interval: timedelta = setting(
        "platform", "vm_list_interval", parse_duration, timedelta(seconds=20)
    )
    vm_incarnation: str = setting("node", "vm_incarnation", str, "")
    seeds: list[str] = setting("peers", "seeds", check_endpoints, ())
    public_key: str = setting("security", "public_key", str, "")
    secret_key: str = setting("security", "secret_key", str, "")
    accepted_keys: str = setting("security", "accepted_keys", str, "")
    silence: timedelta = setting(
        "timeouts", "silence", parse_duration, timedelta(seconds=2)
    )
    drain: timedelta = setting(
        "timeouts", "drain", parse_duration, timedelta(seconds=120)
    )


@dataclass(slots=True, frozen=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Hold the settings of `shallot-entry`."""

    listen: tuple[str, int] = setting("entry", "listen", check_host_port)
    max_body: int = setting("limits", "max_body", parse_size, 1024**2)
    stream_window: int = setting("limits", "stream_window", parse_size, 64 * 1024)
    reader_budget: int = setting("limits", "reader_budget", parse_size, 16 * 1024**2)
    write_timeout: timedelta = setting(
        "timeouts", "write", parse_duration, timedelta(seconds=30)
    )


@dataclass(slots=True, frozen=True, kw_only=True)
class AgentSettings(NodeSettings):
    """Hold the settings of `shallot-agent`."""

    engine_url: str = setting("engine", "url", check_url)
    service: str = setting("engine", "service", check_name)
    cold_limit: int = setting("limits", "cold_limit", check_count, 2)
    max_limit: int = setting("limits", "max_limit", check_count, 64)
    queue: int = setting("limits", "queue", check_whole, 32)
    chunk_buffer: int = setting("limits", "chunk_buffer", parse_size, 16 * 1024**2)
    link_rate: int = setting("limits", "link_rate", parse_rate, 0)
    region_rate: int = setting("limits", "region_rate", parse_rate, 0)


@dataclass(slots=True, frozen=True, kw_only=True)
class PlatformSettings:
    """Hold the settings of the platform stand-in."""

    listen: tuple[str, int] = setting("platform", "listen", check_host_port)
    seed: int = setting("platform", "seed", check_whole, 1)
    log_retention: int = setting("platform", "log_retention", check_count, 100_000)
    vms_lag: timedelta = setting(
        "platform", "vms_lag", parse_duration, timedelta(seconds=2)
    )
    origin_rate: int = setting("platform", "origin_rate", parse_rate, 0)


@dataclass(slots=True, frozen=True, kw_only=True)
class EngineSettings:
    """Hold the settings of the engine stand-in."""

    listen: tuple[str, int] = setting("engine", "listen", check_host_port)
    service: str = setting("engine", "service", check_name)
    kind: str = setting("engine", "kind", check_choice("model", "plain"))
    memory: int = setting("engine", "memory", parse_size, 8 * 1024**2)
    token_interval: timedelta = setting(
        "engine", "token_interval", parse_duration, timedelta(milliseconds=10)
    )
    call_time: timedelta = setting(
        "engine", "call_time", parse_duration, timedelta(milliseconds=20)
    )
    max_running: int = setting("engine", "max_running", check_count, 16)
    cold_running: int = setting("engine", "cold_running", check_count, 2)
    load_lag: timedelta = setting(
        "engine", "load_lag", parse_duration, timedelta(seconds=2)
    )
    checks_fencing: bool = setting("engine", "checks_fencing", check_bool, True)
