"""Error responses to callers in the form of `application/problem+json`."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from aiohttp import web

from ..core import Code, RunState

STATUS_BY_CODE = {
    Code.MALFORMED_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNAUTHORIZED: 401,
    Code.UNKNOWN_SERVICE: 404,
    Code.TEAM_LIMIT: 429,
    Code.QUARANTINED: 422,
    Code.DEADLINE_EXCEEDED: 504,
    Code.UPSTREAM_FAILED: 502,
    Code.UPSTREAM_LOST: 502,
    Code.BAD_FRAME: 502,
    Code.SLOW_READER: 408,
    Code.CLAIM_ELSEWHERE: 409,
    Code.CLAIM_IN_PROGRESS: 409,
    Code.CLAIM_UNKNOWN: 409,
}
DEFAULT_STATUS = 503

DETAIL_BY_CODE = {
    Code.MALFORMED_REQUEST: "the request is malformed; correct it and send it again",
    Code.BODY_TOO_LARGE: "the body is too large; send a smaller one",
    Code.UNAUTHORIZED: "the token is missing or unknown; send the team's bearer token",
    Code.UNKNOWN_SERVICE: "the service is unknown; check the first part of the path",
    Code.NO_CONFIGURATION: "no configuration has arrived yet; send the request again",
    Code.NO_UPSTREAM: "no upstream can take the request; send it again later",
    Code.OVERLOADED: "all upstreams are at their limit; send the request again later",
    Code.TEAM_LIMIT: "the team has too many requests in flight; wait for some to end",
    Code.DEADLINE_UNREACHABLE: (
        "the deadline cannot be met; send the request later or with a longer X-Deadline"
    ),
    Code.DEADLINE_EXCEEDED: "the deadline has passed; use a longer X-Deadline",
    Code.DRAINING: "this entry is leaving; send the request again on a new connection",
    Code.DOMAIN_OUT: "the failure domain is out; send the request again later",
    Code.WEIGHTS_NOT_READY: (
        "the configured weights are not loaded yet; send the request again later"
    ),
    Code.QUARANTINED: (
        "equal requests crashed upstreams; change the request or wait for the "
        "quarantine to end"
    ),
    Code.ISOLATED: (
        "an equal request crashed an upstream and another upstream tries it alone; "
        "send the request again later"
    ),
    Code.UPSTREAM_FAILED: "the upstream failed; check `run` before a repetition",
    Code.UPSTREAM_LOST: "the upstream does not answer; check `run` before a repetition",
    Code.SLOW_READER: "the response was read too slowly; read it faster",
    Code.CANCELLED: "the request was cancelled; send it again if it is still needed",
    Code.CLAIM_ELSEWHERE: (
        "another upstream claimed the key; send the request again with the same key"
    ),
    Code.CLAIM_IN_PROGRESS: (
        "a request with this key runs; send it again with the same key for its state"
    ),
    Code.CLAIM_UNKNOWN: (
        "a request with this key may have run; check its effect before using a new key"
    ),
    Code.CLAIM_UNAVAILABLE: (
        "the key cannot be claimed now; send the request again with the same key"
    ),
    Code.BAD_FRAME: "the response did not match its checksum; check `run` and repeat",
}
RETRY_AFTER_BY_CODE = {
    code: timedelta(seconds=1)
    for code in (
        Code.NO_CONFIGURATION,
        Code.NO_UPSTREAM,
        Code.OVERLOADED,
        Code.TEAM_LIMIT,
        Code.DRAINING,
        Code.DOMAIN_OUT,
        Code.WEIGHTS_NOT_READY,
        Code.ISOLATED,
        Code.CLAIM_IN_PROGRESS,
        Code.CLAIM_UNAVAILABLE,
    )
}


@dataclass(slots=True, frozen=True)
class ProblemBody:
    """Define the JSON body of an error response."""

    type: str
    title: str
    status: int
    code: str
    run: str
    detail: str


class ProblemError(Exception):
    """Carry an error to report to the caller."""

    def __init__(
        self,
        code: Code,
        run: RunState = RunState.NO,
        detail: str = "",
        retry_after: timedelta | None = None,
        status: int = 0,
    ) -> None:
        super().__init__(code)
        self.code = code
        self.run = run
        self.detail = detail or DETAIL_BY_CODE.get(code, str(code))
        self.retry_after = retry_after or RETRY_AFTER_BY_CODE.get(code)
        self.status = status or STATUS_BY_CODE.get(code, DEFAULT_STATUS)

    def body(self) -> bytes:
        """Return the JSON body."""
        body = ProblemBody(
            f"urn:shallotpath:error:{self.code}",
            self.code.replace("_", " "),
            self.status,
            self.code,
            self.run,
            self.detail,
        )
        return msgspec.json.encode(body)

    def event(self) -> bytes:
        """Return the server-sent event that reports the error in a started stream."""
        return b"event: error\ndata: " + self.body() + b"\n\n"

    def response(self) -> web.Response:
        """Return the error as an HTTP response."""
        headers = {}
        if self.retry_after is not None:
            seconds = math.ceil(self.retry_after.total_seconds())
            headers["Retry-After"] = str(max(1, seconds))
        if self.code is Code.UNAUTHORIZED:
            headers["WWW-Authenticate"] = "Bearer"
        response = web.Response(
            status=self.status,
            body=self.body(),
            headers=headers,
            content_type="application/problem+json",
        )
        if self.code is Code.DRAINING:
            response.force_close()
        return response
