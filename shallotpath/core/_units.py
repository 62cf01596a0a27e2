"""Parse and format durations, sizes and rates with units."""

from __future__ import annotations

import re
from datetime import timedelta

_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
_BYTES_BY_UNIT = {
    "B": 1,
    "KiB": 1024,
    "MiB": 1024**2,
    "GiB": 1024**3,
    "KB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
}
_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as `500ms` or `2h`."""
    amount, unit = _parse_quantity(text, _SECONDS_BY_UNIT, "500ms")
    return timedelta(seconds=amount * _SECONDS_BY_UNIT[unit])


def parse_size(text: str) -> int:
    """Parse a size such as `64MiB` into bytes."""
    amount, unit = _parse_quantity(text, _BYTES_BY_UNIT, "64MiB")
    return int(amount * _BYTES_BY_UNIT[unit])


def parse_rate(text: str) -> int:
    """Parse a rate such as `10MB/s` into bytes a second."""
    if not text.strip().endswith("/s"):
        raise ValueError(f"{text!r} has no unit; write it like 10MB/s")
    return parse_size(text.strip().removesuffix("/s"))


def format_duration(value: timedelta) -> str:
    """Format a duration in the largest unit that keeps it whole."""
    milliseconds = round(value.total_seconds() * 1000)
    for unit in ("d", "h", "min", "s"):
        unit_ms = round(_SECONDS_BY_UNIT[unit] * 1000)
        if milliseconds and milliseconds % unit_ms == 0:
            return f"{milliseconds // unit_ms}{unit}"
    return f"{milliseconds}ms"


def _parse_quantity(
    text: str, units: dict[str, float], example: str
) -> tuple[float, str]:
    match = _QUANTITY.fullmatch(text.strip())
    if match is None or match.group(2) not in units:
        known_units = ", ".join(units)
        raise ValueError(
            f"{text!r} needs a number and one of the units {known_units}; "
            f"write it like {example}"
        )
    return float(match.group(1)), match.group(2)
