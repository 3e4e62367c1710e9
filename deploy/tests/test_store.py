"""Tests of decoding the answers of the store."""

import base64
import struct

from laburnumgate_placer import ports
import orjson
import pytest
import store

_TOPIC = "keyed.list"
_HEADER = struct.Struct(">QQ")


def _record(content):
    return struct.pack(">I", len(content)) + content


def _keyed(key, value):
    return _record(bytes([len(key)]) + key + value)


def _item(key="e1", value=b"1", offset=1):
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "offset": offset}


def _page(*items, **fields):
    content = {"items": items, "has_more": False, "end_offset": 9}
    return store._newest_outcome((200, orjson.dumps(content | fields)))


def _batch(*records, topic=_TOPIC, end_offset=9):
    body = _HEADER.pack(end_offset, 0) + b"".join(records)
    return store._read_outcome(topic, 4, (200, body))


@pytest.mark.parametrize(
    "odd", [b"", b"\x09e1", b"\x02e", b"\xff", b"\x01\xff1", b"\x001"]
)
def test_a_record_without_a_readable_key_removes_no_entry(odd):
    """Guards against a broken record that is taken for a tombstone.

    Its offset has to be known, or the following ones could not be read.
    """
    batch = _batch(_keyed(b"e1", b"1"), _record(odd), _keyed(b"e2", b"2"))
    entries = batch.entries
    assert [entry.offset for entry in entries] == [4, 5, 6]
    assert entries[0] == ports.Entry(4, "e1", b"1")
    assert entries[2] == ports.Entry(6, "e2", b"2")
    assert entries[1].error


@pytest.mark.parametrize("key", [None, 5, ["e1"], {"e1": 1}, ""])
def test_an_item_without_a_key_hides_no_other_item(key):
    """Guards against a list that is never read for one odd item."""
    page = _page(_item("e1"), _item(key), _item("e3"))
    assert [e.key for e in page.entries if not e.error] == ["e1", "e3"]
    assert len(page.entries) == 3


@pytest.mark.parametrize(
    "fields",
    [
        *({"value": None}, {"value": 5}, {"value": ["1"]}, {"value": "é"}),
        *({"value": "abc"}, {"offset": "x"}, {"offset": None}),
        *({"offset": 1e300}, {"offset": -1}, {"offset": True}),
    ],
)
def test_an_odd_item_hides_no_other_item(fields):
    """Guards against a list that is never read for one odd item."""
    page = _page(_item("e1"), _item("e2") | fields, _item("e3"))
    assert [e.key for e in page.entries] == ["e1", "e2", "e3"]
    assert [bool(e.error) for e in page.entries] == [False, True, False]


@pytest.mark.parametrize("item", [None, 5, "text", [], {}])
def test_an_item_that_is_no_object_hides_no_other_item(item):
    """Guards against a list that is never read for one odd item."""
    page = _page(_item("e1"), item, _item("e3"))
    assert [e.key for e in page.entries if not e.error] == ["e1", "e3"]


def test_a_tombstone_of_a_page_is_an_entry_without_a_value():
    """Guards against taking an empty value for an unreadable one."""
    assert _page(_item("e1", b"")).entries == (ports.Entry(1, "e1", None),)


@pytest.mark.parametrize("offset", ["9", None, 1e300, -1, True, [9], 1.5])
def test_an_end_that_is_no_offset_is_an_unknown_outcome(offset):
    """Guards against an offset that ends the feed when it is compared."""
    assert isinstance(_page(end_offset=offset), ports.Unknown)
    for status, name in ((200, "end_offset"), (412, "end_offset")):
        answer = (status, orjson.dumps({name: offset}))
        assert isinstance(store._append_outcome(answer), ports.Unknown)
    answer = (200, orjson.dumps({"offset": offset, "end_offset": 3}))
    assert isinstance(store._append_outcome(answer), ports.Unknown)
    answer = (410, orjson.dumps({"first_offset": offset}))
    assert isinstance(store._read_outcome(_TOPIC, 0, answer), ports.Unknown)


@pytest.mark.parametrize(
    ("status", "permanent"), [(400, True), (413, True), (429, False)]
)
def test_a_refusal_of_the_content_of_an_append_is_permanent(status, permanent):
    """Guards against a record that is sent again although it is too large."""
    outcome = store._append_outcome((status, b"" if permanent else b"{}"))
    assert isinstance(outcome, ports.NotAppended)
    assert outcome.permanent == permanent


def test_a_refusal_is_permanent_whatever_its_text_is():
    """Guards against a refused append that counts as unanswered."""
    outcome = store._append_outcome((413, b"too large"))
    assert outcome == ports.NotAppended(
        "the log refused with status 413", permanent=True
    )
