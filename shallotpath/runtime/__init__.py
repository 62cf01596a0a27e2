"""The asyncio shell that performs the effects of a node."""

from ._link_pacer import LinkPacer
from ._log_tailer import LogTailer
from ._platform_client import LogPage, PlatformClient
from ._shell import Shell, Telemetry
from ._transport import Transport, peer_identity
from ._weights import AgentWeights
from ._weights_engine import EngineWeightsClient

__all__ = [
    "AgentWeights",
    "EngineWeightsClient",
    "LinkPacer",
    "LogPage",
    "LogTailer",
    "PlatformClient",
    "Shell",
    "Telemetry",
    "Transport",
    "peer_identity",
]
