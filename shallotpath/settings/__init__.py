"""Settings of the programs, read from INI files and checked at once."""

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
from ._fields import load_settings, setting
from ._programs import (
    AgentSettings,
    EngineSettings,
    EntrySettings,
    NodeSettings,
    PlatformSettings,
)

__all__ = [
    "AgentSettings",
    "EngineSettings",
    "EntrySettings",
    "NodeSettings",
    "PlatformSettings",
    "check_bool",
    "check_choice",
    "check_count",
    "check_endpoint",
    "check_endpoints",
    "check_host_port",
    "check_name",
    "check_url",
    "check_whole",
    "load_settings",
    "setting",
]
