"""Claim records that an earlier release wrote to the log."""

from datetime import UTC, datetime
from typing import get_args

import msgspec
import pytest

from shallotpath.claims import Record, Witness, decode_record, encode_record
from shallotpath.claims._home_model import restore_homes
from shallotpath.claims._records import HomeImage, ServiceImage, UnresolvedClaimsImage
from shallotpath.core.tests.recorded_values import fields_at_default, load_recorded

RECORDED = load_recorded(__file__, "records.json")
RECORDS = {
    (kind, variant): bytes.fromhex(record)
    for kind, variants in RECORDED["records"].items()
    for variant, record in variants.items()
}


def make_witness(sent):
    member, incarnation, address = sent
    return Witness(id=member, incarnation=incarnation, address=address)


def make_home(sent):
    member, incarnation, domain, joined_at, read, vm_incarnation, seq, witnesses = sent
    return HomeImage(
        member=member,
        incarnation=incarnation,
        domain=domain,
        joined_at=joined_at,
        read=read,
        vm_incarnation=vm_incarnation,
        seq=seq,
        witnesses=[make_witness(each) for each in witnesses],
    )


def make_unresolved(sent):
    member, incarnation, witnesses, members = sent
    return UnresolvedClaimsImage(
        member=member,
        incarnation=incarnation,
        witnesses=[make_witness(each) for each in witnesses],
        members=members,
    )


def make_service(sent):
    service, active, pending, unresolved = sent
    return ServiceImage(
        service=service,
        active=[make_home(each) for each in active],
        pending=[make_home(each) for each in pending],
        unresolved=[make_unresolved(each) for each in unresolved],
    )


@pytest.mark.parametrize(("kind", "variant"), RECORDS)
def test_a_recorded_record_is_encoded_to_the_same_bytes(kind, variant):
    # Guards against a renamed class or field that changes the records of the log: home
    # agents of two releases would not see each other's claims.
    data = RECORDS[kind, variant]
    assert msgspec.msgpack.decode(data)["type"] == kind
    assert encode_record(decode_record(data)) == data


@pytest.mark.parametrize("kind", RECORDED["records"])
def test_no_field_of_a_full_record_falls_to_its_default(kind):
    # Guards against a field that the decoder skips because its name has changed, and
    # against a recorded record that would not show it.
    assert fields_at_default(decode_record(RECORDS[kind, "full"])) == []


def test_all_kinds_of_records_are_recorded():
    # Guards against a record that was added or removed without a recorded one.
    decoded = [
        type(decode_record(RECORDS[kind, "full"])) for kind in RECORDED["records"]
    ]
    assert len(decoded) == len(set(decoded))
    assert set(decoded) == set(get_args(Record))


def test_items_in_arrays_keep_their_positions():
    # Guards against fields of an image that change places: the record would be encoded
    # to the same bytes and yet be read with another meaning.
    data = RECORDS["Snapshot", "full"]
    sent = msgspec.msgpack.decode(data)
    snapshot = decode_record(data)
    assert snapshot.services == [make_service(each) for each in sent["services"]]
    for service in snapshot.services:
        assert min(map(len, (service.active, service.pending, service.unresolved))) > 0
    contact = RECORDS["Contact", "full"]
    witnesses = msgspec.msgpack.decode(contact)["witnesses"]
    assert decode_record(contact).witnesses == [make_witness(w) for w in witnesses]


def test_a_restored_home_set_gives_the_recorded_image():
    # Guards against a home set that loses a field between reading a snapshot and
    # writing the next one.
    now = datetime(2026, 3, 1, 12, tzinfo=UTC)
    snapshot = decode_record(RECORDS["Snapshot", "full"])
    for image in snapshot.services:
        assert restore_homes(image, now).image(image.service) == image
