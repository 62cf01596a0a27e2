"""Adapter to the outer platform: its names, formats and calls."""

from ._configuration_file import (
    ConfigurationFile,
    decode_configuration,
    fetch_configuration,
)
from ._duty_calls import DutyClient
from ._engine_calls import (
    CallError,
    ChunkManifest,
    EngineClient,
    EngineState,
    HeldModel,
    HttpCaller,
    OriginClient,
)
from ._era import LateAnswerError, StoreEra
from ._headers import PlatformHeaderCodec
from ._names import DUTY_TOPIC, MEMBER_TOPIC, OPERATOR_TOPIC, UPSTREAM_TOPIC
from ._records import RecordError, decode_operator_record, decode_upstream
from ._session import LeaseEndedError, open_chunk_session, open_session
from ._settings import (
    METRICS_PORT_VARIABLE,
    DutySettings,
    Endpoint,
    ProcessSettings,
    load_process_settings,
    parse_process_settings,
)
from ._store import HistoryLostError, OffsetConflictError, StoreClient, TopicPage

__all__ = [
    "DUTY_TOPIC",
    "MEMBER_TOPIC",
    "METRICS_PORT_VARIABLE",
    "OPERATOR_TOPIC",
    "UPSTREAM_TOPIC",
    "CallError",
    "ChunkManifest",
    "DutyClient",
    "DutySettings",
    "ConfigurationFile",
    "Endpoint",
    "EngineClient",
    "EngineState",
    "HeldModel",
    "HistoryLostError",
    "HttpCaller",
    "LateAnswerError",
    "LeaseEndedError",
    "OffsetConflictError",
    "OriginClient",
    "PlatformHeaderCodec",
    "ProcessSettings",
    "RecordError",
    "StoreClient",
    "StoreEra",
    "TopicPage",
    "decode_configuration",
    "decode_operator_record",
    "decode_upstream",
    "fetch_configuration",
    "load_process_settings",
    "open_chunk_session",
    "open_session",
    "parse_process_settings",
]
