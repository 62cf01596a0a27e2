"""Forwarding of requests to upstreams over HTTP, without decisions."""

from ._bounded import BoundedConnection, EndlessAnswerError
from ._connection import ConnectionPool
from ._events import EventSplitter
from ._exchange import ForwarderParts, refusal
from ._forwarder import Beliefs, Forwarder
from ._ingress import Listener
from ._journal import Reporter, RequestJournal, milliseconds
from ._wire import HOP_HEADERS, RequestFields, ResponseFields, Stamp, Wire

__all__ = [
    "HOP_HEADERS",
    "Beliefs",
    "BoundedConnection",
    "ConnectionPool",
    "EndlessAnswerError",
    "EventSplitter",
    "Forwarder",
    "ForwarderParts",
    "Listener",
    "Reporter",
    "RequestFields",
    "RequestJournal",
    "ResponseFields",
    "Stamp",
    "Wire",
    "milliseconds",
    "refusal",
]
