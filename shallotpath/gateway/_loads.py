"""Work that each upstream holds, as far as one entry can know it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from ._engine_model import EngineLoad

# Entries in other regions are heard each 900 ms; older figures than two of these
# count no more.
MAX_PEER_AGE = timedelta(milliseconds=2000)
EXPIRY_INTERVAL = timedelta(milliseconds=100)
# Half a gossip interval of 300 ms: the mean age of a near entry's figures.
MEAN_PEER_DELAY = timedelta(milliseconds=150)
# Engines report their state with a lag of some 200 ms; their VM publishes it each 300.
MAX_REPORT_AGE = timedelta(milliseconds=1500)


class EntryLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold the work that one entry has at an upstream, as entries tell each other."""

    requests: int
    unread_tokens: int
    # Those of them that wait for their first token and let more urgent ones go first.
    yielding_requests: int = 0
    yielding_tokens: int = 0

    def __add__(self, other: EntryLoad) -> EntryLoad:
        """Return the work of both."""
        return EntryLoad(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.yielding_requests + other.yielding_requests,
            self.yielding_tokens + other.yielding_tokens,
        )

    def __mul__(self, factor: int) -> EntryLoad:
        """Return the work of several entries that do the same."""
        return EntryLoad(
            self.requests * factor,
            self.unread_tokens * factor,
            self.yielding_requests * factor,
            self.yielding_tokens * factor,
        )


NO_LOAD = EntryLoad(0, 0)
SentCallback = Callable[[str, EntryLoad], None]


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
class _SentRequest:
    share: EntryLoad
    sent_at: datetime


@dataclass(slots=True)
class _PeerLoads:
    received_at: datetime
    shares_by_id: dict[str, EntryLoad]


@dataclass(slots=True)
class _ReceivedReport:
    received_at: datetime
    report: EngineReport


class LoadTracker:
    """Keep own requests, the peers' figures and the engines' reports."""

    __slots__ = (
        "on_sent",
        "last_expiry_at_",
        "peers_by_id_",
        "peer_loads_by_upstream_",
        "reports_by_address_",
        "sent_by_upstream_",
        "entry_count",
        "upstream_ids_by_key_",
    )

    def __init__(self, on_sent: SentCallback | None = None) -> None:
        # Called with each request that goes to an upstream, to tell peers.
        self.on_sent = on_sent
        # Entries that prefer the same upstreams and do not tell of each request, this
        # one included.
        self.entry_count = 1
        self.upstream_ids_by_key_: dict[str, str] = {}
        self.sent_by_upstream_: dict[str, dict[str, _SentRequest]] = {}
        self.peers_by_id_: dict[str, _PeerLoads] = {}
        # Sums over the peers, so that a decision does not ask each peer about each
        # upstream.
        self.peer_loads_by_upstream_: dict[str, EntryLoad] = {}
        self.last_expiry_at_: datetime | None = None
        self.reports_by_address_: dict[str, _ReceivedReport] = {}

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
            EntryLoad(1, prompt_tokens, 1, prompt_tokens)
            if yielding
            else EntryLoad(1, prompt_tokens)
        )
        self.upstream_ids_by_key_[key] = upstream_id
        self.sent_by_upstream_.setdefault(upstream_id, {})[key] = _SentRequest(
            share, now
        )
        if self.on_sent is not None:
            self.on_sent(upstream_id, share)

    def first_token(self, key: str) -> None:
        """Record that the prompt of a request has been read."""
        upstream_id = self.upstream_ids_by_key_.get(key)
        if upstream_id is not None:
            self.sent_by_upstream_[upstream_id][key].share = EntryLoad(1, 0)

    def ended(self, key: str) -> None:
        """Forget a request that left its upstream."""
        upstream_id = self.upstream_ids_by_key_.pop(key, None)
        if upstream_id is None:
            return
        sent = self.sent_by_upstream_[upstream_id]
        del sent[key]
        if not sent:
            del self.sent_by_upstream_[upstream_id]

    def update_peer_loads(
        self, peer: str, shares_by_id: Mapping[str, EntryLoad], now: datetime
    ) -> None:
        """Record the figures of another entry."""
        self._remove_peer(peer)
        self.peers_by_id_[peer] = _PeerLoads(now, dict(shares_by_id))
        for upstream_id, share in shares_by_id.items():
            self._add_peer_load(upstream_id, share)

    def add_peer_placement(self, peer: str, upstream_id: str, share: EntryLoad) -> None:
        """Add a request that another entry has just sent to an upstream."""
        known = self.peers_by_id_.get(peer)
        if known is not None:
            shares = known.shares_by_id
            shares[upstream_id] = shares.get(upstream_id, NO_LOAD) + share
            self._add_peer_load(upstream_id, share)

    def update_engine_report(self, report: EngineReport, now: datetime) -> None:
        """Take the report of an engine."""
        self.reports_by_address_[report.address] = _ReceivedReport(now, report)

    def report(self, address: str, now: datetime) -> EngineReport | None:
        """Return the report of an engine if it is fresh."""
        received = self.reports_by_address_.get(address)
        if received is None or now - received.received_at > MAX_REPORT_AGE:
            return None
        return received.report

    def own_loads(self) -> dict[str, EntryLoad]:
        """Return this entry's figures for its peers."""
        return {
            upstream_id: sum((request.share for request in sent.values()), NO_LOAD)
            for upstream_id, sent in self.sent_by_upstream_.items()
        }

    def load(self, upstream_id: str, address: str, now: datetime) -> EngineLoad:
        """Return the work that an upstream is believed to hold."""
        own = self.sent_by_upstream_.get(upstream_id, {}).values()
        total = sum((sent.share for sent in own), NO_LOAD)
        # What the others have sent since they were last heard is not known; they are
        # taken to have done what this entry did.
        recent = (sent.share for sent in own if now - sent.sent_at < MEAN_PEER_DELAY)
        total += sum(recent, NO_LOAD) * (self.entry_count - 1)
        self._expire_peers(now)
        total += self.peer_loads_by_upstream_.get(upstream_id, NO_LOAD)
        received = self.reports_by_address_.get(address)
        requests, pace = total.requests, 1.0
        if received is not None and now - received.received_at <= MAX_REPORT_AGE:
            # Entries that cannot be heard show only in the engine's own report.
            sent_later = sum(sent.sent_at > received.received_at for sent in own)
            reported = received.report.queued + received.report.active + sent_later
            requests, pace = max(requests, reported), max(1.0, received.report.pace)
        return EngineLoad(
            requests,
            total.unread_tokens,
            pace,
            total.yielding_requests,
            total.yielding_tokens,
        )

    def _expire_peers(self, now: datetime) -> None:
        if (
            self.last_expiry_at_ is not None
            and now - self.last_expiry_at_ < EXPIRY_INTERVAL
        ):
            return
        self.last_expiry_at_ = now
        for peer, shares in list(self.peers_by_id_.items()):
            if now - shares.received_at > MAX_PEER_AGE:
                self._remove_peer(peer)

    def _remove_peer(self, peer: str) -> None:
        known = self.peers_by_id_.pop(peer, None)
        if known is not None:
            for upstream_id, share in known.shares_by_id.items():
                self._add_peer_load(upstream_id, share * -1)

    def _add_peer_load(self, upstream_id: str, share: EntryLoad) -> None:
        total = self.peer_loads_by_upstream_.get(upstream_id, NO_LOAD) + share
        if total == NO_LOAD:
            self.peer_loads_by_upstream_.pop(upstream_id, None)
        else:
            self.peer_loads_by_upstream_[upstream_id] = total
