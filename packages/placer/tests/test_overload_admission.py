"""Tests of which jobs are turned away under load."""

import builders
from laburnumgate_placer import lifecycle
from laburnumgate_placer import load_reports
from laburnumgate_placer import model
from laburnumgate_placer.overload import admission

_POOL = admission.Pool(
    cores=960.0,
    gpu=80,
    free_gpu=0,
    largest=model.Resources(32_000, 64_000, 8),
)
_URGENT = builders.replace(builders.QUEUE, priority=0, stretch=1.5)
_BATCH = builders.replace(builders.QUEUE, priority=2, stretch=2.0)


def _job(queue, estimate_ms=2_000, gpu=1):
    return builders.job(
        "a" * 16, builders.step(gpu=gpu, estimate_ms=estimate_ms), queue=queue
    )


def _batch_ahead(seconds):
    demand = admission.Demand(2, seconds * _POOL.cores)
    return admission.backlog([demand], _POOL)


def test_work_that_can_be_useful_is_never_refused():
    """Guards against refusals that leave capacity unused."""
    job = _job(_BATCH)
    assert admission.decide(job, 0, None) is None
    assert admission.decide(job, 0, _batch_ahead(2)) is None
    # Late it is still of some use: 2 x (3 x 2 x 2 s - 2 s) = 20 s.
    assert admission.decide(job, 0, _batch_ahead(19)) is None


def test_work_that_would_start_too_late_is_refused_at_once():
    """Guards against callers that wait for a result worth nothing any more."""
    refusal = admission.decide(_job(_BATCH), 0, _batch_ahead(24))
    assert refusal.retry_after_ms == 4_000


def test_nothing_is_refused_while_endpoints_are_idle():
    """Guards against refusals because a gang waits beside idle endpoints."""
    pool = admission.Pool(960.0, 80, 20, _POOL.largest)
    known = admission.backlog([admission.Demand(2, 1e6)], pool)
    assert admission.decide(_job(_BATCH), 0, known) is None


def test_urgent_work_does_not_count_the_work_that_it_overtakes():
    """Guards against a burst of batch work that turns urgent work away."""
    assert admission.decide(_job(_URGENT), 0, _batch_ahead(600)) is None


def test_guaranteed_work_is_not_refused():
    """Guards against an account that does not get its guarantee."""
    demand = admission.Demand(0, 600 * _POOL.cores)
    known = admission.backlog([demand], _POOL)
    assert admission.decide(_job(_URGENT), 16, known) is None
    assert admission.decide(_job(_URGENT), 0, known) is not None


def test_a_task_that_fits_nowhere_is_refused():
    """Guards against a job that waits forever."""
    known = admission.backlog([], _POOL)
    assert admission.decide(_job(_BATCH, gpu=9), 0, known) is not None
    assert admission.decide(_job(_BATCH, gpu=8), 0, known) is None


def test_scheduled_work_is_not_refused():
    """Guards against refusing work for the load of another time."""
    job = builders.replace(_job(_BATCH), scheduled=True)
    assert admission.decide(job, 0, _batch_ahead(600)) is None


def test_a_herd_of_refused_callers_returns_one_after_the_other():
    """Guards against callers that all return at the same moment."""
    returns = admission.Returns()
    times = []
    for now_ms in range(1_000, 1_100, 10):
        returns = returns.next(now_ms, 1_000)
        times.append(returns.latest_ms)
    steps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert steps == [admission.RETURN_INTERVAL_MS] * len(steps)
    for _ in range(1_000):
        returns = returns.next(1_100, 1_000)
    assert returns.latest_ms == 1_100 + admission.MAX_RETRY_MS


def test_the_leaders_report_is_read_by_other_hosts():
    """Guards against a report that other hosts take for something else."""
    known = {"pool": _batch_ahead(24)}
    assert load_reports.decode(load_reports.encode(known)) == known


def test_the_report_counts_waiting_work_but_not_what_is_too_late():
    """Guards against refusals because of work that ranks behind the job."""
    tables = builders.tables(_BATCH, accounts=())
    builders.add_endpoint(tables)
    lifecycle.open_job(tables, _job(_BATCH, estimate_ms=10_000, gpu=8))
    assert load_reports.collect(tables, {})["pool"].delay_ms_by_priority == {}
    tables.endpoints.by_id["e1"].used = model.Resources(0, 0, 8)
    delays = load_reports.collect(tables, {})["pool"].delay_ms_by_priority
    assert delays == {2: 6_770}
    tables.monotonic.advance(60_000)
    assert load_reports.collect(tables, {})["pool"].delay_ms_by_priority == {}


def test_an_endpoint_that_is_not_listed_for_a_while_still_counts():
    """Guards against refusing what fits an endpoint that is about to return."""
    tables = builders.tables(_BATCH, accounts=())
    builders.add_endpoint(tables, "small", capacity=model.Resources(8, 8, 1))
    large = builders.add_endpoint(tables, "large")
    largest_by_service = {}
    load_reports.collect(tables, largest_by_service)
    large.listed = False
    known = load_reports.collect(tables, largest_by_service)["pool"]
    assert admission.decide(_job(_BATCH, gpu=8), 0, known) is None
