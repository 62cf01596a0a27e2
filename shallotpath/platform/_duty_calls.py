"""Client of the platform's interface for duties."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import aiohttp
import msgspec

from ._engine_calls import HttpCaller
from ._names import DUTY_HOLDER, FENCING_TOKEN
from ._session import open_guarded_session
from ._settings import Endpoint

# A healthy interface responds in milliseconds; several calls fit in a lease.
CALL_TIMEOUT = timedelta(milliseconds=800)


class DutyClient:
    """Send calls that only the holder of a duty may make."""

    __slots__ = ("address", "caller_", "node", "session_")

    def __init__(
        self,
        address: Endpoint,
        node: str,
        may_send: Callable[[], bool],
        send_limit: timedelta,
    ) -> None:
        self.address = address
        self.node = node
        self.session_: aiohttp.ClientSession = open_guarded_session(
            may_send, send_limit
        )
        self.caller_ = HttpCaller(self.session_)

    async def report_usage(
        self,
        token: int,
        window: int,
        counts_by_team: Mapping[str, int],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> None:
        """Report the requests of each team that began in a window.

        Raise `CallError`, or `LeaseEndedError` if nothing was sent.
        """
        await self._send(
            "/usage", token, {"window": window, "counts": counts_by_team}, timeout
        )

    async def _send(
        self, path: str, token: int, fields: Mapping[str, object], timeout: timedelta
    ) -> None:
        headers = {
            DUTY_HOLDER: self.node,
            FENCING_TOKEN: str(token),
            "Content-Type": "application/json",
        }
        await self.caller_.call(
            "POST",
            f"http://{self.address}{path}",
            timeout,
            msgspec.json.encode(fields),
            headers,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session_.close()
