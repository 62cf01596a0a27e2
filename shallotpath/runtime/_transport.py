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
from typing import Protocol

import zmq

from ..core import FrameError, Message, decode_stamped, encode
from ._security import Security
from ._socket_reader import SocketReader

SEND_QUEUE_FRAMES = 1000
MAX_SOCKETS = 16_384
# Frames kept until the handshake is done; they are sent again if the peer turns
# out to use another accepted key.
MAX_UNCONFIRMED_FRAMES = 100
# Without exponential backoff, 900 dead peers cost 9,000 attempts a second.
RECONNECT_MS = 100
RECONNECT_MAX_MS = 5_000
ROUTED_PREFIX = "@"

Receiver = Callable[[str, Message], None]


class Stamper(Protocol):
    """Issue and observe the timestamps of a hybrid logical clock."""

    def tick(self) -> int:
        """Return a timestamp later than all earlier ones."""
        ...

    def observe(self, stamp: int) -> None:
        """Advance the clock past a timestamp that another process sent."""
        ...


class NullStamper:
    """Stamp all frames with 0."""

    __slots__ = ()

    def tick(self) -> int:
        """Return 0."""
        return 0

    def observe(self, stamp: int) -> None:
        """Ignore the timestamp."""


class Transport:
    """Send and receive frames; drop frames that do not decode."""

    __slots__ = (
        "address",
        "address_",
        "bad_frames_",
        "context_",
        "dealers_by_address_",
        "dropped_frames_",
        "received_at_by_peer_",
        "identity",
        "identity_counter_",
        "receive",
        "received_bytes_",
        "retired_by_address_",
        "router_",
        "security",
        "sent_bytes_",
        "stamper",
        "unconfirmed_frames_by_address_",
        "handshake_tasks_by_address_",
    )

    def __init__(
        self,
        identity: str,
        address: str,
        receive: Receiver,
        stamper: Stamper | None = None,
        security: Security | None = None,
    ) -> None:
        self.identity = identity
        self.address = address
        self.receive = receive
        self.stamper = stamper or NullStamper()
        self.security = security
        self.address_ = address
        self.context_: zmq.Context | None = None
        self.unconfirmed_frames_by_address_: dict[str, deque[bytes]] = {}
        self.handshake_tasks_by_address_: dict[str, asyncio.Task] = {}
        self.router_: SocketReader | None = None
        self.dealers_by_address_: dict[str, SocketReader] = {}
        self.retired_by_address_: dict[str, SocketReader] = {}
        self.identity_counter_ = count()
        self.received_at_by_peer_: dict[str, float] = {}
        self.bad_frames_ = 0
        self.dropped_frames_ = 0
        self.sent_bytes_ = 0
        self.received_bytes_ = 0

    async def start(self) -> None:
        """Bind the router; a port of 0 binds any free port."""
        if self.security is None:
            self.context_ = zmq.Context.instance()
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
            self.address.replace(":0", ":*") if self._binds_any_port() else self.address
        )
        self.address_ = router.getsockopt(zmq.LAST_ENDPOINT).decode().rstrip("\x00")
        self.router_ = SocketReader(router, self._deliver_routed)
        self.router_.start()

    async def stop(self) -> None:
        """Close all sockets."""
        tasks = list(self.handshake_tasks_by_address_.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.handshake_tasks_by_address_.clear()
        for address in list(self.retired_by_address_):
            self._close_retired(address)
        for address in list(self.dealers_by_address_):
            self.dealers_by_address_.pop(address).stop()
        if self.router_ is not None:
            self.router_.stop()
            self.router_ = None
            if self.security is not None:
                self.security.stop()

    def send(self, peer: str, message: Message) -> bool:
        """Queue a message and return whether the queue accepted it."""
        frame = encode(message, self.stamper.tick())
        if peer.startswith(ROUTED_PREFIX):
            reader, parts = self.router_, [bytes.fromhex(peer[1:]), frame]
        else:
            reader, parts = self._dealer(peer), [frame]
        try:
            reader.socket.send_multipart(parts, zmq.DONTWAIT)
        except zmq.ZMQError:
            self.dropped_frames_ += 1
            return False
        finally:
            reader.check()
        if peer in self.unconfirmed_frames_by_address_:
            self.unconfirmed_frames_by_address_[peer].append(frame)
        self.sent_bytes_ += len(frame)
        return True

    def reconnect(self, address: str) -> None:
        """Replace the connection to a peer that no longer answers."""
        self.disconnect(address)
        self._dealer(address)

    def connect_beside(self, address: str) -> None:
        """Open a new connection and read the old one until the new one delivers."""
        self._close_retired(address)
        self._discard_handshake(address)
        dealer = self.dealers_by_address_.pop(address, None)
        if dealer is not None:
            self.retired_by_address_[address] = dealer
        self._dealer(address)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer."""
        self._close_retired(address)
        dealer = self.dealers_by_address_.pop(address, None)
        if dealer is not None:
            dealer.stop()
        self._discard_handshake(address)
        self.received_at_by_peer_.pop(address, None)

    def _handshake_done(self, address: str, succeeded: bool) -> None:
        self.handshake_tasks_by_address_.pop(address, None)
        frames = self.unconfirmed_frames_by_address_.pop(address, deque())
        if succeeded:
            return
        self.disconnect(address)
        reader = self._dealer(address)
        for frame in frames:
            with contextlib.suppress(zmq.ZMQError):
                reader.socket.send(frame, zmq.DONTWAIT)
            self.unconfirmed_frames_by_address_[address].append(frame)

    def _discard_handshake(self, address: str) -> None:
        task = self.handshake_tasks_by_address_.pop(address, None)
        if task is not None:
            task.cancel()
        self.unconfirmed_frames_by_address_.pop(address, None)

    def _close_retired(self, address: str) -> None:
        retired = self.retired_by_address_.pop(address, None)
        if retired is not None:
            retired.stop()

    def _binds_any_port(self) -> bool:
        return self.address.endswith(":0")

    def _dealer(self, address: str) -> SocketReader:
        reader = self.dealers_by_address_.get(address)
        if reader is None:
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
            reader = SocketReader(dealer, self._deliver_from(address, dealer))
            self.dealers_by_address_[address] = reader
            reader.start()
        return reader

    def _secure(self, address: str, dealer: zmq.Socket) -> None:
        self.security.secure_client(dealer, address)
        if self.security.rotates:
            self.unconfirmed_frames_by_address_[address] = deque(
                maxlen=MAX_UNCONFIRMED_FRAMES
            )
            self.handshake_tasks_by_address_[address] = asyncio.create_task(
                self.security.watch(dealer, address, self._handshake_done)
            )

    def _deliver_from(
        self, address: str, dealer: zmq.Socket
    ) -> Callable[[list[bytes]], None]:
        def deliver(parts: list[bytes]) -> None:
            current = self.dealers_by_address_.get(address)
            if current is not None and current.socket is dealer:
                self._close_retired(address)
            self._deliver(address, parts[-1])

        return deliver

    def _deliver_routed(self, parts: list[bytes]) -> None:
        if len(parts) == 2:
            self._deliver(f"{ROUTED_PREFIX}{parts[0].hex()}", parts[1])
        else:
            self.bad_frames_ += 1

    def _deliver(self, peer: str, frame: bytes) -> None:
        self.received_bytes_ += len(frame)
        try:
            stamp, message = decode_stamped(frame)
        except FrameError:
            self.bad_frames_ += 1
            return
        self.stamper.observe(stamp)
        self.received_at_by_peer_[peer] = asyncio.get_running_loop().time()
        self.receive(peer, message)


def peer_identity(peer: str) -> str:
    """Return the routing id behind a peer name of an incoming connection."""
    return bytes.fromhex(peer.removeprefix(ROUTED_PREFIX)).decode(errors="replace")
