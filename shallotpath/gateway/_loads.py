"""Work that each upstream holds, as far as one entry can know it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from ._engine_model import EngineLoad

# Entries in other regions are heard each 900 ms; older figures than two of these
# count no more.
PEER_AGE = timedelta(milliseconds=2000)
# Half a gossip interval of 300 ms: the mean age of a near entry's figures.
UNSEEN = timedelta(milliseconds=150)
# Engines report their state with a lag of some 200 ms; their VM publishes it each 300.
REPORT_AGE = timedelta(milliseconds=1500)


@dataclass(slots=True, frozen=True)
class Share:
    """Hold the work that one entry has at an upstream."""

    requests: int
    unread_tokens: int


class EngineReport(msgspec.Struct, frozen=True, array_like=True):
    """Hold what an engine says of itself, relayed from its own VM to all entries."""

    address: str
    model: str
    version: int
    accepting: bool
    queued: int
    active: int
    pace: float


@dataclass(slots=True)
class _Sent:
    upstream_id: str
    unread_tokens: int
    sent_at: datetime


@dataclass(slots=True)
class _PeerShares:
    heard_at: datetime
    shares_by_id: Mapping[str, Share]


@dataclass(slots=True)
class _Heard:
    heard_at: datetime
    report: EngineReport


class LoadBook:
    """Keep own requests, the peers' figures and the engines' reports."""

    __slots__ = ("peers_by_id_", "reports_by_address_", "sent_by_key_", "sharers")

    def __init__(self) -> None:
        # Entries that prefer the same upstreams, this one included.
        self.sharers = 1
        self.sent_by_key_: dict[str, _Sent] = {}
        self.peers_by_id_: dict[str, _PeerShares] = {}
        self.reports_by_address_: dict[str, _Heard] = {}

    def sent(
        self, key: str, upstream_id: str, prompt_tokens: int, now: datetime
    ) -> None:
        """Count a request that goes to an upstream."""
        self.sent_by_key_[key] = _Sent(upstream_id, prompt_tokens, now)

    def first_token(self, key: str) -> None:
        """Note that the prompt of a request has been read."""
        sent = self.sent_by_key_.get(key)
        if sent is not None:
            sent.unread_tokens = 0

    def ended(self, key: str) -> None:
        """Forget a request that left its upstream."""
        self.sent_by_key_.pop(key, None)

    def peer_heard(
        self, peer: str, shares_by_id: Mapping[str, Share], now: datetime
    ) -> None:
        """Take the figures of another entry."""
        self.peers_by_id_[peer] = _PeerShares(now, shares_by_id)

    def engine_heard(self, report: EngineReport, now: datetime) -> None:
        """Take the report of an engine."""
        self.reports_by_address_[report.address] = _Heard(now, report)

    def report(self, address: str, now: datetime) -> EngineReport | None:
        """Return the report of an engine if it is fresh."""
        heard = self.reports_by_address_.get(address)
        if heard is None or now - heard.heard_at > REPORT_AGE:
            return None
        return heard.report

    def own_shares(self) -> dict[str, Share]:
        """Return this entry's figures for its peers."""
        totals: dict[str, Share] = {}
        for sent in self.sent_by_key_.values():
            known = totals.get(sent.upstream_id, Share(0, 0))
            totals[sent.upstream_id] = Share(
                known.requests + 1, known.unread_tokens + sent.unread_tokens
            )
        return totals

    def load(self, upstream_id: str, address: str, now: datetime) -> EngineLoad:
        """Return the work that an upstream is believed to hold."""
        own = [s for s in self.sent_by_key_.values() if s.upstream_id == upstream_id]
        requests, unread = len(own), sum(sent.unread_tokens for sent in own)
        # What the others have sent since they were last heard is not known; they are
        # taken to have done what this entry did.
        unseen = [sent for sent in own if now - sent.sent_at < UNSEEN]
        requests += len(unseen) * (self.sharers - 1)
        unread += sum(sent.unread_tokens for sent in unseen) * (self.sharers - 1)
        for shares in self._fresh_peers(now):
            share = shares.get(upstream_id)
            if share is not None:
                requests += share.requests
                unread += share.unread_tokens
        heard = self.reports_by_address_.get(address)
        if heard is None or now - heard.heard_at > REPORT_AGE:
            return EngineLoad(requests, unread)
        # Entries that cannot be heard show only in the engine's own report.
        since = sum(sent.sent_at > heard.heard_at for sent in own)
        reported = heard.report.queued + heard.report.active + since
        return EngineLoad(max(requests, reported), unread, max(1.0, heard.report.pace))

    def _fresh_peers(self, now: datetime) -> Iterable[Mapping[str, Share]]:
        for peer, shares in list(self.peers_by_id_.items()):
            if now - shares.heard_at <= PEER_AGE:
                yield shares.shares_by_id
            else:
                del self.peers_by_id_[peer]
