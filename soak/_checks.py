"""Promises, checked on what callers and stand-ins saw."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime, timedelta

from ._ledger import Attempt, Broken, Ending, Ledger, Run
from ._settings import SoakSettings

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# The configuration allows every request of the callers from the start to the end.
DENIALS = frozenset({400, 401, 403, 404})
# A request that ends sooner without an answer crossed the close of its connection.
CROSSED = timedelta(milliseconds=200)
# Work that lasts into this part of the grace may be cut off, on a request that was sent
# no later than this after the stop began.
LAST_PART = 1 / 6
EARLY = timedelta(seconds=3)
# Times are not judged so soon after the soak's own process was late.
LATE_MARGIN = timedelta(milliseconds=500)
# After its grace a stopped process is killed.
STOP_SLACK = timedelta(seconds=1)


class Checks:
    """Find broken promises in a ledger."""

    def __init__(self, ledger: Ledger, settings: SoakSettings) -> None:
        self.ledger = ledger
        self.settings = settings

    def broken(self) -> list[Broken]:
        """Return all broken promises."""
        found = list(self.ledger.broken)
        for request_id, runs in self.ledger.runs_by_id.items():
            attempt = self.ledger.attempts_by_id.get(request_id)
            if attempt is None:
                found.append(Broken("UNASKED", f"no caller sent {request_id!r}"))
                continue
            found += self._repeats(attempt, runs)
            for run in runs:
                found += self._bounds(attempt, run)
        for attempt in self.ledger.attempts_by_id.values():
            found += self._lost(attempt)
            if attempt.status in DENIALS:
                found.append(Broken("DENIED", f"{attempt}: {attempt.status}"))
        return found

    def exposed(self) -> int:
        """Return how many attempts could have broken the bound of new weights.

        They came to an entry that the bound holds for, and the newest weights had
        run nowhere yet.
        """
        started: dict[int, datetime] = {}
        for runs in self.ledger.runs_by_id.values():
            for run in runs:
                known = started.get(run.version, run.began_at)
                started[run.version] = min(known, run.began_at)
        return sum(
            self._exposed(attempt, started)
            for attempt in self.ledger.attempts_by_id.values()
            if attempt.kind.streaming and self._in_touch(attempt.entry, attempt.sent_at)
        )

    def _exposed(self, attempt: Attempt, started: dict[int, datetime]) -> bool:
        at = attempt.sent_at
        return any(
            named_at < at
            and (version not in started or started[version] > at)
            and self._calm_since(named_at, at) > self.settings.version_bound
            for version, named_at in self.ledger.named_at_by_version.items()
        )

    def _in_touch(self, entry: int, at: datetime) -> bool:
        """Check whether the bounds hold for an entry at a time."""
        ledger, since = self.ledger, at - self.settings.contact
        return not (
            ledger.disturbed_by_program[entry].touch(since, at)
            or ledger.store_disturbed.touch(since, at)
            or ledger.soak_late.touch(at - LATE_MARGIN, at)
        )

    def _calm_since(self, start: datetime, at: datetime) -> timedelta:
        return self.ledger.store_disturbed.longest_calm(
            start, at, self.settings.contact
        )

    def _repeats(self, attempt: Attempt, runs: list[Run]) -> Iterator[Broken]:
        if attempt.kind.repeatable:
            return
        upstreams = ", ".join(run.upstream for run in runs)
        if len(runs) > 1:
            yield Broken("TWICE", f"{attempt} ran at {upstreams}")
        if attempt.ending is Ending.ANSWERED and attempt.status in PROMISES:
            yield Broken("REFUSED", f"{attempt}: {attempt.status}, ran at {upstreams}")

    def _bounds(self, attempt: Attempt, run: Run) -> Iterator[Broken]:
        at = run.began_at
        if not self._in_touch(attempt.entry, at):
            return
        where = f"{attempt} at {run.upstream}"
        named = [
            (named_at, version)
            for version, named_at in self.ledger.named_at_by_version.items()
            if version > run.version
        ]
        if run.version and named:
            named_at, version = min(named)
            if self._calm_since(named_at, at) > self.settings.version_bound:
                late = (at - named_at).total_seconds()
                detail = f"{where}: on {run.version}, {late:.2f} s after {version}"
                yield Broken("VERSION", f"{detail} was named")
        left_at = self.ledger.left_at_by_upstream.get(run.upstream)
        if left_at and self._calm_since(left_at, at) > self.settings.drain_bound:
            late = (at - left_at).total_seconds()
            yield Broken("DRAIN", f"{where}: {late:.2f} s after it left")
        out_at = self.ledger.outs_by_domain[run.domain].begin_of(at)
        if out_at and self._calm_since(out_at, at) > self.settings.domain_bound:
            late = (at - out_at).total_seconds()
            yield Broken("EVAC", f"{where}: {late:.2f} s after {run.domain} was out")

    def _lost(self, attempt: Attempt) -> Iterator[Broken]:
        """Find requests that a planned stop cut off."""
        if attempt.ending is not Ending.CUT or not self._stopping(attempt):
            return
        sent_at, ended_at = attempt.sent_at, attempt.ended_at
        unplanned = self.ledger.unplanned_by_program[attempt.entry]
        runs = self.ledger.runs_by_id.get(attempt.id, [])
        if (
            unplanned.touch(sent_at - self.settings.contact, ended_at)
            or self.ledger.soak_late.touch(sent_at, ended_at)
            or any(run.broke_off for run in runs)
            or self._outlasts_grace(attempt, runs)
        ):
            return
        lasted = ended_at - sent_at
        if runs or lasted > CROSSED:
            upstreams = ", ".join(run.upstream for run in runs) or "nowhere"
            detail = f"{attempt}: cut after {lasted.total_seconds():.2f} s"
            yield Broken("LOST", f"{detail}, ran at {upstreams}: {attempt.detail}")

    def _outlasts_grace(self, attempt: Attempt, runs: list[Run]) -> bool:
        """Check whether the work on an early request lasted to the end of the grace."""
        early = attempt.sent_at - EARLY
        last_part = self.settings.stop_grace * (1 - LAST_PART)
        return any(
            begin >= early
            and any(not r.ended_at or r.ended_at >= begin + last_part for r in runs)
            for begin, _ in self.ledger.stops_by_program[attempt.entry].spans_
        )

    def _stopping(self, attempt: Attempt) -> bool:
        """Check whether an attempt ended around a planned stop of its entry."""
        longest = self.settings.stop_grace + STOP_SLACK
        stops = self.ledger.stops_by_program[attempt.entry]
        return stops.touch(attempt.ended_at - longest, attempt.ended_at)
