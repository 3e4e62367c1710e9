"""Tests of record encoding and of malformed records."""

import builders
from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import model
from laburnumgate_placer import records
import pytest

_STEPS = st.builds(
    model.Step,
    count=st.integers(1, 50),
    room=st.builds(
        model.Resources,
        st.integers(0, 64_000),
        st.integers(0, 99_999),
        st.integers(0, 8),
    ),
    estimate_ms=st.integers(0, 99_999),
    after=st.lists(st.integers(0, 3)).map(tuple),
    gang=st.booleans(),
    same_rack=st.booleans(),
    checkpointing=st.booleans(),
    label=st.text(max_size=5),
    max_per_endpoint=st.integers(0, 4),
    long_running=st.booleans(),
    may_miss=st.integers(0, 3),
    image=st.text(max_size=5),
)


def _decode(encoded: bytes) -> records.JobRecord:
    end = 1 + encoded[0]
    return records.decode(encoded[1:end].decode(), encoded[end:] or None)


@given(st.lists(_STEPS, min_size=1, max_size=3), st.text(max_size=20))
def test_a_submission_is_read_back_as_it_was(steps, payload):
    """Guards against a job field that is lost in serialization."""
    job = builders.replace(
        builders.job("00000000000000a1", *steps), payload=payload
    )
    assert _decode(records.encode(records.Submitted(job))).job == job


@pytest.mark.parametrize(
    "record",
    [
        records.Cancelled("00000000000000a1"),
        records.StateChanged(
            "00000000000000a1", model.JobState.FAILED, 12, "why"
        ),
    ],
)
def test_other_records_are_read_back(record):
    """Guards against a state or cancellation lost in serialization."""
    assert _decode(records.encode(record)) == record


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("s/1", b"{"),
        ("s/1", b"{}"),
        ("e/1", b"[1]"),
        ("x/1", b"1"),
        ("s", b"1"),
    ],
)
def test_an_unreadable_record_is_refused(key, value):
    """Guards against an unexpected exception for a malformed record."""
    with pytest.raises(records.RecordError):
        records.decode(key, value)


@pytest.mark.parametrize(
    "values", [[b"{"], [b"[1]"], [b"1"], [b'{"1":0.5}', b'{"1":["m"]}']]
)
def test_unreadable_parts_are_refused(values):
    """Guards against a recovery that ends at a malformed part."""
    with pytest.raises(records.RecordError):
        records.decode_parts(dict(enumerate(values)))


@pytest.mark.parametrize("key", ["a/x", "a/-1", "a/1/2", "a/1.5"])
def test_a_key_without_a_number_of_a_part_is_refused(key):
    """Guards against a part that is taken for another one."""
    with pytest.raises(records.RecordError):
        records.decode_progress_key(key)
