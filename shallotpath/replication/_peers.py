"""Peers that a process has heard from; number of entries that share the limits."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ._messages import GossipMessage, PeerAddress

# Peers gossip every 300 ms; one that misses ten messages does not count as live.
SILENT_AFTER = timedelta(seconds=3)
# An entry that stopped gossiping may still be sending requests on the other side of a
# network partition, so it keeps its part of the limits for a retry window of 10 s.
ENTRY_COUNTED_FOR = timedelta(seconds=12)
# Three gossip intervals: delayed messages of the previous incarnation have arrived
# by then.
RESTART_SILENCE = timedelta(seconds=1)
FORGOTTEN_AFTER = timedelta(seconds=60)
# Keeps messages small; random samples spread all addresses over a few rounds.
ADDRESSES_PER_MESSAGE = 4


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    incarnation: int = 0
    sequence: int = 0
    domain: str = ""
    received_at: datetime | None = None
    # When another peer last reported to have heard from this one.
    reported_at: datetime | None = None
    leaving: bool = False

    def seen_since(self, start: datetime) -> bool:
        """Check whether this peer was heard or reported since a time."""
        times = (self.received_at, self.reported_at)
        return any(at is not None and at >= start for at in times)


class PeerTable:
    """Track the peers of a process and when each was last heard from."""

    __slots__ = ("own", "peers_by_id_", "random")

    def __init__(self, own: PeerAddress, random: Random) -> None:
        self.own = own
        self.random = random
        self.peers_by_id_: dict[str, _Peer] = {}

    def learn(self, address: PeerAddress) -> bool:
        """Record an address from the store or a peer; return whether it is new."""
        if address.id == self.own.id:
            return False
        known = self.peers_by_id_.get(address.id)
        if known is None:
            self.peers_by_id_[address.id] = _Peer(address)
            return True
        if known.received_at is None and known.address != address:
            known.address = address
        return False

    def knows_incarnation(self, message: GossipMessage) -> bool:
        """Check whether the sender's current incarnation was heard from before."""
        peer = self.peers_by_id_.get(message.sender.id)
        if peer is None or peer.received_at is None:
            return False
        return peer.incarnation == message.incarnation

    def update(self, message: GossipMessage, now: datetime) -> bool:
        """Apply a message; return whether it is newer than all earlier ones."""
        if message.sender.id == self.own.id:
            return False
        peer = self.peers_by_id_.setdefault(message.sender.id, _Peer(message.sender))
        if not self._is_newer(peer, message, now):
            return False
        peer.incarnation, peer.sequence = message.incarnation, message.sequence
        peer.address = message.sender
        peer.domain = message.domain
        peer.received_at = now
        peer.leaving = message.leaving
        for address in message.peers:
            self.learn(address)
            if address.id != self.own.id:
                self.peers_by_id_[address.id].reported_at = now
        return True

    @staticmethod
    def _is_newer(peer: _Peer, message: GossipMessage, now: datetime) -> bool:
        if message.incarnation == peer.incarnation:
            return message.sequence > peer.sequence
        # The wall clock, which numbers incarnations, may have gone back between two
        # starts of a process, so a lower number is accepted after a silence.
        silent = peer.received_at is None or now - peer.received_at > RESTART_SILENCE
        return message.incarnation > peer.incarnation or silent

    def tick(self, now: datetime) -> None:
        """Remove peers that have been silent for longer than `FORGOTTEN_AFTER`."""
        for peer_id, peer in list(self.peers_by_id_.items()):
            if peer.received_at and not peer.seen_since(now - FORGOTTEN_AFTER):
                del self.peers_by_id_[peer_id]

    def entries(self, now: datetime) -> int:
        """Return the number of entries that may send requests, including this one."""
        return len(self.active_entries(now)) + (not self.own.engine)

    def active_entries(self, now: datetime) -> list[PeerAddress]:
        """Return the other entries that may send requests.

        An entry that only other peers hear counts too, as it may send requests to the
        same upstreams.
        """
        return [
            peer.address
            for peer in self.peers_by_id_.values()
            if not peer.address.engine and peer.seen_since(now - ENTRY_COUNTED_FOR)
        ]

    def live(self, now: datetime) -> list[PeerAddress]:
        """Return the addresses of peers heard from within `SILENT_AFTER`."""
        return [
            peer.address
            for peer in self.peers_by_id_.values()
            if peer.received_at is not None and now - peer.received_at <= SILENT_AFTER
        ]

    def domain(self, peer_id: str) -> str:
        """Return the failure domain of a peer, or an empty string if unknown."""
        peer = self.peers_by_id_.get(peer_id)
        return peer.domain if peer else ""

    def address(self, peer_id: str) -> PeerAddress | None:
        """Return the address of a peer, or `None` if unknown."""
        peer = self.peers_by_id_.get(peer_id)
        return peer.address if peer else None

    def all(self) -> list[PeerAddress]:
        """Return the addresses of all peers."""
        return [peer.address for peer in self.peers_by_id_.values()]

    def unseen(self) -> list[PeerAddress]:
        """Return the addresses of peers that were never heard from."""
        return [
            peer.address
            for peer in self.peers_by_id_.values()
            if peer.received_at is None
        ]

    def sample(self, now: datetime) -> list[PeerAddress]:
        """Return a random sample of live peers to include in a message."""
        known = self.live(now)
        return self.random.sample(known, min(ADDRESSES_PER_MESSAGE, len(known)))
