"""Hand-over of a lease between processes, checked as a state machine."""

from datetime import timedelta
from itertools import pairwise

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from shallotpath.core import EPOCH
from shallotpath.duties import (
    Lease,
    LeaseRecordError,
    LeaseRules,
    decode_record,
    encode_record,
)

RULES = LeaseRules(timedelta(seconds=3), timedelta(milliseconds=300))
NODES = range(3)
node_ids = st.sampled_from(NODES)


class HandOver(RuleBasedStateMachine):
    """Lose, delay and repeat calls of three processes that pause and restart."""

    lease_type = Lease

    def __init__(self):
        super().__init__()
        self.elapsed = timedelta()
        self.offset, self.record, self.end = None, None, 0
        self.era, self.states = 0, [(None, None, 0)]
        self.leases = [self.lease_type(f"n{n}", 0, RULES) for n in NODES]
        self.incarnations = [0 for _ in NODES]
        self.paused = set()
        self.answers = {n: [] for n in NODES}
        self.requests = []
        self.calls = []

    def now(self, node):
        """Return the time on a process's own clock; the clocks are 300 ms apart."""
        return EPOCH + self.elapsed + node * timedelta(milliseconds=300)

    @rule(step_ms=st.sampled_from([20, 300, 1000, 2650, 3350]))
    def advance(self, step_ms):
        self.elapsed += timedelta(milliseconds=step_ms)

    @rule(node=node_ids)
    def pause_or_wake(self, node):
        self.paused ^= {node}

    @rule(node=node_ids)
    def restart(self, node):
        self.incarnations[node] += 1
        self.leases[node] = self.lease_type(f"n{node}", self.incarnations[node], RULES)
        self.answers[node].clear()
        self.paused.discard(node)

    @rule(node=node_ids, delayed=st.booleans())
    def read(self, node, delayed):
        if node in self.paused:
            return
        answer = (self.era, (self.record, self.offset, self.end))
        if delayed:
            self.answers[node].append(lambda: self._observe(node, answer))
        else:
            self._observe(node, answer)

    def _observe(self, node, answer):
        era, state = answer
        if self._learn(node, era):
            self.leases[node].observe(*state, self.now(node))

    def _learn(self, node, era):
        """Return whether an answer is not one of an earlier era."""
        self.leases[node].enter_era(era, self.now(node))
        return self.leases[node].era == era

    @rule(
        node=node_ids,
        fate=st.sampled_from(["answered", "answer late", "answer lost", "late"]),
        released=st.booleans(),
    )
    def append(self, node, fate, released):
        lease, now = self.leases[node], self.now(node)
        if node in self.paused or not lease.may_propose(now):
            return
        if released:
            lease.step_down()
        proposal = lease.propose(released=released)
        if fate == "late":
            self.requests.append(proposal)
            return
        if not self._apply(proposal) or fate == "answer lost":
            return

        asked_in, era = lease.era, self.era

        def accept():
            if self._learn(node, era) and era == asked_in:
                lease.accepted(proposal, now, self.now(node))

        if fate == "answered":
            accept()
        else:
            self.answers[node].append(accept)

    @rule(node=node_ids)
    def read_and_append(self, node):
        self.read(node, delayed=False)
        self.append(node, fate="answered", released=False)

    @rule(node=node_ids)
    def receive(self, node):
        if self.answers[node] and node not in self.paused:
            self.answers[node].pop(0)()

    @precondition(lambda self: self.requests)
    @rule()
    def apply_late_request(self):
        self._apply(self.requests.pop(0))

    def _apply(self, proposal):
        if proposal.at != self.end:
            return False
        self.record = decode_record(encode_record(proposal.record))
        self.offset = self.end
        self.end += 1
        self.states.append((self.record, self.offset, self.end))
        return True

    @rule()
    def forget_record(self):
        self.record = self.offset = None

    @rule(node=node_ids, delay_ms=st.sampled_from([0, 299]))
    def call(self, node, delay_ms):
        lease = self.leases[node]
        if node not in self.paused and lease.holds(self.now(node)):
            arrival = self.elapsed + timedelta(milliseconds=delay_ms)
            self.calls.append((arrival, lease.token, lease.holder, lease.node))

    @invariant()
    def calls_are_in_order(self):
        calls = sorted(self.calls, key=lambda call: call[0])
        tokens = [token for _, token, _, _ in calls]
        assert tokens == sorted(tokens)
        assert len({(token, holder) for _, token, holder, _ in calls}) == len(
            set(tokens)
        )
        changes = [
            (before[0], after[0], before[3], after[3])
            for before, after in pairwise(calls)
            if before[3] != after[3]
        ]
        for left, back in pairwise(changes):
            if left[2] == back[3]:
                assert back[1] - left[0] > RULES.duration


class HandOverWithFalls(HandOver):
    """Let the log fall back to older copies, with a higher era in its answers."""

    @rule(lost=st.integers(1, 3))
    def fall_back(self, lost):
        del self.states[max(1, len(self.states) - lost) :]
        self.record, self.offset, self.end = self.states[-1]
        self.era += 1

    @rule(node=node_ids, lost=st.integers(1, 3), step_ms=st.sampled_from([0, 3350]))
    def take_after_fall(self, node, lost, step_ms):
        self.fall_back(lost)
        self.read(node, delayed=False)
        self.advance(step_ms)
        self.read_and_append(node)
        for each in NODES:
            self.call(each, delay_ms=0)


class ExpiryIgnored(Lease):
    """Act without a look at the end of the lease."""

    def holds(self, now):
        return self.is_own


class TakeoverAtOnce(Lease):
    """Take over without the wait for the end of the last lease."""

    def may_propose(self, now):
        return self.end_ is not None


class TokensOfOffsets(Lease):
    """Begin the tokens of all eras at the same number."""

    _first_token = 0


class NoWaitAfterFall(Lease):
    """Take over from the holder of an earlier era without a wait."""

    def may_propose(self, now):
        return super().may_propose(now) or (self.era > 0 and self.end_ == 0)


RUNS = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_hand_over_keeps_tokens_in_order():
    # Guards against two holders at a time, after any loss, delay, pause or restart.
    run_state_machine_as_test(HandOver, settings=RUNS)


def test_hand_over_keeps_tokens_in_order_when_the_log_falls_back():
    # Guards against two holders at a time, one from each era, and against a token that
    # is given out twice.
    run_state_machine_as_test(HandOverWithFalls, settings=RUNS)


@pytest.mark.parametrize(
    ("model", "faulty"),
    [
        (HandOver, ExpiryIgnored),
        (HandOver, TakeoverAtOnce),
        (HandOverWithFalls, TokensOfOffsets),
        (HandOverWithFalls, NoWaitAfterFall),
    ],
)
def test_model_finds_a_lease_without_its_checks(model, faulty):
    # Guards against a model that would pass any lease.
    machine = type("Faulty", (model,), {"lease_type": faulty})
    runs = settings(RUNS, max_examples=2000, phases=[Phase.generate], database=None)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=runs)


def test_append_without_answer_gives_no_lease():
    # Guards against a holder that acts on an append that may not have taken effect.
    lease = Lease("a", 1, RULES)
    lease.observe(None, None, 0, EPOCH)
    proposal = lease.propose()
    assert not lease.holds(EPOCH)
    lease.observe(proposal.record, 0, 1, EPOCH)
    assert lease.is_own
    assert not lease.holds(EPOCH)


def test_lease_counts_from_the_start_of_the_append():
    # Guards against a process that was suspended while the store answered.
    lease = Lease("a", 1, RULES)
    lease.observe(None, None, 0, EPOCH)
    lease.accepted(lease.propose(), EPOCH, EPOCH + timedelta(seconds=5))
    assert not lease.holds(EPOCH + timedelta(seconds=5))


def test_token_rises_after_the_record_is_lost():
    # Guards against a token that starts again when the log forgets its records.
    lease = Lease("b", 1, RULES)
    lease.observe(None, None, 7, EPOCH)
    assert not lease.may_propose(EPOCH)
    later = EPOCH + RULES.takeover_time
    assert lease.may_propose(later)
    assert lease.propose().record.token == 8


def test_own_record_in_a_copy_gives_no_lease():
    # Guards against a holder that goes on with its token after the store came back from
    # a copy, which lacks the record of a process that took over.
    lease = Lease("a", 1, RULES)
    lease.enter_era(1, EPOCH)
    lease.observe(None, None, 4, EPOCH)
    now = EPOCH + RULES.takeover_time
    proposal = lease.propose()
    lease.accepted(proposal, now, now)
    assert lease.holds(now)
    lease.enter_era(2, now)
    assert not lease.holds(now)
    lease.observe(proposal.record, 4, 5, now)
    assert not lease.is_own
    assert not lease.may_propose(now)
    assert lease.may_propose(now + RULES.takeover_time)
    assert lease.propose().record.token > proposal.record.token


def test_empty_log_of_a_later_era_is_not_taken_at_once():
    # Guards against two holders when the store has lost the whole topic.
    lease = Lease("a", 1, RULES)
    lease.enter_era(2, EPOCH)
    lease.observe(None, None, 0, EPOCH)
    assert not lease.may_propose(EPOCH)
    assert lease.may_propose(EPOCH + RULES.takeover_time)


def test_undecodable_record_is_reported():
    # Guards against a record of another writer ending the process.
    with pytest.raises(LeaseRecordError):
        decode_record(b'{"holder": 3}')


def test_short_lease_leaves_time_for_calls():
    # Guards against a margin that is as long as the lease.
    rules = LeaseRules.within(timedelta(milliseconds=400), timedelta(milliseconds=300))
    assert rules.hold_time == timedelta(milliseconds=200)
