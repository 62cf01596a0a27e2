"""Peers that a process has heard, and how many entries share the limits."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from ._messages import News, PeerAddress

# Ten gossip intervals of 300 ms.
SILENT_AFTER = timedelta(seconds=3)
# An entry that fell silent may still be sending behind a cut, so it keeps its part
# of the limits for a retry window of 10 s.
COUNTED_FOR = timedelta(seconds=12)
# Three gossip intervals: late messages of an earlier start have arrived by then.
RESTART_SILENCE = timedelta(seconds=1)
FORGOTTEN_AFTER = timedelta(seconds=60)
# Addresses that one message passes on; over a few rounds all are passed on.
ADDRESSES_PER_MESSAGE = 4


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    incarnation: int = 0
    sequence: int = 0
    domain: str = ""
    heard_at: datetime | None = None
    leaving: bool = False


class PeerTable:
    """Hold the peers of a process by id."""

    __slots__ = ("own", "peers_by_id_", "random")

    def __init__(self, own: PeerAddress, random: Random) -> None:
        self.own = own
        self.random = random
        self.peers_by_id_: dict[str, _Peer] = {}

    def learn(self, address: PeerAddress) -> bool:
        """Record an address from the store or a peer and return whether it is new."""
        if address.id == self.own.id:
            return False
        known = self.peers_by_id_.get(address.id)
        if known is None:
            self.peers_by_id_[address.id] = _Peer(address)
            return True
        if known.heard_at is None and known.address != address:
            known.address = address
        return False

    def has_heard(self, news: News) -> bool:
        """Check whether this start of a peer has been heard before."""
        peer = self.peers_by_id_.get(news.sender.id)
        if peer is None or peer.heard_at is None:
            return False
        return peer.incarnation == news.incarnation

    def hear(self, news: News, now: datetime) -> bool:
        """Record a message and return whether it is newer than all before."""
        if news.sender.id == self.own.id:
            return False
        peer = self.peers_by_id_.setdefault(news.sender.id, _Peer(news.sender))
        if not self._newer(peer, news, now):
            return False
        peer.incarnation, peer.sequence = news.incarnation, news.sequence
        peer.address = news.sender
        peer.domain = news.domain
        peer.heard_at = now
        peer.leaving = news.leaving
        for address in news.peers:
            self.learn(address)
        return True

    @staticmethod
    def _newer(peer: _Peer, news: News, now: datetime) -> bool:
        if news.incarnation == peer.incarnation:
            return news.sequence > peer.sequence
        # The time of day may have jumped back between two starts of a process.
        silent = peer.heard_at is None or now - peer.heard_at > RESTART_SILENCE
        return news.incarnation > peer.incarnation or silent

    def tick(self, now: datetime) -> None:
        """Forget peers that have been silent for long."""
        for peer_id, peer in list(self.peers_by_id_.items()):
            if peer.heard_at and now - peer.heard_at > FORGOTTEN_AFTER:
                del self.peers_by_id_[peer_id]

    def entries(self, now: datetime) -> int:
        """Return the number of entries that may be sending, this one included."""
        others = sum(
            not peer.address.engine
            and peer.heard_at is not None
            and now - peer.heard_at <= COUNTED_FOR
            for peer in self.peers_by_id_.values()
        )
        return others + (not self.own.engine)

    def live(self, now: datetime) -> list[PeerAddress]:
        """Return the peers that were heard just now."""
        return [
            peer.address
            for peer in self.peers_by_id_.values()
            if peer.heard_at is not None and now - peer.heard_at <= SILENT_AFTER
        ]

    def domain(self, peer_id: str) -> str:
        """Return the failure domain of a peer."""
        peer = self.peers_by_id_.get(peer_id)
        return peer.domain if peer else ""

    def address(self, peer_id: str) -> PeerAddress | None:
        """Return the address of a peer."""
        peer = self.peers_by_id_.get(peer_id)
        return peer.address if peer else None

    def all(self) -> list[PeerAddress]:
        """Return the addresses of all peers."""
        return [peer.address for peer in self.peers_by_id_.values()]

    def unheard(self) -> list[PeerAddress]:
        """Return the addresses of peers that were never heard."""
        return [
            peer.address for peer in self.peers_by_id_.values() if peer.heard_at is None
        ]

    def sample(self) -> list[PeerAddress]:
        """Return some addresses to pass on."""
        known = self.all()
        return self.random.sample(known, min(ADDRESSES_PER_MESSAGE, len(known)))
