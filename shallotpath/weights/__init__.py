"""Distribute model weights: manifests, transfer plan, engine orders, rolling update."""

from ._bucket import TokenBucket
from ._events import (
    MANIFEST_INDEX,
    ORIGIN,
    ChunkCorrupt,
    ChunkFailed,
    ChunkMapReceived,
    ChunkRefused,
    ChunksPresent,
    ChunkStored,
    ManifestReceived,
    Order,
    OrderDone,
    OrderFenced,
    OrderKind,
    OrderRejected,
    OrderUnknown,
    WeightsStatusReceived,
)
from ._limits import TransferLimits
from ._manifest import (
    Manifest,
    ManifestError,
    check_manifest,
    decode_manifest,
    encode_manifest,
)
from ._orders import EngineOrders
from ._plan import TransferPlan
from ._requests import Request
from ._rollout import Permission, Rollout

__all__ = [
    "MANIFEST_INDEX",
    "ORIGIN",
    "ChunkCorrupt",
    "ChunkFailed",
    "ChunkRefused",
    "ChunkStored",
    "ChunksPresent",
    "EngineOrders",
    "Manifest",
    "ManifestError",
    "ManifestReceived",
    "ChunkMapReceived",
    "Order",
    "OrderDone",
    "OrderFenced",
    "OrderKind",
    "OrderRejected",
    "OrderUnknown",
    "Permission",
    "Request",
    "Rollout",
    "WeightsStatusReceived",
    "TokenBucket",
    "TransferLimits",
    "TransferPlan",
    "check_manifest",
    "decode_manifest",
    "encode_manifest",
]
