"""Work that each upstream holds, as far as one entry can know it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from ._engine_model import EngineLoad

# Entries in other regions are heard each 900 ms; older figures than two of these
# count no more.
PEER_AGE = timedelta(milliseconds=2000)
EXPIRY_INTERVAL = timedelta(milliseconds=100)
# Half a gossip interval of 300 ms: the mean age of a near entry's figures.
UNSEEN = timedelta(milliseconds=150)
# Engines report their state with a lag of some 200 ms; their VM publishes it each 300.
REPORT_AGE = timedelta(milliseconds=1500)


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Hold the work that one entry has at an upstream, as entries tell each other."""

    requests: int
    unread_tokens: int
    # Those of them that wait for their first token and let more urgent ones go first.
    yielding_requests: int = 0
    yielding_tokens: int = 0

    def __add__(self, other: Share) -> Share:
        """Return the work of both."""
        return Share(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.yielding_requests + other.yielding_requests,
            self.yielding_tokens + other.yielding_tokens,
        )

    def __mul__(self, times: int) -> Share:
        """Return the work of several entries that do the same."""
        return Share(
            self.requests * times,
            self.unread_tokens * times,
            self.yielding_requests * times,
            self.yielding_tokens * times,
        )


NO_WORK = Share(0, 0)
AfterSent = Callable[[str, Share], None]


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
    share: Share
    sent_at: datetime


@dataclass(slots=True)
class _PeerShares:
    heard_at: datetime
    shares_by_id: dict[str, Share]


@dataclass(slots=True)
class _Heard:
    heard_at: datetime
    report: EngineReport


class LoadBook:
    """Keep own requests, the peers' figures and the engines' reports."""

    __slots__ = (
        "after_sent",
        "expired_at_",
        "peers_by_id_",
        "peers_by_upstream_",
        "reports_by_address_",
        "sent_by_upstream_",
        "sharers",
        "upstreams_by_key_",
    )

    def __init__(self, after_sent: AfterSent | None = None) -> None:
        # Called with each request that goes to an upstream, to tell peers.
        self.after_sent = after_sent
        # Entries that prefer the same upstreams and do not tell of each request, this
        # one included.
        self.sharers = 1
        self.upstreams_by_key_: dict[str, str] = {}
        self.sent_by_upstream_: dict[str, dict[str, _Sent]] = {}
        self.peers_by_id_: dict[str, _PeerShares] = {}
        # Sums over the peers, so that a decision does not ask each peer about each
        # upstream.
        self.peers_by_upstream_: dict[str, Share] = {}
        self.expired_at_: datetime | None = None
        self.reports_by_address_: dict[str, _Heard] = {}

    def sent(
        self,
        key: str,
        upstream_id: str,
        prompt_tokens: int,
        now: datetime,
        *,
        yielding: bool = False,
    ) -> None:
        """Count a request that goes to an upstream."""
        share = (
            Share(1, prompt_tokens, 1, prompt_tokens)
            if yielding
            else Share(1, prompt_tokens)
        )
        self.upstreams_by_key_[key] = upstream_id
        self.sent_by_upstream_.setdefault(upstream_id, {})[key] = _Sent(share, now)
        if self.after_sent is not None:
            self.after_sent(upstream_id, share)

    def first_token(self, key: str) -> None:
        """Record that the prompt of a request has been read."""
        upstream_id = self.upstreams_by_key_.get(key)
        if upstream_id is not None:
            self.sent_by_upstream_[upstream_id][key].share = Share(1, 0)

    def ended(self, key: str) -> None:
        """Forget a request that left its upstream."""
        upstream_id = self.upstreams_by_key_.pop(key, None)
        if upstream_id is None:
            return
        sent = self.sent_by_upstream_[upstream_id]
        del sent[key]
        if not sent:
            del self.sent_by_upstream_[upstream_id]

    def peer_heard(
        self, peer: str, shares_by_id: Mapping[str, Share], now: datetime
    ) -> None:
        """Record the figures of another entry."""
        self._forget_peer(peer)
        self.peers_by_id_[peer] = _PeerShares(now, dict(shares_by_id))
        for upstream_id, share in shares_by_id.items():
            self._add_peers(upstream_id, share)

    def peer_placed(self, peer: str, upstream_id: str, share: Share) -> None:
        """Add a request that another entry has just sent to an upstream."""
        known = self.peers_by_id_.get(peer)
        if known is not None:
            shares = known.shares_by_id
            shares[upstream_id] = shares.get(upstream_id, NO_WORK) + share
            self._add_peers(upstream_id, share)

    def engine_heard(self, report: EngineReport, now: datetime) -> None:
        """Record the report of an engine."""
        self.reports_by_address_[report.address] = _Heard(now, report)

    def report(self, address: str, now: datetime) -> EngineReport | None:
        """Return the report of an engine if it is fresh."""
        heard = self.reports_by_address_.get(address)
        if heard is None or now - heard.heard_at > REPORT_AGE:
            return None
        return heard.report

    def own_shares(self) -> dict[str, Share]:
        """Return this entry's figures for its peers."""
        return {
            upstream_id: sum((each.share for each in sent.values()), NO_WORK)
            for upstream_id, sent in self.sent_by_upstream_.items()
        }

    def load(self, upstream_id: str, address: str, now: datetime) -> EngineLoad:
        """Return the work that an upstream is believed to hold."""
        own = self.sent_by_upstream_.get(upstream_id, {}).values()
        total = sum((sent.share for sent in own), NO_WORK)
        # What the others have sent since they were last heard is not known; they are
        # taken to have done what this entry did.
        unseen = (sent.share for sent in own if now - sent.sent_at < UNSEEN)
        total += sum(unseen, NO_WORK) * (self.sharers - 1)
        self._forget_silent_peers(now)
        total += self.peers_by_upstream_.get(upstream_id, NO_WORK)
        heard = self.reports_by_address_.get(address)
        requests, pace = total.requests, 1.0
        if heard is not None and now - heard.heard_at <= REPORT_AGE:
            # Entries that cannot be heard show only in the engine's own report.
            since = sum(sent.sent_at > heard.heard_at for sent in own)
            reported = heard.report.queued + heard.report.active + since
            requests, pace = max(requests, reported), max(1.0, heard.report.pace)
        return EngineLoad(
            requests,
            total.unread_tokens,
            pace,
            total.yielding_requests,
            total.yielding_tokens,
        )

    def _forget_silent_peers(self, now: datetime) -> None:
        if self.expired_at_ is not None and now - self.expired_at_ < EXPIRY_INTERVAL:
            return
        self.expired_at_ = now
        for peer, shares in list(self.peers_by_id_.items()):
            if now - shares.heard_at > PEER_AGE:
                self._forget_peer(peer)

    def _forget_peer(self, peer: str) -> None:
        known = self.peers_by_id_.pop(peer, None)
        if known is not None:
            for upstream_id, share in known.shares_by_id.items():
                self._add_peers(upstream_id, share * -1)

    def _add_peers(self, upstream_id: str, share: Share) -> None:
        total = self.peers_by_upstream_.get(upstream_id, NO_WORK) + share
        if total == NO_WORK:
            self.peers_by_upstream_.pop(upstream_id, None)
        else:
            self.peers_by_upstream_[upstream_id] = total
