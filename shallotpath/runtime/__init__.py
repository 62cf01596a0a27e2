"""The asyncio shell that performs the effects of a node."""

from ._control import ControlLoop, status_of
from ._log_tailer import LogTailer
from ._platform_client import LogPage, PlatformClient
from ._security import Security, check_keys
from ._shell import Shell, Telemetry
from ._transport import Transport, peer_identity
from ._weights import AgentWeights, LinkPacer
from ._weights_engine import EngineWeightsClient

__all__ = [
    "AgentWeights",
    "ControlLoop",
    "EngineWeightsClient",
    "LinkPacer",
    "LogPage",
    "LogTailer",
    "PlatformClient",
    "Security",
    "Shell",
    "Telemetry",
    "Transport",
    "check_keys",
    "peer_identity",
    "status_of",
]
