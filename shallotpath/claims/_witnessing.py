"""The home agent's side of writes to witnesses and reads from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from ..core import (
    Effect,
    Send,
    WitnessAck,
    WitnessRead,
    WitnessTable,
    WitnessWrite,
    rendezvous_choice,
)
from ._home_model import ServiceHomes, UnresolvedClaims
from ._model import Identity
from ._records import Witness

# Writes beyond this many are dropped, oldest first; keys that are still pending
# are written again.
MAX_OPEN_WRITES = 256

WitnessId = tuple[str, str]


def write_quorum(count: int) -> int:
    """Return how many of the named witnesses must store a claim."""
    return count // 2 + 1


def read_quorum(count: int) -> int:
    """Return how many witnesses to read so that every acknowledged write is seen."""
    return count - write_quorum(count) + 1


class WitnessWriter:
    """Write keys to witnesses and count the acknowledgements."""

    __slots__ = ("acks_by_key_", "identity", "keys_by_nonce_", "nonce_")

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.nonce_ = 0
        self.keys_by_nonce_: dict[int, list[str]] = {}
        self.acks_by_key_: dict[str, set[WitnessId]] = {}

    def write(self, keys: list[str], sets: list[list[Witness]]) -> list[Effect]:
        """Return the messages that ask all witnesses of all sets to store keys."""
        if not keys:
            return []
        self.nonce_ += 1
        self.keys_by_nonce_[self.nonce_] = keys
        if len(self.keys_by_nonce_) > MAX_OPEN_WRITES:
            del self.keys_by_nonce_[next(iter(self.keys_by_nonce_))]
        for key in keys:
            self.acks_by_key_.setdefault(key, set())
        identity = self.identity
        message = WitnessWrite(identity.member, identity.incarnation, keys, self.nonce_)
        return _send_all(message, sets)

    def acknowledge(self, ack: WitnessAck) -> list[str]:
        """Count an acknowledgement and return its keys."""
        identity = self.identity
        if (ack.home, ack.incarnation) != (identity.member, identity.incarnation):
            return []
        keys = self.keys_by_nonce_.get(ack.nonce, [])
        for key in keys:
            acks = self.acks_by_key_.get(key)
            if acks is not None:
                acks.add((ack.witness, ack.witness_incarnation))
        return keys

    def stored(self, key: str, sets: list[list[Witness]]) -> bool:
        """Check whether enough witnesses of every set hold a key."""
        acks = self.acks_by_key_.get(key)
        if not acks or not sets:
            return False
        return all(
            sum((w.id, w.incarnation) in acks for w in witnesses)
            >= write_quorum(len(witnesses))
            for witnesses in sets
        )

    def drop_acks(self, key: str) -> bool:
        """Remove the state of a write and return whether the key was written."""
        return self.acks_by_key_.pop(key, None) is not None

    def notify_logged(self, keys: list[str], sets: list[list[Witness]]) -> list[Effect]:
        """Notify the witnesses that the keys are in the log, so that they drop them."""
        if not keys:
            return []
        identity = self.identity
        message = WitnessWrite(identity.member, identity.incarnation, [], 0, keys)
        return _send_all(message, sets)


@dataclass(slots=True)
class WitnessReading:
    """Hold what the witnesses of one retired home agent have answered."""

    claims: UnresolvedClaims
    sent_at: datetime | None = None
    keys_by_witness: dict[WitnessId, list[str]] = field(default_factory=dict)


class UnresolvedClaimsReader:
    """Read the claims of retired home agents from their witnesses."""

    __slots__ = ("nonce_", "readings_by_incarnation_", "retry", "settled_")

    def __init__(self, retry: timedelta) -> None:
        self.retry = retry
        self.nonce_ = 0
        self.readings_by_incarnation_: dict[str, WitnessReading] = {}
        self.settled_: set[str] = set()

    def settled(self, claims: UnresolvedClaims) -> bool:
        """Check whether enough witnesses have answered."""
        return claims.incarnation in self.settled_

    def read(self, claims: UnresolvedClaims, now: datetime) -> list[Effect]:
        """Ask the witnesses, unless they were asked within the retry period."""
        if self.settled(claims):
            return []
        reading = self.readings_by_incarnation_.setdefault(
            claims.incarnation, WitnessReading(claims)
        )
        if reading.sent_at is not None and now - reading.sent_at < self.retry:
            return []
        reading.sent_at = now
        self.nonce_ += 1
        message = WitnessRead(claims.member, claims.incarnation, self.nonce_)
        return _send_all(message, [claims.witnesses])

    def receive(self, table: WitnessTable) -> list[str] | None:
        """Record an answer; return all keys once enough witnesses have answered."""
        reading = self.readings_by_incarnation_.get(table.incarnation)
        if reading is None:
            return None
        named = {(w.id, w.incarnation) for w in reading.claims.witnesses}
        witness = (table.witness, table.witness_incarnation)
        # A witness that restarted since it was named has lost the claims it stored.
        if witness not in named:
            return None
        reading.keys_by_witness[witness] = table.keys
        if len(reading.keys_by_witness) < read_quorum(len(named)):
            return None
        self.settled_.add(table.incarnation)
        del self.readings_by_incarnation_[table.incarnation]
        keys = reading.keys_by_witness.values()
        return list(dict.fromkeys(key for held in keys for key in held))

    def update(
        self, homes: ServiceHomes, member: str, window: timedelta, now: datetime
    ) -> list[Effect]:
        """Drop expired unresolved claims and read those assigned to this member."""
        unresolved = homes.debts_by_incarnation
        effects: list[Effect] = []
        for claims in list(unresolved.values()):
            if now - claims.read_at >= window:
                del unresolved[claims.incarnation]
            elif rendezvous_choice(claims.incarnation, homes.active_by_id) == member:
                effects += self.read(claims, now)
        self.settled_ &= unresolved.keys()
        for incarnation in self.readings_by_incarnation_.keys() - unresolved.keys():
            del self.readings_by_incarnation_[incarnation]
        return effects


def _send_all(message: object, sets: list[list[Witness]]) -> list[Effect]:
    addresses = dict.fromkeys(w.address for witnesses in sets for w in witnesses)
    return [Send(address, message) for address in addresses]
