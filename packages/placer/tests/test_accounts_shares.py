"""Tests of the order between accounts: shares, excess jobs and waves."""

import logging
import random

import builders
from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import events
from laburnumgate_placer import job_table
from laburnumgate_placer import lifecycle
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import policy
from laburnumgate_placer import progress
from laburnumgate_placer import records
from laburnumgate_placer import scheduling
from laburnumgate_placer.accounts import holds
from laburnumgate_placer.accounts import shares
from laburnumgate_placer.accounts import standings
from laburnumgate_placer.overload import delay_cost
import pytest

_DEFAULT = policy.Policy()
_EQUAL = policy.Policy(equal_account_shares=True)
_COST = policy.Policy(delay_cost_order=True)
_COST_EQUAL = policy.Policy(delay_cost_order=True, equal_account_shares=True)
_URGENT = builders.URGENT
_NORMAL = builders.NORMAL
_BATCH = builders.BATCH
_QUEUES = (_URGENT, _NORMAL, _BATCH)


def _account(name, weight=0.0, **fields):
    return model.Account(name, frozenset(), weight=weight, **fields)


def _tables(*accounts, setting=_DEFAULT, endpoints=4):
    tables = builders.tables(*_QUEUES, accounts=accounts, policy=setting)
    for number in range(endpoints):
        builders.add_endpoint(tables, f"e{number}", rack=f"r{number}")
    return tables


def _submit(tables, job_id, account, queue=_NORMAL, **fields):
    """Submits a job as the hosts do; opens it as the leader does."""
    steps = fields.pop("steps", ())
    fields.setdefault("count", 1)
    fields.setdefault("estimate_ms", 4_000)
    accepted_ms = fields.pop("accepted_ms", tables.wall.now_ms())
    job = builders.job(
        job_id,
        *(steps or [builders.step(**fields)]),
        queue=queue,
        account=account,
        accepted_ms=accepted_ms,
    )
    tables.jobs.apply(records.Submitted(job))
    return lifecycle.open_job(tables, job)


def _run_all(tables, *entries):
    """Starts all tasks of jobs on the endpoints, without a pass."""
    for entry in entries:
        for unit in entry.units_by_key.values():
            names = []
            free = {
                name: state.free().gpu
                for name, state in tables.endpoints.by_id.items()
            }
            for _ in unit.tasks():
                name = max(free, key=free.get)
                free[name] -= unit.step.room.gpu
                names.append(name)
            builders.start(tables, lifecycle.assign(tables, unit, names))


def _advance(tables, duration_ms):
    tables.monotonic.advance(duration_ms)
    tables.wall.advance(duration_ms)


def _waiting(tables, guaranteed=()):
    return ordering.waiting_steps(
        tables, set(guaranteed), tables.monotonic.now_ms()
    )


def _order(tables, guaranteed=()):
    return [s.units[0].key.job_id for s in _waiting(tables, guaranteed)]


def test_share_is_the_largest_of_any_resource_for_the_weight():
    """Guards against accounts that use up memory or cores unnoticed."""
    capacity = model.Resources(1_000, 1_000, 100)
    usage = model.Resources(100, 500, 20)
    assert shares.dominant_share(usage, capacity, 1.0) == 10
    assert shares.dominant_share(usage, capacity, 2.0) == 5
    # A pool without accelerators.
    assert shares.dominant_share(usage, model.Resources(1_000), 1.0) == 2


def test_weights_are_relative_to_their_mean():
    """Guards against steps of 5% that depend on the unit of the weights."""
    few = shares.relative_weights({"a": 0.2, "b": 0.6}, equal=False)
    many = shares.relative_weights({"a": 20, "b": 60}, equal=False)
    assert (few.of("a"), few.of("b")) == pytest.approx((0.5, 1.5))
    assert (many.of("a"), many.of("b")) == pytest.approx((0.5, 1.5))


def test_account_without_a_weight_has_the_mean_or_an_equal_one():
    """Guards against an account that gains by having no weight."""
    given_weights = {"a": 2.0, "b": 4.0, "c": 0.0}
    without = shares.relative_weights(given_weights, equal=False)
    assert without.of("c") == without.of("") == 1.0
    equal = shares.relative_weights(given_weights, equal=True)
    assert equal.of("a") == pytest.approx(2 * equal.of("c"))
    assert equal.of("") == pytest.approx(equal.of("c"))
    assert shares.relative_weights({"c": 0.0}, equal=False).of("c") == 1.0


def test_contention_begins_below_a_tenth_of_the_pool():
    """Guards against shares that reorder work while there is room."""
    free = model.Resources(cpu=0, gpu=10)
    assert not shares.is_contended(free, model.Resources(1_000, 0, 100))
    assert shares.is_contended(free, model.Resources(1_000, 0, 101))
    assert shares.is_contended(free, model.Resources(1_000))


def test_jobs_beyond_the_rate_are_excess():
    """Guards against jobs counted from outside the window or by others."""
    times = shares.Submissions()
    jobs = [
        builders.job(f"{number:016x}", accepted_ms=100_000 + number * 100)
        for number in range(20)
    ]
    times.add(builders.job("e" * 16, accepted_ms=95_000))
    times.add(builders.job("f" * 16, accepted_ms=100_000, account="lena"))
    for job in jobs:
        times.add(job)
    # 2 jobs a second for 5 s, and the one that is more.
    found = [times.is_excess(job, 2.0, 5_000) for job in jobs]
    assert found == [False] * 11 + [True] * 9
    assert not any(times.is_excess(job, 0.0, 5_000) for job in jobs)
    later = builders.job("a" * 16, accepted_ms=106_900)
    assert times.count_before(later, 5_000) == 0
    assert times.count_before(later, 5_001) == 1


@given(
    st.lists(st.integers(0, 3_000), max_size=40), st.randoms(), st.integers(1)
)
def test_excess_does_not_depend_on_the_order_of_the_records(times, rng, seed):
    """Guards against leaders that judge the same job differently."""
    jobs = [
        builders.job(f"{number:016x}", accepted_ms=accepted_ms)
        for number, accepted_ms in enumerate(times)
    ]
    early = job_table.JobTable()
    early.submissions()
    late = job_table.JobTable()
    dropped = set(random.Random(seed).sample(jobs, len(jobs) // 4))
    for job in jobs:
        early.apply(records.Submitted(job))
    for job in rng.sample(jobs, len(jobs)):
        late.apply(records.Submitted(job))
        late.apply(records.Submitted(job))
    for job in dropped:
        early.apply(records.Dropped(job.job_id))
        late.apply(records.Dropped(job.job_id))
    for job in jobs:
        if job in dropped:
            continue
        first, second = (
            table.submissions().is_excess(job, 3.0, 1_000)
            for table in (early, late)
        )
        assert first == second
        before = [
            other
            for other in jobs
            if other not in dropped
            and job.accepted_ms - 1_000 < other.accepted_ms
            and (other.accepted_ms, other.job_id)
            < (job.accepted_ms, job.job_id)
        ]
        assert first == (len(before) > 3)


def _longest_waits(setting, weight, usual_ms, noisy_ms):
    """Runs a pool of 32 accelerators for 20 s.

    Three accounts submit a job every `usual_ms` each, a fourth one every
    `noisy_ms`. Each job takes an accelerator for 4 s.

    Returns:
      The longest wait of a job of the three, and of the fourth.
    """
    names = ["mina", "lena", "tara", "noisy"]
    tables = _tables(*(_account(n, weight) for n in names), setting=setting)
    scheduler = scheduling.Scheduler(tables)
    ends = []
    longest = dict.fromkeys(names, 0)
    submitted = 0
    for tick_ms in range(0, 20_000, 50):
        for name in names:
            interval_ms = noisy_ms if name == "noisy" else usual_ms
            if tick_ms % interval_ms == 0:
                submitted += 1
                _submit(tables, f"{submitted:016x}", name)
        now_ms = tables.monotonic.now_ms()
        while ends and ends[0][0] <= now_ms:
            _, run = ends.pop(0)
            run.unit.state = progress.UnitState.DONE
            lifecycle.mark_terminated(tables, run.members[0], builders.PROOF)
            lifecycle.set_state(
                tables, run.unit.entry, model.JobState.COMPLETED
            )
        scheduler.run()
        runs, tables.assigned_runs = tables.assigned_runs, []
        for run in runs:
            builders.start(tables, run)
            ends.append((now_ms + 4_000, run))
        for entry in tables.entries_by_id.values():
            if entry.state.final or entry.runs():
                continue
            account = entry.job.account
            waited_ms = now_ms - entry.arrived_ms
            longest[account] = max(longest[account], waited_ms)
        _advance(tables, 50)
    noisy = longest.pop("noisy")
    return max(longest.values()), noisy


@pytest.mark.parametrize(
    ("setting", "weight"),
    [(_DEFAULT, 2.0), (_COST, 2.0), (_EQUAL, 0.0), (_COST_EQUAL, 0.0)],
)
def test_account_that_sends_eight_times_its_usual_delays_only_itself(
    setting, weight
):
    """Guards against one account that makes the work of all others wait.

    Load pattern: the pool has room for 8 jobs a second, and the accounts
    usually submit 6. Then one of them submits 12 instead of 1.5.
    """
    assert _longest_waits(setting, weight, 650, 650) == (0, 0)
    without = builders.replace(setting, equal_account_shares=False)
    others_ms, _ = _longest_waits(without, 0.0, 650, 100)
    assert others_ms > 8_000
    others_ms, noisy_ms = _longest_waits(setting, weight, 650, 100)
    # The pool fills up in 2 s before it is contended. As all tasks take 4 s,
    # none ends in the other half of each 4 s.
    assert others_ms <= 2_000
    assert noisy_ms > 8_000


@pytest.mark.parametrize("setting", [_EQUAL, _COST_EQUAL])
def test_equal_shares_put_small_accounts_before_a_large_one(setting):
    """Guards against a large account that pushes small ones out.

    Load pattern: one account runs on most of the pool and has work that waits
    for longer than that of the small ones.
    """
    orders = []
    for chosen in (
        setting,
        builders.replace(setting, equal_account_shares=False),
    ):
        tables = _tables(_account("large"), _account("small"), setting=chosen)
        _run_all(tables, _submit(tables, "1" * 16, "large", count=26))
        _run_all(tables, _submit(tables, "2" * 16, "small", count=5))
        _submit(tables, "a" * 16, "large")
        _advance(tables, 100)
        _submit(tables, "b" * 16, "small")
        orders.append("".join(job_id[0] for job_id in _order(tables)))
    assert orders == ["ba", "ab"]


def test_weights_decide_who_uses_little():
    """Guards against shares that ignore what an account is owed."""
    orders = []
    for weight in (1.0, 8.0):
        tables = _tables(_account("large", weight), _account("small", 1.0))
        _run_all(tables, _submit(tables, "1" * 16, "large", count=22))
        _run_all(tables, _submit(tables, "2" * 16, "small", count=8))
        _submit(tables, "b" * 16, "small")
        _advance(tables, 100)
        _submit(tables, "a" * 16, "large")
        orders.append("".join(job_id[0] for job_id in _order(tables)))
    assert orders == ["ba", "ab"]


def test_accounts_with_about_the_same_share_stay_ordered_by_due_time():
    """Guards against an order that changes with each task that starts."""
    tables = _tables(_account("mina"), _account("lena"), setting=_EQUAL)
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=15))
    _run_all(tables, _submit(tables, "2" * 16, "lena", count=14))
    _submit(tables, "c" * 16, "mina")
    _advance(tables, 10)
    _submit(tables, "b" * 16, "lena")
    _advance(tables, 10)
    _submit(tables, "a" * 16, "mina")
    assert [job_id[0] for job_id in _order(tables)] == ["c", "b", "a"]


@pytest.mark.parametrize("setting", [_EQUAL, _COST_EQUAL])
def test_guarantee_and_priority_come_before_shares(setting):
    """Guards against a guarantee that is missed for a smaller account."""
    tables = _tables(
        _account("large", guaranteed_gpu=2),
        _account("small"),
        setting=setting,
    )
    _run_all(tables, _submit(tables, "1" * 16, "large", _BATCH, count=31))
    _submit(tables, "c" * 16, "small", _URGENT)
    _submit(tables, "d" * 16, "small", _BATCH)
    _submit(tables, "b" * 16, "large", _URGENT, count=3)
    _submit(tables, "a" * 16, "large", _URGENT, count=2)
    guaranteed = ordering.guaranteed_jobs(tables)
    assert guaranteed == {"a" * 16}
    order = "".join(job_id[0] for job_id in _order(tables, guaranteed))
    assert order[0] == "a"
    # The large account's other urgent job precedes batch work of the small one.
    assert order.index("b") < order.index("d")
    assert order == "acbd"


def test_guaranteed_units_are_not_ordered_by_share():
    """Guards against a guarantee that waits for one due later."""
    tables = _tables(
        _account("large", 1.0, guaranteed_gpu=8),
        _account("small", 1.0, guaranteed_gpu=8),
    )
    _run_all(tables, _submit(tables, "1" * 16, "large", _BATCH, count=31))
    _submit(tables, "b" * 16, "large", _URGENT)
    _advance(tables, 100)
    _submit(tables, "a" * 16, "small", _URGENT)
    both = {"a" * 16, "b" * 16}
    assert _order(tables, both) == ["b" * 16, "a" * 16]


def _flood(tables, account="noisy", queue=_NORMAL, count=14, name="f"):
    return [
        _submit(tables, f"{name}{number:015x}", account, queue)
        for number in range(count)
    ]


@pytest.mark.parametrize("setting", [_DEFAULT, _COST])
def test_excess_jobs_come_last_in_their_priority(setting):
    """Guards against excess jobs of an account that uses little otherwise."""
    tables = _tables(
        _account("mina", 1.0), _account("noisy", 1.0), setting=setting
    )
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=31))
    _advance(tables, 6_000)
    # 5 jobs in 5 s and one more, then excess ones.
    _flood(tables)
    _advance(tables, 100)
    _submit(tables, "a" * 16, "mina")
    _advance(tables, 1)
    order = "".join(job_id[0] for job_id in _order(tables))
    assert order == "f" * 6 + "a" + "f" * 8
    assert standings.count_excess(tables) == {"noisy": 8}


@pytest.mark.parametrize("setting", [_DEFAULT, _COST])
def test_excess_jobs_still_precede_lower_priorities(setting):
    """Guards against urgent jobs that wait for all patient work."""
    tables = _tables(
        _account("mina", 1.0), _account("noisy", 1.0), setting=setting
    )
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=31))
    _submit(tables, "b" * 16, "mina", _BATCH)
    _submit(tables, "a" * 16, "mina", _URGENT)
    _flood(tables, queue=_URGENT)
    order = "".join(job_id[0] for job_id in _order(tables))
    assert order.index("a") < order.rindex("f") < order.index("b")


def test_shares_only_exchange_places_within_a_priority():
    """Guards against patient work of a small account before urgent work."""
    tables = _tables(_account("large"), _account("small"), setting=_COST_EQUAL)
    _run_all(tables, _submit(tables, "1" * 16, "large", count=31))
    _submit(tables, "a" * 16, "large", _BATCH)
    _advance(tables, 10_500)
    _submit(tables, "b" * 16, "small", _BATCH, count=30)
    _submit(tables, "c" * 16, "large", _NORMAL)
    _submit(tables, "d" * 16, "small", _NORMAL, count=9)
    costs = {
        step.units[0].key.job_id[0]: delay_cost.loss_per_core_s(step.rank.work)
        for step in _waiting(tables)
    }
    assert costs["c"] > costs["a"] > costs["d"] > costs["b"] > 0
    # By cost, the places belong to normal, batch, normal and batch work.
    assert [job_id[0] for job_id in _order(tables)] == ["d", "b", "c", "a"]


def test_work_that_loses_nothing_by_waiting_stays_behind_excess_work():
    """Guards against work without a value before work that has one."""
    tables = _tables(
        _account("mina", 1.0), _account("noisy", 1.0), setting=_COST
    )
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=31))
    _submit(tables, "a" * 16, "mina")
    # After three times the objective, and before it is overdue.
    _advance(tables, 3 * 13_000)
    _flood(tables)
    order = "".join(job_id[0] for job_id in _order(tables))
    assert order == "f" * 14 + "a"


def test_overdue_work_is_not_held_back_by_shares():
    """Guards against a wait without a bound for the jobs of one account."""
    tables = _tables(
        _account("mina", 1.0), _account("noisy", 1.0), setting=_COST
    )
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=31))
    _flood(tables, queue=_BATCH)
    _advance(tables, 3 * 15_000 + delay_cost.MAX_OVERDUE_MS)
    _submit(tables, "a" * 16, "mina", _URGENT)
    order = "".join(job_id[0] for job_id in _order(tables))
    assert order == "f" * 14 + "a"


def _random_load(rng, accounts, setting, used_gpu):
    tables = _tables(*accounts, setting=setting)
    if used_gpu:
        _run_all(tables, _submit(tables, "0" * 16, "a0", count=used_gpu))
    for number in range(1, 40):
        _submit(
            tables,
            f"{number:016x}",
            f"a{rng.randrange(4)}",
            rng.choice(_QUEUES),
            count=rng.randint(1, 5),
            gang=rng.random() < 0.5,
            estimate_ms=rng.randint(500, 9_000),
        )
        _advance(tables, rng.randint(0, 1_500))
    return tables


def _earlier_key(step):
    """The sort key before shares were introduced."""
    rank = step.rank
    if rank.guaranteed or rank.work is None:
        key = (not rank.guaranteed, rank.stage, rank.priority, rank.due_ms)
    elif rank.work.overdue:
        key = (True, 0, 0.0, 0, rank.due_ms)
    else:
        cost = delay_cost.loss_per_core_s(rank.work)
        key = (True, 1, -cost, rank.priority, rank.due_ms)
    return (key, step.units[0].key)


@pytest.mark.parametrize("setting", [_DEFAULT, _COST])
@pytest.mark.parametrize(
    ("weight", "used_gpu"), [(0.0, 32), (0.0, 0), (1.0, 0), (1.0, 28)]
)
def test_order_is_the_same_without_weights_or_contention(
    setting, weight, used_gpu
):
    """Guards against accounts that change the order where nobody asked for it.

    28 of 32 accelerators in use leave more than a tenth of the pool free.
    """
    rng = random.Random(7)
    for _ in range(10):
        accounts = [_account(f"a{n}", weight) for n in range(4)]
        tables = _random_load(rng, accounts, setting, used_gpu)
        guaranteed = {f"{number:016x}" for number in rng.sample(range(40), 4)}
        found = _waiting(tables, guaranteed)
        assert len(found) == 39
        assert found == sorted(found, key=_earlier_key)


@pytest.mark.parametrize("setting", [_DEFAULT, _COST])
def test_order_follows_the_shares_under_contention(setting):
    """Guards against work that is left out, or exchanged with other classes."""
    rng = random.Random(11)
    for _ in range(10):
        accounts = [_account(f"a{n}", 0.4) for n in range(4)]
        tables = _random_load(rng, accounts, setting, 31)
        guaranteed = {f"{number:016x}" for number in rng.sample(range(40), 4)}
        found = _waiting(tables, guaranteed)
        earlier = sorted(found, key=_earlier_key)
        assert len(found) == 39
        assert found != earlier
        assert standings.count_excess(tables)
        of_pass = standings.of_pass(tables, tables.monotonic.now_ms())
        keys_by_class = {}
        for step, replaced in zip(found, earlier, strict=True):
            share_class = step.rank.share_class()
            assert share_class == replaced.rank.share_class()
            if share_class is None:
                assert step is replaced
                continue
            job = step.units[0].entry.job
            standing = of_pass.of(job, "pool", share_class)
            keys_by_class.setdefault(share_class, []).append(
                (standing.excess, standing.share, _earlier_key(step))
            )
        for keys in keys_by_class.values():
            assert keys == sorted(keys)


@pytest.mark.parametrize("setting", [_DEFAULT, _COST])
def test_next_leader_finds_the_same_order(setting):
    """Guards against an order that changes with the leader.

    The next leader reads all records, in the order in which a compacted log
    may hold them, and adopts the recorded runs.
    """
    rng = random.Random(3)
    accounts = [_account(f"a{n}", 0.4 + n) for n in range(4)]
    before = _random_load(rng, accounts, setting, 31)
    after = _tables(*accounts, setting=setting)
    passed_ms = before.wall.now_ms() - after.wall.now_ms()
    _advance(after, passed_ms)
    entries = list(before.entries_by_id.values())
    for entry in rng.sample(entries, len(entries)):
        job_id = entry.job.job_id
        encoded = records.encode(records.Submitted(entry.job))
        value = encoded[1 + encoded[0] :]
        record = records.decode(f"s/{job_id}", value)
        assert after.jobs.apply(record)
        restored = progress.JobEntry(record.job, entry.arrived_ms)
        progress.restore(
            restored,
            progress.encode(entry),
            after.wall.now_ms(),
            after.monotonic.now_ms(),
        )
        after.entries_by_id[job_id] = restored
        for run in restored.runs():
            for member in run.members:
                after.endpoints.by_id[member.endpoint_id].charge(member)
                after.usage.add(member)
    assert _order(after) == _order(before)
    for entry in entries:
        assert standings.is_excess(after, entry.job) == standings.is_excess(
            before, entry.job
        )
    assert standings.count_excess(after) == standings.count_excess(before)
    assert holds.dump(after) == holds.dump(before)


def test_service_with_room_keeps_its_order():
    """Guards against shares that apply where only another pool is full."""
    other = builders.replace(
        _NORMAL, name="other", prefix="/o/", service="other"
    )
    accounts = (_account("large"), _account("small"))
    tables = builders.tables(_NORMAL, other, accounts=accounts, policy=_EQUAL)
    builders.add_endpoint(tables, "e0")
    builders.add_endpoint(tables, "e1", service="other")
    _run_all(tables, _submit(tables, "1" * 16, "large", count=8))
    _submit(tables, "a" * 16, "large")
    _submit(tables, "c" * 16, "large", other)
    _advance(tables, 10)
    _submit(tables, "b" * 16, "small")
    _submit(tables, "d" * 16, "small", other)
    orders = []
    for other_gpu in (8, 0):
        for endpoint_id, gpu in (("e0", 8), ("e1", other_gpu)):
            state = tables.endpoints.by_id[endpoint_id]
            state.used = model.Resources(0, 0, gpu)
        orders.append("".join(job_id[0] for job_id in _order(tables)))
    both_full, one_full = orders
    assert both_full.index("b") < both_full.index("a")
    assert both_full.index("d") < both_full.index("c")
    assert one_full.index("b") < one_full.index("a")
    assert one_full.index("c") < one_full.index("d")


def test_cut_off_endpoints_are_not_free():
    """Guards against shares that do not apply because of a cut zone's room."""
    tables = _tables(_account("large"), _account("small"), setting=_EQUAL)
    _run_all(tables, _submit(tables, "1" * 16, "large", count=24))
    _submit(tables, "a" * 16, "large")
    _advance(tables, 10)
    _submit(tables, "b" * 16, "small")
    assert _order(tables) == ["a" * 16, "b" * 16]
    # Empties one endpoint into the free places of the others.
    states = list(tables.endpoints.by_id.values())
    for state, gpu in zip(states, (8, 8, 8, 0), strict=True):
        state.used = model.Resources(0, 0, gpu)
    states[3].answering = False
    assert _order(tables) == ["b" * 16, "a" * 16]


def test_shares_are_computed_once_a_pass_and_only_under_contention(
    monkeypatch,
):
    """Guards against a pass that searches the pool for each waiting unit."""
    tables = _tables(_account("mina", 1.0), _account("lena", 1.0))
    calls = {"usable": 0, "share": 0}
    usable, dominant_share = tables.endpoints.usable, shares.dominant_share

    def count_usable(*args):
        calls["usable"] += 1
        return usable(*args)

    def count_share(*args):
        calls["share"] += 1
        return dominant_share(*args)

    monkeypatch.setattr(tables.endpoints, "usable", count_usable)
    monkeypatch.setattr(shares, "dominant_share", count_share)
    for number in range(20):
        account = ("mina", "lena")[number % 2]
        _submit(tables, f"{number + 16:016x}", account)
    _order(tables)
    assert calls == {"usable": 1, "share": 0}
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=31))
    _order(tables)
    assert calls == {"usable": 2, "share": 2}


def test_shares_never_take_an_account_above_its_limit():
    """Guards against a low share that overrides a limit."""
    limited = _account("mina", 9.0, limit=model.Resources(gpu=1))
    tables = _tables(limited, _account("lena", 1.0))
    _run_all(tables, _submit(tables, "1" * 16, "lena", count=30))
    first = _submit(tables, "a" * 16, "mina", count=4)
    second = _submit(tables, "b" * 16, "lena", count=4)
    scheduling.Scheduler(tables).run()
    assert (len(first.runs()), len(second.runs())) == (1, 1)


def test_error_in_shares_leaves_the_earlier_order(caplog, monkeypatch):
    """Guards against a pass that fails with a fault in a new decision."""
    tables = _tables(_account("mina", 1.0), _account("lena", 1.0))
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=31))
    _submit(tables, "b" * 16, "mina")
    _advance(tables, 100)
    _submit(tables, "a" * 16, "lena")
    assert _order(tables) == ["a" * 16, "b" * 16]

    def fail(*_):
        raise ValueError("a fault")

    monkeypatch.setattr(shares, "dominant_share", fail)
    caplog.set_level(logging.INFO)
    for _ in range(3):
        assert _order(tables) == ["b" * 16, "a" * 16]
    failed = [
        record
        for record in caplog.records
        if getattr(record, "event", 0) == events.Event.TASK_FAILED.number
    ]
    assert len(failed) == 1
    monkeypatch.undo()
    _advance(tables, standings.ERROR_PAUSE_MS)
    assert _order(tables) == ["a" * 16, "b" * 16]


def test_metric_and_dump_tell_share_and_excess():
    """Guards against an order that operators cannot explain."""
    tables = _tables(_account("mina", 1.0), _account("noisy", 3.0))
    _run_all(tables, _submit(tables, "1" * 16, "mina", count=8))
    _flood(tables, count=20)
    holds.set_metrics(tables)
    labels = {"account": "mina", "resource": "gpu"}
    # A quarter of the pool, for half of the mean weight.
    assert metrics.ACCOUNT_SHARE.get(labels) == pytest.approx(0.5)
    dump = holds.dump(tables)
    assert dump["mina"]["share"] == [0.125, 0.062, 0.5]
    assert dump["mina"]["excess"] == 0
    # 3 jobs a second for 5 s, and the one that is more.
    assert dump["noisy"]["excess"] == 20 - 16


def _allowed(tables, entry):
    _waiting(tables)
    return ordering.objective_ms(tables, entry)


def test_wide_step_counts_for_each_of_its_waves():
    """Guards against jobs that are late because their limit is low."""
    tables = _tables(
        _account("mina", limit=model.Resources(gpu=3)), _account("lena")
    )
    wide = _submit(tables, "a" * 16, "mina", count=10)
    fits = _submit(tables, "b" * 16, "mina", count=3)
    other = _submit(tables, "c" * 16, "lena", count=10)
    assert _allowed(tables, wide) == 3 * 4 * 4_000 + 1_000
    assert _allowed(tables, fits) == 3 * 4_000 + 1_000
    # Neither a limit nor the order by cost of delay.
    assert _allowed(tables, other) == 3 * 4_000 + 1_000


def test_wave_is_at_most_a_quarter_of_the_pool():
    """Guards against objectives that only the whole pool could meet."""
    accounts = (
        _account("mina", limit=model.Resources(gpu=30)),
        _account("lena"),
    )
    tables = _tables(*accounts, setting=_COST)
    for job_id, account in (("a" * 16, "mina"), ("b" * 16, "lena")):
        entry = _submit(tables, job_id, account, count=17)
        # 8 of 32 accelerators at once.
        assert _allowed(tables, entry) == 3 * 3 * 4_000 + 1_000
    # One task of 5 accelerators fits each endpoint of 8; one of 4 in a wave.
    large = _submit(tables, "c" * 16, "lena", count=2, gpu=5)
    assert _allowed(tables, large) == 3 * 2 * 4_000 + 1_000


def test_gang_runs_in_one_wave():
    """Guards against gangs that seem to have more time than they have."""
    tables = _tables(_account("mina"), setting=_COST)
    entry = _submit(tables, "a" * 16, "mina", count=20, gang=True)
    assert _allowed(tables, entry) == 3 * 4_000 + 1_000


def test_each_step_counts_its_own_waves():
    """Guards against waves of one step that count for the others."""
    tables = _tables(_account("mina", limit=model.Resources(gpu=4)))
    steps = [
        builders.step(count=8, estimate_ms=1_000),
        builders.step(count=1, estimate_ms=2_000, after=(0,)),
        builders.step(count=9, estimate_ms=3_000, after=(0, 1)),
    ]
    entry = _submit(tables, "a" * 16, "mina", steps=steps)
    path_ms = 2 * 1_000 + 2_000 + 3 * 3_000
    assert _allowed(tables, entry) == 3 * path_ms + 1_000


def test_waves_that_are_left_have_to_fit_before_the_objective():
    """Guards against a wide step that seems on time until its last wave."""
    tables = _tables(_account("mina", limit=model.Resources(gpu=3)))
    entry = _submit(tables, "a" * 16, "mina", count=9)
    allowed_ms = _allowed(tables, entry)
    (step,) = _waiting(tables)
    assert step.rank.due_ms == entry.arrived_ms + allowed_ms - 3 * 4_000
    scheduling.Scheduler(tables).run()
    (step,) = _waiting(tables)
    assert len(step.units) == 6
    assert step.rank.due_ms == entry.arrived_ms + allowed_ms - 2 * 4_000


def test_waves_follow_the_pool_and_the_limit():
    """Guards against objectives for a pool or a limit of the past."""
    account = _account("mina", limit=model.Resources(gpu=16))
    tables = _tables(account, setting=_COST, endpoints=2)
    entry = _submit(tables, "a" * 16, "mina", count=8)
    assert _allowed(tables, entry) == 3 * 2 * 4_000 + 1_000
    builders.add_endpoint(tables, "e8")
    builders.add_endpoint(tables, "e9")
    assert _allowed(tables, entry) == 3 * 4_000 + 1_000
    tables.endpoints.by_id["e8"].listed = False
    _advance(tables, 1_000)
    assert _allowed(tables, entry) == 3 * 2 * 4_000 + 1_000
    lower = builders.replace(account, limit=model.Resources(gpu=2))
    config = builders.config(*_QUEUES, accounts=(lower,), version=2)
    tables.config.publish(2, config)
    assert _allowed(tables, entry) == 3 * 4 * 4_000 + 1_000


def test_limit_that_is_not_reached_counts_no_waves():
    """Guards against a limit that changes decisions without ever binding."""
    account = _account("mina", limit=model.Resources(gpu=16))
    tables = _tables(account, endpoints=2)
    entry = _submit(tables, "a" * 16, "mina", count=8)
    assert _allowed(tables, entry) == 3 * 4_000 + 1_000


def test_pool_without_endpoints_counts_no_waves():
    """Guards against objectives that never end before endpoints are known."""
    tables = _tables(_account("mina"), setting=_COST, endpoints=0)
    entry = _submit(tables, "a" * 16, "mina", count=50)
    assert _allowed(tables, entry) == 3 * 4_000 + 1_000
