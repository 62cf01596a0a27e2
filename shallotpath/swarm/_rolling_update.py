"""Order in which the engines of a model load new weights."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime, timedelta

# Only the engines of one wave load at a time, while the others serve.
WAVE_COUNT = 2
# Requests for old weights must start before the bound, so entries stop sending them
# about this long before it. From then on waiting for the earlier wave gains nothing.
BOUND_MARGIN = timedelta(milliseconds=900)


class RollingUpdate:
    """Decide when the engine of one member may load new weights."""

    __slots__ = ("own_id",)

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id

    def may_update(
        self,
        *,
        member_ids: Collection[str],
        loaded_ids: Collection[str],
        outdated_since: datetime | None,
        bound: timedelta,
        now: datetime,
    ) -> bool:
        """Check whether the engine may load the new weights now.

        The first wave loads at once, the next one when the first has finished or when
        entries stop sending requests for the old weights.
        """
        if outdated_since is None or now >= outdated_since + bound - BOUND_MARGIN:
            return True
        ordered = sorted({self.own_id, *member_ids})
        wave = ordered.index(self.own_id) % WAVE_COUNT
        earlier_ids = [m for i, m in enumerate(ordered) if i % WAVE_COUNT < wave]
        return all(member in loaded_ids for member in earlier_ids)
