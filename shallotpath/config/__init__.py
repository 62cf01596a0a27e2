"""Configuration of teams, services, versions, presets and domains."""

from ._model import (
    DEFAULT_PRESET,
    ConfigurationView,
    DomainState,
    ModelVersion,
    Preset,
    Service,
    ServiceKind,
    StaticConfiguration,
    Team,
)

__all__ = [
    "DEFAULT_PRESET",
    "ConfigurationView",
    "DomainState",
    "ModelVersion",
    "Preset",
    "Service",
    "ServiceKind",
    "StaticConfiguration",
    "Team",
]
