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
from laburnumgate_placer import upkeep
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


_LIST_ENTRY = {
    "service": "pool",
    "address": "10.1.2.3:8080",
    "zone": "a",
    "state": "ready",
    "labels": ["k", "r1"],
    "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 1},
    "born": 1_700_000_000_000,
}
# As deep as the parser accepts, and deeper than Python can print.
_NESTED = "[" * 1_020 + "]" * 1_020


def _list_entry(key="e1", **fields):
    return ports.Entry(1, key, orjson.dumps(_LIST_ENTRY | fields))


@pytest.mark.parametrize(
    "address", ["10.1.2.3:1", "10.1.2.3:65535", "127.0.0.1:80", "[fd00::1]:80"]
)
def test_an_endpoint_is_listed_with_its_address(address):
    """Guards against a check of addresses that refuses usable ones."""
    found = decoding.decode_endpoint(_list_entry(address=address))
    assert found.address == address


@pytest.mark.parametrize(
    "address",
    [
        *("10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:99999999999999999999"),
        *("10.1.2.3:-1", "10.1.2.3:+80", "10.1.2.3:8_0", "10.1.2.3: 80"),
        *("10.1.2.3:²", "10.1.2.3:٣", "10.1.2.3:80\n", "10.1.2.3:"),
        *("10.1.2.300:80", "10.1.2:80", "010.1.2.3:80", "10.1.2.3\n:80"),
        *("10.1.2.3:80:80", "10.1.2.3/x:80", "a@10.1.2.3:80", "#:80"),
        *("a..b:80", "x" * 300 + ":80", "[fd00::1:80", "fd00::1:80", ":80"),
        *("[fd00::1%0]:80", "10.1.2.3:" + "9" * 5_000),
    ],
)
def test_an_address_that_cannot_be_called_names_no_endpoint(address):
    """Guards against calls, over and over, to an address that is none."""
    assert decoding.decode_endpoint(_list_entry(address=address)) is None


@pytest.mark.parametrize("key", ["", "e1\nX-Other: 1", "e\r1", "e\0", "e\x7f"])
def test_an_id_that_no_header_can_hold_names_no_endpoint(key):
    """Guards against calls that cannot be sent, as a header names the id."""
    assert decoding.decode_endpoint(_list_entry(key)) is None


@pytest.mark.parametrize(
    "fields",
    [
        {"capacity": {"cpu": -1, "mem_mb": 1, "gpu": 1}},
        {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": -(2**52)}},
        {"capacity": {"cpu": 1e300}},
        {"capacity": {"cpu": 2**50, "mem_mb": 1, "gpu": 1}},
        {"capacity": {"cpu": 1, "mem_mb": 2**50, "gpu": 1}},
        {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": 2**50}},
        {"capacity": {"cpu": 2**63}},
        {"capacity": [1, 2, 3]},
        {"labels": "rack"},
        {"labels": {"k": 1, "r1": 2}},
        {"labels": ["k", 1]},
        {"born": 1.5},
        {"born": -1},
        {"born": True},
        {"state": ["ready"]},
        {"state": {"ready": 1}},
    ],
)
def test_a_field_out_of_range_names_no_endpoint(fields):
    """Guards against placement on what an entry cannot mean."""
    assert decoding.decode_endpoint(_list_entry(**fields)) is None


@pytest.mark.parametrize("name", sorted(_LIST_ENTRY))
@pytest.mark.parametrize(
    "value", [_NESTED, "[" * 100_000, "1e400", "NaN", "1" * 400, '"\\ud800"']
)
def test_a_value_that_cannot_be_printed_names_no_endpoint(name, value):
    """Guards against an entry whose decoding ends in another error."""
    fields = {k: orjson.dumps(v).decode() for k, v in _LIST_ENTRY.items()}
    fields[name] = value
    text = ",".join(f'"{key}":{field}' for key, field in fields.items())
    entry = ports.Entry(1, "e1", f"{{{text}}}".encode())
    assert decoding.decode_endpoint(entry) is None


@pytest.mark.parametrize("name", ["task_spec", "requirements", "count"])
def test_a_job_nested_too_deeply_to_print_is_a_body_error(name):
    """Guards against a request that ends as an unexpected error."""
    fields = {"task_spec": '""', "requirements": '""', "count": "1"}
    fields[name] = _NESTED
    body = (
        f'{{"task_spec":{fields["task_spec"]},"steps":[{{"count":'
        f'{fields["count"]},"requirements":{fields["requirements"]}}}]}}'
    )
    with pytest.raises(decoding.BodyError):
        decoding.decode_job("a" * 16, builders.QUEUE, "mina", body.encode())


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


@pytest.mark.parametrize(
    "load", ["nan", "inf", "-inf", "12", "1e400", 1e300, 2**63, -1, True, [1]]
)
def test_an_odd_load_is_no_load(load):
    """Guards against a pace, or a lost report, by a figure that is none."""
    row = ["00000000000000a1.0.0.0", 1, "", 40, load]
    report = decoding.decode_report({"clock_ms": 1, "running": [row]})
    assert [run.load for run in report.running] == [0.0]


@pytest.mark.parametrize("load", [None, 0, 12, 12.5, 2_000_000])
def test_a_load_is_read_as_a_number(load):
    """Guards against a check of loads that refuses usable ones."""
    row = ["00000000000000a1.0.0.0", 1, "", 40, load]
    report = decoding.decode_report({"clock_ms": 1, "running": [row]})
    assert [run.load for run in report.running] == [load or 0.0]


@pytest.mark.parametrize("clock", [1e300, -1e300, 2**63, True, "1", None, [1]])
def test_a_clock_out_of_range_is_refused(clock):
    """Guards against deadlines that no order can carry."""
    with pytest.raises((ValueError, TypeError)):
        decoding.decode_report({"clock_ms": clock})


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


_WAVE = {"machines": ["m1", "m2"], "duration_s": 30, "max_count": 1}


@pytest.mark.parametrize(
    "fields",
    [
        *({"machines": "m1"}, {"machines": {"m1": 1}}, {"machines": None}),
        *({"machines": ["m1", 2]}, {"machines": [["m1"]]}, {"machines": [{}]}),
        *({"duration_s": "nan"}, {"duration_s": 1e300}, {"duration_s": -1}),
        *({"max_count": "1"}, {"max_count": 1e300}, {"max_count": True}),
        {"duration_s": 10**17},
    ],
)
def test_an_odd_wave_leaves_the_other_waves_to_be_planned(fields):
    """Guards against one wave that ends each term of the leader."""
    tables = builders.tables()
    wave = ports.Entry(2, "wave/1", orjson.dumps(_WAVE))
    decoding.apply_operator_entry(tables.config, wave)
    odd = ports.Entry(3, "wave/2", orjson.dumps(_WAVE | fields))
    with pytest.raises((ValueError, TypeError)):
        decoding.apply_operator_entry(tables.config, odd)
    waves = tables.config.waves_by_number
    assert list(waves) == [1]
    assert upkeep.UpkeepTable(tables).plan(waves)


@pytest.mark.parametrize(
    "number",
    ["", "x", "-1", "+1", "1_0", " 1", "١", "²", "9" * 30, "9" * 5_000],
)
@pytest.mark.parametrize("value", [orjson.dumps(_WAVE), None])
def test_a_wave_without_a_number_is_no_wave(number, value):
    """Guards against another wave that is meant, or a call that cannot be."""
    table = config_table.ConfigTable()
    entry = ports.Entry(2, "wave/10", orjson.dumps(_WAVE))
    decoding.apply_operator_entry(table, entry)
    before = dict(table.waves_by_number)
    with pytest.raises(ValueError):
        decoding.apply_operator_entry(
            table, ports.Entry(3, f"wave/{number}", value)
        )
    assert table.waves_by_number == before


def _configuration(**route):
    queue = {"name": "q", "hostname": "h", "path_prefix": "/p/"} | route
    content = {
        "version": 2,
        "routes": [queue],
        "tenants": [{"name": "mina", "api_keys": ["key-1"]}],
    }
    return ports.Entry(2, "config", orjson.dumps(content))


@pytest.mark.parametrize(
    "route",
    [
        *({"name": 5}, {"hostname": 5}, {"path_prefix": 5}, {"service": []}),
        *({"priority": 1e300}, {"attempts": 1e300}, {"stretch": "nan"}),
        *({"stretch": []}, {"target_latency_ms": 1e300}, {"priority": "1"}),
    ],
)
def test_an_odd_configuration_leaves_the_last_one_in_force(route):
    """Guards against requests that end as errors by a value of a queue."""
    table = config_table.ConfigTable()
    table.publish(1, builders.config())
    with pytest.raises((ValueError, TypeError)):
        decoding.apply_operator_entry(table, _configuration(**route))
    assert table.current == builders.config()
    decoding.apply_operator_entry(table, _configuration())
    assert table.current.version == 2
    assert table.admit("h", "/p/1", "key-1")


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
