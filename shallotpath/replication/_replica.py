"""Replica of a keyed topic: the newest record of each key, by offset."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """Newest value of a key; `None` where the key was removed."""

    key: str
    value: bytes | None
    offset: int


class KeyedReplica:
    """Keep the newest record of each key, whichever way it came.

    Records come from the store and from peers in any order; the higher offset
    wins, so the replica never goes back.
    """

    __slots__ = ("end_", "records_by_key_")

    def __init__(self) -> None:
        self.records_by_key_: dict[str, KeyedRecord] = {}
        # All records below this offset have been taken into account.
        self.end_ = 0

    @property
    def end(self) -> int:
        """Return the offset up to which nothing is missing."""
        return self.end_

    def merge(self, records: Iterable[KeyedRecord], end: int) -> list[KeyedRecord]:
        """Apply records that reach up to an offset; return those that are newer."""
        newer = []
        for record in sorted(records, key=lambda record: record.offset):
            known = self.records_by_key_.get(record.key)
            if known is None or record.offset > known.offset:
                self.records_by_key_[record.key] = record
                newer.append(record)
        self.end_ = max(self.end_, end)
        return newer

    def replace(self, records: Iterable[KeyedRecord], end: int) -> list[KeyedRecord]:
        """Apply a full listing; keys that are missing from it were removed."""
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
        """Return the newest records from an offset on."""
        return [r for r in self.records_by_key_.values() if r.offset >= offset]
