"""Fuzzes the decoders of everything that other processes write."""

import builders
import decoding
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import config_table
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer import ports
from laburnumgate_placer import progress
from laburnumgate_placer import records
from laburnumgate_placer import reports
import orjson
import pytest
import store
import workers

_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
)
_NAMES = st.sampled_from(
    ["steps", "count", "cpu", "mem_mb", "gpu", "after", "gang", "task_spec"]
    + ["repeat_count", "state", "labels", "address", "capacity", "born"]
    + ["service", "zone", "machine", "running", "ended", "clock_ms"]
    + ["version", "routes", "tenants", "limits", "done", "units", "reason"]
)
_JSON = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(_NAMES | st.text(max_size=4), inner, max_size=6)
    ),
    max_leaves=25,
)
_TASK = st.just("00000000000000a1.0.0.0")
_REPORT = st.fixed_dictionaries(
    {},
    optional={
        "clock_ms": _SCALARS,
        "born": _SCALARS,
        "running": st.lists(st.lists(_TASK | _JSON, max_size=6), max_size=3),
        "ended": st.lists(st.lists(_TASK | _JSON, max_size=6), max_size=3),
    },
)


@given(st.binary(max_size=60) | _JSON.map(orjson.dumps))
def test_a_malformed_job_is_a_body_error(body):
    """Guards against a request that ends as an unexpected error."""
    try:
        job = decoding.decode_job("a" * 16, builders.QUEUE, "mina", body)
    except decoding.BodyError:
        return
    assert records.decode(f"s/{job.job_id}", _value(job)).job == job


def _value(job):
    encoded = records.encode(records.Submitted(job))
    return encoded[1 + encoded[0] :]


@given(st.binary(max_size=60) | _JSON.map(orjson.dumps))
def test_a_malformed_list_entry_names_no_endpoint(value):
    """Guards against an entry of another writer that ends the feed."""
    found = decoding.decode_endpoint(ports.Entry(1, "e1", value))
    assert found is None or isinstance(found, model.Endpoint)


@given(_REPORT | _JSON)
@example(
    {"clock_ms": 1, "ended": [["1", "00000000000000a1.0.0.0", 1, "done", ""]]}
)
@example({"clock_ms": "1"})
@example({"clock_ms": 1, "running": [["00000000000000a1.0.0.0", 1, "", "x"]]})
def test_a_malformed_report_is_refused_whole(content):
    """Guards against a report of which only a part is applied."""
    try:
        report = decoding.decode_report(content)
    except (ValueError, KeyError, TypeError, IndexError, AttributeError):
        return
    tables = builders.tables()
    state = builders.add_endpoint(tables)
    reports.apply(tables, state, report, tables.monotonic.now_ms())


@given(
    st.sampled_from(["config", "evacuate/a", "wave/1", "wave/x", "other"]),
    st.binary(max_size=60) | _JSON.map(orjson.dumps),
)
def test_a_malformed_operator_entry_changes_no_configuration(key, value):
    """Guards against an entry that takes the configuration away."""
    table = config_table.ConfigTable()
    table.publish(1, builders.config())
    try:
        decoding.apply_operator_entry(table, ports.Entry(2, key, value))
    except (ValueError, KeyError, TypeError, AttributeError):
        assert table.current == builders.config()


@given(
    st.sampled_from(["s/a", "c/a", "e/a", "x/a", "a", ""]),
    st.none() | st.binary(max_size=60) | _JSON.map(orjson.dumps),
)
def test_a_malformed_record_is_a_record_error(key, value):
    """Guards against a record that cannot be told from a fault of the host."""
    try:
        records.decode(key, value)
    except records.RecordError:
        return


@given(st.integers(0, 2), _JSON.map(orjson.dumps))
def test_a_malformed_progress_record_raises_what_is_documented(part, value):
    """Guards against a recovery that ends at one record."""
    entry = progress.JobEntry(builders.job(), 0)
    try:
        progress.restore(entry, {part: value}, 0, 0)
    except (ValueError, KeyError, TypeError):
        return


@given(_JSON)
def test_a_malformed_load_report_raises_what_is_documented(content):
    """Guards against a host that refuses callers after one bad record."""
    try:
        load_reports.decode(content)
    except (ValueError, TypeError, AttributeError):
        return


_RANKED_PART = st.fixed_dictionaries(
    {},
    optional={
        "steps": st.lists(st.tuples(_SCALARS, _SCALARS) | _JSON, max_size=3),
        "queues": st.dictionaries(
            st.text(max_size=4), st.tuples(_SCALARS, _SCALARS) | _JSON
        ),
        "free": st.lists(_SCALARS, max_size=4) | _JSON,
    },
)
_RANKED = st.fixed_dictionaries(
    {},
    optional={
        "at_ms": _SCALARS,
        "services": st.dictionaries(st.text(max_size=4), _RANKED_PART) | _JSON,
    },
)


@given(_JSON | _RANKED)
@example({"at_ms": 0, "services": {"pool": {"steps": [[0, 1e308]]}}})
def test_a_malformed_report_by_cost_raises_what_is_documented(content):
    """Guards against a host that refuses callers after one bad record."""
    try:
        load_reports.decode_ranked(content)
    except (ValueError, TypeError, AttributeError, KeyError):
        return


@given(
    st.sampled_from([200, 409, 410, 412, 500]),
    st.binary(max_size=60) | _JSON.map(orjson.dumps),
)
@example(412, b"[1]")
@example(200, b"[1]")
@example(410, b"1")
def test_an_unreadable_answer_of_the_store_is_an_unknown_outcome(status, body):
    """Guards against an unexpected error for an answer of the store."""
    answer = (status, body)
    assert store._append_outcome(answer) is not None
    assert store._read_outcome("keyed.t", 0, answer) is not None
    assert store._newest_outcome(answer) is not None


@pytest.mark.parametrize("status", [200, 409, 421, 500])
def test_a_body_that_is_no_object_is_an_unknown_outcome(status):
    """Guards against an unexpected error for an answer without an object."""
    outcome = workers._decode_response(status, b"[1]")
    assert isinstance(outcome, ports.Unknown | ports.Refused)
