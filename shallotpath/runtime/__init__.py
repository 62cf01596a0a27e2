"""Asyncio shell that performs the effects of a node, and its HTTP servers."""

from ._agent import AgentServer
from ._agent_part import AgentPart
from ._control import ControlLoop, status_of
from ._engine_client import EngineClient
from ._entry import EntryServer
from ._entry_part import EntryPart
from ._entry_request import EntryLimits
from ._link_pacer import LinkPacer
from ._log_tailer import LogTailer
from ._platform_client import LogPage, PlatformClient
from ._ports import (
    ClaimPort,
    ConfiguredWeights,
    GatePort,
    RetryPort,
    RouterPort,
    WeightsPort,
)
from ._security import Security, check_keys
from ._shell import Shell, Telemetry
from ._tables import make_table
from ._timeouts import AgentTimeouts, EntryTimeouts
from ._transport import Transport, peer_identity
from ._weights import AgentWeights
from ._weights_engine import EngineWeightsClient

__all__ = [
    "AgentPart",
    "AgentServer",
    "AgentTimeouts",
    "AgentWeights",
    "ClaimPort",
    "ConfiguredWeights",
    "ControlLoop",
    "EngineClient",
    "EngineWeightsClient",
    "EntryLimits",
    "EntryPart",
    "EntryServer",
    "EntryTimeouts",
    "GatePort",
    "LinkPacer",
    "LogPage",
    "LogTailer",
    "PlatformClient",
    "RetryPort",
    "RouterPort",
    "Security",
    "Shell",
    "Telemetry",
    "Transport",
    "WeightsPort",
    "check_keys",
    "make_table",
    "peer_identity",
    "status_of",
]
