"""Reliable response streams: sequence numbers, credit, resumption and retries."""

from ._budget import SlowReaderBudget
from ._call import OutgoingCall
from ._heartbeats import HeartbeatAction, Heartbeats, PeerLost, Probe, ReplaceConnection
from ._reader import RESUME_AFTER, ResponseReader
from ._sse import SseEvent, SseParser
from ._writer import MAX_FRAME_PAYLOAD_BYTES, ResponseWriter

__all__ = [
    "ResponseReader",
    "ResponseWriter",
    "HeartbeatAction",
    "Heartbeats",
    "PeerLost",
    "MAX_FRAME_PAYLOAD_BYTES",
    "OutgoingCall",
    "Probe",
    "RESUME_AFTER",
    "ReplaceConnection",
    "SlowReaderBudget",
    "SseEvent",
    "SseParser",
]
