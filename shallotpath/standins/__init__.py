"""Stand-ins for the platform and for engines, with switchable faults."""

from ..webserver import serve
from ._engine import EngineApp, EngineFaults, make_token
from ._link import RateLimiter
from ._platform import PlatformApp, PlatformFaults
from ._weights import Manifest, make_chunk, make_manifest

__all__ = [
    "EngineApp",
    "EngineFaults",
    "Manifest",
    "PlatformApp",
    "PlatformFaults",
    "RateLimiter",
    "make_chunk",
    "make_manifest",
    "make_token",
    "serve",
]
