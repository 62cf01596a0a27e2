"""HTTP client of the engine or plain service on the agent's VM."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from ..core import DECODING_ERRORS, EngineObserved, RunState, Submit
from ..webclient import read_body

STATE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
MAX_STATE_BYTES = 1024 * 1024


class EngineRunError(Exception):
    """Report that a run was interrupted and whether the engine had received it."""

    def __init__(self, run: RunState, reason: str) -> None:
        super().__init__(f"{reason}; check the engine and url in [engine]")
        self.run = run


class EngineDownError(Exception):
    """Report that the engine refuses or drops connections."""


class EngineBusyError(Exception):
    """Report that the engine gave no valid state in time."""


class EngineAnswer:
    """Read one answer of the engine."""

    __slots__ = ("response",)

    def __init__(self, response: ClientResponse) -> None:
        self.response = response

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status

    @property
    def content_type(self) -> str:
        """Return the content type."""
        return self.response.headers.get("Content-Type", "application/octet-stream")

    @property
    def digest(self) -> str:
        """Return the digest of the weights that produce the answer."""
        return self.response.headers.get("X-Weights-Digest", "")

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the engine that answers."""
        return self.response.headers.get("X-Engine-Incarnation", "")

    async def read(self, limit: int) -> bytes:
        """Return at most `limit` bytes, or nothing at the end."""
        try:
            return await self.response.content.read(limit)
        except (ClientError, TimeoutError, OSError) as error:
            raise EngineRunError(
                RunState.UNKNOWN, f"the answer was interrupted: {error}"
            ) from error


class EngineClient:
    """Start and cancel runs on one engine and read its state."""

    __slots__ = ("session", "url")

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    @asynccontextmanager
    async def run(
        self, run_id: str, submit: Submit, body: bytes
    ) -> AsyncIterator[EngineAnswer]:
        """Send a request to the engine and yield its answer."""
        response = await self._post(run_id, submit, body)
        try:
            yield EngineAnswer(response)
        finally:
            # Closes the connection unless the answer was read to its end.
            response.release()

    async def cancel(self, run_id: str) -> None:
        """Cancel a run; an engine that does not answer has lost it or will end it."""
        try:
            async with self.session.delete(
                f"{self.url}/run/{run_id}",
                timeout=ClientTimeout(STATE_TIMEOUT_S),
                allow_redirects=False,
            ):
                pass
        except (ClientError, TimeoutError, OSError):
            return

    async def observe(self) -> EngineObserved:
        """Return the state of the engine."""
        try:
            async with self.session.get(
                f"{self.url}/state",
                timeout=ClientTimeout(STATE_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    raise EngineBusyError(f"/state answered {response.status}")
                return _state_decoder.decode(await read_body(response, MAX_STATE_BYTES))
        except TimeoutError as error:
            raise EngineBusyError("/state did not answer in time") from error
        except DECODING_ERRORS as error:
            raise EngineBusyError(f"/state does not decode: {error}") from error
        except (ClientError, OSError) as error:
            raise EngineDownError(str(error)) from error

    async def _post(self, run_id: str, submit: Submit, body: bytes) -> ClientResponse:
        headers = {
            "X-Request-Id": run_id,
            "X-Priority": str(submit.priority),
            "Content-Type": "application/json",
        }
        if submit.key:
            headers["Idempotency-Key"] = submit.key
        try:
            return await self.session.post(
                f"{self.url}/run/{submit.path}",
                data=body,
                headers=headers,
                timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
                allow_redirects=False,
            )
        except ClientConnectorError as error:
            raise EngineRunError(RunState.NO, f"no connection: {error}") from error
        except (ClientError, TimeoutError, OSError) as error:
            raise EngineRunError(RunState.UNKNOWN, f"no answer: {error}") from error


_state_decoder = msgspec.json.Decoder(EngineObserved)
