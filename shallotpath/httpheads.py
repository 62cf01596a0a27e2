"""Decide which heads of HTTP responses are answers in the protocol."""

from __future__ import annotations

import re

from aiohttp import HttpVersion10, HttpVersion11
from aiohttp.http import RawResponseMessage

# Statuses that end a request; each lower one from 100 on announces a later response.
FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = range(100, 200)
# Accepts an upgrade of the connection, which no client here asks for.
_SWITCHING_PROTOCOLS = 101
_VERSIONS = frozenset({HttpVersion10, HttpVersion11})
# The parser also takes names of other protocols.
_PROTOCOL = b"HTTP/"
# Not allowed in a reason or field value (RFC 9110, section 5.5), and aiohttp's server
# fails when it writes them, but the parser accepts them.
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def is_interim(status: int) -> bool:
    """Check whether another response follows one with this status."""
    return status in INTERIM_STATUSES


def describe_fault(message: RawResponseMessage) -> str:
    """Describe why a head is no answer; return an empty string if it is one."""
    version, headers = message.version, message.headers
    if version not in _VERSIONS:
        return f"HTTP version {version.major}.{version.minor}"
    if any(map(_CONTROL_CHARACTER.search, (message.reason, *headers.values()))):
        return "control character in a head"
    codings = headers.getall("Transfer-Encoding", [])
    if codings and [coding.strip().lower() for coding in codings] != ["chunked"]:
        # The body would be relayed with its coding, which the caller is not told.
        return f"transfer codings {codings}"
    return "" if message.code in FINAL_STATUSES else _describe_interim_fault(message)


def _describe_interim_fault(message: RawResponseMessage) -> str:
    status, headers = message.code, message.headers
    if not is_interim(status) or status == _SWITCHING_PROTOCOLS:
        return f"status {status:03}"
    if "Transfer-Encoding" in headers or headers.get("Content-Length", "0") != "0":
        return f"interim status {status} with a body"
    return ""


def is_other_protocol(start: bytes) -> bool:
    """Check whether the first bytes of a head name another protocol than HTTP."""
    return not _PROTOCOL.startswith(start[: len(_PROTOCOL)])
