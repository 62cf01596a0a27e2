"""Settings of each program."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..core import parse_duration, parse_rate, parse_size
from ._checks import (
    check_bool,
    check_choice,
    check_endpoint,
    check_endpoints,
    check_host_port,
    check_name,
    check_non_negative,
    check_positive,
    check_url,
)
from ._fields import setting


@dataclass(slots=True, frozen=True, kw_only=True)
class NodeSettings:
    """Hold the settings that entries and agents share."""

    id: str = setting("node", "id", check_name)
    domain: str = setting("node", "domain", check_name)
    region: str = setting("node", "region", check_name)
    # Addresses for peer messages, for chunks of weights and for operators.
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
    # Further public keys that peers may use, separated by commas or spaces.
    accepted_keys: str = setting("security", "accepted_keys", str, "")
    # Time without messages after which a peer counts as silent.
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
    # Unacknowledged bytes of a stream that an agent may send.
    stream_window: int = setting("limits", "stream_window", parse_size, 64 * 1024)
    # Memory for data that slow readers have not read yet.
    reader_budget: int = setting("limits", "reader_budget", parse_size, 16 * 1024**2)
    write_timeout: timedelta = setting(
        "timeouts", "write", parse_duration, timedelta(seconds=30)
    )


@dataclass(slots=True, frozen=True, kw_only=True)
class AgentSettings(NodeSettings):
    """Hold the settings of `shallot-agent`."""

    engine_url: str = setting("engine", "url", check_url)
    service: str = setting("engine", "service", check_name)
    # Concurrent requests allowed at a cold engine, and the most at a warm one.
    cold_limit: int = setting("limits", "cold_limit", check_positive, 2)
    max_limit: int = setting("limits", "max_limit", check_positive, 64)
    # Number of requests that may wait for the engine.
    queue: int = setting("limits", "queue", check_non_negative, 32)
    chunk_buffer: int = setting("limits", "chunk_buffer", parse_size, 16 * 1024**2)
    # Bytes a second; 0 stands for no limit.
    link_rate: int = setting("limits", "link_rate", parse_rate, 0)
    region_rate: int = setting("limits", "region_rate", parse_rate, 0)


@dataclass(slots=True, frozen=True, kw_only=True)
class PlatformSettings:
    """Hold the settings of the platform stand-in."""

    listen: tuple[str, int] = setting("platform", "listen", check_host_port)
    seed: int = setting("platform", "seed", check_non_negative, 1)
    log_retention: int = setting("platform", "log_retention", check_positive, 100_000)
    # Delay after which a change appears in the VM list.
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
    # Concurrent requests above which the engine crashes, when warm and when cold.
    max_running: int = setting("engine", "max_running", check_positive, 16)
    cold_running: int = setting("engine", "cold_running", check_positive, 2)
    # Delay after which a change appears in the reported load.
    load_lag: timedelta = setting(
        "engine", "load_lag", parse_duration, timedelta(seconds=2)
    )
    checks_fencing: bool = setting("engine", "checks_fencing", check_bool, True)
