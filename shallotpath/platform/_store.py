"""Client of the platform's store: keyed topics of its log."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
import msgspec

from ..core import PlatformError
from ..replication import KeyedRecord
from ..webclient import read_body
from ._settings import Endpoint

# A healthy store answers in some 4 ms and may take 60 times as long. Twice that, as
# an upstream that leaves must be known within 2 s although one call may be lost.
CALL_TIMEOUT = timedelta(milliseconds=700)
# Added to the time for which a read may wait for news.
WAIT_SLACK = timedelta(milliseconds=700)
# Largest page; the store sends 1 MB, or one record that is larger.
MAX_PAGE_BYTES = 16 * 1024 * 1024
# Largest listing of all pages of a topic.
MAX_LISTING_BYTES = 64 * 1024 * 1024
_HEADER_BYTES = 16
_LENGTH_BYTES = 4
_OK = 200
_GONE = 410


class HistoryLostError(PlatformError):
    """Report that the store no longer has the records after an offset."""


@dataclass(slots=True, frozen=True)
class TopicPage:
    """Records of a topic and the offset that follows them."""

    records: list[KeyedRecord]
    end: int
    # Records of other writers that have no readable key or value.
    unreadable: int = 0


class StoreClient:
    """Read and write keyed topics."""

    __slots__ = ("address", "session")

    def __init__(self, address: Endpoint, session: aiohttp.ClientSession) -> None:
        self.address = address
        self.session = session

    async def newest(self, topic: str) -> TopicPage:
        """Return the newest record of each key.

        The pages are no snapshot, so `end` is that of the first page: what
        changed since then is read again from there.
        """
        records: list[KeyedRecord] = []
        query = {"topic": topic, "part": "0"}
        first_end, unreadable, listed_bytes = None, 0, 0
        while True:
            body = await self._call("GET", "/log-newest", query, CALL_TIMEOUT)
            listed_bytes += len(body)
            if listed_bytes > MAX_LISTING_BYTES:
                raise PlatformError(
                    f"listing of {topic} exceeds {MAX_LISTING_BYTES} bytes; "
                    "check the store"
                )
            page = _json(body)
            try:
                if first_end is None:
                    first_end = int(page["end"])
                for item in page["items"]:
                    record = _decode_item(item)
                    if record is None:
                        unreadable += 1
                    else:
                        records.append(record)
                if not page.get("hasMore"):
                    return TopicPage(records, first_end, unreadable)
                query["after"] = page["items"][-1]["key"]
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise PlatformError(
                    f"listing of {topic} cannot be read: {error!r}; check the store"
                ) from error

    async def read(
        self, topic: str, offset: int, wait: timedelta = timedelta()
    ) -> TopicPage:
        """Return the records from an offset on; wait for one if there is none."""
        query = {"topic": topic, "part": "0", "from": str(offset)}
        timeout = CALL_TIMEOUT
        if wait:
            query["waitMs"] = str(int(wait / timedelta(milliseconds=1)))
            timeout = wait + WAIT_SLACK
        body = await self._call("GET", "/log-read", query, timeout)
        return _decode_page(body, offset)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write the value of a key."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = len(content).to_bytes(_LENGTH_BYTES, "big") + content
        query = {"topic": topic, "part": "0"}
        await self._call("POST", "/log-append", query, CALL_TIMEOUT, record)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout: timedelta,
        body: bytes | None = None,
    ) -> bytes:
        url = f"http://{self.address}{path}"
        try:
            async with self.session.request(
                method,
                url,
                params=query,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                payload = await read_body(response, MAX_PAGE_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformError(
                f"store did not answer {path}: {error!r}; it is asked again"
            ) from error
        if response.status == _GONE:
            raise HistoryLostError(
                f"store has no records of {query['topic']} from {query.get('from')}; "
                "the newest of each key are read in their place"
            )
        if response.status != _OK:
            raise PlatformError(
                f"store answered {path} with {response.status}; it is asked again"
            )
        return payload


def _json(body: bytes) -> dict:
    try:
        return msgspec.json.decode(body, type=dict)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f"answer of the store cannot be read: {error}; check the store"
        ) from error


def _decode_item(item: dict) -> KeyedRecord | None:
    try:
        value = base64.b64decode(item["value"])
        return KeyedRecord(str(item["key"]), value, int(item["offset"]))
    except (KeyError, TypeError, ValueError):
        return None


def _decode_page(body: bytes, offset: int) -> TopicPage:
    """Decode records; one that cannot be read takes its offset and is skipped."""
    records: list[KeyedRecord] = []
    position, unreadable = _HEADER_BYTES, 0
    while position + _LENGTH_BYTES <= len(body):
        start = position + _LENGTH_BYTES
        end = start + int.from_bytes(body[position:start], "big")
        if end > len(body):
            break
        record = _decode_record(body[start:end], offset)
        if record is None:
            unreadable += 1
        else:
            records.append(record)
        offset += 1
        position = end
    return TopicPage(records, offset, unreadable)


def _decode_record(content: bytes, offset: int) -> KeyedRecord | None:
    if not content or len(content) <= content[0]:
        return None
    key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
    try:
        return KeyedRecord(key.decode(), value or None, offset)
    except UnicodeDecodeError:
        return None
