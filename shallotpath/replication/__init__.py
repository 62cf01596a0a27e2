"""Replication of state from the store and between processes by gossip."""

from ._messages import (
    MAX_DATAGRAM_BYTES,
    AnnouncementsItem,
    ChunkItem,
    Datagram,
    GossipMessage,
    ListingPage,
    PartItem,
    PeerAddress,
    PlacementItem,
    RecordItem,
    RecordPage,
    SuspectItem,
    TopicItem,
    decode_datagram,
    decode_page,
    encode_message,
    pack_records,
    unpack_records,
)
from ._peers import PeerTable
from ._replica import KeyedRecord, KeyedReplica, ReplicaPage

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "ChunkItem",
    "Datagram",
    "KeyedRecord",
    "KeyedReplica",
    "AnnouncementsItem",
    "GossipMessage",
    "ListingPage",
    "PlacementItem",
    "PartItem",
    "PeerAddress",
    "PeerTable",
    "RecordItem",
    "RecordPage",
    "ReplicaPage",
    "SuspectItem",
    "TopicItem",
    "decode_datagram",
    "decode_page",
    "encode_message",
    "pack_records",
    "unpack_records",
]
