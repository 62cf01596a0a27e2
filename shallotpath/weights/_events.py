"""Events and orders that concern weights."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..core import Event
from ._manifest import Manifest

ORIGIN = "origin"
MANIFEST_INDEX = -1


def source_kind(peer: str) -> str:
    """Return the label of a source for counters."""
    return ORIGIN if peer == ORIGIN else "peer"


@dataclass(slots=True, frozen=True)
class ManifestReceived(Event):
    """Report a checked manifest."""

    manifest: Manifest


@dataclass(slots=True, frozen=True)
class ChunksPresent(Event):
    """Report which chunks the engine holds for a version."""

    digest: str
    indices: list[int]


@dataclass(slots=True, frozen=True)
class ChunkEvent(Event):
    """Report how the request of a chunk ended."""

    digest: str
    index: int
    peer: str


@dataclass(slots=True, frozen=True)
class ChunkStored(ChunkEvent):
    """Report that the engine stored a verified chunk."""


@dataclass(slots=True, frozen=True)
class ChunkCorrupt(ChunkEvent):
    """Report a chunk that does not match its digest."""


@dataclass(slots=True, frozen=True)
class ChunkRefused(ChunkEvent):
    """Report that a peer had no free upload slot or not that chunk."""


@dataclass(slots=True, frozen=True)
class ChunkFailed(ChunkEvent):
    """Report that a source did not deliver a chunk."""


@dataclass(slots=True, frozen=True)
class ChunkMapReceived(Event):
    """Report the chunk map of an agent; it stores chunks only once it is staged."""

    member: str
    digest: str
    bitmap: int
    count: int
    staged: bool = True


@dataclass(slots=True, frozen=True)
class WeightsStatusReceived(Event):
    """Report what an agent knows about the update of its service."""

    member: str
    digest: str
    entries: bytes


class OrderKind(StrEnum):
    """List the orders that an engine takes."""

    LOAD = "load"
    SWITCH = "switch"
    UNLOAD = "unload"


@dataclass(slots=True, frozen=True)
class Order:
    """Describe one order to the engine."""

    kind: OrderKind
    digest: str
    fencing: int


@dataclass(slots=True, frozen=True)
class OrderDone(Event):
    """Report that the engine carried out an order."""

    order: Order
    digest: str
    incarnation: str


@dataclass(slots=True, frozen=True)
class OrderFenced(Event):
    """Report that the engine has seen a newer fencing token."""

    order: Order


@dataclass(slots=True, frozen=True)
class OrderRejected(Event):
    """Report that the engine found the set incomplete or corrupt, or took no order."""

    order: Order


@dataclass(slots=True, frozen=True)
class OrderUnknown(Event):
    """Report that the outcome of an order is not known."""

    order: Order
