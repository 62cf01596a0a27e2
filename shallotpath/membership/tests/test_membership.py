from dataclasses import replace
from datetime import timedelta
from random import Random

from shallotpath.bench._memory_link import Link, alive_ids, make_cluster, make_member
from shallotpath.core import (
    DrainRequested,
    QuarantineAnnounced,
    QuarantineReceived,
    QuarantineUpdate,
)
from shallotpath.membership import Membership, MemberState


class QuarantineRecorder:
    def __init__(self):
        self.updates = []

    def reduce(self, event, now):
        if isinstance(event, QuarantineReceived):
            self.updates += event.updates
        return []


def collect_states(memberships, id, skip=()):
    """Return the states that the processes hold of a member."""
    return {
        m.members_by_id[id].state if id in m.members_by_id else None
        for address, m in memberships.items()
        if address not in skip
    }


def test_members_that_know_only_the_seeds_find_all_others():
    # Guards against members that stay unknown to some after a joint start.
    link = Link()
    memberships = make_cluster(link, 60, ("d0", "d1", "d2"))
    link.seconds(15)
    assert {len(alive_ids(m)) for m in memberships.values()} == {60}


def test_a_crashed_member_is_declared_dead_by_all():
    # Guards against a crash that only the neighbours or the own domain learn of.
    link = Link()
    memberships = make_cluster(link, 40, ("d0", "d1"))
    link.seconds(15)
    crashed = "tcp://vm-d0-4"
    link.remove(crashed)
    link.seconds(10)
    assert collect_states(memberships, "vm-d0-4", {crashed}) == {MemberState.DEAD}


def test_a_draining_member_is_leaving_for_all_within_two_seconds():
    # Guards against new work for a process that is about to stop.
    link = Link()
    memberships = make_cluster(link, 200, ("d0", "d1"))
    link.seconds(20)
    link.dispatch("tcp://vm-d1-7", DrainRequested())
    link.seconds(2)
    assert collect_states(memberships, "vm-d1-7") == {MemberState.LEAVING}


def test_a_suspected_member_that_returns_stays_alive():
    # Guards against a false suspicion that ends in a removal.
    link = Link()
    memberships = make_cluster(link, 20)
    link.seconds(10)
    link.paused = {"tcp://vm-d0-3"}
    link.seconds(4)
    link.paused = set()
    link.seconds(5)
    assert collect_states(memberships, "vm-d0-3") == {MemberState.ALIVE}


def test_a_process_suspects_no_other_after_its_own_pause():
    # Guards against a process that takes the silence of its own pause for failures of
    # others, and against one that cannot return after it was declared dead.
    link = Link()
    memberships = make_cluster(link, 20)
    link.seconds(10)
    link.paused = {"tcp://vm-d0-3"}
    link.seconds(30)
    assert collect_states(memberships, "vm-d0-3", link.paused) == {MemberState.DEAD}
    before = link.effects_by_kind["member_suspicions"]
    link.paused = set()
    link.seconds(40)
    assert {len(alive_ids(m)) for m in memberships.values()} == {20}
    assert link.effects_by_kind["member_suspicions"] == before


def test_a_replaced_vm_at_the_same_address_is_known_by_its_new_incarnation():
    # Guards against answers of the new process that keep the old one alive in the
    # view of others.
    link = Link()
    memberships = make_cluster(link, 20)
    link.seconds(10)
    old = memberships["tcp://vm-d0-3"].me
    for id in ("vm-d0-3", "other"):
        member = replace(old, id=id, incarnation=f"{id}/new", version=0)
        memberships[old.address] = Membership(
            me=member, random=Random(3), seeds=["tcp://vm-d0-0"]
        )
        link.add(old.address, [memberships[old.address]])
        link.seconds(15)
        assert {m.members_by_id[id].incarnation for m in memberships.values()} == {
            f"{id}/new"
        }
        assert collect_states(memberships, id) == {MemberState.ALIVE}
    skip = {old.address}
    assert collect_states(memberships, "vm-d0-3", skip) == {MemberState.DEAD}


def test_a_partitioned_domain_is_unreachable_and_reconciles():
    # Guards against a partition that declares the members of a domain dead or stops
    # the work inside it, and against views that differ once it has healed.
    link = Link()
    memberships = make_cluster(link, 60, ("d0", "d1", "d2"))
    link.seconds(15)
    link.cut = lambda a, b: ("d2" in a) != ("d2" in b)
    link.remove("tcp://vm-d2-5")
    link.seconds(15)
    inside = {a: m for a, m in memberships.items() if "d2" in a}
    outside = {a: m for a, m in memberships.items() if "d2" not in a}
    assert {m.unreachable_domains for m in outside.values()} == {frozenset({"d2"})}
    assert collect_states(outside, "vm-d2-2") == {MemberState.SUSPECT}
    # Members of the partitioned domain still see each other as alive.
    assert collect_states(inside, "vm-d2-2") == {MemberState.ALIVE}
    link.cut = lambda a, b: False
    link.seconds(20)
    assert {m.unreachable_domains for m in memberships.values()} == {frozenset()}
    assert collect_states(memberships, "vm-d2-5", {"tcp://vm-d2-5"}) == {
        MemberState.DEAD
    }
    assert collect_states(memberships, "vm-d2-2") == {MemberState.ALIVE}


def test_clock_jumps_cause_no_deaths():
    # Guards against timeouts that expire at once when the clock is set.
    link = Link()
    memberships = make_cluster(link, 20)
    link.seconds(10)
    for jump in (timedelta(hours=1), timedelta(hours=-2)):
        link.clock.advance(jump)
        link.seconds(10)
    assert link.effects_by_kind["member_deaths"] == 0
    assert {len(alive_ids(m)) for m in memberships.values()} == {20}


def test_ten_percent_packet_loss_causes_no_deaths():
    # Guards against lost probes that end in the removal of a live member.
    link = Link(loss=0.1)
    memberships = make_cluster(link, 60)
    link.seconds(90)
    assert link.effects_by_kind["member_deaths"] == 0
    assert {len(m.members_by_id) for m in memberships.values()} == {60}


def test_a_process_joins_only_with_a_bound_address():
    # Guards against other processes that learn the address of an unbound socket.
    member = replace(make_member(1), address="tcp://127.0.0.1:0")
    link = Link()
    membership = Membership(me=member, random=Random(1), seeds=["tcp://seed"])
    link.add("x", [membership])
    link.seconds(2)
    assert link.sent_messages["x"] == 0
    membership.bind("tcp://127.0.0.1:5", "")
    link.seconds(2)
    assert link.sent_messages["x"] > 0


def test_a_quarantine_and_its_clearing_reach_all_domains_once():
    # Guards against updates that stop at a domain, are reported twice, or are lost
    # because the fingerprint is already known.
    link = Link()
    memberships = make_cluster(link, 40, ("d0", "d1"))
    received = {address: QuarantineRecorder() for address in memberships}
    for address, membership in memberships.items():
        link.add(address, [membership, received[address]])
    link.seconds(15)
    update = QuarantineUpdate("f", 1, timedelta(minutes=10), ["crash-1"])
    link.dispatch("tcp://vm-d0-0", QuarantineAnnounced([update]))
    link.seconds(4)
    cleared = replace(update, cleared_ids=["crash-1"])
    link.dispatch("tcp://vm-d0-0", QuarantineAnnounced([cleared]))
    link.seconds(4)
    cleared_ids_by_address = {
        a: [tuple(u.cleared_ids) for u in r.updates] for a, r in received.items()
    }
    del cleared_ids_by_address["tcp://vm-d0-0"]
    assert set(map(tuple, cleared_ids_by_address.values())) == {((), ("crash-1",))}
