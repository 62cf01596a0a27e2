"""Placement, admission and retry decisions of an entry.

An entry is a gateway process that forwards requests of callers to upstreams.
"""

from ._announcements import UNIX_EPOCH, VersionAnnouncement, WriteTime
from ._breaker import Breaker
from ._budget import BudgetLimit, RetryBudget
from ._call import GatewayCall, shared_parts
from ._catalog import (
    CallerLimits,
    Catalog,
    EngineRates,
    Origin,
    Route,
    RouteKind,
    Service,
    Team,
    WeightedService,
)
from ._cold import ColdLimit, ColdLimiter
from ._completion import CompletionModel
from ._discovery_period import DiscoveryPeriod
from ._dispatcher import Dispatcher
from ._engine_model import EngineLoad, Prediction, predict_first_token
from ._loads import EngineReport, EntryLoad, LoadTracker
from ._notices import UpstreamNotices
from ._operator import (
    CatalogAnnounced,
    DomainDisabled,
    DomainEnabled,
    ModelTarget,
    OperatorRecord,
    OperatorState,
    WeightsAnnounced,
)
from ._outcomes import Failure, FailureKind
from ._part_suspects import PartEvidence, PartSuspects
from ._placement import Placement, PlacementRules, Rejection, RejectReason
from ._prediction import LatencyPredictor
from ._retries import Retries
from ._server_load import ServerLoad, is_plausible
from ._subsets import EntrySubsets
from ._suspects import CrashSuspects, LostRequest
from ._upstream_record import UpstreamRecord
from ._upstreams import Upstream, UpstreamTable

__all__ = [
    "Breaker",
    "BudgetLimit",
    "CallerLimits",
    "Catalog",
    "CatalogAnnounced",
    "ColdLimit",
    "ColdLimiter",
    "CompletionModel",
    "CrashSuspects",
    "DiscoveryPeriod",
    "Dispatcher",
    "DomainEnabled",
    "DomainDisabled",
    "EngineLoad",
    "EngineRates",
    "EngineReport",
    "Failure",
    "FailureKind",
    "GatewayCall",
    "UNIX_EPOCH",
    "LatencyPredictor",
    "LoadTracker",
    "LostRequest",
    "PartEvidence",
    "PartSuspects",
    "VersionAnnouncement",
    "OperatorRecord",
    "OperatorState",
    "Origin",
    "Placement",
    "PlacementRules",
    "WriteTime",
    "Prediction",
    "RejectReason",
    "Rejection",
    "Retries",
    "RetryBudget",
    "Route",
    "RouteKind",
    "ServerLoad",
    "Service",
    "EntryLoad",
    "EntrySubsets",
    "ModelTarget",
    "Team",
    "Upstream",
    "UpstreamNotices",
    "UpstreamRecord",
    "UpstreamTable",
    "WeightedService",
    "WeightsAnnounced",
    "is_plausible",
    "predict_first_token",
    "shared_parts",
]
