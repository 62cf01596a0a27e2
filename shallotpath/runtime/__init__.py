"""The asyncio shell that performs the effects of a node, and the servers."""

from ._agent import AgentServer
from ._agent_part import AgentPart
from ._engine_client import EngineClient
from ._entry import EntryServer
from ._entry_part import EntryPart
from ._entry_request import EntryLimits
from ._log_tailer import LogTailer
from ._platform_client import LogPage, PlatformClient
from ._ports import (
    ClaimDecided,
    ClaimPort,
    ConfiguredWeights,
    GatePort,
    KnownClaim,
    RefuseClaim,
    RetryPort,
    RouterPort,
    RunClaim,
    WeightsPort,
)
from ._shell import Shell, Telemetry
from ._timeouts import AgentTimeouts, EntryTimeouts
from ._transport import Transport, peer_identity

__all__ = [
    "AgentPart",
    "AgentServer",
    "AgentTimeouts",
    "ClaimDecided",
    "ClaimPort",
    "ConfiguredWeights",
    "EngineClient",
    "EntryLimits",
    "EntryPart",
    "EntryServer",
    "EntryTimeouts",
    "GatePort",
    "KnownClaim",
    "LogPage",
    "LogTailer",
    "PlatformClient",
    "RefuseClaim",
    "RetryPort",
    "RouterPort",
    "RunClaim",
    "Shell",
    "Telemetry",
    "Transport",
    "WeightsPort",
    "peer_identity",
]
