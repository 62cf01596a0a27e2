"""State that processes replicate from the store and from each other."""

from ._messages import (
    MAX_DATAGRAM_BYTES,
    ChunkItem,
    News,
    PeerAddress,
    RecordItem,
    RecordPage,
    ShareItem,
    SuspectItem,
    TopicItem,
    decode_news,
    decode_page,
    encode_message,
)
from ._peers import PeerTable
from ._replica import KeyedRecord, KeyedReplica

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ChunkItem",
    "KeyedRecord",
    "KeyedReplica",
    "News",
    "PeerAddress",
    "PeerTable",
    "RecordItem",
    "RecordPage",
    "ShareItem",
    "SuspectItem",
    "TopicItem",
    "decode_news",
    "decode_page",
    "encode_message",
]
