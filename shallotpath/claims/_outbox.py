"""Batching of records into appends, repeated until they are read back."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..core import Append, Effect, SetTimer
from ._model import Identity
from ._records import STREAM, Claims, Record, encode_record

FLUSH_TIMER = "claims_flush"
# 500 keys of 64 bytes stay far below the limits of one HTTP request.
MAX_BATCH_KEYS = 500
# An append without any answer is abandoned and the next one may start.
APPEND_TIMEOUT = timedelta(seconds=10)
# A record that was appended but not read back, as from a stalled reader, is
# appended again.
RESEND_AFTER = timedelta(seconds=5)


@dataclass(slots=True)
class OutboxItem:
    """Hold a record, or the state of a key, and when it was last appended."""

    record: Record | None = None
    sent_at: datetime | None = None
    token: int = -1


class Outbox:
    """Append the records and keys that are not read back, one append at a time."""

    __slots__ = (
        "appended_at_",
        "identity",
        "in_flight_",
        "items_by_name_",
        "keys_by_offline_",
        "not_before_",
        "retry_interval",
        "token_",
    )

    def __init__(self, identity: Identity, retry_interval: timedelta) -> None:
        self.identity = identity
        self.retry_interval = retry_interval
        self.items_by_name_: dict[str, OutboxItem] = {}
        self.keys_by_offline_: dict[bool, dict[str, OutboxItem]] = {False: {}, True: {}}
        self.token_ = 0
        self.in_flight_: int | None = None
        self.appended_at_: datetime | None = None
        self.not_before_: datetime | None = None

    @property
    def unlogged(self) -> dict[str, OutboxItem]:
        """Return the keys decided without the log that are not yet read back."""
        return self.keys_by_offline_[True]

    def put(self, name: str, record: Record) -> None:
        """Add a record, to be appended until it is dropped.

        Replaces another record of the same name.
        """
        item = self.items_by_name_.get(name)
        if item is None or item.record != record:
            self.items_by_name_[name] = OutboxItem(record)

    def drop(self, name: str) -> None:
        """Stop appending a record."""
        self.items_by_name_.pop(name, None)

    def holds(self, name: str) -> bool:
        """Check whether a record of this name is still to be read back."""
        return name in self.items_by_name_

    def names(self, prefix: str) -> list[str]:
        """Return the names of records with a prefix."""
        return [name for name in self.items_by_name_ if name.startswith(prefix)]

    def put_key(self, key: str, *, offline: bool) -> None:
        """Add a key, to be claimed in the log until it is dropped."""
        self.keys_by_offline_[not offline].pop(key, None)
        self.keys_by_offline_[offline].setdefault(key, OutboxItem())

    def drop_key(self, key: str) -> bool:
        """Stop claiming a key and return whether it was decided without the log."""
        self.keys_by_offline_[False].pop(key, None)
        return self.keys_by_offline_[True].pop(key, None) is not None

    def done(self, token: int) -> None:
        """Record that an append took effect."""
        if token == self.in_flight_:
            self.in_flight_ = None

    def failed(self, token: int, now: datetime) -> None:
        """Record that an append failed or its answer was lost."""
        if token == self.in_flight_:
            self.in_flight_ = None
            self.not_before_ = now + self.retry_interval
        for item in self._items():
            if item.token == token:
                item.sent_at = None

    def flush(self, now: datetime, interval: timedelta) -> list[Effect]:
        """Append the records that are due, or set a timer until the next append."""
        if self._busy(now):
            return []
        if self.appended_at_ is not None and self.appended_at_ + interval > now:
            wait = self.appended_at_ + interval - now
            return [SetTimer(FLUSH_TIMER, wait)] if self._has_due(now) else []
        self.token_ += 1
        records = [encode_record(record) for record in self._take_due_records(now)]
        if not records:
            return []
        self.in_flight_ = self.token_
        self.appended_at_ = now
        return [Append(STREAM, self.token_, records)]

    def _busy(self, now: datetime) -> bool:
        if self.in_flight_ is not None:
            return (
                self.appended_at_ is not None
                and now - self.appended_at_ < APPEND_TIMEOUT
            )
        return self.not_before_ is not None and now < self.not_before_

    def _items(self) -> list[OutboxItem]:
        keyed = (i for keys in self.keys_by_offline_.values() for i in keys.values())
        return [*self.items_by_name_.values(), *keyed]

    def _has_due(self, now: datetime) -> bool:
        return any(self._is_due(item, now) for item in self._items())

    def _is_due(self, item: OutboxItem, now: datetime) -> bool:
        return item.sent_at is None or now - item.sent_at >= RESEND_AFTER

    def _take_due_records(self, now: datetime) -> list[Record]:
        records = []
        for item in self.items_by_name_.values():
            if self._is_due(item, now):
                self._mark_sent(item, now)
                records.append(item.record)
        for offline in (True, False):
            keys = self._take_due_keys(self.keys_by_offline_[offline], now)
            if keys:
                identity = self.identity
                records.append(
                    Claims(
                        identity.service,
                        identity.member,
                        identity.incarnation,
                        keys,
                        offline,
                    )
                )
        return records

    def _take_due_keys(self, keys: dict[str, OutboxItem], now: datetime) -> list[str]:
        taken = []
        for key, item in keys.items():
            if len(taken) == MAX_BATCH_KEYS:
                break
            if self._is_due(item, now):
                self._mark_sent(item, now)
                taken.append(key)
        return taken

    def _mark_sent(self, item: OutboxItem, now: datetime) -> None:
        item.sent_at = now
        item.token = self.token_
