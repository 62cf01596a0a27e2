"""Complete answers: sequence numbers, credit, resume, attempts, slow readers."""

from ._budget import SlowReaderBudget
from ._call import OutgoingCall
from ._heartbeats import HeartbeatAction, Heartbeats, Lost, Probe, Replace
from ._reader import RESUME_AFTER, AnswerReader
from ._sse import SseEvent, SseParser
from ._writer import MAX_FRAME_PAYLOAD_BYTES, AnswerWriter

__all__ = [
    "AnswerReader",
    "AnswerWriter",
    "HeartbeatAction",
    "Heartbeats",
    "Lost",
    "MAX_FRAME_PAYLOAD_BYTES",
    "OutgoingCall",
    "Probe",
    "RESUME_AFTER",
    "Replace",
    "SlowReaderBudget",
    "SseEvent",
    "SseParser",
]
