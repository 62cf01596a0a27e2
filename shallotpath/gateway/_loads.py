"""Load of each upstream, as far as one entry knows it."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import count

import msgspec

from ..admission import RETRY_PRIORITY
from ._completion import CompletionModel
from ._engine_model import EngineLoad, WaitingLoad

# Entries in other regions send their loads every 900 ms; loads older than about two
# such intervals are dropped.
MAX_PEER_AGE = timedelta(milliseconds=2000)
EXPIRY_INTERVAL = timedelta(milliseconds=100)
# Time after which the prompt of a peer's request counts as read. Its first token comes
# within the target latency, but the peer may report it only with its next message.
UNREAD_MAX_AGE = timedelta(milliseconds=300)
# Reports lag some 200 ms behind the engine, and its VM publishes them every 300 ms.
MAX_REPORT_AGE = timedelta(milliseconds=1500)


class EntryLoad(msgspec.Struct, frozen=True, array_like=True):
    """Hold the load that one entry puts on an upstream, as sent to its peers."""

    requests: int
    unread_tokens: int
    # Requests among them without a first token that run after more urgent ones.
    yielding_requests: int = 0
    yielding_tokens: int = 0
    # Requests and tokens among them without a first token by engine priority, for
    # services with several priorities. Releases before this field ignore it.
    waiting: dict[int, tuple[int, int]] = {}

    def __add__(self, other: EntryLoad) -> EntryLoad:
        """Return the sum of both loads."""
        return EntryLoad(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.yielding_requests + other.yielding_requests,
            self.yielding_tokens + other.yielding_tokens,
            _sum_waiting(self.waiting, other.waiting),
        )

    def __mul__(self, factor: int) -> EntryLoad:
        """Return a multiple of the load."""
        return EntryLoad(
            self.requests * factor,
            self.unread_tokens * factor,
            self.yielding_requests * factor,
            self.yielding_tokens * factor,
            {
                priority: (requests * factor, tokens * factor)
                for priority, (requests, tokens) in self.waiting.items()
            },
        )

    def engine_load(self, requests: int, pace: float) -> EngineLoad:
        """Return the load of an engine with some requests."""
        waiting = [WaitingLoad(p, *counts) for p, counts in self.waiting.items()]
        if self.yielding_requests:
            waiting.append(
                WaitingLoad(
                    RETRY_PRIORITY, self.yielding_requests, self.yielding_tokens
                )
            )
        return EngineLoad(requests, self.unread_tokens, pace, tuple(waiting))


def _sum_waiting(
    left: dict[int, tuple[int, int]], right: dict[int, tuple[int, int]]
) -> dict[int, tuple[int, int]]:
    if not right or not left:
        return left or right
    total = dict(left)
    for priority, (requests, tokens) in right.items():
        known_requests, known_tokens = total.get(priority, (0, 0))
        total[priority] = (known_requests + requests, known_tokens + tokens)
        if total[priority] == (0, 0):
            del total[priority]
    return total


NO_LOAD = EntryLoad(0, 0)
SentCallback = Callable[[str, EntryLoad], None]


class EngineReport(msgspec.Struct, frozen=True, array_like=True):
    """Hold the state that an engine reports, relayed from its VM to all entries."""

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
    replaced: bool = False


@dataclass(slots=True, frozen=True)
class _UnreadTokens:
    """Prompt tokens of a peer that count as read after some time."""

    expires_at: datetime
    loads: _PeerLoads
    upstream_id: str
    tokens: EntryLoad


@dataclass(slots=True, frozen=True, order=True)
class _AnsweredRequests:
    """Requests of a peer that count as answered after some time."""

    expires_at: datetime
    number: int
    loads: _PeerLoads = field(compare=False)
    upstream_id: str = field(compare=False)
    share: EntryLoad = field(compare=False)


@dataclass(slots=True)
class _ReceivedReport:
    received_at: datetime
    report: EngineReport


class LoadTracker:
    """Track own requests, the loads of peers and the reports of engines."""

    __slots__ = (
        "answered_",
        "completions",
        "numbers_",
        "on_sent",
        "last_expiry_at_",
        "peers_by_id_",
        "peer_loads_by_upstream_",
        "reports_by_address_",
        "sent_by_upstream_",
        "unread_",
        "upstream_ids_by_key_",
    )

    def __init__(
        self,
        on_sent: SentCallback | None = None,
        service_of: Callable[[str], str | None] = lambda upstream_id: None,
    ) -> None:
        # Called for each request sent to an upstream, to notify peers.
        self.on_sent = on_sent
        self.upstream_ids_by_key_: dict[str, str] = {}
        self.sent_by_upstream_: dict[str, dict[str, _SentRequest]] = {}
        self.peers_by_id_: dict[str, _PeerLoads] = {}
        # Sums over all peers, so that a decision need not iterate over the peers for
        # each upstream.
        self.peer_loads_by_upstream_: dict[str, EntryLoad] = {}
        self.unread_: deque[_UnreadTokens] = deque()
        self.answered_: list[_AnsweredRequests] = []
        self.numbers_ = count()
        self.completions = CompletionModel(service_of)
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
        rank_priority: int | None = None,
    ) -> None:
        """Record a request that is sent to an upstream.

        The engine priority is given for services with several priorities.
        """
        if rank_priority is not None:
            waiting = {rank_priority: (1, prompt_tokens)}
            share = EntryLoad(1, prompt_tokens, waiting=waiting)
        elif yielding:
            share = EntryLoad(1, prompt_tokens, 1, prompt_tokens)
        else:
            share = EntryLoad(1, prompt_tokens)
        self.upstream_ids_by_key_[key] = upstream_id
        self.sent_by_upstream_.setdefault(upstream_id, {})[key] = _SentRequest(
            share, now
        )
        if self.on_sent is not None:
            self.on_sent(upstream_id, share)

    def first_token(self, key: str) -> None:
        """Record that a request has produced its first token."""
        upstream_id = self.upstream_ids_by_key_.get(key)
        if upstream_id is not None:
            self.sent_by_upstream_[upstream_id][key].share = EntryLoad(1, 0)

    def ended(self, key: str) -> None:
        """Remove a request that has ended at its upstream."""
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
        """Replace the loads of another entry."""
        self._expire_unread(now)
        self._expire_answered(now)
        self._remove_peer(peer)
        loads = _PeerLoads(now, dict.fromkeys(shares_by_id, NO_LOAD))
        self.peers_by_id_[peer] = loads
        for upstream_id, share in shares_by_id.items():
            self._add_share(loads, upstream_id, share, now)

    def add_peer_placement(
        self, peer: str, upstream_id: str, share: EntryLoad, now: datetime
    ) -> None:
        """Add a request that another entry has just sent to an upstream."""
        known = self.peers_by_id_.get(peer)
        if known is not None:
            self._add_share(known, upstream_id, share, now)

    def update_engine_report(self, report: EngineReport, now: datetime) -> None:
        """Replace the report of an engine."""
        self.reports_by_address_[report.address] = _ReceivedReport(now, report)

    def report(self, address: str, now: datetime) -> EngineReport | None:
        """Return the report of an engine if it is recent."""
        received = self.reports_by_address_.get(address)
        if received is None or now - received.received_at > MAX_REPORT_AGE:
            return None
        return received.report

    def own_requests(self, upstream_id: str) -> int:
        """Return the number of own requests at an upstream."""
        return len(self.sent_by_upstream_.get(upstream_id, ()))

    def own_loads(self) -> dict[str, EntryLoad]:
        """Return this entry's load on each upstream, for its peers."""
        return {
            upstream_id: sum((request.share for request in sent.values()), NO_LOAD)
            for upstream_id, sent in self.sent_by_upstream_.items()
        }

    def load(self, upstream_id: str, address: str, now: datetime) -> EngineLoad:
        """Return the estimated load of an upstream."""
        own = self.sent_by_upstream_.get(upstream_id, {}).values()
        total = sum((sent.share for sent in own), NO_LOAD)
        self._expire_unread(now)
        self._expire_answered(now)
        self._expire_peers(now)
        total += self.peer_loads_by_upstream_.get(upstream_id, NO_LOAD)
        received = self.reports_by_address_.get(address)
        requests, pace = total.requests, 1.0
        if received is not None and now - received.received_at <= MAX_REPORT_AGE:
            # Requests of unreachable entries show only in the engine's own report.
            sent_later = sum(sent.sent_at > received.received_at for sent in own)
            reported = received.report.queued + received.report.active + sent_later
            requests, pace = max(requests, reported), max(1.0, received.report.pace)
        return total.engine_load(requests, pace)

    def _add_share(
        self, loads: _PeerLoads, upstream_id: str, share: EntryLoad, now: datetime
    ) -> None:
        shares = loads.shares_by_id
        shares[upstream_id] = shares.get(upstream_id, NO_LOAD) + share
        self._add_peer_load(upstream_id, share)
        if share.unread_tokens:
            waiting = {p: (0, tokens) for p, (_, tokens) in share.waiting.items()}
            tokens = EntryLoad(
                0, share.unread_tokens, 0, share.yielding_tokens, waiting
            )
            lifetime = self.completions.unread_lifetime(upstream_id)
            expires_at = now + min(lifetime or UNREAD_MAX_AGE, UNREAD_MAX_AGE)
            self.unread_.append(_UnreadTokens(expires_at, loads, upstream_id, tokens))
        # Short requests end long before their entry's next message says so.
        lifetime = self.completions.peer_lifetime(upstream_id)
        if lifetime is not None and share.requests:
            answered = _AnsweredRequests(
                now + lifetime, next(self.numbers_), loads, upstream_id, share
            )
            heapq.heappush(self.answered_, answered)

    def _expire_answered(self, now: datetime) -> None:
        while self.answered_ and now >= self.answered_[0].expires_at:
            expired = heapq.heappop(self.answered_)
            if not expired.loads.replaced:
                shares = expired.loads.shares_by_id
                shares[expired.upstream_id] += expired.share * -1
                self._add_peer_load(expired.upstream_id, expired.share * -1)

    def _expire_unread(self, now: datetime) -> None:
        while self.unread_ and now >= self.unread_[0].expires_at:
            expired = self.unread_.popleft()
            # The loads of a peer that has reported since are not used any more.
            if not expired.loads.replaced:
                shares = expired.loads.shares_by_id
                shares[expired.upstream_id] += expired.tokens * -1
                self._add_peer_load(expired.upstream_id, expired.tokens * -1)

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
            known.replaced = True
            for upstream_id, share in known.shares_by_id.items():
                self._add_peer_load(upstream_id, share * -1)

    def _add_peer_load(self, upstream_id: str, share: EntryLoad) -> None:
        total = self.peer_loads_by_upstream_.get(upstream_id, NO_LOAD) + share
        if total == NO_LOAD:
            self.peer_loads_by_upstream_.pop(upstream_id, None)
        else:
            self.peer_loads_by_upstream_[upstream_id] = total
