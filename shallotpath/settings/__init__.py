"""Settings of the programs, read from INI files and checked when loaded."""

from ._checks import (
    MAX_PORT,
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
from ._fields import load_settings, setting
from ._programs import (
    AgentSettings,
    EngineSettings,
    EntrySettings,
    NodeSettings,
    PlatformSettings,
)

__all__ = [
    "MAX_PORT",
    "AgentSettings",
    "EngineSettings",
    "EntrySettings",
    "NodeSettings",
    "PlatformSettings",
    "check_bool",
    "check_choice",
    "check_positive",
    "check_endpoint",
    "check_endpoints",
    "check_host_port",
    "check_name",
    "check_url",
    "check_non_negative",
    "load_settings",
    "setting",
]
