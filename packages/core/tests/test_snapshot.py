"""Tests snapshots of both folds."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
from laburnumgate_core import config
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import snapshot
from laburnumgate_core import verdict
import pytest


def jobs_state(offset: int, count: int = 450) -> jobs.JobsState:
    """Returns a state of several lines and, in these tests, several chunks."""
    spec = model.JobSpec("k", 1, 1, 1, payload="p")
    made = []
    for number in range(count):
        job = jobs.Job(
            f"a/{offset}-{number}", "a", spec, "z", "h", 1, 1, 0,
            endpoints=("e",), outcome=verdict.Ran((str(number * offset),)),
        )  # fmt: skip
        made.append(job)
    return jobs.JobsState(offset, 77, tuple(made))


def config_state(offset: int) -> config.ConfigState:
    value = config.Versioned(3, {"state": "out"})
    outcomes = (
        config.ChangeOutcome("c1", config.Accepted(3)),
        config.ChangeOutcome("c2", config.Rejected(4, "no", conflict=True)),
        config.ChangeOutcome("c3", config.Rejected(5, "no")),
    )
    values = (config.ConfigValue("zone-state/z", value),)
    return config.ConfigState(offset, values, outcomes)


def assemble(chunks) -> list[snapshot.State]:
    assembler = snapshot.Assembler()
    complete = []
    for chunk in chunks:
        body = assembler.add(chunk)
        if body is not None:
            complete.append(snapshot.decode(body))
    return complete


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch):
    monkeypatch.setattr(snapshot, "MAX_CHUNK_BYTES", 500)


def test_states_are_unchanged_after_encoding_and_decoding():
    """A snapshot must not lose a field or an outcome."""
    for state in (jobs_state(9), config_state(9), config_state(2**40)):
        chunks = [
            snapshot.decode_stored(snapshot.encode_stored(chunk, 5)).chunk
            for chunk in snapshot.encode(state)
        ]
        assert assemble(chunks) == [state]


def test_a_chunk_fits_into_an_append(monkeypatch):
    """The log refuses appends of more than 256 KB."""
    monkeypatch.undo()
    body = bytes(range(256)) * 1000
    chunks = snapshot.split("jobs", 2**40, body)
    assert len(chunks) == 2
    for chunk in chunks:
        assert len(snapshot.encode_stored(chunk, 2**42)) <= 256 * 1024


@hypothesis.settings(
    derandomize=True,
    max_examples=200,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["old", "new"]),
            st.integers(0, 50),
            st.sampled_from(["", "cut", "flip", "index", "count", "offset"]),
        ),
        max_size=40,
    )
)
def test_damaged_or_mixed_chunks_never_yield_a_state(script):
    """A host must not adopt a state that no host ever had."""
    old = snapshot.encode(jobs_state(5, 80))
    new = snapshot.encode(jobs_state(6, 80))
    chunks = []
    undamaged = {"old": set(), "new": set()}
    for which, number, damage in script:
        source = old if which == "old" else new
        chunk = source[number % len(source)]
        if not damage:
            undamaged[which].add(chunk.index)
        chunks.append(damaged(chunk, damage, number))
    states = assemble([*chunks, *new[:-1]])
    for state in states:
        assert state in (jobs_state(5, 80), jobs_state(6, 80))
    seen = {state.offset for state in states}
    assert (5 in seen) == (len(undamaged["old"]) == len(old))
    undamaged["new"].update(range(len(new) - 1))
    assert (6 in seen) == (len(undamaged["new"]) == len(new))


def damaged(chunk: snapshot.Chunk, damage: str, number: int) -> snapshot.Chunk:
    match damage:
        case "cut":
            return dataclasses.replace(chunk, data=chunk.data[: -1 - number])
        case "flip":
            data = bytearray(chunk.data)
            data[number % len(data)] ^= 1
            return dataclasses.replace(chunk, data=bytes(data))
        case "index":
            return dataclasses.replace(chunk, index=chunk.index + 1)
        case "count":
            return dataclasses.replace(chunk, count=chunk.count + 1)
        case "offset":
            return dataclasses.replace(chunk, offset=99)
    return chunk


def test_a_state_of_two_offsets_is_not_decoded():
    """A body that mixes two states of the fold is rejected."""
    body = b"".join(snapshot.encode_steps(jobs_state(6, 1)))
    with pytest.raises(ValueError, match="different offsets"):
        snapshot.decode(snapshot.Body("jobs", 5, body))
    with pytest.raises(ValueError, match="truncated"):
        snapshot.decode(snapshot.Body("jobs", 6, body[:-3]))


def test_chunks_that_do_not_match_the_body_digest_are_dropped(monkeypatch):
    """The writer's state may have changed between two chunks."""
    state = jobs_state(6, 80)
    with monkeypatch.context() as patch:
        patch.setattr(snapshot, "_body_digest", lambda *args: b"x" * 16)
        chunks = snapshot.encode(state)
    assert assemble(chunks) == []
