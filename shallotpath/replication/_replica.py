"""Replica of a keyed topic that keeps the newest record per key, by era and offset."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Era of records and ends whose sender does not name one. It is lower than all others.
UNKNOWN_ERA = -1


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """Describe the value of a key at an offset; `None` marks a removed key."""

    key: str
    value: bytes | None
    offset: int
    # Era of the store in which the record was read.
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> tuple[int, int]:
        """Return the era and the offset, by which records are ordered."""
        return self.era, self.offset

    def is_copy_of(self, other: KeyedRecord) -> bool:
        """Check whether both have the same content at the same offset."""
        return (self.offset, self.value) == (other.offset, other.value)


@dataclass(slots=True, frozen=True)
class ReplicaPage:
    """Hold what a replica that is complete up to an offset needs to reach `end`."""

    records: list[KeyedRecord]
    end: int
    # Keys whose records are older than the offset, so that all others are removed;
    # `None` if the records include the removals.
    kept_keys: list[str] | None = None
    era: int = UNKNOWN_ERA
    # Records of earlier eras that the sender still uses.
    retained: tuple[KeyedRecord, ...] = ()
    # See `KeyedReplica.copied_below_`.
    copied_below: int | None = None


class KeyedReplica:
    """Keep the newest record of each key.

    Records arrive from the store and from peers in any order. The higher offset
    wins, so a key never returns to an older value. When the store comes back from an
    older copy, its era rises. What was known before is retained until its key is
    written again or `expire` is called.
    """

    __slots__ = (
        "copied_below_",
        "end_",
        "era_",
        "records_by_key_",
        "removals_from_",
        "retained_by_key_",
        "retains_",
    )

    def __init__(self) -> None:
        # Records of the era of this replica.
        self.records_by_key_: dict[str, KeyedRecord] = {}
        # Records of earlier eras that are used in place of those above, or of none.
        self.retained_by_key_: dict[str, KeyedRecord] = {}
        self.era_ = UNKNOWN_ERA
        # All records of the era below this offset have been applied.
        self.end_ = 0
        # Removals at or above this offset are kept. A listing does not show earlier
        # ones.
        self.removals_from_ = 0
        # Records of the era below this offset may have been in the copy; all others
        # were written after the return. `None` before the first listing.
        self.copied_below_: int | None = None
        # Whether records of earlier eras are still taken from peers.
        self.retains_ = True

    @property
    def end(self) -> int:
        """Return the offset below which all records have been applied."""
        return self.end_

    @property
    def era(self) -> int:
        """Return the era of the store that this replica follows."""
        return self.era_

    @property
    def retained(self) -> int:
        """Return the number of records of earlier eras that are in use."""
        return len(self.retained_by_key_)

    @property
    def is_retaining(self) -> bool:
        """Check whether `expire` would change anything."""
        return self.retains_ or bool(self.retained_by_key_)

    def in_use(self) -> dict[str, KeyedRecord]:
        """Return the record of each key that is in use."""
        return self.records_by_key_ | self.retained_by_key_

    def fall(self, era: int) -> None:
        """Enter a higher era; retain all records until the era has them again."""
        if era <= self.era_:
            return
        self.retained_by_key_ = self.in_use()
        self.records_by_key_ = {}
        self.era_, self.end_, self.removals_from_ = era, 0, 0
        self.copied_below_, self.retains_ = None, True

    def merge(
        self, records: Iterable[KeyedRecord], end: int, era: int | None = None
    ) -> list[KeyedRecord]:
        """Apply records that are complete up to `end`; return those now in use.

        Without an era they are of that of this replica.
        A late answer may still have a key whose removal this replica applied without
        keeping it, as a listing only shows the keys that are left.
        """
        era = self.era_ if era is None else era
        if era < self.era_:
            return []
        self.fall(era)
        newer = []
        late_before = self.end_ if end <= self.end_ else 0
        for record in sorted(records, key=lambda record: record.offset):
            known = self.records_by_key_.get(record.key)
            if known is None and record.offset < late_before:
                continue
            if known is None or record.offset > known.offset:
                self.records_by_key_[record.key] = record
                if self._takes_effect(record):
                    newer.append(record)
        self.end_ = max(self.end_, end)
        return newer

    def replace(
        self,
        records: Iterable[KeyedRecord],
        end: int,
        kept_keys: Iterable[str] = (),
        era: int | None = None,
    ) -> list[KeyedRecord]:
        """Apply a full listing; remove keys that are missing from it.

        Of the kept keys, which are listed without a value, the records are held.
        """
        era = self.era_ if era is None else era
        if era < self.era_:
            return []
        self.fall(era)
        listed = list(records)
        shown = self._narrow_copied(listed, end)
        keys = {record.key for record in listed}.union(kept_keys)
        removed = [
            KeyedRecord(record.key, None, max(record.offset, end - 1), era)
            for record in self.records_by_key_.values()
            if record.key not in keys
            and record.value is not None
            and record.offset < end
        ]
        if end > self.end_:
            self.removals_from_ = end
        return shown + self.merge([*listed, *removed], end, era)

    def expire(self, *, keeps_removals: bool) -> list[KeyedRecord]:
        """Stop using records of earlier eras; return what takes their place.

        Optionally keep removals of keys that the copy still has and that nobody has
        written since the return.
        """
        self.retains_ = False
        changed = []
        for key, retained in list(self.retained_by_key_.items()):
            record = self.records_by_key_.get(key)
            is_present = record is not None and record.value is not None
            if retained.value is None and is_present and keeps_removals:
                continue
            del self.retained_by_key_[key]
            if is_present:
                changed.append(record)
            elif retained.value is not None:
                changed.append(KeyedRecord(key, None, max(self.end_ - 1, 0), self.era_))
        return changed

    def page_after(self, offset: int, era: int | None = None) -> ReplicaPage:
        """Return what a replica that is complete up to an offset lacks.

        A replica of a lower era lacks everything. Only a page from offset 0 has records
        of earlier eras: a replica that follows the era has retained its own.
        """
        if era is not None and era < self.era_:
            offset = 0
        records = [r for r in self.records_by_key_.values() if r.offset >= offset]
        kept_keys = None
        if offset < self.removals_from_:
            records = [r for r in records if r.value is not None]
            kept_keys = [
                record.key
                for record in self.records_by_key_.values()
                if record.offset < offset and record.value is not None
            ]
        return ReplicaPage(
            records,
            self.end_,
            kept_keys,
            self.era_,
            () if offset else tuple(self.retained_by_key_.values()),
            self.copied_below_,
        )

    def apply_page(self, page: ReplicaPage) -> list[KeyedRecord]:
        """Apply the page of a peer; return the records that are now in use."""
        if page.era < self.era_:
            return []
        self.fall(page.era)
        changed = self._retain(page.retained)
        if page.copied_below is not None:
            changed += self._narrow_copied([], page.copied_below)
        if page.kept_keys is None:
            return changed + self.merge(page.records, page.end, page.era)
        return changed + self.replace(
            page.records, page.end, page.kept_keys, era=page.era
        )

    def _takes_effect(self, record: KeyedRecord) -> bool:
        """Check whether a record replaces the retained one of its key.

        A record of the copy at a lower offset is older than the retained one.
        """
        retained = self.retained_by_key_.get(record.key)
        if retained is None:
            return True
        if not self._supersedes(record, retained):
            return False
        del self.retained_by_key_[record.key]
        return not record.is_copy_of(retained)

    def _supersedes(self, record: KeyedRecord, retained: KeyedRecord) -> bool:
        written_since = (
            self.copied_below_ is not None and record.offset >= self.copied_below_
        )
        return (
            written_since
            or record.offset > retained.offset
            or record.is_copy_of(retained)
        )

    def _narrow_copied(
        self, listed: Iterable[KeyedRecord], end: int
    ) -> list[KeyedRecord]:
        """Lower the bound of the copy to an end, and to the first offset that differs.

        Both eras have the same records up to the end of the copy. Return the records
        that take the place of retained ones by this.
        """
        known_below = self.copied_below_
        below = end if known_below is None else min(end, known_below)
        before_by_offset = {
            record.offset: record
            for record in self.retained_by_key_.values()
            if record.era == self.era_ - 1 and record.value is not None
        }
        for record in listed:
            before = before_by_offset.get(record.offset)
            if before is not None and (before.key, before.value) != (
                record.key,
                record.value,
            ):
                below = min(below, record.offset)
        if below == known_below:
            return []
        self.copied_below_ = below
        known = [self.records_by_key_.get(key) for key in self.retained_by_key_]
        return [r for r in known if r is not None and self._takes_effect(r)]

    def _retain(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Take over records of earlier eras that a peer still uses."""
        if not self.retains_:
            return []
        taken = []
        for record in records:
            held = self.retained_by_key_.get(record.key)
            current = self.records_by_key_.get(record.key)
            if held is not None:
                is_newer = record.position > held.position
            else:
                is_newer = current is None or not self._supersedes(current, record)
            if is_newer and record.era < self.era_:
                self.retained_by_key_[record.key] = record
                taken.append(record)
        return taken
