"""Property tests of the job table under any order of records."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
from laburnumgate_core import jobs
from laburnumgate_core import model
from laburnumgate_core import records
from laburnumgate_core import verdict

ZONES = ("za", "zb")
IDS = ("a/1", "a/2")
settings = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)

runs = st.integers(0, 3)
ids = st.sampled_from(IDS)
zones = st.sampled_from(ZONES)
times = st.integers(1, 500_000)
verdicts = st.sampled_from(
    [
        verdict.Ran(("x",)),
        verdict.NotRun("n"),
        verdict.RanFailed("f"),
        verdict.MayHaveRun("m"),
    ]
)


def spec(idempotent: bool, checkpointable: bool = False) -> model.JobSpec:
    return model.JobSpec(
        "k", 1, 1, 1, idempotent=idempotent, checkpointable=checkpointable
    )


any_record = st.one_of(
    st.builds(
        records.Submitted,
        ids,
        st.just("a"),
        st.builds(spec, st.booleans(), st.booleans()),
        zones,
        st.just("h"),
        times,
        times,
        st.just(0),
    ),
    st.builds(records.Refused, ids, st.just("h"), st.just("no"), times, times),
    st.builds(
        records.Starting, ids, runs, zones, st.just(("e",)), st.just(("b",)),
        times,
    ),
    st.builds(
        records.Requeued, ids, runs, st.just("r"), st.booleans(), times,
        st.sampled_from(["", "c"]),
    ),
    st.builds(records.Moved, ids, zones, zones, times),
    st.builds(records.Cancelled, ids, times),
    st.builds(records.Ended, ids, runs, verdicts, times),
)  # fmt: skip


def entries_of(batches) -> list[records.Entry]:
    return [
        records.Entry(number, f"b-{number}", records.encode_jobs(tuple(batch)))
        for number, batch in enumerate(batches, start=1)
    ]


def committed(table: jobs.JobTable) -> jobs.JobsState:
    state = table.state()
    in_order = sorted(state.jobs, key=lambda job: job.job_id)
    return dataclasses.replace(state, jobs=tuple(in_order))


@settings
@hypothesis.given(
    st.lists(st.lists(any_record, max_size=3), max_size=12),
    st.lists(st.integers(0, 12), max_size=6),
    st.data(),
)
def test_hosts_that_read_the_same_entries_hold_equal_tables(
    batches, restarts, data
):
    """Guards against hosts that report different outcomes to callers.

    The second host adopts snapshots and adds provisional records in between.
    """
    entries = entries_of(batches)
    reference = jobs.JobTable(retention_ms=100_000)
    snapshots = [reference.state()]
    for entry in entries:
        reference.apply_entry(entry)
        snapshots.append(reference.state())
    other = jobs.JobTable(retention_ms=100_000)
    for restart in restarts:
        start = data.draw(st.integers(0, other.offset))
        for entry in entries[start:restart]:
            other.apply_entry(entry)
        other.add_provisional(f"p-{restart}", 0, data.draw(any_record))
        other.adopt(snapshots[min(restart, len(entries))])
    for entry in entries[other.offset :]:
        other.apply_entry(entry)
    assert committed(other) == committed(reference)


class Cluster:
    """Three hosts that share a log and resume the runs they may start."""

    def __init__(self):
        self.tables = [jobs.JobTable() for _ in range(3)]
        self.log: list[records.Entry] = []
        self.pending_starts: list[dict[str, records.Starting]] = [{}, {}, {}]
        self.resumed: list[tuple[str, bool]] = []
        self.reported_not_run: set[str] = set()
        self.sent: list[tuple[str, str]] = []

    def append(self, append_id: str, data: str) -> None:
        entry = records.Entry(len(self.log) + 1, append_id, data)
        self.log.append(entry)

    def send(self, record: records.JobRecord) -> str:
        append_id = f"s-{len(self.sent)}"
        self.sent.append((append_id, records.encode_jobs((record,))))
        self.append(*self.sent[-1])
        return append_id

    def read(self, host: int, until: int) -> None:
        table = self.tables[host]
        for entry in self.log[table.offset : until]:
            applied = table.apply_entry(entry)
            starting = self.pending_starts[host].pop(entry.append_id, None)
            if starting is not None and applied == (True,):
                self.resume(table, starting)
        self.check_outcomes()

    def start(self, host: int, job_id: str) -> None:
        table = self.tables[host]
        job = table.get(job_id)
        if job is None or job.state is not jobs.JobState.QUEUED:
            return
        starting = records.Starting(
            job_id, job.run + 1, job.zone, (f"e{host}",), ("b",), 1
        )
        if not job.spec.idempotent:
            self.pending_starts[host][self.send(starting)] = starting
        elif table.add_provisional(f"p{len(self.resumed)}", host, starting):
            self.resume(table, starting)

    def resume(self, table: jobs.JobTable, starting: records.Starting) -> None:
        job = table.get(starting.job_id)
        repeatable = job.spec.idempotent or bool(job.checkpoint)
        self.resumed.append((starting.job_id, repeatable))

    def lose(self, host: int, job_id: str) -> None:
        """Requeues a run whose parts had been resumed."""
        self.read(host, len(self.log))
        job = self.tables[host].get(job_id)
        checkpoint = "c" if job.spec.checkpointable else ""
        self.send(
            records.Requeued(job_id, job.run, "lost", True, 1, checkpoint)
        )

    def check_outcomes(self) -> None:
        for table in self.tables:
            for job_id in IDS:
                job = table.get(job_id)
                if job is not None and isinstance(job.outcome, verdict.NotRun):
                    self.reported_not_run.add(job_id)


steps = st.one_of(
    st.tuples(st.just("read"), st.integers(0, 2), st.integers(0, 30)),
    # Weights towards starts and full reads, so that scripts reach a second run.
    *[st.tuples(st.just("start"), st.integers(0, 2), st.just(IDS[0]))] * 2,
    *[st.tuples(st.just("read"), st.integers(0, 2), st.just(1000))] * 2,
    st.tuples(st.just("start"), st.integers(0, 2), ids),
    st.tuples(st.just("lose"), st.integers(0, 2), ids),
    st.tuples(st.just("send"), any_record, st.none()),
    st.tuples(st.just("resend"), st.integers(0, 30), st.none()),
    st.tuples(st.just("offline"), st.integers(0, 2), any_record),
)


@settings
@hypothesis.given(
    st.booleans(), st.booleans(), st.lists(steps, min_size=10, max_size=40)
)
def test_no_job_runs_twice_or_after_not_run(idempotent, checkpoints, script):
    """Guards G5 and G6 against lost answers, resends and concurrent hosts."""
    cluster = Cluster()
    for job_id in IDS:
        cluster.send(
            records.Submitted(
                job_id, "a", spec(idempotent, checkpoints), "za", "h", 1, 1, 0
            )
        )
    for step, first, second in script:
        match step:
            case "read":
                cluster.read(first, second)
            case "start":
                cluster.start(first, second)
            case "lose":
                cluster.lose(first, second)
            case "send":
                # A resumed run may only be requeued with `may_have_run`.
                if not isinstance(first, records.Requeued):
                    cluster.send(first)
                else:
                    cluster.send(dataclasses.replace(first, may_have_run=True))
            case "resend":
                number = first % len(cluster.sent)
                cluster.append(*cluster.sent[number])
            case "offline":
                cluster.tables[first].add_provisional(
                    f"o-{len(cluster.log)}", first, second
                )
        cluster.check_outcomes()
    for host in range(3):
        cluster.read(host, len(cluster.log))
    for job_id in IDS:
        starts = [
            repeatable
            for resumed_id, repeatable in cluster.resumed
            if resumed_id == job_id
        ]
        assert not (starts and job_id in cluster.reported_not_run)
        assert starts.count(False) <= 1
