"""Entry server: the HTTP interface for callers and the life cycle of the entry."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

from aiohttp import web

from ..config import ConfigurationView
from ..connections import BodyBudget, DescriptorShares
from ..core import Code, RunState
from ..membership import Member, MembershipView
from ..streams import SlowReaderBudget
from ..webserver import GuardedServer
from ._entry_calls import EntryCalls
from ._entry_part import EntryPart
from ._entry_request import (
    BodyReader,
    EntryLimits,
    EntryRequest,
    malformed,
    parse_request,
)
from ._exchanges import Exchanges
from ._ports import RetryPort, RouterPort
from ._problem import ProblemError
from ._shell import Shell
from ._tables import make_table
from ._timeouts import EntryTimeouts

DRAIN_POLL_S = 0.02
# Time on shutdown for written responses to reach the callers.
SHUTDOWN_TIMEOUT_S = 5.0
# Longer than the idle timeout of common load balancers, so that they close first.
KEEPALIVE_TIMEOUT_S = 75.0
DEFAULT_BUDGET_BYTES = 8 * 1024**2


class EntryServer:
    """Accept callers' requests and relay the responses of upstreams.

    `home_of` returns the agent that decides on an idempotency key of a service, and
    `new_key` generates a key for a request of a service that has none.
    """

    def __init__(
        self,
        *,
        shell: Shell,
        part: EntryPart,
        configuration: ConfigurationView,
        membership: MembershipView,
        router: RouterPort,
        retries: RetryPort,
        home_of: Callable[[str, str], Member | None],
        new_key: Callable[[str], str],
        domain: str,
        host: str = "127.0.0.1",
        port: int = 0,
        limits: EntryLimits | None = None,
        timeouts: EntryTimeouts | None = None,
        budget_bytes: int = DEFAULT_BUDGET_BYTES,
        routes: Sequence[web.RouteDef] = (),
    ) -> None:
        self.shell = shell
        self.part = part
        self.configuration = configuration
        self.new_key = new_key
        self.domain = domain
        self.host = host
        self.port = port
        self.limits = limits or EntryLimits()
        self.routes = routes
        self.exchanges = Exchanges(
            shell=shell,
            membership=membership,
            router=router,
            timeouts=timeouts or EntryTimeouts(),
            budget=SlowReaderBudget(budget_bytes),
        )
        self.calls = EntryCalls(
            shell=shell,
            configuration=configuration,
            exchanges=self.exchanges,
            router=router,
            retries=retries,
            home_of=home_of,
        )
        self.bodies = BodyBudget(self.limits.total_body_bytes)
        self.web_server_: GuardedServer | None = None
        self.draining_ = False
        self.in_flight_ = 0
        self.in_flight_by_team_: Counter[str] = Counter()

    @property
    def held_bytes(self) -> int:
        """Return the bytes buffered for callers."""
        return self.exchanges.budget.held_bytes

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a complete response."""
        return self.in_flight_

    @property
    def url(self) -> str:
        """Return the base URL of the bound port."""
        return self.web_server_.url

    async def start(self) -> None:
        """Register for messages and bind the port; call after the shell's start."""
        self.part.listener_ = self
        self.exchanges.register()
        self.shell.spawn(self._check_exchanges())
        app = web.Application(
            client_max_size=self.limits.body_bytes, middlewares=[answer_with_problems]
        )
        app.add_routes([web.get("/healthz", self._health), *self.routes])
        app.router.add_route("*", "/{service}/{path:.*}", self._handle)
        self.web_server_ = GuardedServer(
            app,
            make_table(
                "callers",
                DescriptorShares.for_process().callers,
                self.shell.telemetry,
                self.shell.clock,
            ),
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
            shutdown_timeout_s=SHUTDOWN_TIMEOUT_S,
        )
        await self.web_server_.start(self.host, self.port)

    async def drain(self) -> None:
        """Refuse new requests and wait until those in flight have ended."""
        self.refuse_new_work()
        while self.in_flight_:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close the HTTP server."""
        self.part.listener_ = None
        await self.web_server_.stop()

    def refuse_new_work(self) -> None:
        """Refuse all further requests."""
        if not self.draining_:
            self.draining_ = True
            self.shell.telemetry.log("draining", {"in_flight": str(self.in_flight_)})

    def schedule_check(self) -> None:
        """Check heartbeats, deadlines and budgets after the current event."""
        asyncio.get_running_loop().call_soon(self.exchanges.check)

    async def _check_exchanges(self) -> None:
        # The interval between ticks is too long to fail over within the allowed time
        # to first token.
        interval = self.exchanges.timeouts.check_interval.total_seconds()
        while True:
            await asyncio.sleep(interval)
            if self.exchanges.exchanges_by_id_:
                self.exchanges.check()

    async def _health(self, request: web.Request) -> web.Response:
        # A failing health check makes the load balancer remove the entries of a failure
        # domain that is out of service. Requests that still arrive are served by
        # upstreams of other domains.
        domain = self.configuration.domains_by_id.get(self.domain)
        out = domain is not None and domain.out
        if self.draining_ or out or self.configuration.offset < 0:
            return web.Response(status=503, text="not in service\n")
        return web.Response(text="ok\n")

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if self.draining_:
            raise ProblemError(Code.DRAINING)
        self.in_flight_ += 1
        body = BodyReader(request, self.bodies, self.limits, self.shell.clock)
        try:
            parsed = await parse_request(
                request,
                self.configuration,
                self.limits,
                self.new_key,
                body,
            )
            return await self._serve(parsed, request)
        finally:
            self.in_flight_ -= 1
            body.close()

    async def _serve(
        self, parsed: EntryRequest, request: web.Request
    ) -> web.StreamResponse:
        team = parsed.team
        if self.in_flight_by_team_[team.id] >= team.max_in_flight:
            raise ProblemError(Code.TEAM_LIMIT)
        self.in_flight_by_team_[team.id] += 1
        try:
            return await self.calls.serve(parsed, request)
        finally:
            self.in_flight_by_team_[team.id] -= 1


@web.middleware
async def answer_with_problems(request: web.Request, handler) -> web.StreamResponse:
    """Convert exceptions into `application/problem+json` responses."""
    try:
        return await handler(request)
    except ProblemError as problem:
        return problem.response()
    except web.HTTPNotFound:
        detail = "the path names no service; use /<service>/<path>"
        return ProblemError(Code.UNKNOWN_SERVICE, RunState.NO, detail).response()
    except web.HTTPException as error:
        detail = f"{error.reason}; correct the request"
        return malformed(detail, status=error.status).response()
