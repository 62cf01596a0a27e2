"""Complete answers: sequence numbers, credit, resume, attempts, slow readers."""

from ._budget import SlowReaderBudget
from ._call import OutgoingCall
from ._reader import RESUME_AFTER, AnswerReader
from ._sse import SseEvent, SseParser
from ._writer import MAX_FRAME_PAYLOAD_BYTES, AnswerWriter

__all__ = [
    "AnswerReader",
    "AnswerWriter",
    "MAX_FRAME_PAYLOAD_BYTES",
    "OutgoingCall",
    "RESUME_AFTER",
    "SlowReaderBudget",
    "SseEvent",
    "SseParser",
]
