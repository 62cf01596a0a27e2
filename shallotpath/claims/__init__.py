"""At-most-once execution of non-repeatable calls."""

from ._home_model import Home, ServiceHomes, UnresolvedClaims
from ._homes import CLAIM_WINDOW, HomeSet
from ._model import (
    ClaimDecided,
    ClaimDecision,
    ClaimSettings,
    ClaimState,
    Identity,
    KnownClaim,
    Phase,
    RefuseClaim,
    RunClaim,
)
from ._records import (
    STREAM,
    Claims,
    Contact,
    Join,
    Leave,
    Record,
    Retire,
    Settled,
    Snapshot,
    Witness,
    decode_record,
    encode_record,
)
from ._table import ClaimTable
from ._witness import WITNESS_KEYS, WitnessStore

__all__ = [
    "CLAIM_WINDOW",
    "STREAM",
    "WITNESS_KEYS",
    "ClaimDecided",
    "ClaimDecision",
    "ClaimSettings",
    "ClaimState",
    "ClaimTable",
    "Claims",
    "Contact",
    "UnresolvedClaims",
    "Home",
    "HomeSet",
    "Identity",
    "Join",
    "KnownClaim",
    "Leave",
    "Phase",
    "Record",
    "RefuseClaim",
    "Retire",
    "RunClaim",
    "ServiceHomes",
    "Settled",
    "Snapshot",
    "Witness",
    "WitnessStore",
    "decode_record",
    "encode_record",
]
