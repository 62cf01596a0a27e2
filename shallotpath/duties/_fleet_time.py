"""Time of the wall clock that most processes of a fleet agree on."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from datetime import datetime, timedelta
from statistics import median_low

from ..core import Clock

# Readings that the correction is taken from; single ones may have been delayed.
READINGS = 5
# Offsets below this are due to the time that messages take.
MIN_OFFSET = timedelta(milliseconds=100)
# Fewest clocks whose median says more than the own clock.
MIN_CLOCKS = 3


class FleetTime:
    """Correct a steady clock that began with a wrong wall time."""

    __slots__ = ("clock", "is_agreed", "offsets_")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # Whether a majority of clocks confirms this time, so that others may adopt it.
        self.is_agreed = False
        self.offsets_: deque[timedelta] = deque(maxlen=READINGS)

    @property
    def correction(self) -> timedelta:
        """Return what is added to the steady clock."""
        if not self.offsets_:
            return timedelta()
        offset = median_low(self.offsets_)
        return offset if abs(offset) >= MIN_OFFSET else timedelta()

    def now(self) -> datetime:
        """Return the corrected time in UTC."""
        return self.clock.now() + self.correction

    def adopt(self, told: datetime) -> None:
        """Take over the time that a majority of clocks confirms."""
        self.offsets_.append(told - self.clock.now())

    def compare(self, offsets: Iterable[timedelta]) -> None:
        """Take over the median of other clocks' offsets from the steady clock."""
        known = [timedelta(), *offsets]
        if len(known) >= MIN_CLOCKS:
            self.is_agreed = True
            # A majority outweighs what single processes have told.
            self.offsets_.clear()
            self.offsets_.append(median_low(known))
