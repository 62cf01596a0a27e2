"""Forward HTTP requests to upstreams; `gateway` decides where each one goes."""

from ._body_limit import max_body_bytes
from ._bounded import BoundedConnection, EndlessAnswerError
from ._connection import ConnectionPool
from ._events import EventSplitter
from ._forwarder import Forwarder
from ._ingress import Handler, Listener
from ._journal import Reporter, RequestJournal, milliseconds, report_crash
from ._memory import HeldKind, Lease, MemoryBudget
from ._parts import ForwarderParts
from ._responses import refusal
from ._wire import (
    HOP_BY_HOP_HEADERS,
    HeaderCodec,
    OutgoingFields,
    RequestFields,
    ResponseFields,
)

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "BoundedConnection",
    "ConnectionPool",
    "EndlessAnswerError",
    "EventSplitter",
    "Forwarder",
    "ForwarderParts",
    "Handler",
    "Listener",
    "Reporter",
    "RequestFields",
    "RequestJournal",
    "ResponseFields",
    "OutgoingFields",
    "HeaderCodec",
    "HeldKind",
    "Lease",
    "MemoryBudget",
    "milliseconds",
    "refusal",
    "report_crash",
    "max_body_bytes",
]
