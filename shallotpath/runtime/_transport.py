"""ZeroMQ transport between the project's own processes.

Each process binds one ROUTER socket and connects one DEALER socket per peer
address. The name of a peer is its address for connections made here, and `@`
followed by the routing id for connections made by the peer.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from itertools import count

import zmq
import zmq.asyncio

from ..core import FrameError, Message, decode, encode
from ._security import Security

SEND_QUEUE_FRAMES = 1000
MAX_SOCKETS = 16_384
# Frames that are sent again if the peer turns out to use another accepted key.
MAX_UNCONFIRMED_FRAMES = 100
# Without a delay that grows, 900 dead peers cost 9,000 attempts a second.
RECONNECT_MS = 100
RECONNECT_MAX_MS = 5_000
ROUTED_PREFIX = "@"

Receiver = Callable[[str, Message], None]


class Transport:
    """Send and receive frames; drop frames that do not decode."""

    __slots__ = (
        "address",
        "address_",
        "bad_frames_",
        "context_",
        "dealers_by_address_",
        "dropped_frames_",
        "heard_at_by_peer_",
        "identity",
        "identity_counter_",
        "receive",
        "received_bytes_",
        "router_",
        "security",
        "sent_bytes_",
        "tasks_by_address_",
        "unconfirmed_by_address_",
    )

    def __init__(
        self,
        identity: str,
        address: str,
        receive: Receiver,
        security: Security | None = None,
    ) -> None:
        self.identity = identity
        self.address = address
        self.receive = receive
        self.security = security
        self.address_ = address
        self.context_: zmq.asyncio.Context | None = None
        self.unconfirmed_by_address_: dict[str, deque[bytes]] = {}
        self.router_: zmq.asyncio.Socket | None = None
        self.dealers_by_address_: dict[str, zmq.asyncio.Socket] = {}
        self.tasks_by_address_: dict[str, asyncio.Task] = {}
        self.identity_counter_ = count()
        self.heard_at_by_peer_: dict[str, float] = {}
        self.bad_frames_ = 0
        self.dropped_frames_ = 0
        self.sent_bytes_ = 0
        self.received_bytes_ = 0

    async def start(self) -> None:
        """Bind the router; a port of 0 binds any free port."""
        if self.security is None:
            self.context_ = zmq.asyncio.Context.instance()
        else:
            self.context_ = self.security.start()
        # The default of 1023 is too low for an entry with 900 upstreams.
        self.context_.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        router = self.context_.socket(zmq.ROUTER)
        if self.security is not None:
            self.security.secure_server(router)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        router.bind(
            self.address.replace(":0", ":*") if self._any_port() else self.address
        )
        self.address_ = router.getsockopt(zmq.LAST_ENDPOINT).decode().rstrip("\x00")
        self.router_ = router
        self.tasks_by_address_[""] = asyncio.create_task(self._read_router(router))

    async def stop(self) -> None:
        """Close all sockets."""
        for task in self.tasks_by_address_.values():
            task.cancel()
        await asyncio.gather(*self.tasks_by_address_.values(), return_exceptions=True)
        self.tasks_by_address_.clear()
        for address in list(self.dealers_by_address_):
            self.dealers_by_address_.pop(address).close(0)
        if self.router_ is not None:
            stopped = self.router_.closed
            self.router_.close(0)
            if self.security is not None and not stopped:
                self.security.stop()

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message; tell whether the queue took it."""
        frame = encode(message)
        try:
            if peer.startswith(ROUTED_PREFIX):
                parts = [bytes.fromhex(peer[1:]), frame]
                zmq.Socket.send_multipart(self.router_, parts, zmq.DONTWAIT)
            else:
                zmq.Socket.send(self._dealer(peer), frame, zmq.DONTWAIT)
                if peer in self.unconfirmed_by_address_:
                    self.unconfirmed_by_address_[peer].append(frame)
        except zmq.ZMQError:
            self.dropped_frames_ += 1
            return False
        self.sent_bytes_ += len(frame)
        return True

    def reconnect(self, address: str) -> None:
        """Replace the connection to a peer that has gone silent."""
        self.disconnect(address)
        self._dealer(address)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer."""
        dealer = self.dealers_by_address_.pop(address, None)
        if dealer is not None:
            self.tasks_by_address_.pop(address).cancel()
            watcher = self.tasks_by_address_.pop(f"watch {address}", None)
            if watcher is not None:
                watcher.cancel()
            dealer.close(0)
        self.heard_at_by_peer_.pop(address, None)
        self.unconfirmed_by_address_.pop(address, None)

    def _handshake_done(self, address: str, succeeded: bool) -> None:
        self.tasks_by_address_.pop(f"watch {address}", None)
        frames = self.unconfirmed_by_address_.pop(address, deque())
        if succeeded:
            return
        self.reconnect(address)
        for frame in frames:
            with contextlib.suppress(zmq.ZMQError):
                zmq.Socket.send(self.dealers_by_address_[address], frame, zmq.DONTWAIT)
            self.unconfirmed_by_address_[address].append(frame)

    def _any_port(self) -> bool:
        return self.address.endswith(":0")

    def _dealer(self, address: str) -> zmq.asyncio.Socket:
        dealer = self.dealers_by_address_.get(address)
        if dealer is None:
            dealer = self.context_.socket(zmq.DEALER)
            dealer.setsockopt(zmq.LINGER, 0)
            dealer.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
            # A routing id is used once, so that frames of a replaced
            # connection cannot reach its successor.
            identity = f"{self.identity}/{next(self.identity_counter_)}"
            dealer.setsockopt(zmq.IDENTITY, identity.encode())
            dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
            dealer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            if self.security is not None:
                self._secure(address, dealer)
            dealer.connect(address)
            self.dealers_by_address_[address] = dealer
            self.tasks_by_address_[address] = asyncio.create_task(
                self._read_dealer(address, dealer)
            )
        return dealer

    def _secure(self, address: str, dealer: zmq.asyncio.Socket) -> None:
        self.security.secure_client(dealer, address)
        if self.security.rotates:
            self.unconfirmed_by_address_[address] = deque(maxlen=MAX_UNCONFIRMED_FRAMES)
            self.tasks_by_address_[f"watch {address}"] = asyncio.create_task(
                self.security.watch(dealer, address, self._handshake_done)
            )

    async def _read_router(self, router: zmq.asyncio.Socket) -> None:
        while True:
            parts = await router.recv_multipart()
            if len(parts) == 2:
                self._deliver(f"{ROUTED_PREFIX}{parts[0].hex()}", parts[1])
            else:
                self.bad_frames_ += 1

    async def _read_dealer(self, address: str, dealer: zmq.asyncio.Socket) -> None:
        with contextlib.suppress(zmq.ZMQError):
            while True:
                self._deliver(address, await dealer.recv())

    def _deliver(self, peer: str, frame: bytes) -> None:
        self.received_bytes_ += len(frame)
        try:
            message = decode(frame)
        except FrameError:
            self.bad_frames_ += 1
            return
        self.heard_at_by_peer_[peer] = asyncio.get_running_loop().time()
        self.receive(peer, message)


def peer_identity(peer: str) -> str:
    """Return the routing id behind a peer name of an incoming connection."""
    return bytes.fromhex(peer.removeprefix(ROUTED_PREFIX)).decode(errors="replace")
