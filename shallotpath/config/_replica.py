"""Local copy of the configuration that accepts records in any order."""

from __future__ import annotations

from collections import Counter, deque

from ..core import ConfigPush, LogRecord
from ._fold import Accepted, Rejected, fold
from ._records import Record, RecordError, Snapshot, decode_record
from ._state import ConfigurationState, decode_state, encode_state

MAX_RECENT_RECORDS = 256
MAX_PENDING_RECORDS = 2000
MAX_PUSH_RECORDS = 64
MAX_PUSH_BYTES = 64 * 1024


class Replica:
    """Apply records in the order of their offsets; the offset never decreases."""

    __slots__ = (
        "recent_records_",
        "outcomes_",
        "pending_by_offset_",
        "encoded_snapshot_",
        "state_",
    )

    def __init__(self) -> None:
        self.state_ = ConfigurationState()
        self.recent_records_: deque[LogRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self.pending_by_offset_: dict[int, bytes] = {}
        self.outcomes_: Counter[str] = Counter()
        self.encoded_snapshot_: tuple[int, bytes] = (-1, b"")

    @property
    def offset(self) -> int:
        """Return the offset of the last applied record, or -1."""
        return self.state_.offset

    @property
    def has_gap(self) -> bool:
        """Check whether records wait for an earlier one that is missing."""
        return bool(self.pending_by_offset_)

    def add(self, records: list[LogRecord]) -> None:
        """Store records and apply all that follow the state without a gap."""
        for record in records:
            if record.offset > self.offset:
                self.pending_by_offset_[record.offset] = record.data
        self._apply_pending()
        while self.pending_by_offset_ and self._load_pending_snapshot():
            self._apply_pending()
        self._drop_excess_pending()

    def add_snapshot(self, offset: int, data: bytes) -> None:
        """Apply a snapshot if it is newer than the state."""
        if offset > self.offset and self._load_snapshot(offset, data):
            self._apply_pending()

    def push_after(self, offset: int) -> ConfigPush | None:
        """Return the records or snapshot after an offset, within the size limits."""
        if offset >= self.offset:
            return None
        if not self.recent_records_ or self.recent_records_[0].offset > offset + 1:
            return ConfigPush([], self.offset, self.encode_snapshot())
        records: list[LogRecord] = []
        size = 0
        for record in self.recent_records_:
            if record.offset <= offset:
                continue
            size += len(record.data)
            if records and (len(records) >= MAX_PUSH_RECORDS or size > MAX_PUSH_BYTES):
                break
            records.append(record)
        return ConfigPush(records)

    def encode_snapshot(self) -> bytes:
        """Return the encoded state, cached for the current offset."""
        if self.encoded_snapshot_[0] != self.offset:
            self.encoded_snapshot_ = (self.offset, encode_state(self.state_))
        return self.encoded_snapshot_[1]

    def _apply_pending(self) -> None:
        while (data := self.pending_by_offset_.pop(self.offset + 1, None)) is not None:
            self._apply(LogRecord(self.offset + 1, data))
        if self.pending_by_offset_:
            for offset in [o for o in self.pending_by_offset_ if o <= self.offset]:
                del self.pending_by_offset_[offset]

    def _apply(self, item: LogRecord) -> None:
        self.recent_records_.append(item)
        try:
            record = decode_record(item.data)
        except RecordError:
            # All processes read the same bytes at this offset, so all skip the record.
            self.state_.offset = item.offset
            self.outcomes_["garbled"] += 1
            return
        verdict = fold(self.state_, item.offset, record)
        self.outcomes_[_outcome_label(record, verdict)] += 1

    def _load_pending_snapshot(self) -> bool:
        for offset in sorted(self.pending_by_offset_, reverse=True):
            snapshot = _decode_snapshot(self.pending_by_offset_[offset], offset)
            if (
                snapshot is not None
                and snapshot.offset > self.offset
                and self._load_snapshot(snapshot.offset, snapshot.state)
            ):
                return True
        return False

    def _load_snapshot(self, offset: int, data: bytes) -> bool:
        try:
            state = decode_state(data)
        except RecordError:
            self.outcomes_["bad_snapshot"] += 1
            return False
        if state.offset != offset:
            self.outcomes_["bad_snapshot"] += 1
            return False
        self.state_ = state
        self.recent_records_.clear()
        self.outcomes_["adopted"] += 1
        return True

    def _drop_excess_pending(self) -> None:
        excess = len(self.pending_by_offset_) - MAX_PENDING_RECORDS
        if excess > 0:
            for offset in sorted(self.pending_by_offset_)[:excess]:
                del self.pending_by_offset_[offset]


def _decode_snapshot(data: bytes, offset: int) -> Snapshot | None:
    try:
        change = decode_record(data).change
    except RecordError:
        return None
    if isinstance(change, Snapshot) and change.offset < offset:
        return change
    return None


def _outcome_label(record: Record, verdict: object) -> str:
    if isinstance(record.change, Snapshot):
        return "snapshot"
    if isinstance(verdict, Accepted):
        return "accepted"
    return "rejected" if isinstance(verdict, Rejected) else "repeated"
