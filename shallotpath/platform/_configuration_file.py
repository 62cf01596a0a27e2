"""Read a configuration as its author wrote it, for a check before it is published."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from ..core import PlatformError
from ..gateway import Catalog, Team
from ._names import OPERATOR_TOPIC
from ._records import CONFIGURATION_KEY, RecordError, _team, decode_operator_record
from ._settings import Endpoint
from ._store import StoreClient

# Fields of a configuration. Those that this system ignores are listed too, as other
# programs of the platform read them.
_KNOWN_FIELDS = {
    "": {"version", "routes", "services", "tenants", "limits"},
    "routes": {
        *("name", "host", "pathPrefix", "kind", "service", "split", "timeoutMs"),
        *("targetLatencyMs", "priority", "maxAttempts", "public", "sticky"),
        *("canResume", "gapTargetMs", "allowedRegions"),
    },
    "split": {"service", "weight"},
    "services": {
        *("name", "healthPath", "maxConns", "protocol", "tls", "coldS", "coldPerS"),
        *("engine", "origin", "zone", "linkMbps", "scale"),
    },
    "tenants": {"name", "apiKeys", "priority", "allowedRegions", "ratePerS"},
    "limits": {"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"},
}


@dataclass(slots=True, frozen=True)
class ConfigurationFile:
    """Hold a decoded configuration and what decoding does not keep."""

    catalog: Catalog
    teams: tuple[Team, ...]
    # One for each entry, also if two have the same id.
    service_ids: tuple[str, ...]
    # Places of fields that no program of the platform reads.
    unknown_fields: tuple[str, ...]


def decode_configuration(value: bytes) -> ConfigurationFile:
    """Decode a configuration with the programs' decoder, or raise `RecordError`."""
    announced = decode_operator_record(CONFIGURATION_KEY, value)
    if announced is None:
        raise RecordError("the configuration is empty; write a JSON object")
    fields = msgspec.json.decode(value)
    return ConfigurationFile(
        catalog=announced.catalog,
        teams=tuple(_team(item) for item in fields.get("tenants") or ()),
        service_ids=tuple(item["name"] for item in fields["services"]),
        unknown_fields=tuple(_unknown_fields(fields)),
    )


async def fetch_configuration(store: Endpoint, session: aiohttp.ClientSession) -> bytes:
    """Return the configuration in force from the store, or raise `PlatformError`."""
    page = await StoreClient(store, session).newest(OPERATOR_TOPIC)
    for record in page.records:
        if record.key == CONFIGURATION_KEY and record.value:
            return record.value
    raise PlatformError(f"the store at {store} holds no configuration")


def _unknown_fields(fields: Mapping[str, Any]) -> Iterator[str]:
    yield from sorted(fields.keys() - _KNOWN_FIELDS[""])
    for kind in ("routes", "services", "tenants"):
        for number, item in enumerate(fields.get(kind) or ()):
            for name in sorted(item.keys() - _KNOWN_FIELDS[kind]):
                yield f"{kind}[{number}].{name}"
            for index, part in enumerate(item.get("split") or ()):
                for name in sorted(part.keys() - _KNOWN_FIELDS["split"]):
                    yield f"{kind}[{number}].split[{index}].{name}"
    limits = fields.get("limits") or {}
    yield from (f"limits.{n}" for n in sorted(limits.keys() - _KNOWN_FIELDS["limits"]))
