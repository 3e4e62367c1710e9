"""Tests the fold of the config stream and conflicts between operators."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
from laburnumgate_core import config
from laburnumgate_core import records
from laburnumgate_core import reservation

ZONE = {
    "region": "r",
    "racks": [
        {"name": "k", "endpoints": 2, "accelerators_per_endpoint": 8},
    ],
}
TEMPLATE = {
    "parameters": {"count": {"type": "integer", "minimum": 0, "maximum": 9}},
    "promise": {
        "quota_accelerators": 16,
        "shapes": [
            {"parts": 1, "accelerators_per_part": 8, "count": "${count}"}
        ],
    },
}


def account(count: int) -> dict:
    return {"template": "t", "parameters": {"count": count}}


def publish(
    table: config.ConfigTable, change_id: str, *changes: tuple
) -> config.Outcome | None:
    return table.apply_entry(entry(table.offset + 1, change_id, *changes))


def entry(offset: int, change_id: str, *changes: tuple) -> records.Entry:
    made = tuple(records.Change(*change) for change in changes)
    publication = records.Publication(change_id, "ana", 1, made)
    data = records.encode_publication(publication)
    return records.Entry(offset, change_id, data)


def base() -> config.ConfigTable:
    table = config.ConfigTable()
    outcome = publish(
        table,
        "base",
        ("zone/z", ZONE, 0),
        ("template/t", TEMPLATE, 0),
        ("account/a", account(1), 0),
    )
    assert outcome == config.Accepted(1)
    return table


def test_a_publication_is_applied_atomically():
    """A rejected publication must not leave some of its changes in force."""
    table = base()
    outcome = publish(
        table,
        "two",
        ("zone-state/z", {"state": "out"}, 0),
        ("account/a", account(1), 7),
    )
    assert outcome.conflict
    assert table.zone_in_service("z")
    outcome = publish(
        table,
        "three",
        ("zone-state/z", {"state": "out"}, 0),
        ("zone-state/z", {"state": "in"}, 0),
    )
    assert isinstance(outcome, config.Rejected)


def test_guarantees_that_cannot_all_be_met_are_refused():
    """Guarantee G1: promises beyond the declared capacity are rejected.

    The conflict can come from an account, a zone or a template.
    """
    table = base()
    assert publish(table, "b", ("account/b", account(1), 0)) == (
        config.Accepted(2)
    )
    assert isinstance(
        publish(table, "c", ("account/c", account(1), 0)), config.Rejected
    )
    assert "c" not in table.promises_by_account
    smaller = {**ZONE, "racks": [{**ZONE["racks"][0], "endpoints": 1}]}
    assert isinstance(
        publish(table, "z", ("zone/z", smaller, 1)), config.Rejected
    )
    doubled = {
        **TEMPLATE,
        "promise": {
            **TEMPLATE["promise"],
            "shapes": [
                {"parts": 2, "accelerators_per_part": 8, "count": "${count}"}
            ],
        },
    }
    assert isinstance(
        publish(table, "t", ("template/t", doubled, 1)), config.Rejected
    )
    assert isinstance(
        publish(table, "r", ("template/t", None, 1)), config.Rejected
    )


def test_malformed_records_are_skipped_and_duplicates_have_no_effect():
    """A malformed or repeated record must not block the records after it."""
    table = base()
    table.apply_entry(records.Entry(2, "x", "{"))
    table.apply_entry(records.Entry(3, "y", '{"change_id": 1}'))
    invalid = {**TEMPLATE, "parameters": {"count": {"type": "string"}}}
    invalid["parameters"]["count"]["minimum"] = 1
    outcome = publish(
        table,
        "odd",
        ("template/t", invalid, 1),
        ("account/a", {"template": "t", "parameters": {"count": "x"}}, 1),
    )
    assert isinstance(outcome, config.Rejected)
    assert table.skipped_entries == 2
    out = ("zone-state/z", {"state": "out"}, 0)
    first = publish(table, "out", out)
    publish(table, "in", ("zone-state/z", {"state": "in"}, first.offset))
    assert publish(table, "out", out) == first
    assert table.zone_in_service("z")


def test_a_state_change_checks_no_guarantees(monkeypatch):
    """The cost of a state change must not grow with the number of accounts."""
    table = base()

    def unexpected(*arguments):
        raise AssertionError("rendered or checked without need")

    monkeypatch.setattr(reservation, "find_unmet_guarantee", unexpected)
    monkeypatch.setattr(config.template, "render", unexpected)
    outcome = publish(table, "out", ("zone-state/z", {"state": "out"}, 0))
    assert outcome == config.Accepted(2)


def test_a_stale_or_invalid_state_is_not_adopted():
    """Guarantee G9: state of a lagging peer or old snapshot is not adopted."""
    table = base()
    old = table.state()
    publish(table, "out", ("zone-state/z", {"state": "out"}, 0))
    assert not table.adopt(old)
    assert not table.adopt(dataclasses.replace(old, offset=2))
    wrong = config.ConfigValue(
        "zone-state/z", config.Versioned(3, {"state": "?"})
    )
    assert not table.adopt(config.ConfigState(9, (wrong,), ()))
    assert not table.zone_in_service("z")
    assert table.offset == 2


changes = st.one_of(
    st.tuples(
        st.sampled_from(["account/a", "account/b", "account/c"]),
        st.sampled_from([None, account(0), account(1), account(2)]),
    ),
    st.tuples(
        st.sampled_from(["zone/z", "zone/y"]), st.sampled_from([None, ZONE])
    ),
    st.tuples(
        st.just("zone-state/z"),
        st.sampled_from([{"state": "in"}, {"state": "out"}]),
    ),
    st.tuples(st.just("template/t"), st.sampled_from([None, TEMPLATE])),
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(st.lists(changes, min_size=1, max_size=3), st.booleans()),
        max_size=12,
    ),
    st.lists(st.integers(0, 12), max_size=5),
    st.data(),
)
def test_hosts_agree_and_no_accepted_value_reverts(script, reads, data):
    """Guarantee G9 under repeated entries, snapshots and stale peers.

    Each host may read the entries in other steps and adopt states in between.
    """
    reference = config.ConfigTable()
    entries = []
    states = [reference.state()]
    for number, (wanted, fresh) in enumerate(script, start=1):
        made = tuple(
            (key, value, reference.revision(key) if fresh else 0)
            for key, value in wanted
        )
        change_id = f"c-{data.draw(st.integers(0, number))}"
        entries.append(entry(number, change_id, *made))
        reference.apply_entry(entries[-1])
        states.append(reference.state())
    other = config.ConfigTable()
    for read in reads:
        before = dict(other.values_by_key)
        offset = other.offset
        start = data.draw(st.integers(0, offset))
        for item in entries[start:read]:
            other.apply_entry(item)
        other.adopt(data.draw(st.sampled_from(states)))
        for key, versioned in before.items():
            now = other.revision(key)
            assert now == 0 or now >= versioned.revision
        assert other.offset >= offset
    for item in entries[other.offset :]:
        other.apply_entry(item)
    assert other.values_by_key == reference.values_by_key
    assert other.promises_by_account == reference.promises_by_account
    assert other.zones_by_name == reference.zones_by_name
    assert list(other.outcomes_by_change_id.items()) == list(
        reference.outcomes_by_change_id.items()
    )


def test_a_table_from_a_snapshot_decides_like_one_that_read_the_log(
    monkeypatch,
):
    """A host restored from a snapshot must decide like all other hosts.

    A snapshot can list the values in another order than the log did. Order
    breaks ties between placements, so it must not depend on history.
    """
    table = base()
    publish(
        table,
        "more",
        ("zone/b", ZONE, 0),
        ("account/0", account(1), 0),
    )
    state = table.state()
    restarted = config.ConfigTable()
    reversed_state = dataclasses.replace(state, values=state.values[::-1])
    assert restarted.adopt(reversed_state)
    seen = []
    check = reservation.find_unmet_guarantee
    monkeypatch.setattr(
        reservation,
        "find_unmet_guarantee",
        lambda promises, zones: (
            seen.append([list(promises), list(zones)]) or check(promises, zones)
        ),
    )
    changed = ("account/a", account(2), 1)
    removed = ("template/t", None, 1)
    for one in (table, restarted):
        assert isinstance(publish(one, "x", changed), config.Accepted)
        assert isinstance(publish(one, "y", removed), config.Rejected)
    assert seen[0] == seen[1]
