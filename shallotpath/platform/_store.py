"""Client of the platform's store, a log with keyed topics."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
import msgspec

from ..core import PlatformError
from ..replication import KeyedRecord
from ..webclient import read_body
from ._decoding import DECODING_ERRORS, describe_error
from ._settings import Endpoint

# A healthy store responds in about 4 ms and may take 60 times as long. The limit is
# above that, and low enough to learn within 2 s that an upstream leaves even if one
# call is lost.
CALL_TIMEOUT = timedelta(milliseconds=700)
# Added to the time for which a read waits for new records.
LONG_POLL_MARGIN = timedelta(milliseconds=700)
# Largest page; the store sends up to 1 MB, or a single larger record.
MAX_PAGE_BYTES = 16 * 1024 * 1024
# Largest sum of the pages that list the newest records of a topic.
MAX_LISTING_BYTES = 64 * 1024 * 1024
# A page starts with a header; each of its records is preceded by its length.
_HEADER_BYTES = 16
_LENGTH_BYTES = 4
_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412


class HistoryLostError(PlatformError):
    """Report that the store no longer has the records from an offset on."""


class OffsetConflictError(PlatformError):
    """Report an append that was not made, as the topic ends at another offset."""


@dataclass(slots=True, frozen=True)
class TopicPage:
    """Hold records of a topic and the offset that follows them."""

    records: list[KeyedRecord]
    end: int
    # Records whose key or value cannot be decoded; other programs write records too.
    unreadable: int = 0


class StoreClient:
    """Read and write keyed topics."""

    __slots__ = ("address", "session")

    def __init__(self, address: Endpoint, session: aiohttp.ClientSession) -> None:
        self.address = address
        self.session = session

    async def newest(self, topic: str) -> TopicPage:
        """Return the newest record of each key.

        The pages are not a snapshot. The returned `end` is that of the first page, so
        a read from there returns all later changes.
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
            page = _decode_json(body)
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
            except DECODING_ERRORS as error:
                raise PlatformError(
                    f"listing of {topic} cannot be decoded: {describe_error(error)}; "
                    "check the store"
                ) from error

    async def read(
        self, topic: str, offset: int, wait: timedelta = timedelta()
    ) -> TopicPage:
        """Return the records from an offset on; wait for one if there are none."""
        query = {"topic": topic, "part": "0", "from": str(offset)}
        timeout = CALL_TIMEOUT
        if wait:
            query["waitMs"] = str(int(wait / timedelta(milliseconds=1)))
            timeout = wait + LONG_POLL_MARGIN
        body = await self._call("GET", "/log-read", query, timeout)
        return _decode_page(body, offset)

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> None:
        """Write the value of a key, if given only when the topic ends at an offset."""
        key_bytes = key.encode()
        content = bytes([len(key_bytes)]) + key_bytes + value
        record = len(content).to_bytes(_LENGTH_BYTES, "big") + content
        query = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = str(at)
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
                f"store did not respond to {path}: {error!r}; the call will be retried"
            ) from error
        if response.status == _GONE:
            raise HistoryLostError(
                f"store has no records of {query['topic']} from {query.get('from')}; "
                "the newest record of each key will be read instead"
            )
        if response.status == _PRECONDITION_FAILED:
            raise OffsetConflictError(
                f"{query['topic']} does not end at {query.get('at')}; "
                "it will be read again"
            )
        if response.status != _OK:
            raise PlatformError(
                f"store returned status {response.status} for {path}; "
                "the call will be retried"
            )
        return payload


def _decode_json(body: bytes) -> dict:
    try:
        return msgspec.json.decode(body, type=dict)
    except DECODING_ERRORS as error:
        raise PlatformError(
            f"response of the store cannot be decoded: {describe_error(error)}; "
            "check the store"
        ) from error


def _decode_item(item: dict) -> KeyedRecord | None:
    try:
        value = base64.b64decode(item["value"])
        return KeyedRecord(str(item["key"]), value, int(item["offset"]))
    except DECODING_ERRORS:
        return None


def _decode_page(body: bytes, offset: int) -> TopicPage:
    """Decode a page; skip records that cannot be decoded but count their offsets."""
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
    # The first byte is the length of the key; an empty value removes the key.
    if not content or len(content) <= content[0]:
        return None
    key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
    try:
        return KeyedRecord(key.decode(), value or None, offset)
    except UnicodeDecodeError:
        return None
