"""Schedule of heartbeats to the peers in use."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta

PING_INTERVAL = timedelta(milliseconds=200)
SILENCE = timedelta(seconds=2)
# Allows a second replacement connection before the peer is reported lost.
LOST_AFTER = timedelta(seconds=5)


@dataclass(slots=True, frozen=True)
class Probe:
    """Request a ping to a peer."""

    peer: str


@dataclass(slots=True, frozen=True)
class ReplaceConnection:
    """Request a new connection to a silent peer."""

    peer: str


@dataclass(slots=True, frozen=True)
class PeerLost:
    """Report that a peer stayed silent on replacement connections as well."""

    peer: str


HeartbeatAction = Probe | ReplaceConnection | PeerLost


@dataclass(slots=True)
class PeerTimes:
    """Hold the times of the last frame from, probe of and connection to a peer."""

    received_at: datetime
    probed_at: datetime
    connected_at: datetime


class Heartbeats:
    """Decide when to probe, reconnect to or give up the peers in use."""

    __slots__ = ("interval", "lost_after", "polled_at_", "silence", "times_by_peer_")

    def __init__(
        self,
        interval: timedelta = PING_INTERVAL,
        silence: timedelta = SILENCE,
        lost_after: timedelta = LOST_AFTER,
    ) -> None:
        self.interval = interval
        self.silence = silence
        self.lost_after = lost_after
        self.times_by_peer_: dict[str, PeerTimes] = {}
        self.polled_at_: datetime | None = None

    def record_activity(self, peer: str, now: datetime) -> None:
        """Record a frame from a peer."""
        times = self.times_by_peer_.get(peer)
        if times is not None:
            times.received_at = now

    def silent_for(self, peer: str, now: datetime) -> timedelta:
        """Return the time since the last frame of a peer; zero if it is not in use."""
        times = self.times_by_peer_.get(peer)
        return now - times.received_at if times is not None else timedelta(0)

    def poll(self, peers: Collection[str], now: datetime) -> list[HeartbeatAction]:
        """Return the actions that are due for the peers in use."""
        self._exclude_pause(now)
        for peer in self.times_by_peer_.keys() - set(peers):
            del self.times_by_peer_[peer]
        actions: list[HeartbeatAction] = []
        for peer in peers:
            actions.extend(self._poll_peer(peer, now))
        return actions

    def _poll_peer(self, peer: str, now: datetime) -> list[HeartbeatAction]:
        times = self.times_by_peer_.get(peer)
        if times is None:
            self.times_by_peer_[peer] = PeerTimes(now, now, now)
            return [Probe(peer)]
        if now - times.received_at >= self.lost_after:
            del self.times_by_peer_[peer]
            return [PeerLost(peer)]
        actions: list[HeartbeatAction] = []
        if now - max(times.received_at, times.connected_at) >= self.silence:
            times.connected_at = now
            times.probed_at = now - self.interval
            actions.append(ReplaceConnection(peer))
        # Data frames show that a peer is alive, so it needs no probes meanwhile.
        if now - max(times.probed_at, times.received_at) >= self.interval:
            times.probed_at = now
            actions.append(Probe(peer))
        return actions

    def _exclude_pause(self, now: datetime) -> None:
        # A paused process reads no frames, so the pause does not count as silence of
        # its peers.
        if self.polled_at_ is not None:
            pause = now - self.polled_at_ - self.interval
            if pause > timedelta(0):
                for times in self.times_by_peer_.values():
                    times.received_at += pause
        self.polled_at_ = now
