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


class Recorder:
    def __init__(self):
        self.seen = []

    def reduce(self, event, now):
        if isinstance(event, QuarantineReceived):
            self.seen += event.updates
        return []


def states_of(made, id, skip=()):
    return {
        m.members_by_id[id].state if id in m.members_by_id else None
        for address, m in made.items()
        if address not in skip
    }


def test_all_members_learn_of_each_other_from_the_seeds():
    link = Link()
    made = make_cluster(link, 60, ("d0", "d1", "d2"))
    link.seconds(15)
    assert {len(alive_ids(m)) for m in made.values()} == {60}


def test_a_crashed_member_is_found_dead_by_all():
    link = Link()
    made = make_cluster(link, 40, ("d0", "d1"))
    link.seconds(15)
    crashed = "tcp://vm-d0-4"
    link.remove(crashed)
    link.seconds(10)
    assert states_of(made, "vm-d0-4", {crashed}) == {MemberState.DEAD}


def test_leaving_reaches_every_member_within_two_seconds():
    link = Link()
    made = make_cluster(link, 200, ("d0", "d1"))
    link.seconds(20)
    link.dispatch("tcp://vm-d1-7", DrainRequested())
    link.seconds(2)
    assert states_of(made, "vm-d1-7") == {MemberState.LEAVING}


def test_a_suspected_member_refutes():
    # Guards against a false suspicion that ends in a removal.
    link = Link()
    made = make_cluster(link, 20)
    link.seconds(10)
    link.paused = {"tcp://vm-d0-3"}
    link.seconds(4)
    link.paused = set()
    link.seconds(5)
    assert states_of(made, "vm-d0-3") == {MemberState.ALIVE}


def test_a_process_paused_for_long_returns_and_blames_nobody():
    link = Link()
    made = make_cluster(link, 20)
    link.seconds(10)
    link.paused = {"tcp://vm-d0-3"}
    link.seconds(30)
    assert states_of(made, "vm-d0-3", link.paused) == {MemberState.DEAD}
    before = link.effects_by_kind["member_suspicions"]
    link.paused = set()
    link.seconds(40)
    assert {len(alive_ids(m)) for m in made.values()} == {20}
    assert link.effects_by_kind["member_suspicions"] == before


def test_a_replaced_vm_under_the_same_address_has_its_new_incarnation():
    # Guards against answers of the new process that keep the old one alive.
    link = Link()
    made = make_cluster(link, 20)
    link.seconds(10)
    old = made["tcp://vm-d0-3"].me
    for id in ("vm-d0-3", "other"):
        member = replace(old, id=id, incarnation=f"{id}/new", version=0)
        made[old.address] = Membership(
            me=member, random=Random(3), seeds=["tcp://vm-d0-0"]
        )
        link.add(old.address, [made[old.address]])
        link.seconds(15)
        assert {m.members_by_id[id].incarnation for m in made.values()} == {f"{id}/new"}
        assert states_of(made, id) == {MemberState.ALIVE}
    skip = {old.address}
    assert states_of(made, "vm-d0-3", skip) == {MemberState.DEAD}


def test_a_cut_off_domain_is_shown_as_unreachable_and_reconciles():
    link = Link()
    made = make_cluster(link, 60, ("d0", "d1", "d2"))
    link.seconds(15)
    link.cut = lambda a, b: ("d2" in a) != ("d2" in b)
    link.remove("tcp://vm-d2-5")
    link.seconds(15)
    inside = {a: m for a, m in made.items() if "d2" in a}
    outside = {a: m for a, m in made.items() if "d2" not in a}
    assert {m.unreachable_domains for m in outside.values()} == {frozenset({"d2"})}
    assert states_of(outside, "vm-d2-2") == {MemberState.SUSPECT}
    # Inside the cut-off domain work goes on with its own members.
    assert states_of(inside, "vm-d2-2") == {MemberState.ALIVE}
    link.cut = lambda a, b: False
    link.seconds(20)
    assert {m.unreachable_domains for m in made.values()} == {frozenset()}
    assert states_of(made, "vm-d2-5", {"tcp://vm-d2-5"}) == {MemberState.DEAD}
    assert states_of(made, "vm-d2-2") == {MemberState.ALIVE}


def test_clocks_that_jump_declare_nobody_dead():
    link = Link()
    made = make_cluster(link, 20)
    link.seconds(10)
    for jump in (timedelta(hours=1), timedelta(hours=-2)):
        link.clock.advance(jump)
        link.seconds(10)
    assert link.effects_by_kind["member_deaths"] == 0
    assert {len(alive_ids(m)) for m in made.values()} == {20}


def test_packet_loss_of_ten_percent_declares_nobody_dead():
    link = Link(loss=0.1)
    made = make_cluster(link, 60)
    link.seconds(90)
    assert link.effects_by_kind["member_deaths"] == 0
    assert {len(m.members_by_id) for m in made.values()} == {60}


def test_joining_needs_a_bound_address():
    # Guards against the address of an unbound socket in other processes.
    member = replace(make_member(1), address="tcp://127.0.0.1:0")
    link = Link()
    membership = Membership(me=member, random=Random(1), seeds=["tcp://seed"])
    link.add("x", [membership])
    link.seconds(2)
    assert link.sent_messages["x"] == 0
    membership.bind("tcp://127.0.0.1:5", "")
    link.seconds(2)
    assert link.sent_messages["x"] > 0


def test_quarantine_reaches_all_domains_once_and_a_cleared_one_overrides():
    link = Link()
    made = make_cluster(link, 40, ("d0", "d1"))
    received = {address: Recorder() for address in made}
    for address, membership in made.items():
        link.add(address, [membership, received[address]])
    link.seconds(15)
    update = QuarantineUpdate("f", 1, timedelta(minutes=10), ["crash-1"])
    link.dispatch("tcp://vm-d0-0", QuarantineAnnounced([update]))
    link.seconds(4)
    cleared = replace(update, cleared_ids=["crash-1"])
    link.dispatch("tcp://vm-d0-0", QuarantineAnnounced([cleared]))
    link.seconds(4)
    seen = {a: [tuple(u.cleared_ids) for u in r.seen] for a, r in received.items()}
    del seen["tcp://vm-d0-0"]
    assert set(map(tuple, seen.values())) == {((), ("crash-1",))}
