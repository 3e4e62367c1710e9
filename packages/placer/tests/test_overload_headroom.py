"""Tests of the endpoints that patient work leaves free for urgent gangs."""

import logging
import math
import time

import builders
from laburnumgate_placer import events
from laburnumgate_placer import lifecycle
from laburnumgate_placer import limits
from laburnumgate_placer import metrics
from laburnumgate_placer import model
from laburnumgate_placer import ordering
from laburnumgate_placer import policy
from laburnumgate_placer import pool as pool_module
from laburnumgate_placer import scheduling
from laburnumgate_placer import speeds
from laburnumgate_placer import urgent_room
from laburnumgate_placer.overload import headroom

URGENT = builders.replace(
    builders.QUEUE, name="urgent", objective_ms=300, stretch=1.5
)
BATCH = builders.replace(
    builders.QUEUE, name="batch", priority=2, objective_ms=3_000, stretch=3.0
)
ACCOUNT = builders.replace(builders.ACCOUNT, guaranteed_gpu=1_000)
STOP_MS = 900
TICK_MS = 50
GANG = headroom.Shape(8, 4, True)


def _arrivals(history, shape, count, since_ms=0, every_ms=1_000):
    for number in range(count):
        at_ms = since_ms + every_ms * number
        history.add(headroom.Arrival(at_ms, shape, 1, 2_000, 0.7))


def test_the_need_covers_the_mean_and_a_margin():
    """Guards against room for the mean, which is too little half the time."""
    history = headroom.History(0)
    _arrivals(history, GANG, 30)
    need = history.need(29_999, 8, 400, 8)
    # One gang a second of 4 endpoints runs for 2 s: 8 endpoints on average.
    deviation = math.sqrt(2 * 4 * 4)
    wanted = 8 + headroom.MARGIN_DEVIATIONS * deviation
    assert need.endpoints == math.ceil(wanted)
    assert (need.rack_part, need.speed) == (4, 0.7)
    assert need.shapes == ((GANG, 30),)


def test_the_need_is_zero_after_the_window():
    """Guards against capacity that stays idle when urgent work has ended."""
    history = headroom.History(0)
    _arrivals(history, GANG, 3)
    last_ms = 2_000 + headroom.WINDOW_MS
    assert history.need(last_ms - 1, 8, 400, 8).endpoints
    assert history.need(last_ms, 8, 400, 8) == headroom.Need()


def test_at_most_a_quarter_of_the_pool_is_needed():
    """Guards against a burst of urgent work that stops all patient work."""
    history = headroom.History(0)
    _arrivals(history, headroom.Shape(8, 40, False), 100, every_ms=10)
    assert history.need(1_000, 8, 100, 8).endpoints == 25


def test_small_tasks_need_no_whole_endpoints():
    """Guards against reserved endpoints that nothing needs whole."""
    history = headroom.History(0)
    _arrivals(history, headroom.Shape(2, 5, True), 20)
    assert history.need(20_000, 8, 100, 8) == headroom.Need()


def test_a_gang_wider_than_a_rack_asks_for_no_such_rack():
    """Guards against the search for a rack that does not exist."""
    history = headroom.History(0)
    _arrivals(history, headroom.Shape(8, 12, True), 1)
    assert history.need(0, 8, 100, 8).rack_part == 0


def _candidates(free_by_rack, size=8):
    return [
        headroom.Candidate(f"{rack}-{n}", rack, free)
        for rack, free in free_by_rack.items()
        for n in range(size)
    ]


def test_nearly_whole_racks_are_reserved_as_a_whole():
    """Guards against reserved endpoints of which no rack has enough."""
    need = headroom.Need(12, 6)
    candidates = _candidates({"a": 0.2, "b": 0.9, "c": 0.5, "d": 0.8})
    chosen = headroom.choose(need, candidates, frozenset())
    racks = sorted(each.split("-")[0] for each in chosen)
    assert racks == ["b"] * 8 + ["d"] * 4


def test_racks_that_are_too_small_come_last():
    """Guards against reserved racks that no gang on one rack fits in."""
    need = headroom.Need(8, 6)
    candidates = _candidates({"a": 1.0}, size=4) + _candidates({"b": 0.3})
    chosen = headroom.choose(need, candidates, frozenset())
    assert {each.split("-")[0] for each in chosen} == {"b"}


def test_a_reserved_rack_is_kept_until_another_one_is_much_better():
    """Guards against racks that change before they are empty."""
    need = headroom.Need(8, 6)
    reserved = frozenset(f"a-{n}" for n in range(8))
    near = _candidates({"a": 0.5, "b": 0.8})
    assert headroom.choose(need, near, reserved) == reserved
    far = _candidates({"a": 0.5, "b": 0.9})
    assert headroom.choose(need, far, reserved).isdisjoint(reserved)


def test_nothing_is_held_back_for_longer_than_the_bound():
    """Guards against patient work that starves beside free endpoints."""
    before_ms = headroom.MAX_HOLD_MS - 1
    assert headroom.holds_back(math.inf, 1_000, before_ms)
    assert not headroom.holds_back(math.inf, 1_000, headroom.MAX_HOLD_MS)


def test_work_that_would_be_late_is_not_held_back():
    """Guards against patient work that is late for room that stays free."""
    assert headroom.holds_back(6_000, 10_000, 0)
    assert not headroom.holds_back(5_000, 10_000, 0)


def _tables(racks=4, on=True, size=8):
    tables = builders.tables(
        URGENT,
        BATCH,
        accounts=(ACCOUNT,),
        bounds=limits.Bounds(stop_ms=STOP_MS),
        policy=policy.Policy(urgent_headroom=on),
    )
    for number in range(racks * size):
        builders.add_endpoint(
            tables, f"e{number:03}", rack=f"r{number // size}"
        )
    tables.durations.speeds.restore(dict.fromkeys(tables.endpoints.by_id, 0.0))
    return tables


def _open(tables, number, queue, *steps):
    job = builders.job(f"{number:016x}", *steps, queue=queue)
    return lifecycle.open_job(tables, job)


def _start_assigned(tables):
    runs, tables.assigned_runs = tables.assigned_runs, []
    for run in runs:
        builders.start(tables, run)
    return runs


def _finish(tables, run):
    for member in run.members:
        state = tables.endpoints.by_id[member.endpoint_id]
        lifecycle.apply_end(
            tables, state, builders.end(member, 1, model.EndKind.DONE)
        )


class _Pattern:
    """Urgent one-rack gangs among batch tasks that keep two thirds in use."""

    URGENT_MS = 1_000
    BATCH_MS = 4_000

    def __init__(self, on):
        self.tables = _tables(on=on)
        # A quarter is slow. The estimates of the others differ a little.
        estimates = (0.45, 1.0, 1.3, 1.0)
        self.tables.durations.speeds.restore(
            {
                f"e{number:03}": math.log(estimates[number % 4])
                for number in range(32)
            }
        )
        self.scheduler = scheduling.Scheduler(self.tables)
        self.number = 0
        self.running = []
        self.stopping = []
        self.stopped = []
        self.waits_ms = []
        self.batch_ended = 0

    def play(self, seconds):
        tables = self.tables
        for tick in range(1_000 * seconds // TICK_MS):
            since_ms = tick * TICK_MS
            now_ms = tables.monotonic.now_ms()
            if since_ms % 200 == 0:
                self._open(BATCH, builders.step(10, estimate_ms=self.BATCH_MS))
            if since_ms % 2_000 == 1_000:
                gang = builders.step(
                    5, 8, gang=True, same_rack=True, estimate_ms=self.URGENT_MS
                )
                self._open(URGENT, gang)
            self._end_runs(now_ms)
            self.scheduler.run()
            stops, tables.pending_stops = tables.pending_stops, []
            for member in stops:
                self.stopping.append((now_ms + STOP_MS, member))
                self.stopped.append(since_ms)
            for run in _start_assigned(tables):
                urgent = run.unit.step.gang
                # Tasks of a job end at different times, in a fixed order.
                work_ms = self.BATCH_MS * (4 + 5 * run.unit.key.index % 8) // 8
                if urgent:
                    work_ms = self.URGENT_MS
                self.running.append((now_ms + work_ms, run))
                if urgent:
                    self.waits_ms.append(now_ms - run.unit.ready_ms)
            tables.monotonic.advance(TICK_MS)
            tables.wall.advance(TICK_MS)

    def _open(self, queue, step):
        self.number += 1
        _open(self.tables, self.number, queue, step)

    def _end_runs(self, now_ms):
        tables = self.tables
        due = [run for end_ms, run in self.running if end_ms <= now_ms]
        self.running = [each for each in self.running if each[0] > now_ms]
        for run in due:
            if run.unit.run is run and not self._is_stopping(run):
                self.batch_ended += not run.unit.step.gang
                _finish(tables, run)
        ended = [member for at_ms, member in self.stopping if at_ms <= now_ms]
        self.stopping = [each for each in self.stopping if each[0] > now_ms]
        for member in ended:
            state = tables.endpoints.by_id[member.endpoint_id]
            lifecycle.apply_end(
                tables, state, builders.end(member, 1, model.EndKind.STOPPED)
            )

    def _is_stopping(self, run):
        return any(member.run is run for _, member in self.stopping)


def test_urgent_gangs_start_at_once_among_batch_tasks():
    """Guards against gangs that wait for stops while a third is free."""
    on, off = _Pattern(True), _Pattern(False)
    for pattern in (on, off):
        pattern.play(30)
    assert len(on.waits_ms) >= 14
    assert sum(wait_ms > 100 for wait_ms in on.waits_ms) <= 1
    assert len(on.stopped) <= 0.1 * len(off.stopped)
    assert sum(wait_ms > 100 for wait_ms in off.waits_ms) >= 5
    assert on.batch_ended >= off.batch_ended


def _with_gang_seen(racks=4, size=8):
    """Returns tables and a scheduler that has seen an urgent gang of 8 x 8."""
    tables = _tables(racks, size=size)
    scheduler = scheduling.Scheduler(tables)
    _open(tables, 1, URGENT, builders.step(8, 8, gang=True, same_rack=True))
    scheduler.run()
    (run,) = _start_assigned(tables)
    _finish(tables, run)
    tables.monotonic.advance(urgent_room.UPDATE_MS)
    return tables, scheduler


def test_only_endpoints_that_are_known_to_be_fast_are_reserved():
    """Guards against room on endpoints that make urgent gangs late."""
    tables = _tables()
    slow = [f"e{n:03}" for n in range(16)]
    tables.durations.speeds.restore(dict.fromkeys(slow, math.log(0.4)))
    for endpoint_id in ("e016", "e017", "e024", "e025"):
        tables.durations.speeds.discard(endpoint_id)
    scheduler = scheduling.Scheduler(tables)
    gang = builders.step(6, 8, gang=True, same_rack=True)
    _open(tables, 1, URGENT, gang)
    scheduler.run()
    pool = pool_module.Pool([], {})
    now_ms = tables.monotonic.now_ms()
    scheduler._room.reserve("pool", pool, now_ms)
    assert len(pool.headroom_ids) == 6
    unknown = {"e016", "e017", "e024", "e025"}
    assert pool.headroom_ids.isdisjoint({*slow, *unknown})


def _racks_in_use(tables):
    return {
        state.info.rack
        for state in tables.endpoints.by_id.values()
        if state.used != model.Resources()
    }


def test_patient_units_leave_reserved_endpoints_until_they_would_be_late():
    """Guards against reserved endpoints that patient work takes or never gets.

    256 accelerators, of which 64 are reserved, and 300 tasks.
    """
    tables, scheduler = _with_gang_seen()
    _open(tables, 2, BATCH, builders.step(300, estimate_ms=4_000))
    scheduler.run()
    assert len(_start_assigned(tables)) == 192
    assert len(_racks_in_use(tables)) == 3
    # 8 s of work and 3 s are left as slack, of which 2 s are a margin.
    tables.monotonic.advance(8_900)
    scheduler.run()
    assert not _start_assigned(tables)
    tables.monotonic.advance(200)
    scheduler.run()
    assert len(_start_assigned(tables)) == 64


def test_a_patient_gang_is_held_back_for_a_bounded_time():
    """Guards against a wide gang with much slack that starves."""
    tables, scheduler = _with_gang_seen()
    patient = builders.replace(BATCH, objective_ms=600_000)
    tables.config.publish(
        2, builders.config(URGENT, patient, accounts=(ACCOUNT,), version=2)
    )
    filler = _open(tables, 2, patient, builders.step(24, 8))
    _start(tables, scheduler)
    gang = builders.step(4, 8, gang=True, estimate_ms=4_000)
    entry = _open(tables, 3, patient, gang)
    (unit,) = entry.units_by_key.values()
    scheduler.run()
    assert not _start_assigned(tables)
    assert filler.runs()
    urgent_ms = 0
    while unit.run is None and urgent_ms <= headroom.MAX_HOLD_MS:
        # Urgent gangs go on arriving, so that the reservation stays.
        if urgent_ms % 4_000 == 0:
            number = 100 + urgent_ms
            step = builders.step(8, 8, gang=True, same_rack=True)
            _open(tables, number, URGENT, step)
        for run in _start(tables, scheduler):
            if run.unit is not unit:
                _finish(tables, run)
        tables.monotonic.advance(500)
        tables.wall.advance(500)
        urgent_ms += 500
    assert (
        headroom.MAX_HOLD_MS - 1_000 <= urgent_ms <= headroom.MAX_HOLD_MS + 500
    )
    assert unit.run is not None


def _start(tables, scheduler):
    scheduler.run()
    return _start_assigned(tables)


def test_no_run_is_stopped_for_a_unit_that_is_held_back():
    """Guards against stops for patient work beside endpoints that are free."""
    tables, scheduler = _with_gang_seen()
    normal = builders.replace(BATCH, name="normal", priority=1)
    tables.config.publish(
        2,
        builders.config(URGENT, BATCH, normal, accounts=(ACCOUNT,), version=2),
    )
    _open(tables, 2, BATCH, builders.step(24, 8, checkpointing=True))
    _start(tables, scheduler)
    tables.monotonic.advance(3_000)
    _open(tables, 3, normal, builders.step(2, 8, gang=True, estimate_ms=9_000))
    scheduler.run()
    assert not tables.pending_stops


def test_a_patient_rack_gang_is_not_spread_for_headroom():
    """Guards against a gang that runs more slowly since a rack is reserved."""
    tables, scheduler = _with_gang_seen(racks=1, size=32)
    gang = builders.step(28, 8, gang=True, same_rack=True, estimate_ms=4_000)
    _open(tables, 2, BATCH, gang)
    (run,) = _start(tables, scheduler)
    assert len(run.members) == 28


def test_a_guarantee_may_use_reserved_endpoints():
    """Guards against urgent work that its own headroom keeps waiting."""
    tables, scheduler = _with_gang_seen()
    _open(tables, 2, BATCH, builders.step(24, 8))
    _start(tables, scheduler)
    _open(tables, 3, URGENT, builders.step(8, 8, gang=True, same_rack=True))
    (run,) = _start(tables, scheduler)
    assert len(run.members) == 8


def test_nothing_is_reserved_without_the_setting():
    """Guards against a change for deployments that do not ask for it."""
    tables = _tables(on=False)
    scheduler = scheduling.Scheduler(tables)
    gang = builders.step(8, 8, gang=True, same_rack=True)
    _open(tables, 1, URGENT, gang)
    (run,) = _start(tables, scheduler)
    _finish(tables, run)
    _open(tables, 2, BATCH, builders.step(300, estimate_ms=4_000))
    assert len(_start(tables, scheduler)) == 256


def _headroom_events(caplog):
    number = events.Event.HEADROOM_CHANGED.number
    return [r for r in caplog.records if getattr(r, "event", 0) == number]


def test_changes_are_logged_at_most_once_a_second(caplog):
    """Guards against a line for each pass, and a reservation without an end."""
    caplog.set_level(logging.INFO)
    tables, scheduler = _with_gang_seen()
    for _ in range(400):
        _start(tables, scheduler)
        tables.monotonic.advance(100)
    found = _headroom_events(caplog)
    assert [record.endpoints for record in found] == [8, 0]
    assert found[0].service == "pool"
    assert found[0].shapes == ["1 of 8 x 8, one rack"]


def test_the_gauge_shows_the_reservation_of_the_term():
    """Guards against a host that shows a reservation after its term."""
    _, scheduler = _with_gang_seen()
    scheduler.run()
    labels = {"service": "pool"}
    assert metrics.HEADROOM_ENDPOINTS.get(labels) == 8
    scheduler.end_term()
    assert metrics.HEADROOM_ENDPOINTS.get(labels) == 0


def test_an_error_in_the_reservation_does_not_end_the_pass(caplog, monkeypatch):
    """Guards against a fault that keeps all work waiting."""
    tables, scheduler = _with_gang_seen()
    monkeypatch.setattr(headroom, "choose", lambda *_: 1 / 0)
    _open(tables, 2, BATCH, builders.step(300, estimate_ms=4_000))
    assert len(_start(tables, scheduler)) == 256
    numbers = [getattr(record, "event", 0) for record in caplog.records]
    assert numbers.count(events.Event.TASK_FAILED.number) == 1


def test_the_reservation_costs_little_in_a_large_pool():
    """Guards against passes of many ms with 350 endpoints and 2,800 tasks."""
    tables = _tables(racks=44)
    scheduler = scheduling.Scheduler(tables)
    gang = builders.step(8, 8, gang=True, same_rack=True)
    _open(tables, 1, URGENT, gang)
    _open(tables, 2, BATCH, builders.step(2_700, estimate_ms=4_000))
    _start(tables, scheduler)
    room = scheduler._room
    usable = list(tables.endpoints.by_id.values())
    free = {s.info.endpoint_id: s.free() for s in usable}
    took_ms = []
    for number in range(20):
        pool = pool_module.Pool(usable, free)
        began = time.perf_counter()
        now_ms = tables.monotonic.now_ms() + number * urgent_room.UPDATE_MS
        room.reserve("pool", pool, now_ms)
        took_ms.append(1_000 * (time.perf_counter() - began))
    reserved = len(pool.headroom_ids)  # The repr of the pool is very long.
    assert reserved
    assert min(took_ms) < 5


def test_a_gang_at_one_pace_does_not_hide_its_slow_endpoint():
    """Guards against a slow endpoint that counts as fast after each gang."""
    for shared in (False, True):
        table = speeds.SpeedTable(gangs_share_pace=shared)
        table.observe(("a", 0, 0), "slow", 0, 1_000, 50, 1_000)
        table.observe(("a", 0, 0), "fast", 1, 1_000, 50, 500)
        table.solve()
        for number in range(4):
            for task, endpoint_id in enumerate(("slow", "fast")):
                key = (f"g{number}", 0, 0)
                table.observe(
                    key, endpoint_id, task, 1_000, 50, 1_000, gang=True
                )
        table.solve()
        ratio = table.speed("slow") / table.speed("fast")
        assert (ratio < 0.6) == shared


def test_a_unit_that_is_too_late_is_still_held_back_for_the_bound_only():
    """Guards against late work that takes reserved endpoints at once."""
    tables, _ = _with_gang_seen()
    room = urgent_room.UrgentRoom(tables)
    entry = _open(tables, 2, BATCH, builders.step())
    (unit,) = entry.units_by_key.values()
    now_ms = tables.monotonic.now_ms()
    rank = ordering.Rank(False, ordering.Stage.TOO_LATE, 2, now_ms - 1)
    assert room.holds_back(rank, unit, now_ms)
    later_ms = now_ms + headroom.MAX_HOLD_MS
    assert not room.holds_back(rank, unit, later_ms)
