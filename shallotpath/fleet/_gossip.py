"""Gossip datagrams between processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import FrameError
from ..replication import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    PeerAddress,
    decode_datagram,
    encode_message,
)
from ..settings import MAX_PORT
from ._reporter import LineReporter

GOSSIP_INTERVAL = timedelta(milliseconds=300)
# Up to this number of peers in the region, rounds keep the interval above. With more
# peers the interval grows, so that the message rate of a process does not grow with
# the fleet. Requests and changes are sent at once, outside the rounds.
PEERS_AT_FULL_RATE = 8
# Three such rounds fit in the age at which a peer's loads are discarded.
MAX_GOSSIP_INTERVAL = timedelta(milliseconds=650)
# Links between regions have little bandwidth and are billed. Two intervals fit in the
# age at which a peer's loads are discarded.
REMOTE_REGION_INTERVAL = timedelta(milliseconds=850)
# Each message to another region is passed on to all entries there, so with more entries
# in a region each of them sends less often. One interval fits in that age.
MAX_REMOTE_INTERVAL = timedelta(milliseconds=1700)


@dataclass(slots=True, frozen=True)
class Received:
    """Hold the encoded datagram and the address that it came from."""

    payload: bytes
    host: str
    port: int

    def is_from(self, peer: PeerAddress) -> bool:
        """Check whether a peer sent the datagram itself, not through a relay."""
        return (self.host, self.port) == (peer.host, peer.port)


MessageHandler = Callable[[Datagram, Received], None]


class GossipSocket(asyncio.DatagramProtocol):
    """Send messages to peers and receive theirs."""

    def __init__(self, on_message: MessageHandler, reporter: LineReporter) -> None:
        self.on_message = on_message
        self.reporter = reporter
        self.transport_: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport_ = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a message and pass it to the handler."""
        try:
            message = decode_datagram(data)
        except FrameError as error:
            self.reporter.count("datagrams_bad")
            self.reporter.event("bad_datagram", sender=addr[0], detail=error.message)
            return
        self.on_message(message, Received(data, *addr[:2]))

    def error_received(self, exc: OSError) -> None:
        """Count a datagram that could not be delivered."""
        self.reporter.count("datagrams_failed")

    def send(self, message: Datagram, peers: Iterable[PeerAddress]) -> None:
        """Encode a message and send it to peers."""
        payload = encode_message(message)
        if len(payload) > MAX_DATAGRAM_BYTES:
            self.reporter.count("datagrams_oversized")
            self.reporter.event("oversized_datagram", bytes=len(payload))
            return
        self.forward(payload, peers)

    def forward(self, payload: bytes, peers: Iterable[PeerAddress]) -> None:
        """Send a message that is already encoded to peers."""
        for peer in peers:
            # The transport takes the error for such a port as fatal and closes.
            if not 0 < peer.port <= MAX_PORT:
                self.reporter.count("datagrams_failed")
                continue
            self.transport_.sendto(payload, (peer.host, peer.port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport_ is not None:
            self.transport_.close()


def gossip_interval(region_peers: int) -> timedelta:
    """Return the time between gossip rounds for a number of peers in the region."""
    interval = GOSSIP_INTERVAL * max(1.0, region_peers / PEERS_AT_FULL_RATE)
    return min(interval, MAX_GOSSIP_INTERVAL)


def remote_interval(region_entries: int) -> timedelta:
    """Return the time between messages of an entry to other regions."""
    interval = REMOTE_REGION_INTERVAL * max(1.0, region_entries / PEERS_AT_FULL_RATE)
    return min(interval, MAX_REMOTE_INTERVAL)


def incarnation(now: datetime) -> int:
    """Return a number that is higher for a later start of the process."""
    return int(now.timestamp() * 1000)
