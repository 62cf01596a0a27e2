"""HTTP client of the platform: log, VM list and origin of weights."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..core import ListedVm, ListUpdated, LogRecord, PlatformError
from ..webclient import TooLongError, read_body, read_json

REQUEST_TIMEOUT_S = 2.0
LONG_POLL_MS = 5_000
CHUNK_TIMEOUT_S = 60.0
# Largest page of the log, VM list or manifest.
MAX_PAGE_BYTES = 64 * 1024 * 1024
# Largest error text that is read.
MAX_ERROR_BYTES = 4 * 1024


@dataclass(slots=True, frozen=True)
class LogPage:
    """Records of one read and the oldest offset still kept."""

    records: list[LogRecord]
    first_offset: int
    next_offset: int


class PlatformClient:
    """Call the platform; raise `PlatformError` when it does not answer."""

    __slots__ = ("session", "url")

    def __init__(self, session: ClientSession, url: str) -> None:
        self.session = session
        self.url = url

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append records and return the offset of the first.

        After a `PlatformError` the records may or may not be in the log.
        """
        body = {"records": [b64encode(record).decode() for record in records]}
        page = await self._request_json("POST", f"/log/{stream}", json=body)
        return page["first_offset"]

    async def read(
        self, stream: str, start: int, *, wait_ms: int = LONG_POLL_MS, limit: int = 1000
    ) -> LogPage:
        """Read records from an offset, waiting for the next one if there is none."""
        page = await self._request_json(
            "GET",
            f"/log/{stream}?from={start}&wait={wait_ms}&limit={limit}",
            timeout=REQUEST_TIMEOUT_S + wait_ms / 1000,
        )
        records = [
            LogRecord(item["offset"], b64decode(item["data"]))
            for item in page["records"]
        ]
        return LogPage(records, page["first_offset"], page["next"])

    async def vms(self) -> ListUpdated:
        """Return the VM list."""
        page = await self._request_json("GET", "/vms")
        vms = [
            ListedVm(
                vm["id"],
                vm.get("incarnation", ""),
                vm.get("address", ""),
                vm.get("domain", ""),
                vm.get("state", "live"),
            )
            for vm in page["vms"]
        ]
        return ListUpdated(page["version"], vms)

    async def manifest(self, model: str, version: str) -> dict:
        """Return the manifest of a version."""
        return await self._request_json("GET", f"/versions/{model}/{version}/manifest")

    async def chunk(
        self, model: str, version: str, index: int, *, max_bytes: int
    ) -> bytes:
        """Return one chunk from the origin."""
        path = f"/versions/{model}/{version}/chunks/{index}"
        return await self._request_bytes("GET", path, max_bytes)

    async def _request_json(
        self, method: str, path: str, *, timeout: float = REQUEST_TIMEOUT_S, **kwargs
    ) -> dict:
        try:
            async with self.session.request(
                method,
                self.url + path,
                timeout=ClientTimeout(timeout),
                allow_redirects=False,
                **kwargs,
            ) as response:
                await self._check_status(response, path)
                return await read_json(response, MAX_PAGE_BYTES)
        except (TimeoutError, ClientError, asyncio.IncompleteReadError) as error:
            raise self._unavailable_error(path, error) from error

    async def _request_bytes(self, method: str, path: str, max_bytes: int) -> bytes:
        try:
            async with self.session.request(
                method,
                self.url + path,
                timeout=ClientTimeout(CHUNK_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                await self._check_status(response, path)
                return await read_body(response, max_bytes)
        except (TimeoutError, ClientError) as error:
            raise self._unavailable_error(path, error) from error

    async def _check_status(self, response, path: str) -> None:
        if response.status != 200:
            try:
                body = await read_body(response, MAX_ERROR_BYTES)
            except TooLongError as error:
                body = str(error).encode()
            text = body.decode(errors="replace").strip()
            raise PlatformError(
                f"the platform answered {response.status} to {path}: {text}; "
                "check the platform's status and the url in [platform]"
            )

    def _unavailable_error(self, path: str, error: Exception) -> PlatformError:
        return PlatformError(
            f"the platform did not answer {path} ({type(error).__name__}); "
            "check the platform's status and the url in [platform]"
        )
