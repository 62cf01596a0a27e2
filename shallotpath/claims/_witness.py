"""Storage of the claims that home agents of the domain decide without the log."""

from __future__ import annotations

from datetime import datetime, timedelta
from functools import singledispatchmethod

from ..core import (
    Count,
    Effect,
    Event,
    Gauge,
    Received,
    Send,
    Tick,
    WitnessAck,
    WitnessRead,
    WitnessTable,
    WitnessWrite,
)
from ._homes import CLAIM_WINDOW

# At about 200 bytes a key this is at most 8 MB of a node's limit of 32 MB.
WITNESS_KEYS = 40_000
EXPIRY_INTERVAL = timedelta(seconds=10)

HomeId = tuple[str, str]


class WitnessStore:
    """Store claims for home agents and acknowledge only what is stored.

    An incarnation whose claims were read is sealed: its later writes are rejected.
    """

    __slots__ = (
        "count_",
        "expired_at_",
        "incarnation",
        "max_keys",
        "member_id",
        "sealed_at_by_home_",
        "times_by_home_",
        "window",
    )

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: str,
        window: timedelta = CLAIM_WINDOW,
        max_keys: int = WITNESS_KEYS,
    ) -> None:
        self.member_id = member_id
        self.incarnation = incarnation
        self.window = window
        self.max_keys = max_keys
        self.times_by_home_: dict[HomeId, dict[str, datetime]] = {}
        self.sealed_at_by_home_: dict[HomeId, datetime] = {}
        self.count_ = 0
        self.expired_at_: datetime | None = None

    @property
    def key_count(self) -> int:
        """Return the number of stored keys."""
        return self.count_

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: Received, now: datetime) -> list[Effect]:
        return self._receive(event.message, event.peer, now)

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        if self.expired_at_ is not None and now - self.expired_at_ < EXPIRY_INTERVAL:
            return []
        self.expired_at_ = now
        self._expire(now)
        return [Gauge("claims_witness_keys", self.count_)]

    @singledispatchmethod
    def _receive(self, message: object, peer: str, now: datetime) -> list[Effect]:
        return []

    @_receive.register
    def _(self, message: WitnessWrite, peer: str, now: datetime) -> list[Effect]:
        home = (message.home, message.incarnation)
        if home in self.sealed_at_by_home_:
            return [Count("claims_witness_sealed")]
        times = self.times_by_home_.setdefault(home, {})
        for key in message.logged:
            self.count_ -= times.pop(key, None) is not None
        added = [key for key in message.keys if key not in times]
        if self.count_ + len(added) > self.max_keys:
            return [Count("claims_witness_full")]
        self.count_ += len(added)
        times.update(dict.fromkeys(message.keys, now))
        if not message.keys:
            return []
        ack = WitnessAck(
            message.home,
            self.member_id,
            message.nonce,
            self.incarnation,
            message.incarnation,
        )
        return [Send(peer, ack)]

    @_receive.register
    def _(self, message: WitnessRead, peer: str, now: datetime) -> list[Effect]:
        home = (message.home, message.incarnation)
        # The reader would miss a write after its read, so later writes of the home
        # agent are not acknowledged, even if it was retired by mistake.
        self.sealed_at_by_home_[home] = now
        times = self.times_by_home_.get(home, {})
        table = WitnessTable(
            message.home,
            self.member_id,
            self.incarnation,
            list(times),
            message.nonce,
            message.incarnation,
        )
        return [Send(peer, table)]

    def _expire(self, now: datetime) -> None:
        oldest = now - self.window
        for home, at in list(self.sealed_at_by_home_.items()):
            if at <= oldest:
                del self.sealed_at_by_home_[home]
        for home, times in list(self.times_by_home_.items()):
            kept = {key: at for key, at in times.items() if at > oldest}
            self.count_ -= len(times) - len(kept)
            if kept:
                self.times_by_home_[home] = kept
            else:
                del self.times_by_home_[home]
