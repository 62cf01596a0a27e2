"""Check the wire format against datagrams and pages of an earlier release."""

import zlib
from typing import get_args

import msgspec
import pytest

from shallotpath.core.tests.recorded_values import fields_at_default, load_recorded
from shallotpath.duties import EntryUsage
from shallotpath.gateway import EngineReport, EntryLoad
from shallotpath.replication import (
    UNKNOWN_ERA,
    AnnouncementsItem,
    ChunkItem,
    Datagram,
    DemandItem,
    EraPage,
    GossipMessage,
    ListingPage,
    PartItem,
    PeerAddress,
    PlacementItem,
    RecordItem,
    RecordPage,
    RetainedItem,
    SuspectItem,
    TopicItem,
    decode_datagram,
    decode_page,
    encode_message,
    pack_records,
    unpack_records,
)

RECORDED = load_recorded(__file__, "datagrams.json")
DATAGRAMS = {
    (kind, variant): bytes.fromhex(datagram)
    for kind, variants in RECORDED["datagrams"].items()
    for variant, datagram in variants.items()
}
# Recorded from the release before messages had crashes by part of a prompt.
NEWS_WITHOUT_PARTS = {
    variant: bytes.fromhex(datagram)
    for variant, datagram in RECORDED["news_without_parts"].items()
}
# Recorded from the release before messages had the demand by priority.
WITHOUT_DEMANDS = {
    (kind, variant): bytes.fromhex(datagram)
    for kind, variants in RECORDED["datagrams_without_demands"].items()
    for variant, datagram in variants.items()
}
# Recorded from the release before messages had the era of the store.
NEWS_WITHOUT_ERAS = {
    variant: bytes.fromhex(datagram)
    for variant, datagram in RECORDED["news_without_eras"].items()
}
ERA_PAGE = bytes.fromhex(RECORDED["era_page"])
PAGES = {name: bytes.fromhex(page) for name, page in RECORDED["pages"].items()}
PACKED = bytes.fromhex(RECORDED["records"])


def make_load(sent):
    requests, unread, yielding, yielding_tokens, waiting = sent
    return EntryLoad(
        requests=requests,
        unread_tokens=unread,
        yielding_requests=yielding,
        yielding_tokens=yielding_tokens,
        waiting={priority: tuple(counts) for priority, counts in waiting.items()},
    )


def read(payload):
    """Decode a datagram without its types."""
    return msgspec.msgpack.decode(payload, type=list, strict=False)


def holds(sent, known):
    """Check whether all known items stand in their positions in what is sent."""
    if isinstance(known, list):
        same = isinstance(sent, list) and len(sent) >= len(known)
        return same and all(map(holds, sent, known))
    if isinstance(known, dict):
        return set(sent) == set(known) and all(holds(sent[k], known[k]) for k in known)
    return sent == known


def without_era(message):
    return msgspec.structs.replace(message, era=UNKNOWN_ERA, era_age_s=None)


def make_address(sent):
    peer, host, port, engine = sent
    return PeerAddress(id=peer, host=host, port=port, engine=engine)


def make_report(sent):
    address, model, version, accepting, queued, active, pace = sent
    return EngineReport(
        address=address,
        model=model,
        version=version,
        accepting=accepting,
        queued=queued,
        active=active,
        pace=pace,
    )


@pytest.mark.parametrize(("kind", "variant"), DATAGRAMS)
def test_a_recorded_datagram_is_encoded_to_the_same_bytes(kind, variant):
    # Guards against a changed tag, order or type of the items: processes of two
    # releases would drop each other's datagrams.
    payload = DATAGRAMS[kind, variant]
    assert read(payload)[1][0] == kind
    assert encode_message(decode_datagram(payload)) == payload


@pytest.mark.parametrize("kind", RECORDED["datagrams"])
def test_no_item_of_a_full_datagram_decodes_to_its_default(kind):
    # Guards against fields that the decoder skips, and against a recorded datagram that
    # holds only defaults and would not reveal this.
    assert fields_at_default(decode_datagram(DATAGRAMS[kind, "full"])) == []


def test_all_kinds_of_datagrams_are_recorded():
    # Guards against a datagram type that is added or removed without updating the
    # recorded datagrams.
    decoded = [
        type(decode_datagram(DATAGRAMS[kind, "full"])) for kind in RECORDED["datagrams"]
    ]
    assert len(decoded) == len(set(decoded))
    assert set(decoded) == set(get_args(Datagram))


def test_items_of_counts_keep_their_positions():
    # Guards against counts that are taken for those of another entry or start.
    payload = DATAGRAMS["runs", "full"]
    _, (_, entry, incarnation, counts, sent_ms) = msgspec.msgpack.decode(
        payload, strict=False
    )
    expected = EntryUsage(
        entry=entry,
        incarnation=incarnation,
        counts_by_window=counts,
        sent_ms=sent_ms,
    )
    assert decode_datagram(payload) == expected


def test_items_of_a_gossip_message_keep_their_positions():
    # Guards against fields that swap positions: the datagram would still be encoded to
    # the same bytes but decoded with another meaning.
    payload = DATAGRAMS["news", "full"]
    _, (_, sender, incarnation, sequence, domain, leaving, *lists) = read(payload)
    topics, shares, engines, chunks, suspects, peers, *lists = lists
    announcements, parts, demands, era, era_age_s = lists
    expected = GossipMessage(
        sender=make_address(sender),
        incarnation=incarnation,
        sequence=sequence,
        domain=domain,
        leaving=leaving,
        topics=[TopicItem(name=n, end=end, age_s=age) for n, end, age in topics],
        shares={upstream: make_load(share) for upstream, share in shares.items()},
        engines=[make_report(report) for report in engines],
        chunks=[ChunkItem(model=m, version=v, bitmap=bits) for m, v, bits in chunks],
        suspects=[SuspectItem(fingerprint=f, upstreams=ups) for f, ups in suspects],
        peers=[make_address(peer) for peer in peers],
        announcements=[
            AnnouncementsItem(model=m, age_s_by_version=ages)
            for m, ages in announcements
        ],
        parts=[
            PartItem(
                part=part,
                crash_ids=crashes,
                cleared_ids=cleared,
                companions=companions,
                answered=answered,
                age_s=age,
            )
            for part, crashes, cleared, companions, answered, age in parts
        ],
        demands=[
            DemandItem(
                service=service,
                rank=rank,
                offered=offered,
                refused=refused,
                work_s=work_s,
                target_s=target_s,
            )
            for service, rank, offered, refused, work_s, target_s in demands
        ],
        era=era,
        era_age_s=era_age_s,
    )
    assert decode_datagram(payload) == expected
    assert encode_message(expected) == payload


@pytest.mark.parametrize("variant", NEWS_WITHOUT_PARTS)
def test_messages_with_and_without_parts_are_read_by_both_releases(variant):
    # Guards against peers that drop each other's messages in a rolling update.
    before = NEWS_WITHOUT_PARTS[variant]
    decoded = decode_datagram(before)
    assert decoded.parts == []
    expected = without_era(decode_datagram(DATAGRAMS["news", variant]))
    expected.parts.clear()
    expected.demands.clear()
    for share in expected.shares.values():
        share.waiting.clear()
    assert decoded == expected
    # The release before reads the items that it knows and ignores the rest.
    assert holds(read(DATAGRAMS["news", variant]), read(before))


@pytest.mark.parametrize(("kind", "variant"), WITHOUT_DEMANDS)
def test_datagrams_with_and_without_demands_are_read_by_both_releases(kind, variant):
    # Guards against entries that drop each other's loads in a rolling update.
    before = WITHOUT_DEMANDS[kind, variant]
    decoded = decode_datagram(before)
    expected = decode_datagram(DATAGRAMS[kind, variant])
    shares = [expected.share] if kind == "placed" else list(expected.shares.values())
    for share in shares:
        share.waiting.clear()
    if kind == "news":
        assert decoded.demands == []
        expected = without_era(expected)
        expected.demands.clear()
    assert decoded == expected
    # The release before reads the items that it knows and ignores the rest.
    assert holds(read(DATAGRAMS[kind, variant]), read(before))


@pytest.mark.parametrize("variant", NEWS_WITHOUT_ERAS)
def test_messages_with_and_without_eras_are_read_by_both_releases(variant):
    # Guards against peers that drop each other's messages in a rolling update.
    before = NEWS_WITHOUT_ERAS[variant]
    decoded = decode_datagram(before)
    assert decoded.era == UNKNOWN_ERA
    assert decoded == without_era(decode_datagram(DATAGRAMS["news", variant]))
    # The release before reads the items that it knows and ignores the rest.
    assert holds(read(DATAGRAMS["news", variant]), read(before))


def test_page_of_an_era_is_a_listing_to_the_release_before():
    # Guards against fields of the era that take the positions of known ones.
    _, (end, packed, age, kept_keys, era, era_age, below, retained) = read(ERA_PAGE)
    page = EraPage(
        end=end,
        packed=packed,
        age_s=age,
        kept_keys=kept_keys,
        era=era,
        era_age_s=era_age,
        copied_below=below,
        packed_retained=retained,
    )
    assert unpack_records(retained, RetainedItem) == [
        RetainedItem(key="k", value=b"v", offset=95, era=2)
    ]
    assert decode_page(ERA_PAGE) == page
    assert encode_message(page) == ERA_PAGE
    assert fields_at_default(page) == []
    _, listing = msgspec.msgpack.decode(ERA_PAGE, type=tuple[int, ListingPage])
    assert (listing.end, listing.age_s) == (end, age)
    assert listing.kept_keys == kept_keys


def test_items_of_a_placed_request_keep_their_positions():
    # Guards against sender and upstream, or two load figures, that swap positions.
    payload = DATAGRAMS["placed", "full"]
    _, (_, sender, upstream, share) = msgspec.msgpack.decode(payload)
    expected = PlacementItem(sender=sender, upstream=upstream, share=make_load(share))
    assert decode_datagram(payload) == expected
    assert encode_message(expected) == payload


@pytest.mark.parametrize("name", PAGES)
def test_a_recorded_page_is_encoded_to_the_same_bytes(name):
    # Guards against a page of records that another release cannot decode or decodes
    # with its fields in other positions.
    payload = PAGES[name]
    _, (end, packed, age) = msgspec.msgpack.decode(payload)
    page = decode_page(payload)
    assert page == RecordPage(end=end, packed=packed, age_s=age)
    assert encode_message(page) == payload


def test_no_item_of_a_full_page_decodes_to_its_default():
    # Guards against a page that loses its age, so that a stale replica counts as fresh.
    assert fields_at_default(decode_page(PAGES["full"])) == []


def test_packed_records_are_read_and_packed_with_the_same_content():
    # Guards against a changed encoding of packed records. The compressed bytes may
    # differ between releases of zlib, so the decompressed content is compared.
    records = unpack_records(decode_page(PAGES["full"]).packed)
    assert records == [
        RecordItem(key=key, value=value, offset=offset)
        for key, value, offset in msgspec.msgpack.decode(PACKED)
    ]
    assert {record.value is None for record in records} == {True, False}
    assert zlib.decompress(pack_records(records)) == PACKED
