"""Tests of estimating endpoint speeds from the progress of tasks."""

import random

from hypothesis import given
from hypothesis import strategies as st
from laburnumgate_placer import speeds


def _run(table, key, work_ms, declared_ms, speed_by_id, worked_ms=2_000):
    for endpoint_id, speed in speed_by_id.items():
        percent = 100 * speed * worked_ms / work_ms
        table.observe(key, endpoint_id, 0, declared_ms, percent, worked_ms)


@given(
    st.lists(st.sampled_from([0.6, 1.0, 1.6]), min_size=3, max_size=6),
    st.floats(0.6, 1.6),
)
def test_endpoints_of_one_step_are_told_apart(speeds_by_number, off):
    """Guards against estimates that do not tell slow endpoints from fast."""
    table = speeds.SpeedTable()
    speed_by_id = {f"e{n}": s for n, s in enumerate(speeds_by_number)}
    for number in range(4):
        _run(table, (number,), 10_000, 10_000 * off, speed_by_id)
        table.solve()
    for first, own in speed_by_id.items():
        for second, other in speed_by_id.items():
            if own > other:
                assert table.speed(first) > 1.2 * table.speed(second)


def test_a_declared_duration_that_is_off_is_corrected():
    """Guards against ordering work by inaccurate declared durations."""
    table = speeds.SpeedTable()
    speed_by_id = {f"e{n}": 1.0 for n in range(6)}
    for number in range(4):
        _run(table, (number,), 4_000, 10_000, speed_by_id)
        table.solve()
    assert 3_000 < table.work_ms((3,)) < 5_500


def test_speed_recovers_after_a_disturbance():
    """Guards against stale estimates before and after a disturbance."""
    table = speeds.SpeedTable()
    sound = {f"e{n}": 1.0 for n in range(4)}
    for number in range(4):
        _run(table, (number,), 10_000, 10_000, sound)
    table.solve()
    for number in range(4, 7):
        _run(table, (number,), 10_000, 10_000, sound | {"e0": 0.2})
        table.solve()
    assert table.speed("e0") < 0.5
    for number in range(7, 12):
        _run(table, (number,), 10_000, 10_000, sound)
        table.solve()
    assert table.speed("e0") > 0.8


def test_speeds_survive_a_change_of_the_leader():
    """Guards against a new leader that starts without known speeds."""
    table = speeds.SpeedTable()
    _run(table, (1,), 10_000, 10_000, {"e1": 1.6, "e2": 0.6})
    table.solve()
    other = speeds.SpeedTable()
    other.restore(table.dump())
    assert abs(other.speed("e1") - table.speed("e1")) < 0.02


def test_declared_durations_do_not_set_the_scale_of_speeds():
    """Guards against slow endpoints that count as fast enough.

    If callers declare twice the actual duration of their work, every endpoint
    appears to be twice as fast as it is.
    """
    table = speeds.SpeedTable()
    speed_by_id = {f"e{n}": (0.6, 1.0, 1.6)[n % 3] for n in range(9)}
    ids = list(speed_by_id)
    for number in range(40):
        pair = (ids[number % 9], ids[(number + 1 + number // 9) % 9])
        some = {endpoint_id: speed_by_id[endpoint_id] for endpoint_id in pair}
        _run(table, (number,), 5_000, 10_000, some)
        table.solve()
    for endpoint_id, speed in speed_by_id.items():
        assert 0.8 * speed < table.speed(endpoint_id) < 1.2 * speed
    assert 4_000 < table.work_ms((39,)) < 6_000


def test_all_tasks_of_a_step_contribute_to_the_speed():
    """Guards against speeds that are derived from a single task.

    In simulated days tasks of one step took between half and twice the time of
    others on the same endpoint, and only the latest one was used.
    """
    rng = random.Random(5)
    table = speeds.SpeedTable()
    speed_by_id = {f"e{n}": (0.6, 1.0, 1.6)[n % 3] for n in range(9)}
    for number in range(4):
        for endpoint_id, speed in speed_by_id.items():
            for task in range(8):
                work_ms = 10_000 * rng.lognormvariate(0, 0.35)
                percent = 100 * speed * 2_000 / work_ms
                table.observe(
                    (number,),
                    endpoint_id,
                    8 * int(endpoint_id[1]) + task,
                    10_000,
                    percent,
                    2_000,
                )
        table.solve()
    for endpoint_id, speed in speed_by_id.items():
        assert 0.8 * speed < table.speed(endpoint_id) < 1.25 * speed


def test_restored_speeds_do_not_drift():
    """Guards against endpoints without recent work that seem ever faster.

    Every update normalised the speeds of all endpoints. The work of the
    endpoints that were in use was then estimated anew from declared durations,
    so that the next update normalised again, and the speeds of the others
    drifted without bound.
    """
    table = speeds.SpeedTable()
    table.restore({f"idle{n}": 0.0 for n in range(6)})
    in_use = {f"e{n}": 1.0 for n in range(8)}
    for update in range(400):
        # Declared durations are five times too long.
        _run(table, (update // 20,), 2_000, 10_000, in_use, worked_ms=1_000)
        table.solve()
    for number in range(6):
        assert 0.5 < table.speed(f"idle{number}") < 2.0


def test_speeds_stay_within_their_bounds():
    """Guards against estimates that normalisation moves out of bounds."""
    table = speeds.SpeedTable()
    speed_by_id = {f"e{n}": 1.0 for n in range(9)} | {"fast": 60.0}
    for update in range(50):
        _run(table, (update // 10,), 200_000, 10_000, speed_by_id)
        table.solve()
    for endpoint_id in speed_by_id:
        assert 0.04 < table.speed(endpoint_id) <= 4.01
