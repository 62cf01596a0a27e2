"""Era of the platform's store, which rises when it comes back from an older copy."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..core import PlatformError
from ..replication import UNKNOWN_ERA

# Larger numbers are an error of their writer; messages and tokens have room for these.
MAX_ERA = 2**20

# Takes the era and the time since a process first learned of it.
OnRise = Callable[[int, timedelta], None]


class LateAnswerError(PlatformError):
    """Report an answer that the store gave before it came back from a copy."""


class StoreEra:
    """Track the highest era that the store or a peer has named.

    Offsets of a higher era are counted from an older end, so that all state that was
    read in a lower one has to be read again.
    """

    __slots__ = ("era_", "listeners_", "on_unreadable", "was_unreadable_")

    def __init__(self) -> None:
        self.era_ = UNKNOWN_ERA
        self.listeners_: list[OnRise] = []
        self.was_unreadable_ = False
        # Called with the first value that is missing or not an era.
        self.on_unreadable: Callable[[str | None], None] | None = None

    @property
    def era(self) -> int:
        """Return the highest era known."""
        return self.era_

    def add_listener(self, listener: OnRise) -> None:
        """Call a function whenever the era rises."""
        self.listeners_.append(listener)

    def learn(self, era: int, age: timedelta = timedelta()) -> None:
        """Take over an era that a peer has learned a time ago, if it is higher."""
        if self.era_ < era <= MAX_ERA:
            self.era_ = era
            for listener in self.listeners_:
                listener(era, age)

    def check_answer(self, value: str | None, asked_in: int) -> int:
        """Return the era of an answer, or raise `LateAnswerError`.

        An answer that names no era counts as one of the era in which it was asked for.
        """
        era = _parse_era(value)
        if era is None:
            self._report_unreadable(value)
            era = asked_in
        if era < self.era_:
            raise LateAnswerError(
                f"store answered in era {era} after era {self.era_}; "
                "the call will be retried"
            )
        self.learn(era)
        return era

    def _report_unreadable(self, value: str | None) -> None:
        if not self.was_unreadable_:
            self.was_unreadable_ = True
            if self.on_unreadable is not None:
                self.on_unreadable(value)


def _parse_era(value: str | None) -> int | None:
    # `int` also takes signs, underscores and digits of other scripts.
    if value is None or not (value.isascii() and value.isdigit()):
        return None
    # Bounds the work for a long string of digits.
    if len(value) > len(str(MAX_ERA)):
        return None
    era = int(value)
    return era if era <= MAX_ERA else None
