"""Choice of the version to transfer when several are announced close together."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

# Time of a transfer in times of one copy over the narrowest link that all of it uses.
TRANSFER_COPIES = 1.3
# Stands in for the time of a version whose size is not known yet.
MIN_TRANSFER = timedelta(milliseconds=1)
# Time until the requests that an engine runs have ended, so that it can load.
DRAIN_TIME = timedelta(milliseconds=1500)
# Where both orders serve for the same time, a transfer is finished from this share on,
# so that a version is there if the origin fails during the next transfer.
FINISH_SHARE = 0.5
# The same where the time of an announcement is not known.
FINISH_SHARE_UNKNOWN_TIME = 0.25
# Versions that may be announced and not served before a transfer is finished although
# a newer version would come sooner without it. Otherwise none would ever complete while
# new ones are announced all the time.
MAX_SKIPPED_VERSIONS = 2
# A transfer that takes longer than this many times the usual time has met a failure, so
# what the members hold tells more than the time at which it began.
OVERDUE_TRANSFERS = 1.2
# A transfer that begins within this time of the announcement counts from it. Members
# hear of it and get the manifest at different times, but must decide alike.
BEGIN_DELAY = timedelta(seconds=2)


@dataclass(slots=True, frozen=True)
class TransferTimes:
    """Hold how long a transfer and a load take, and the bound of a version."""

    transfer: timedelta
    load: timedelta
    # Time after an announcement until no request may begin on older weights.
    bound: timedelta

    @classmethod
    def over_links(
        cls,
        size_bytes: float,
        *,
        link_bytes_per_s: float,
        origin_bytes_per_s: float | None,
        load_time: timedelta,
        bound: timedelta,
    ) -> TransferTimes:
        """Return the times of a version that passes the link of each member."""
        narrowest = min(link_bytes_per_s, origin_bytes_per_s or link_bytes_per_s)
        copy_time = timedelta(seconds=size_bytes / narrowest)
        return cls(TRANSFER_COPIES * copy_time, DRAIN_TIME + load_time, bound)


@dataclass(slots=True, frozen=True)
class CurrentTransfer:
    """Describe the transfer in progress as the whole swarm sees it."""

    version: int
    started_at: datetime
    # Share of the chunks that any member holds.
    coverage: float
    # Chunks are missing that no member has got for a while.
    stalled: bool


class VersionPlanner:
    """Decide whether a swarm finishes a transfer before the newest version.

    Compares for how long no version may serve if the transfer is finished first and if
    it is dropped. Members decide by the announcements rather than by their progress,
    since a swarm that transfers two versions at once completes both late.
    """

    __slots__ = ("times",)

    def __init__(self, times: TransferTimes) -> None:
        self.times = times

    def finishes_first(
        self,
        current: CurrentTransfer,
        *,
        held: int,
        announced_at_by_version: Mapping[int, datetime | None],
        now: datetime,
    ) -> bool:
        """Check whether to finish a transfer although a newer version was announced.

        `held` is the version that the engines serve meanwhile.
        """
        times = self.times
        newest = max(announced_at_by_version)
        newest_at = announced_at_by_version[newest]
        current_at = announced_at_by_version.get(current.version)
        if newest_at is None or current_at is None:
            return current.coverage >= FINISH_SHARE_UNKNOWN_TIME
        started_at = current.started_at
        if started_at - current_at < BEGIN_DELAY:
            started_at = current_at
        if current.stalled or now > started_at + OVERDUE_TRANSFERS * times.transfer:
            # The coverage stays as it is during a stall, so all members know it.
            begins_at = now
            done_at = now + (1 - current.coverage) * times.transfer
            share = current.coverage
        else:
            begins_at = newest_at
            done_at = max(started_at + times.transfer, newest_at)
            share = (newest_at - started_at) / max(times.transfer, MIN_TRANSFER)
        held_until = self._usable_until(held, announced_at_by_version)
        current_until = self._usable_until(current.version, announced_at_by_version)
        dropped = _gap(held_until, begins_at + times.transfer + times.load)
        current_from = done_at + times.load
        finished = _gap(held_until, current_from) + _gap(
            max(current_until, current_from), done_at + times.transfer + times.load
        )
        skipped = sum(held < version < newest for version in announced_at_by_version)
        if dropped and skipped > MAX_SKIPPED_VERSIONS:
            return True
        if finished == dropped:
            return share >= FINISH_SHARE
        return finished < dropped

    def _usable_until(
        self, version: int, announced_at_by_version: Mapping[int, datetime | None]
    ) -> datetime:
        """Return when requests for a version must have begun."""
        newer = [
            at
            for other, at in announced_at_by_version.items()
            if other > version and at is not None
        ]
        return min(newer) + self.times.bound


def _gap(end: datetime, start: datetime) -> timedelta:
    return max(start - end, timedelta())
