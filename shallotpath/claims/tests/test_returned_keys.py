"""Keys that move to another home agent, may run there offline, and come back."""

from datetime import timedelta

import pytest

from shallotpath.claims import (
    Claims,
    ClaimTable,
    Contact,
    Identity,
    Join,
    KnownClaim,
    Phase,
    Retire,
    RunClaim,
    Witness,
    encode_record,
)
from shallotpath.claims.tests.mutants import NoCheckOnDecision
from shallotpath.core import (
    EPOCH,
    AppendFailed,
    Emit,
    LogContact,
    LogRecord,
    Received,
    RecordsRead,
    Send,
    Tick,
    WitnessAck,
    WitnessWrite,
    rendezvous_choice,
)
from shallotpath.membership import Member, Role, StaticMembership

SERVICE = "kit-desk"
LATER = EPOCH + timedelta(seconds=6)
KEY = next(k for k in "abcdefgh" if rendezvous_choice(k, ["a1", "b2"]) == "b2")
STORES = [Witness("v", "v.1", "v"), Witness("x", "x.1", "x")]


class Driver:
    """Feed records to the table of a1 and collect its decisions and writes."""

    def __init__(self, make_table):
        members = {
            w: Member(w, Role.ENTRY, "a", "r", w, f"{w}.1") for w in ("w0", "w1", "w2")
        }
        identity = Identity(SERVICE, "a1", "a1.1", "a")
        self.table = make_table(identity, StaticMembership(members))
        self.offset = 0
        self.decisions = []
        self.writes = []
        self.read(Join(SERVICE, "a1", "a1.1", "a"))
        self.read(self.table.registration_.pending_contact_)

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, Emit):
                self.decisions.append(effect.event.decision)
            elif isinstance(effect, Send) and isinstance(effect.message, WitnessWrite):
                self.writes.append((effect.peer, effect.message))

    def read(self, *records, now=EPOCH):
        entries = []
        for record in records:
            entries.append(LogRecord(self.offset, encode_record(record)))
            self.offset += 1
        self.take(self.table.reduce(RecordsRead("claims", entries, self.offset), now))

    def move_the_key_away_and_back(self, *after, now=EPOCH):
        """Let b2 join, become the home, and be retired in one batch."""
        self.read(Join(SERVICE, "b2", "b2.1", "b"), now=now)
        while self.table.registration_.pending_contact_.read < self.offset - 1:
            self.read(self.table.registration_.pending_contact_, now=now)
        self.read(
            self.table.registration_.pending_contact_,
            Contact(SERVICE, "b2", "b2.1", 1, 0, STORES),
            Retire(SERVICE, "b2", "b2.1", "operator"),
            *after,
            now=now,
        )


def claim_read_back_late(make_table):
    driver = Driver(make_table)
    driver.take(driver.table.request(KEY, "q1", False, EPOCH))
    driver.move_the_key_away_and_back(Claims(SERVICE, "a1", "a1.1", [KEY]))
    return driver


def claim_read_back_after_its_request_was_refused(make_table):
    driver = Driver(make_table)
    driver.move_the_key_away_and_back(Claims(SERVICE, "a1", "a1.1", [KEY]))
    driver.take(driver.table.request(KEY, "q1", False, EPOCH))
    return driver


def claim_acknowledged_late(make_table):
    driver = Driver(make_table)
    driver.table.reduce(LogContact("claims", False), EPOCH)
    driver.table.reduce(AppendFailed("claims", 1), EPOCH)
    driver.take(driver.table.request(KEY, "q1", False, LATER))
    driver.take(driver.table.reduce(Tick(), LATER))
    assert driver.writes
    driver.move_the_key_away_and_back(now=LATER)
    for peer, write in driver.writes:
        ack = WitnessAck("a1", peer, write.nonce, f"{peer}.1", "a1.1")
        driver.take(driver.table.reduce(Received(peer, ack), LATER))
    return driver


CASES = [
    claim_read_back_late,
    claim_read_back_after_its_request_was_refused,
    claim_acknowledged_late,
]


@pytest.mark.parametrize("case", CASES)
def test_a_key_that_came_back_does_not_run_before_the_witnesses_are_read(case):
    # Guards against a second run: b2 may have run the key without the log.
    driver = case(ClaimTable)
    homes = driver.table.homes
    assert homes.home_of(SERVICE, KEY) == "a1"
    assert homes.unresolved_claims(SERVICE, KEY, EPOCH)
    assert RunClaim() not in driver.decisions
    known = [d for d in driver.decisions if isinstance(d, KnownClaim)]
    assert all(decision.state.phase is Phase.UNKNOWN for decision in known)


@pytest.mark.parametrize("case", CASES)
def test_without_the_check_it_runs_although_the_other_home_may_have_run_it(case):
    # Guards against cases that would pass without the check on the decision.
    assert RunClaim() in case(NoCheckOnDecision).decisions
