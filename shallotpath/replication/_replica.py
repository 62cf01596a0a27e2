"""Replica of a keyed topic that keeps the record of the highest offset per key."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """Describe the value of a key at an offset; `None` marks a removed key."""

    key: str
    value: bytes | None
    offset: int


class KeyedReplica:
    """Keep the newest record of each key.

    Records arrive from the store and from peers in any order. The higher offset
    wins, so a key never returns to an older value.
    """

    __slots__ = ("end_", "records_by_key_")

    def __init__(self) -> None:
        self.records_by_key_: dict[str, KeyedRecord] = {}
        # All records below this offset have been applied.
        self.end_ = 0

    @property
    def end(self) -> int:
        """Return the offset below which all records have been applied."""
        return self.end_

    def merge(self, records: Iterable[KeyedRecord], end: int) -> list[KeyedRecord]:
        """Apply records that are complete up to `end`; return those that were newer."""
        newer = []
        for record in sorted(records, key=lambda record: record.offset):
            known = self.records_by_key_.get(record.key)
            if known is None or record.offset > known.offset:
                self.records_by_key_[record.key] = record
                newer.append(record)
        self.end_ = max(self.end_, end)
        return newer

    def replace(self, records: Iterable[KeyedRecord], end: int) -> list[KeyedRecord]:
        """Apply a full listing; remove keys that are missing from it."""
        listed = list(records)
        keys = {record.key for record in listed}
        removed = [
            KeyedRecord(record.key, None, max(record.offset, end - 1))
            for record in self.records_by_key_.values()
            if record.key not in keys
            and record.value is not None
            and record.offset < end
        ]
        return self.merge([*listed, *removed], end)

    def after(self, offset: int) -> list[KeyedRecord]:
        """Return the records at or above an offset."""
        return [r for r in self.records_by_key_.values() if r.offset >= offset]
