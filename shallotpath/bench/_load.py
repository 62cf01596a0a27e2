"""Open-loop load generator that checks every answer."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from hdrh.histogram import HdrHistogram

from ..standins import make_token

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(slots=True, frozen=True)
class Request:
    """Describe one request of the load."""

    id: str
    service: str
    path: str
    body: dict
    token: str
    key: str = ""
    deadline_s: float = 10.0


@dataclass(slots=True)
class Outcome:
    """Describe how one request ended.

    `kind` is one of answered, refused, failed, lost, truncated, crossed, mixed.
    A failed request got a typed error and may have run; a lost one got no answer
    that tells whether it ran. A crossed answer has tokens of another request or
    version.
    """

    request: Request
    kind: str
    run: str = ""
    code: str = ""
    seconds: float = 0.0
    first_token_seconds: float = 0.0
    digest: str = ""
    broken: bool = False


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class LoadResult:
    """Collect the outcomes of a run."""

    outcomes: list[Outcome] = field(default_factory=list)
    gaps: HdrHistogram = field(default_factory=make_histogram)

    def gap_ms(self, percentile: float) -> float:
        """Return a percentile of the time between two tokens."""
        return self.gaps.get_value_at_percentile(percentile) / 1000

    def count(self, kind: str) -> int:
        """Return the number of outcomes of a kind."""
        return sum(outcome.kind == kind for outcome in self.outcomes)

    def counts(self) -> dict[str, int]:
        """Return the number of outcomes by kind."""
        return dict(Counter(outcome.kind for outcome in self.outcomes))

    def codes(self) -> dict[str, int]:
        """Return the number of refusals and failures by code."""
        return dict(Counter(o.code for o in self.outcomes if o.code))

    def percentile_ms(self, percentile: float, *, first_token: bool = False) -> float:
        """Return a latency percentile of the answered requests."""
        histogram = make_histogram()
        for outcome in self.outcomes:
            if outcome.kind == "answered":
                seconds = (
                    outcome.first_token_seconds if first_token else outcome.seconds
                )
                histogram.record_value(max(1, round(seconds * 1e6)))
        return histogram.get_value_at_percentile(percentile) / 1000


class LoadGenerator:
    """Send requests at given times through a list of entries.

    Entries are chosen at random, as the platform's load balancer would. One that
    refuses connections is replaced by the next, because the health checks of a
    load balancer would remove it. A caller whose connection breaks sends the
    request again with the same key, once.
    """

    def __init__(
        self,
        entries: Callable[[], Sequence[str]],
        *,
        seed: int = 1,
        read_delay_s: float = 0.0,
    ) -> None:
        self.entries = entries
        self.read_delay_s = read_delay_s
        self.random_ = Random(seed)
        self.result_ = LoadResult()
        self.tasks_: set[asyncio.Task] = set()
        self.resent_by_id_: Counter[str] = Counter()
        self.session_: ClientSession | None = None

    async def __aenter__(self) -> LoadGenerator:
        self.session_ = ClientSession(
            connector=TCPConnector(limit=0), timeout=ClientTimeout(None)
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.finish()
        await self.session_.close()

    def send(self, request: Request) -> asyncio.Task[Outcome]:
        """Start a request now."""
        task = asyncio.create_task(self._send(request))
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)
        return task

    async def steady(
        self, rate: float, seconds: float, make: Callable[[int], Request]
    ) -> None:
        """Start requests at a steady rate, whether or not answers arrive."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        for index in range(round(rate * seconds)):
            await asyncio.sleep(max(0.0, started + index / rate - loop.time()))
            self.send(make(index))

    async def finish(self) -> LoadResult:
        """Wait for all requests and return the outcomes."""
        if self.tasks_:
            await asyncio.gather(*self.tasks_)
        return self.result_

    async def _send(self, request: Request) -> Outcome:
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(request.deadline_s + 5):
                outcome = await self._attempt(request)
        except TimeoutError:
            outcome = Outcome(request, "lost", code="client_timeout")
        outcome.seconds = asyncio.get_running_loop().time() - started
        self.result_.outcomes.append(outcome)
        return outcome

    async def _attempt(self, request: Request) -> Outcome:
        entries = list(self.entries())
        self.random_.shuffle(entries)
        for entry in entries:
            started = asyncio.get_running_loop().time()
            try:
                response = await self.session_.post(
                    f"{entry}/{request.service}/{request.path}",
                    data=json.dumps(request.body),
                    headers=_headers(request),
                )
            except ClientError as error:
                if _is_connection_refused(error):
                    continue
                outcome = Outcome(request, "lost", code=type(error).__name__)
                outcome.broken = True
            else:
                async with response:
                    outcome = await self._read(request, response, started)
            if not outcome.broken or self.resent_by_id_[request.id]:
                return outcome
            self.resent_by_id_[request.id] += 1
            return await self._attempt(request)
        return Outcome(request, "lost", code="no_entry")

    async def _read(self, request, response, started) -> Outcome:
        try:
            if response.status != 200:
                return await _read_refusal(request, response)
            if response.content_type != "text/event-stream":
                await response.read()
                return Outcome(request, "answered", digest=_version(response))
            return await self._read_stream(request, response, started)
        except ClientError as error:
            broken = Outcome(request, "truncated", code=type(error).__name__)
            broken.broken = True
            return broken

    async def _read_stream(self, request, response, started) -> Outcome:
        checker = StreamChecker(request, _version(response))
        first = 0.0
        last = started
        while event := await _next_event(response.content):
            now = asyncio.get_running_loop().time()
            if not first:
                first = now - started
            else:
                self.result_.gaps.record_value(max(1, round((now - last) * 1e6)))
            last = now
            checker.check(event)
            if self.read_delay_s:
                await asyncio.sleep(self.read_delay_s)
        outcome = checker.outcome()
        outcome.first_token_seconds = first
        return outcome


class StreamChecker:
    """Check a streamed answer token by token against its prompt and version."""

    __slots__ = ("digest", "ended_", "error_", "fault_kind_", "next_index_", "request")

    def __init__(self, request: Request, digest: str) -> None:
        self.request = request
        self.digest = digest
        self.next_index_ = int(request.body.get("resume_from", 0))
        self.ended_ = False
        self.fault_kind_ = ""
        self.error_: dict = {}

    def check(self, event: str) -> None:
        """Check one server-sent event."""
        fields = dict(
            line.split(": ", 1) for line in event.splitlines() if ": " in line
        )
        data = json.loads(fields.get("data", "{}"))
        if fields.get("event") == "error":
            self.error_ = data
        elif fields.get("event") == "end":
            self.ended_ = data.get("n") == self.next_index_ == self._count()
        else:
            self._check_token(data)

    def outcome(self) -> Outcome:
        """Return the outcome of the whole stream."""
        if self.error_:
            run, code = self.error_.get("run", ""), self.error_.get("code", "")
            return Outcome(self.request, "failed", run, code)
        kind = self.fault_kind_ or ("answered" if self.ended_ else "truncated")
        return Outcome(self.request, kind, digest=self.digest)

    def _check_token(self, data: dict) -> None:
        prompt = self.request.body["prompt"]
        if data.get("i") != self.next_index_:
            self.fault_kind_ = "truncated"
        elif data.get("t") != make_token(self.digest, prompt, self.next_index_):
            self.fault_kind_ = "crossed"
        self.next_index_ += 1

    def _count(self) -> int:
        return int(self.request.body.get("max_tokens", 16))


def _headers(request: Request) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {request.token}",
        "Content-Type": "application/json",
        "X-Deadline": f"{round(request.deadline_s * 1000)}ms",
    }
    if request.key:
        headers["Idempotency-Key"] = request.key
    return headers


def _is_connection_refused(error: ClientError) -> bool:
    return isinstance(getattr(error, "os_error", None), ConnectionRefusedError)


def _version(response) -> str:
    return response.headers.get("X-Weights-Digest", "")


async def _read_refusal(request: Request, response) -> Outcome:
    text = await response.text()
    try:
        problem = json.loads(text)
    except json.JSONDecodeError:
        return Outcome(request, "lost", code=f"http_{response.status}")
    kind = "refused" if problem.get("run") == "no" else "failed"
    return Outcome(request, kind, problem.get("run", ""), problem.get("code", ""))


async def _next_event(content) -> str:
    lines: list[str] = []
    while line := (await content.readline()).decode():
        if line == "\n":
            if lines:
                break
            continue
        lines.append(line)
    return "".join(lines)
