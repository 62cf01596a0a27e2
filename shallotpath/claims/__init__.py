"""At-most-once execution of non-repeatable calls.

Each call has a key. A request may run the call only after its key was claimed by the
key's home agent, which rendezvous hashing picks from the home set: the agents that
joined in the claims stream of the replicated log. While the log does not answer, a
home agent decides through witnesses, other processes of its failure domain that store
its claims. What they store for an agent that has stopped counts as unresolved claims
until it has been read.
"""

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
