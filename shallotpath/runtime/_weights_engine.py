"""HTTP client of the engine for its state, weights and orders."""

from __future__ import annotations

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..core import EngineObserved, Event
from ..webclient import read_body, read_json
from ..weights import (
    Manifest,
    Order,
    OrderDone,
    OrderFenced,
    OrderRejected,
    OrderUnknown,
    encode_manifest,
)

STATE_TIMEOUT_S = 2.0
CHUNK_TIMEOUT_S = 10.0
ORDER_TIMEOUT_S = 20.0
# Largest state, list of chunks, or answer to an order.
MAX_STATE_BYTES = 1024 * 1024
STATUS_OK = 200
STATUS_CONFLICT = 409
NETWORK_ERRORS = (TimeoutError, ClientError, OSError)


class EngineWeightsClient:
    """Call the engine; return `None` or `False` when it does not answer."""

    __slots__ = ("session", "url")

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def state(self) -> EngineObserved | None:
        """Read the engine's state."""
        try:
            async with self.session.get(
                f"{self.url}/state",
                timeout=ClientTimeout(STATE_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status != STATUS_OK:
                    return None
                state = await read_json(response, MAX_STATE_BYTES)
        except NETWORK_ERRORS:
            return None
        return EngineObserved(
            state["incarnation"],
            state["digest"],
            state["cold"],
            state["running"],
            state["held_bytes"],
            state["memory_bytes"],
            state["fencing"],
            state["checks_fencing"],
        )

    async def stage(self, digest: str, manifest: Manifest) -> list[int] | None:
        """Announce a version and return the chunks that the engine already has."""
        try:
            async with self.session.put(
                f"{self.url}/weights/{digest}",
                data=encode_manifest(manifest),
                headers={"Content-Type": "application/json"},
                timeout=ClientTimeout(CHUNK_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status != STATUS_OK:
                    return None
                return (await read_json(response, MAX_STATE_BYTES))["present"]
        except NETWORK_ERRORS:
            return None

    async def put(self, digest: str, index: int, payload: bytes) -> bool:
        """Store one chunk."""
        try:
            async with self.session.put(
                f"{self.url}/weights/{digest}/{index}",
                data=payload,
                timeout=ClientTimeout(CHUNK_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return response.status == STATUS_OK
        except NETWORK_ERRORS:
            return False

    async def get(self, digest: str, index: int, *, max_bytes: int) -> bytes | None:
        """Read one chunk."""
        try:
            async with self.session.get(
                f"{self.url}/weights/{digest}/{index}",
                timeout=ClientTimeout(CHUNK_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status != STATUS_OK:
                    return None
                return await read_body(response, max_bytes)
        except NETWORK_ERRORS:
            return None

    async def order(self, order: Order) -> Event:
        """Send an order and return its outcome."""
        body = {
            "fencing": order.fencing,
            "order": order.kind.value,
            "digest": order.digest,
        }
        try:
            async with self.session.post(
                f"{self.url}/orders",
                json=body,
                timeout=ClientTimeout(ORDER_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status == STATUS_OK:
                    answer = await read_json(response, MAX_STATE_BYTES)
                    return OrderDone(order, answer["digest"], answer["incarnation"])
                if response.status == STATUS_CONFLICT:
                    return OrderFenced(order)
                return OrderRejected(order)
        except NETWORK_ERRORS:
            return OrderUnknown(order)
