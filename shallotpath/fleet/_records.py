"""Application of a topic's records, one by one, and their write times."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable

from ..gateway import WriteTime
from ..platform import RecordError
from ..replication import KeyedRecord
from ._reporter import LineReporter


def apply_each(
    records: Iterable[KeyedRecord],
    apply: Callable[[KeyedRecord], bool],
    *,
    topic: str,
    reporter: LineReporter,
) -> bool:
    """Apply records and return whether any changed the state.

    The replica has counted all of them as applied, so one that cannot be applied must
    not keep the others from being applied.
    """
    changed = False
    for record in records:
        try:
            changed |= apply(record)
        except RecordError as error:
            reporter.count("records_bad", topic=topic)
            reporter.event("bad_record", key=record.key, detail=error.message)
        except Exception as error:
            reporter.count("records_failed", topic=topic)
            reporter.event(
                "record_failed",
                key=record.key,
                detail="".join(traceback.format_exception(error)),
            )
    return changed


def describe_time(time: WriteTime | None) -> str:
    """Return for logs how exactly the write time of a record is known."""
    if time is None:
        return "time unknown"
    return "followed" if time.exact else f"after a gap since {time.at.isoformat()}"
