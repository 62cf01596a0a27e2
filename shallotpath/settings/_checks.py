"""Parse and check single settings; a `ValueError` names the fault and a remedy."""

from __future__ import annotations

import re
from ipaddress import ip_address
from urllib.parse import urlsplit

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
MAX_PORT = 65535


def check_name(text: str) -> str:
    """Check an identifier of a node, domain, region or service."""
    if not _NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name; use letters, digits, '.', '_' and '-'"
        )
    return text


def check_host_port(text: str) -> tuple[str, int]:
    """Check an address such as `10.0.0.5:7000` and split it into host and port."""
    host, colon, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        number = int(port)
        if not colon or not 0 <= number <= MAX_PORT:
            raise ValueError
    except ValueError:
        raise ValueError(
            f"{text!r} is not an address; write an IP number and a port "
            "like 10.0.0.5:7000"
        ) from None
    return host.strip("[]"), number


def check_endpoint(text: str) -> str:
    """Check an address and return it as a ZeroMQ endpoint."""
    host, port = check_host_port(text)
    return f"tcp://[{host}]:{port}" if ":" in host else f"tcp://{host}:{port}"


def check_endpoints(text: str) -> list[str]:
    """Check addresses separated by commas or white space; return the endpoints."""
    return [check_endpoint(item) for item in re.split(r"[,\s]+", text.strip()) if item]


def check_url(text: str) -> str:
    """Check an HTTP base URL and return it without a trailing slash."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise ValueError(f"{text!r} is not a URL; write it like http://10.0.0.9:8080")
    return text.rstrip("/")


def check_positive(text: str) -> int:
    """Check a whole number of at least 1."""
    return _parse_integer(text, 1)


def check_non_negative(text: str) -> int:
    """Check a whole number of at least 0."""
    return _parse_integer(text, 0)


def check_bool(text: str) -> bool:
    """Check a boolean, which is written `yes` or `no`."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is not a boolean; write yes or no")
    return text == "yes"


def check_choice(*choices: str):
    """Return a function that checks for one of several words."""

    def check(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is unknown; use one of {', '.join(choices)}")
        return text

    return check


def _parse_integer(text: str, minimum: int) -> int:
    try:
        number = int(text)
    except ValueError:
        number = minimum - 1
    if number < minimum:
        raise ValueError(f"{text!r} is not a whole number of at least {minimum}")
    return number
