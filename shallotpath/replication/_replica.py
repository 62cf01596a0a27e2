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


@dataclass(slots=True, frozen=True)
class ReplicaPage:
    """Hold what a replica that is complete up to an offset needs to reach `end`."""

    records: list[KeyedRecord]
    end: int
    # Keys whose records are older than the offset, so that all others are removed;
    # `None` if the records include the removals.
    kept_keys: list[str] | None = None


class KeyedReplica:
    """Keep the newest record of each key.

    Records arrive from the store and from peers in any order. The higher offset
    wins, so a key never returns to an older value.
    """

    __slots__ = ("end_", "records_by_key_", "removals_from_")

    def __init__(self) -> None:
        self.records_by_key_: dict[str, KeyedRecord] = {}
        # All records below this offset have been applied.
        self.end_ = 0
        # Removals at or above this offset are kept. A listing does not show earlier
        # ones.
        self.removals_from_ = 0

    @property
    def end(self) -> int:
        """Return the offset below which all records have been applied."""
        return self.end_

    def merge(self, records: Iterable[KeyedRecord], end: int) -> list[KeyedRecord]:
        """Apply records that are complete up to `end`; return those that were newer.

        A late answer may still have a key whose removal this replica applied without
        keeping it, as a listing only shows the keys that are left.
        """
        newer = []
        late_before = self.end_ if end <= self.end_ else 0
        for record in sorted(records, key=lambda record: record.offset):
            known = self.records_by_key_.get(record.key)
            if known is None and record.offset < late_before:
                continue
            if known is None or record.offset > known.offset:
                self.records_by_key_[record.key] = record
                newer.append(record)
        self.end_ = max(self.end_, end)
        return newer

    def replace(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        kept_keys: Iterable[str] = (),
    ) -> list[KeyedRecord]:
        """Apply a full listing; remove keys that are missing from it.

        Of the kept keys, which are listed without a value, the records are held.
        """
        listed = list(records)
        keys = {record.key for record in listed}.union(kept_keys)
        removed = [
            KeyedRecord(record.key, None, max(record.offset, end - 1))
            for record in self.records_by_key_.values()
            if record.key not in keys
            and record.value is not None
            and record.offset < end
        ]
        if end > self.end_:
            self.removals_from_ = end
        return self.merge([*listed, *removed], end)

    def page_after(self, offset: int) -> ReplicaPage:
        """Return what a replica that is complete up to an offset lacks."""
        records = [r for r in self.records_by_key_.values() if r.offset >= offset]
        if offset >= self.removals_from_:
            return ReplicaPage(records, self.end_)
        present = [r for r in records if r.value is not None]
        kept_keys = [
            record.key
            for record in self.records_by_key_.values()
            if record.offset < offset and record.value is not None
        ]
        return ReplicaPage(present, self.end_, kept_keys)

    def apply_page(self, page: ReplicaPage) -> list[KeyedRecord]:
        """Apply the page of a peer; return the records that were newer."""
        if page.kept_keys is None:
            return self.merge(page.records, page.end)
        return self.replace(page.records, page.end, page.kept_keys)
