"""Duties of an entry: hold the lease and report usage."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from datetime import datetime, timedelta
from random import Random
from typing import TYPE_CHECKING

from ..core import Clock, PlatformError, rendezvous_order
from ..duties import (
    CANDIDATES,
    EntryUsage,
    FleetTime,
    Lease,
    LeaseRecord,
    LeaseRecordError,
    LeaseRules,
    UsageRules,
    WindowReport,
    decode_record,
    encode_record,
)
from ..platform import (
    DUTY_TOPIC,
    CallError,
    DutyClient,
    DutySettings,
    HttpCaller,
    LeaseEndedError,
    OffsetConflictError,
    StoreClient,
)
from ..replication import PeerAddress, PeerTable
from ._reporter import LineReporter
from ._run_counts import RunCounts

if TYPE_CHECKING:
    from ._member import MemberProcess

LEASE_KEY = "lease"
# Time after which entries that did not answer are asked again.
COLLECT_PAUSE = timedelta(milliseconds=600)
# Time between attempts after a failed call, doubled for each further one at the store.
RETRY_PAUSE = timedelta(milliseconds=300)
MAX_RETRY_PAUSE = timedelta(seconds=1)
MAX_DOUBLINGS = 4
# Least part of a lease in which a call is begun.
MIN_CALL_TIME = timedelta(milliseconds=200)
MAX_CALL_TIME = timedelta(milliseconds=800)
# Lowest rate of calls that the settings can ask for.
MIN_CALL_RATE = 0.1
# Request Timeout and Too Many Requests.
_RETRIED = frozenset({408, 429})
# Statuses of a call with a token below one that was seen.
_CONFLICTS = frozenset({409, 412})
_CLIENT_ERROR = range(400, 500)


class DutyRunner:
    """Take the lease when a report is due and nobody else sends it."""

    def __init__(
        self,
        settings: DutySettings,
        own: PeerAddress,
        incarnation: int,
        *,
        peers: PeerTable,
        store: StoreClient,
        caller: HttpCaller,
        clock: Clock,
        random: Random,
        reporter: LineReporter,
        is_leaving: Callable[[], bool],
        send: Callable[[EntryUsage, Iterable[PeerAddress]], None],
    ) -> None:
        self.own = own
        self.peers = peers
        self.store = store
        # Leases are measured on the steady clock, windows on the time of the fleet.
        self.clock = clock
        self.time = FleetTime(clock)
        self.reporter = reporter
        self.is_leaving = is_leaving
        self.checks_token = settings.checks_token
        # Keeps the holder's calls within the rate that the interface accepts.
        self.call_pause = timedelta(
            seconds=1 / max(settings.calls_per_s, MIN_CALL_RATE)
        )
        self.rules = UsageRules(settings.usage_window, settings.usage_due)
        self.counts = RunCounts(
            self.rules,
            own,
            incarnation,
            peers=peers,
            caller=caller,
            clock=clock,
            time=self.time,
            random=random,
            reporter=reporter,
            send=send,
        )
        lease_rules = LeaseRules.within(settings.lease, settings.wake_slack)
        self.lease = Lease(own.id, incarnation, lease_rules)
        self.client = DutyClient(
            settings.address, own.id, self._may_send, lease_rules.hold_time
        )
        # Windows that ended earlier were counted by nobody.
        self.handled_ = self.rules.newest_settled(self.time.now())
        self.confirmed_: set[int] = set()
        self.must_read_ = True
        # The interface has seen a higher token.
        self.is_outdated_ = False
        # Calls of the store that have failed in a row.
        self.store_failures_ = 0
        store.era.add_listener(self._enter_era)
        self._enter_era(store.era.era)

    @classmethod
    def of_process(cls, process: MemberProcess, settings: DutySettings) -> DutyRunner:
        """Return the duties of a process whose sockets are open."""
        return cls(
            settings,
            process.address,
            process.incarnation_,
            peers=process.peers,
            store=process.store_,
            caller=process.caller_,
            clock=process.clock,
            random=process.random,
            reporter=process.reporter,
            is_leaving=lambda: process.leaving_,
            send=process.gossip_.send,
        )

    async def run(self) -> None:
        """Report windows and send counts for as long as the process runs."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._report_windows())
            tasks.create_task(self.counts.push())

    async def _report_windows(self) -> None:
        # A takeover waits from the first sight of the last record.
        await self._read()
        while True:
            pause = await self.step()
            await asyncio.sleep(max(pause.total_seconds(), 0.01))

    async def close(self) -> None:
        """Send the last counts and close the connections."""
        self.counts.push_once()
        await self.client.close()

    def status(self) -> dict[str, object]:
        """Return who holds the duties as far as this entry knows."""
        now = self.clock.now()
        record, age = self.lease.record, self.lease.age(now)
        return {
            "holder": record.node if record else None,
            "token": self.lease.token,
            "released": record.released if record else None,
            "age_s": None if age is None else age.total_seconds(),
            "held_here": self.lease.holds(now),
            "clock_correction_s": self.time.correction.total_seconds(),
            "last_window": record.last_window if record else None,
        }

    async def step(self) -> timedelta:
        """Do what is due and return the time until the next step."""
        now = self.time.now()
        reportable = self.rules.reportable(now)
        # The clock may have been ahead before it was corrected.
        self.handled_ = min(self.handled_, reportable.stop - 1)
        window = max(self.handled_ + 1, reportable.start)
        if window not in reportable:
            return self.rules.settled_at(window) - now
        acts_at = self._acts_at(window)
        if acts_at is None:
            self.handled_ = window
            return timedelta()
        if now < acts_at:
            return acts_at - now
        wait = await self._serve(window)
        if wait is None:
            last = self.lease.record.last_window if self.lease.record else None
            self.handled_ = max(window, last or window)
            return timedelta()
        return wait

    def _acts_at(self, window: int) -> datetime | None:
        """Return when this entry looks after a window, `None` if others do."""
        now = self.clock.now()
        if self.is_leaving():
            return None
        record = self.lease.record
        if self.lease.is_own and not record.released:
            return self.rules.settled_at(window)
        live = {peer.id for peer in self.peers.live(now) if not peer.engine}
        order = rendezvous_order(DUTY_TOPIC, live | {self.own.id})
        holder_lives = False
        if record is not None and record.node in order:
            order.remove(record.node)
            holder_lives = not record.released and record.node != self.own.id
            if not holder_lives:
                order.append(record.node)
        if self.own.id not in order[:CANDIDATES]:
            return None
        rank = order.index(self.own.id)
        return self.rules.act_at(window, rank, holder_lives=holder_lives)

    async def _serve(self, window: int) -> timedelta | None:
        """Report a window; return when to go on, or `None` if it is done."""
        if (self.must_read_ or not self.lease.is_own) and not await self._read():
            return self._next_retry()
        now, record = self.clock.now(), self.lease.record
        if not self.lease.is_own:
            if record is not None and not record.released:
                reported = record.last_window
                if reported is not None and reported >= window:
                    return None
            if not self.lease.may_propose(now):
                return self.lease.takeover_at() - now
            if record is not None and self._next_report() is not None:
                # The last holder may not have sent these, and they are due first.
                wait = await self._append_and_deliver()
                if wait is not None or not self.lease.is_own:
                    return wait
        return await self._report(window)

    async def _report(self, window: int) -> timedelta | None:
        """Collect the counts of a window, record them and send them."""
        missing = await self.counts.collect(window)
        now, complete_by = self.time.now(), self.rules.complete_by(window)
        if now < self.rules.settled_at(window):
            # The entries' clocks have shown that the own one was ahead.
            return timedelta()
        if missing and now < complete_by:
            return min(COLLECT_PAUSE, complete_by - now)
        if missing:
            self.reporter.count("usage_windows_incomplete")
            self.reporter.event(
                "usage_incomplete",
                window=window,
                missing=len(missing),
                some=missing[:8],
            )
        return await self._append_and_deliver(**self._final_counts(now))

    async def _append_and_deliver(self, **changes: object) -> timedelta | None:
        if not await self._append(**changes):
            return self._next_retry()
        return await self._deliver()

    def _final_counts(self, now: datetime) -> dict[str, object]:
        """Return the reports to record: earlier unconfirmed ones and new windows."""
        known = [r for r in (self.lease.earlier_record, self.lease.record) if r]
        windows = [r.last_window for r in known if r.last_window is not None]
        last = max(windows, default=None)
        if not known and not self.lease.is_empty:
            # The record is lost: any window that had ended may have been reported.
            last = self.rules.number(self.lease.seen_at_ + self.time.correction)
        recorded = {r.window: r for record in known for r in record.unconfirmed}
        unconfirmed = [
            report
            for report in recorded.values()
            if report.window not in self.confirmed_
            and self.rules.due_at(report.window) > now
        ]
        for window in self.rules.reportable(now):
            if last is None or window > last:
                unconfirmed.append(self.counts.ledger.report(window))
                last = window
        return {"last_window": last, "unconfirmed": tuple(unconfirmed)}

    async def _deliver(self) -> timedelta | None:
        """Send the recorded reports; step down if the interface does not answer."""
        gives_up_at = self.clock.now() + self.lease.rules.duration
        while True:
            now = self.clock.now()
            if not self.lease.is_own:
                # The era has risen, so that the reports have to be recorded again.
                return self._next_retry()
            report = self._next_report()
            if report is None:
                return None
            if now >= gives_up_at or self.is_outdated_:
                self.is_outdated_ = False
                await self._release("the interface does not accept reports")
                return None
            if self.lease.time_left(now) < MIN_CALL_TIME:
                if not await self._append():
                    return self._next_retry()
                if self.lease.time_left(self.clock.now()) < MIN_CALL_TIME:
                    # The store took most of the lease to answer.
                    await asyncio.sleep(RETRY_PAUSE.total_seconds())
                continue
            was_sent = await self._send(report)
            pause = self.call_pause if was_sent else max(self.call_pause, RETRY_PAUSE)
            await asyncio.sleep(pause.total_seconds())

    def _next_report(self) -> WindowReport | None:
        now = self.time.now()
        for report in self.lease.record.unconfirmed:
            is_open = report.window not in self.confirmed_
            if is_open and now < self.rules.due_at(report.window):
                return report
        return None

    async def _send(self, report: WindowReport) -> bool:
        """Send a report and return whether it needs no further attempt."""
        now = self.clock.now()
        time_left = self.lease.time_left(now)
        try:
            await self.client.report_usage(
                self.lease.token,
                report.window,
                report.counts_by_team,
                min(MAX_CALL_TIME, time_left),
            )
        except LeaseEndedError as error:
            self._report_failure(report, error.message, "not_sent")
            return False
        except CallError as error:
            is_outdated = self.checks_token and error.status in _CONFLICTS
            self.is_outdated_ = is_outdated
            is_final = (
                error.status in _CLIENT_ERROR
                and error.status not in _RETRIED
                and not is_outdated
            )
            self._report_failure(
                report, error.message, "rejected" if is_final else "failed"
            )
            if is_final:
                self._confirm(report)
            return is_final
        self._confirm(report)
        self.reporter.count("usage_reports", outcome="sent")
        self.reporter.event(
            "usage_reported",
            window=report.window,
            token=self.lease.token,
            requests=sum(report.counts_by_team.values()),
            teams=len(report.counts_by_team),
            late_s=(self.time.now() - self.rules.end(report.window)).total_seconds(),
        )
        return True

    def _confirm(self, report: WindowReport) -> None:
        oldest = report.window - self.rules.kept_windows
        self.confirmed_ = {w for w in self.confirmed_ if w >= oldest}
        self.confirmed_.add(report.window)

    def _report_failure(self, report: WindowReport, detail: str, outcome: str) -> None:
        self.reporter.count("usage_reports", outcome=outcome)
        self.reporter.event(
            "usage_report_failed", window=report.window, outcome=outcome, detail=detail
        )

    def _enter_era(self, era: int, age: timedelta = timedelta()) -> None:
        """Give up the lease when the store has fallen back to an older copy."""
        was_held = self.lease.holds(self.clock.now())
        self.lease.enter_era(era, self.clock.now())
        self.must_read_ = True
        if was_held and not self.lease.holds(self.clock.now()):
            self.reporter.gauge("duty_held", 0)
            self.reporter.event("duty_lost", holder=None, token=0, era=era)

    def _may_send(self) -> bool:
        return self.lease.holds(self.clock.now())

    async def _read(self) -> bool:
        """Read the lease record and return whether the store answered."""
        try:
            page = await self.store.newest(DUTY_TOPIC)
        except PlatformError as error:
            self._store_failed("read", error)
            return False
        record: LeaseRecord | None = None
        offset: int | None = None
        for item in page.records:
            if item.key == LEASE_KEY and item.value is not None:
                offset = item.offset
                with suppress(LeaseRecordError):
                    record = decode_record(item.value)
        was_own = self.lease.is_own
        self.lease.observe(record, offset, page.end, self.clock.now())
        self.must_read_ = False
        self.store_failures_ = 0
        self.reporter.count("duty_reads", outcome="answered")
        if was_own and not self.lease.is_own:
            self.reporter.gauge("duty_held", 0)
            self.reporter.event(
                "duty_lost",
                holder=record.node if record else None,
                token=self.lease.token,
            )
        return True

    async def _append(self, **changes: object) -> bool:
        """Append a lease record and return whether the store acknowledged it."""
        was_own, era, started_at = self.lease.is_own, self.lease.era, self.clock.now()
        if not self.lease.may_propose(started_at):
            # The era has risen since the lease was read.
            self.must_read_ = True
            return False
        proposal = self.lease.propose(**changes)
        try:
            await self.store.put(
                DUTY_TOPIC, LEASE_KEY, encode_record(proposal.record), at=proposal.at
            )
        except PlatformError as error:
            # An append without an answer may have taken effect.
            self.must_read_ = True
            if isinstance(error, OffsetConflictError):
                self.lease.step_down()
            self._store_failed("append", error)
            return False
        if self.lease.era != era:
            # The record does not count in the era in which it was written.
            return False
        self.lease.accepted(proposal, started_at, self.clock.now())
        self.store_failures_ = 0
        self.reporter.count("duty_appends", outcome="accepted")
        self.reporter.gauge("duty_held", 0 if proposal.record.released else 1)
        if not was_own:
            self.reporter.event("duty_taken", token=proposal.record.token)
        return True

    async def _release(self, reason: str) -> None:
        """Let another entry take over; nothing is sent under the token any more."""
        self.reporter.event("duty_released", token=self.lease.token, reason=reason)
        self.lease.step_down()
        await self._append(released=True)
        self.lease.step_down()

    def _store_failed(self, call: str, error: PlatformError) -> None:
        conflict = isinstance(error, OffsetConflictError)
        self.reporter.count(
            "duty_appends" if call == "append" else "duty_reads",
            outcome="conflict" if conflict else "failed",
        )
        self.store_failures_ += 1
        if conflict or self.store_failures_ == 1:
            self.reporter.event("duty_store_failed", call=call, detail=error.message)

    def _next_retry(self) -> timedelta:
        """Return the pause before the store is called again."""
        doublings = min(max(0, self.store_failures_ - 1), MAX_DOUBLINGS)
        return min(RETRY_PAUSE * 2**doublings, MAX_RETRY_PAUSE)
