"""Order in which the engines of a model change to new weights."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime, timedelta

# Engines that change at the same time leave the others to serve.
WAVE_COUNT = 2
# Requests for old weights must begin before the bound, so entries stop sending them
# about this long before it, and waiting any longer gains nothing.
BOUND_MARGIN = timedelta(milliseconds=900)


class RollingUpdate:
    """Tell when the engine of one mate may change to new weights."""

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
        """Check whether to change now.

        The first wave changes at once, the next one when the first has changed or
        when requests for the old weights end anyway.
        """
        if outdated_since is None or now >= outdated_since + bound - BOUND_MARGIN:
            return True
        ordered = sorted({self.own_id, *member_ids})
        wave = ordered.index(self.own_id) % WAVE_COUNT
        earlier_ids = [m for i, m in enumerate(ordered) if i % WAVE_COUNT < wave]
        return all(member in loaded_ids for member in earlier_ids)
