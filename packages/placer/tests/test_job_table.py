"""Tests of the materialized view of the jobs topic."""

import builders
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import job_table
from laburnumgate_placer import model
from laburnumgate_placer import records

_IDS = st.sampled_from(["a" * 16, "b" * 16])
_RECORDS = st.one_of(
    st.builds(lambda i: records.Submitted(builders.job(i)), _IDS),
    st.builds(records.Cancelled, _IDS),
    st.builds(
        records.StateChanged,
        _IDS,
        st.sampled_from(model.JobState),
        st.just(1),
    ),
    st.builds(records.Dropped, _IDS),
)


@example(
    [
        records.Submitted(builders.job("b" * 16)),
        records.StateChanged("b" * 16, model.JobState.RUNNING, 1),
        records.StateChanged("b" * 16, model.JobState.QUEUED, 1),
    ]
)
@given(st.lists(_RECORDS, max_size=30))
def test_pending_counts_the_queued_jobs(sequence):
    """Guards against a count that diverges from the states of the jobs."""
    table = job_table.JobTable()
    for record in sequence:
        table.apply(record)
    queued = [
        job_id
        for job_id in table.jobs_by_id
        if table.state(job_id) == model.JobState.QUEUED
    ]
    assert table.pending("reviews") == len(queued)


@given(st.lists(_RECORDS, max_size=30))
def test_a_final_state_never_changes(sequence):
    """Guards against a job that leaves a terminal state."""
    table = job_table.JobTable()
    final = {}
    for record in sequence:
        table.apply(record)
        if isinstance(record, records.Dropped):
            final.pop(record.job_id, None)
        for job_id in table.jobs_by_id:
            changed = table.recorded(job_id)
            if changed is None or not changed.state.final:
                continue
            assert table.state(job_id) == final.setdefault(
                job_id, changed.state
            )


def test_a_repeated_submission_stays_one_job():
    """Guards against a duplicate submission that replaces the job."""
    table = job_table.JobTable()
    assert table.apply(records.Submitted(builders.job("a" * 16)))
    done = records.StateChanged("a" * 16, model.JobState.COMPLETED, 1)
    table.apply(done)
    other = builders.replace(builders.job("a" * 16), payload="other")
    assert not table.apply(records.Submitted(other))
    assert table.jobs_by_id["a" * 16].payload == "text"
    assert table.state("a" * 16) == model.JobState.COMPLETED
