"""Guards the fold of the jobs stream."""

from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict

SPEC = model.JobSpec(kind="k", parts=2, accelerators_per_part=4, run_ms=100)


def submitted(account: str = "a") -> records.Submitted:
    return records.Submitted("r1", account, SPEC, "z", "h", 1, 1, 0)


def entry(offset: int, *batch: records.JobRecord) -> records.Entry:
    return records.Entry(offset, f"a-{offset}", records.encode_jobs(batch))


def test_first_record_of_an_id_wins():
    """Guards against a second submission replacing the first."""
    table = jobs.JobTable()
    assert table.apply_entry(entry(1, submitted("a"))) == (True,)
    assert table.apply_entry(entry(2, submitted("b"))) == (False,)
    assert table.get("r1").account == "a"


def test_a_refusal_fences_a_later_submission():
    """Guards against "not run" for a request that another host starts."""
    table = jobs.JobTable()
    table.apply_entry(entry(1, records.Refused("r1", "h", "no", 1)))
    table.apply_entry(entry(2, submitted()))
    assert table.get("r1").outcome == verdict.NotRun("no")


def test_provisional_record_gives_way_to_the_log():
    """Guards against an overlay that outlives the log's decision."""
    table = jobs.JobTable()
    table.add_provisional("p-0", 0, submitted("mine"))
    assert table.get("r1").account == "mine"
    table.apply_entry(entry(1, submitted("theirs")))
    assert table.get("r1").account == "theirs"


def test_malformed_entry_does_not_stop_later_ones():
    """Guards against one bad record blocking the stream."""
    table = jobs.JobTable()
    table.apply_entry(records.Entry(1, "x", "not json"))
    table.apply_entry(entry(2, submitted()))
    assert table.skipped_entries == 1
    assert table.get("r1") is not None
