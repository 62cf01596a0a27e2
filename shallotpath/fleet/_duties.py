"""Duties of an entry: holds the lease, collects counts and reports usage."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from datetime import datetime, timedelta

import msgspec
from aiohttp import web

from ..core import Clock, PlatformError, rendezvous_order
from ..duties import (
    CANDIDATES,
    EntryUsage,
    Lease,
    LeaseRecord,
    LeaseRecordError,
    LeaseRules,
    RunCounter,
    UsageLedger,
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
from ..replication import (
    MAX_DATAGRAM_BYTES,
    PeerAddress,
    PeerTable,
    encode_message,
)
from ._reporter import LineReporter

RUN_COUNTS_PATH = "/run-counts"
HOLDER_QUERY = "holder"
LEASE_KEY = "lease"
# Calls to entries at a time, so that their answers do not fill the holder's link.
PARALLEL_PULLS = 24
PULL_TIMEOUT = timedelta(milliseconds=500)
# Time after which entries that did not answer are asked again.
COLLECT_PAUSE = timedelta(milliseconds=600)
# An entry that dies loses the requests of at most this time.
PUSH_INTERVAL = timedelta(seconds=1)
# Windows after which a holder that no longer asks gets no more counts.
PUSHED_WINDOWS = 3
MAX_USAGE_BYTES = 1 << 20
# Time between attempts after a failed call.
RETRY_PAUSE = timedelta(milliseconds=300)
# Least part of a lease in which a call is begun.
MIN_CALL_TIME = timedelta(milliseconds=200)
MAX_CALL_TIME = timedelta(milliseconds=800)
_TOO_MANY_REQUESTS = 429
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
        reporter: LineReporter,
        is_leaving: Callable[[], bool],
        send: Callable[[EntryUsage, Iterable[PeerAddress]], None],
    ) -> None:
        self.own = own
        self.incarnation = incarnation
        self.peers = peers
        self.store = store
        self.caller = caller
        self.clock = clock
        self.reporter = reporter
        self.is_leaving = is_leaving
        self.send = send
        self.rules = UsageRules(settings.usage_window, settings.usage_due)
        self.counter = RunCounter(self.rules)
        self.ledger = UsageLedger(self.rules)
        lease_rules = LeaseRules.within(settings.lease, settings.wake_slack)
        self.lease = Lease(own.id, incarnation, lease_rules)
        self.client = DutyClient(
            settings.address, own.id, self._may_send, lease_rules.hold_time
        )
        # Windows that ended earlier were counted by nobody.
        self.handled_ = self.rules.newest_settled(clock.now())
        self.confirmed_: set[int] = set()
        self.must_read_ = True
        # Entries that have answered for a window after its end.
        self.collected_window_: int | None = None
        self.answered_: set[str] = set()
        # The last holder that asked for counts, and when.
        self.collector_: tuple[str, datetime] | None = None

    async def run(self) -> None:
        """Report windows for as long as the process runs."""
        while True:
            pause = await self.step()
            await asyncio.sleep(max(pause.total_seconds(), 0.01))

    async def close(self) -> None:
        """Close the connections."""
        await self.client.close()

    def record_begun(self, team: str) -> None:
        """Count a request that an upstream has begun to run."""
        if team:
            self.counter.count(team, self.clock.now())

    def answer_counts(self, request: web.BaseRequest) -> web.Response:
        """Answer a holder's request for the counts of this entry."""
        self.collector_ = (request.query.get(HOLDER_QUERY, ""), self.clock.now())
        return web.Response(body=msgspec.msgpack.encode(self._own_usage()))

    def merge_counts(self, usage: EntryUsage) -> None:
        """Take over counts that an entry sent between a holder's requests."""
        self.ledger.merge(usage, self.clock.now())

    async def push(self) -> None:
        """Send the counts to the holder again and again until the process stops.

        Without them, a process that dies would take the counts of a window with it.
        """
        while True:
            await asyncio.sleep(PUSH_INTERVAL.total_seconds())
            self.push_counts()

    def push_counts(self) -> None:
        """Send the newest counts to the holder, if one has asked lately."""
        now = self.clock.now()
        holder, asked_at = self.collector_ or ("", now)
        address = self.peers.address(holder)
        if address is None or now - asked_at > self.rules.window * PUSHED_WINDOWS:
            return
        usage = self._own_usage(self.rules.number(now) - 1)
        # A larger one is not sent; the holder asks for it at the end of the window.
        if len(encode_message(usage)) <= MAX_DATAGRAM_BYTES:
            self.send(usage, [address])

    def _own_usage(self, oldest: int = 0) -> EntryUsage:
        return self.counter.usage(self.own.id, self.incarnation, oldest)

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
            "last_window": record.last_window if record else None,
        }

    async def step(self) -> timedelta:
        """Do what is due and return the time until the next step."""
        now = self.clock.now()
        reportable = self.rules.reportable(now)
        window = max(self.handled_ + 1, reportable.start)
        if window not in reportable:
            return self.rules.settled_at(window) - now
        acts_at = self._acts_at(window, now)
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

    def _acts_at(self, window: int, now: datetime) -> datetime | None:
        """Return when this entry looks after a window, `None` if others do."""
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
            return RETRY_PAUSE
        now, record = self.clock.now(), self.lease.record
        if not self.lease.is_own:
            if record is not None and not record.released:
                reported = record.last_window
                if reported is not None and reported >= window:
                    return None
            if not self.lease.may_propose(now):
                return self.lease.takeover_at() - now
            if record is not None and self._next_report(now) is not None:
                # The last holder may not have sent these, and they are due first.
                wait = await self._append_and_deliver()
                if wait is not None or not self.lease.is_own:
                    return wait
        missing = await self._collect(window)
        now, complete_by = self.clock.now(), self.rules.complete_by(window)
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
            return RETRY_PAUSE
        return await self._deliver()

    def _final_counts(self, now: datetime) -> dict[str, object]:
        """Return the reports to record: earlier unconfirmed ones and new windows."""
        record = self.lease.record
        last = record.last_window if record else None
        if record is None and not self.lease.is_empty:
            # The record is lost: any window that had ended may have been reported.
            last = self.rules.number(self.lease.seen_at_)
        unconfirmed = [
            report
            for report in (record.unconfirmed if record else ())
            if report.window not in self.confirmed_
            and self.rules.due_at(report.window) > now
        ]
        for window in self.rules.reportable(now):
            if last is None or window > last:
                unconfirmed.append(self.ledger.report(window))
                last = window
        return {"last_window": last, "unconfirmed": tuple(unconfirmed)}

    async def _deliver(self) -> timedelta | None:
        """Send the recorded reports; step down if the interface does not answer."""
        gives_up_at = self.clock.now() + self.lease.rules.duration
        while True:
            now = self.clock.now()
            report = self._next_report(now)
            if report is None:
                return None
            if now >= gives_up_at:
                await self._release("the interface does not accept reports")
                return None
            if self.lease.time_left(now) < MIN_CALL_TIME:
                if not await self._append():
                    return RETRY_PAUSE
                if self.lease.time_left(self.clock.now()) < MIN_CALL_TIME:
                    # The store took most of the lease to answer.
                    await asyncio.sleep(RETRY_PAUSE.total_seconds())
                continue
            if not await self._send(report):
                await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _next_report(self, now: datetime) -> WindowReport | None:
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
            is_final = (
                error.status in _CLIENT_ERROR and error.status != _TOO_MANY_REQUESTS
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
            late_s=(self.clock.now() - self.rules.end(report.window)).total_seconds(),
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
        was_own = self.lease.is_own
        proposal = self.lease.propose(**changes)
        started_at = self.clock.now()
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
        self.lease.accepted(proposal, started_at, self.clock.now())
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
        self.reporter.event("duty_store_failed", call=call, detail=error.message)

    async def _collect(self, window: int) -> list[str]:
        """Ask entries for their counts and return those that have not answered."""
        now = self.clock.now()
        if self.collected_window_ != window:
            self.collected_window_ = window
            self.answered_.clear()
            self.ledger.prune(now)
        active = [
            peer
            for peer in self.peers.active_entries(now)
            if peer.id not in self.answered_
        ]
        limit = asyncio.Semaphore(PARALLEL_PULLS)

        async def pull(peer: PeerAddress) -> None:
            async with limit:
                if await self._pull(peer):
                    self.answered_.add(peer.id)

        await asyncio.gather(*map(pull, active))
        self.ledger.merge(self._own_usage(), self.clock.now())
        return sorted(peer.id for peer in active if peer.id not in self.answered_)

    async def _pull(self, peer: PeerAddress) -> bool:
        url = (
            f"http://{peer.host}:{peer.port}{RUN_COUNTS_PATH}"
            f"?{HOLDER_QUERY}={self.own.id}"
        )
        try:
            body = await self.caller.call(
                "GET", url, PULL_TIMEOUT, max_bytes=MAX_USAGE_BYTES
            )
            usage = msgspec.msgpack.decode(body, type=EntryUsage)
        except (CallError, msgspec.DecodeError, RecursionError):
            self.reporter.count("usage_pulls_failed")
            return False
        self.ledger.merge(usage, self.clock.now())
        return True
