"""Events of the transfer and orders to the engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from ..core import Event
from ._manifest import Manifest

ORIGIN = "origin"
MANIFEST_INDEX = -1


def source_kind(peer: str) -> str:
    """Return the metric label of a source."""
    return ORIGIN if peer == ORIGIN else "peer"


@dataclass(slots=True, frozen=True)
class ManifestReceived(Event):
    """Report a manifest that has passed `check_manifest`."""

    manifest: Manifest


@dataclass(slots=True, frozen=True)
class ChunksPresent(Event):
    """Report which chunks the engine holds for a version."""

    digest: str
    indices: list[int]


@dataclass(slots=True, frozen=True)
class ChunkEvent(Event):
    """Report how a chunk request ended."""

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
    """Report that a peer had no free upload slot or did not hold the chunk."""


@dataclass(slots=True, frozen=True)
class ChunkFailed(ChunkEvent):
    """Report that a source did not deliver a chunk."""


@dataclass(slots=True, frozen=True)
class ChunkMapReceived(Event):
    """Report the chunk map of an agent.

    `staged` tells whether its engine has staged the version; before that it stores
    no chunks.
    """

    member: str
    digest: str
    bitmap: int
    count: int
    staged: bool = True


@dataclass(slots=True, frozen=True)
class WeightsStatusReceived(Event):
    """Report the update states that a neighbour sent."""

    member: str
    digest: str
    entries: bytes


class OrderKind(StrEnum):
    """List the orders that an engine accepts."""

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
    """Report that the engine found chunks missing or corrupt, or took no order."""

    order: Order


@dataclass(slots=True, frozen=True)
class OrderUnknown(Event):
    """Report that the outcome of an order is not known."""

    order: Order
