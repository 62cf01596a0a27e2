"""Decisions of an entry that sends requests to upstreams directly."""

from ._breaker import Breaker
from ._budget import BudgetLimit, RetryBudget
from ._call import GatewayCall
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
from ._cold import ColdBuckets, ColdLimit
from ._dispatcher import (
    Dispatcher,
    Placement,
    PlacementRules,
    Rejection,
    RejectReason,
)
from ._engine_model import EngineLoad, Prediction, predict_first_token
from ._loads import EngineReport, LoadBook, Share
from ._namings import LONG_AGO, Naming
from ._operator import (
    CatalogNamed,
    DomainBack,
    DomainOut,
    OperatorRecord,
    OperatorState,
    Target,
    WeightsNamed,
)
from ._outcomes import Failure, FailureKind
from ._retries import Retries
from ._suspects import CrashSuspects
from ._upstreams import Upstream, UpstreamRecord, UpstreamTable

__all__ = [
    "Breaker",
    "BudgetLimit",
    "CallerLimits",
    "Catalog",
    "CatalogNamed",
    "ColdBuckets",
    "ColdLimit",
    "CrashSuspects",
    "Dispatcher",
    "DomainBack",
    "DomainOut",
    "EngineLoad",
    "EngineRates",
    "EngineReport",
    "Failure",
    "FailureKind",
    "GatewayCall",
    "LONG_AGO",
    "LoadBook",
    "Naming",
    "OperatorRecord",
    "OperatorState",
    "Origin",
    "Placement",
    "PlacementRules",
    "Prediction",
    "RejectReason",
    "Rejection",
    "Retries",
    "RetryBudget",
    "Route",
    "RouteKind",
    "Service",
    "Share",
    "Target",
    "Team",
    "Upstream",
    "UpstreamRecord",
    "UpstreamTable",
    "WeightedService",
    "WeightsNamed",
    "predict_first_token",
]
