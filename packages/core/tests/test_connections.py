"""Tests which connections stay when memory or places run out."""

import random

from laburnumgate_core import clock
from laburnumgate_core import connections
import pytest

_KIB = 1 << 10
_MIB = 1 << 20
_LIMITS = connections.ConnectionLimits(
    connections=10, min_bytes=_MIB, max_bytes=_MIB
)
_Phase = connections.Phase


def _table(limits=_LIMITS):
    time = clock.ManualClock(1_000)
    return connections.ConnectionTable(limits, time), time


def _open(table, *keys):
    for key in keys:
        assert table.opened(key).granted


def _closes(decision):
    return [(close.key, close.reason) for close in decision.closes]


def _yielded(*keys):
    return [(key, connections.Reason.YIELDED) for key in keys]


def test_silent_connections_make_room_for_new_ones():
    """Guards against silent clients that keep ordinary callers out."""
    table, time = _table()
    for number in range(10):
        _open(table, number)
        time.advance(10)
    time.advance(connections.STALL_MS)
    decision = table.opened("new")
    assert decision.granted
    assert _closes(decision) == _yielded(0)
    assert len(table) == 10


def test_a_new_connection_is_not_the_first_to_yield():
    """Guards against a crowd of heads that pushes out each newcomer."""
    table, time = _table()
    for number in range(9):
        _open(table, number)
        table.enter(number, _Phase.HEAD, 100)
        time.advance(10)
    _open(table, "probe")
    decision = table.opened("new")
    assert _closes(decision) == _yielded(0)


def test_requests_in_progress_keep_their_connections():
    """Guards against the loss of a response by pressure from others."""
    table, time = _table()
    for number in range(10):
        _open(table, number)
        table.enter(number, _Phase.HANDLING, 10)
    time.advance(60_000)
    decision = table.opened("new")
    assert not decision.granted
    assert not decision.closes
    assert not table.expired()


def test_idle_connections_yield_before_stalled_requests():
    """Guards against the loss of a request while an idle one could go."""
    table, time = _table()
    _open(table, "stalled", "idle", "large")
    table.enter("stalled", _Phase.BODY, 100 * _KIB)
    time.advance(2 * connections.STALL_MS)
    table.enter("large", _Phase.BODY, 0)
    fitting = table.received("large", 1, 341 * _KIB)
    assert fitting.granted
    assert _closes(fitting) == []
    decision = table.received("large", 1, 344 * _KIB)
    assert decision.granted
    assert _closes(decision) == _yielded("idle")
    decision = table.received("large", 1, 400 * _KIB)
    assert decision.granted
    assert _closes(decision) == _yielded("stalled")


def test_a_body_that_trickles_counts_as_stalled():
    """Guards against clients that stay by sending a byte now and then."""
    table, time = _table()
    _open(table, "slow", "steady")
    for key in ("slow", "steady"):
        table.enter(key, _Phase.BODY, 0)
    for _ in range(4):
        time.advance(connections.STALL_MS // 2)
        table.received("slow", 1, 150 * _KIB)
        table.received("steady", connections.PROGRESS_BYTES, 150 * _KIB)
    _open(table, "new")
    decision = table.enter("new", _Phase.BODY, 150 * _KIB)
    assert decision.granted
    assert _closes(decision) == _yielded("slow")


def test_a_body_that_takes_too_long_yields_in_spite_of_progress():
    """Guards against bodies that trickle and keep large requests out."""
    table, time = _table()
    _open(table, "first", "second", "large")
    held = 200 * _KIB
    for key in ("first", "second"):
        table.enter(key, _Phase.BODY, 0)
        table.received(key, held, held)
        time.advance(10)
    decisions = []
    for _ in range(20):
        decisions.append(table.enter("large", _Phase.BODY, held))
        if decisions[-1].granted:
            break
        table.enter("large", _Phase.DRAINING)
        time.advance(900)
        held += connections.PROGRESS_BYTES
        for key in ("first", "second"):
            table.received(key, connections.PROGRESS_BYTES, held)
    waited_ms = 900 * (len(decisions) - 1)
    assert waited_ms >= connections.SLOW_BODY_MS > waited_ms - 900
    assert _closes(decisions[-1]) == _yielded("first")


def test_small_requests_are_admitted_beside_large_ones():
    """Guards against large bodies in progress that fill the whole budget."""
    table, _ = _table()
    for number in range(5):
        _open(table, number)
    sizes = [
        table.enter(number, _Phase.BODY, 200 * _KIB).granted
        for number in range(4)
    ]
    assert sizes == [True, True, False, False]
    for number in (2, 3):
        table.enter(number, _Phase.DRAINING)
    assert table.enter(4, _Phase.BODY, 8 * _KIB).granted


def _begin_bodies(number):
    """Returns a table in which large bodies were announced."""
    limits = connections.ConnectionLimits(
        connections=100, min_bytes=_MIB, max_bytes=_MIB
    )
    table, _ = _table(limits)
    for key in range(number):
        _open(table, key)
        assert table.enter(key, _Phase.HEAD, 100).granted
        assert table.enter(key, _Phase.BODY, 100 * _KIB).granted
        assert table.received(key, 0, 0).granted
    return table


def test_large_requests_that_wait_leave_room_for_small_ones():
    """Guards against small requests that are refused while they wait.

    Large ones that were not read had filled the budget.
    """
    table = _begin_bodies(20)
    for key in range(20):
        if not table.paused(key).granted:
            table.enter(key, _Phase.DRAINING)
            table.resumed(key)
    _open(table, "small")
    assert table.enter("small", _Phase.HEAD, 100).granted
    assert table.paused("small").granted


def test_a_large_request_is_large_before_it_has_arrived():
    """Guards against large bodies that take the room of small requests.

    Of each a part had arrived that was as short as a small request.
    """
    table = _begin_bodies(60)
    size = 15 * _KIB
    for key in range(60):
        if not table.received(key, size, size).granted:
            table.enter(key, _Phase.DRAINING)
    _open(table, "small")
    assert table.enter("small", _Phase.BODY, size).granted


def test_the_budget_shrinks_with_the_memory_of_the_process():
    """Guards against a budget that ignores jobs, queues and fragmentation."""
    limits = connections.callers_limits(memory_mb=160, max_fds=3_075)
    table, _ = _table(limits)
    budgets = []
    for resident_mb in (45, 90, 110, 150):
        table.observe_process(resident_mb * _MIB)
        budgets.append(table.budget_bytes // _MIB)
    assert budgets == [53, 30, 10, 10]


def test_memory_of_connections_is_not_counted_twice():
    """Guards against a budget that shrinks by what it has granted."""
    table, _ = _table(connections.callers_limits(160, 3_075))
    _open(table, 1)
    table.enter(1, _Phase.BODY, 5 * _MIB)
    table.observe_process(80 * _MIB + table.held_bytes)
    assert table.budget_bytes == 40 * _MIB


def test_bytes_in_the_kernel_are_not_taken_for_resident_ones():
    """Guards against a budget that grows by what the kernel keeps unread."""
    table, _ = _table(connections.callers_limits(160, 3_075))
    for key in range(100):
        _open(table, key)
        table.paused(key)
    resident = 100 * connections.CONNECTION_BYTES
    table.observe_process(80 * _MIB + resident)
    assert table.budget_bytes == 40 * _MIB
    for key in range(100):
        table.closed(key)
    table.observe_process(80 * _MIB)
    assert table.budget_bytes == 40 * _MIB


def test_descriptors_are_left_for_other_connections():
    """Guards against callers that take the connections to the log."""
    limits = connections.callers_limits(memory_mb=160, max_fds=3_075)
    assert limits.connections == 1_437


def test_time_in_which_nothing_is_read_is_not_the_clients():
    """Guards against closing a client that the host itself let wait."""
    table, time = _table()
    _open(table, 1)
    table.enter(1, _Phase.BODY, 10)
    table.paused(1)
    time.advance(_LIMITS.body_stall_ms - 1)
    table.resumed(1)
    time.advance(1_000)
    assert not table.expired()
    time.advance(_LIMITS.body_stall_ms)
    assert [close.key for close in table.expired()] == [1]


@pytest.mark.parametrize(
    ("phase", "limit_ms", "reason"),
    [
        (_Phase.IDLE, _LIMITS.idle_ms, connections.Reason.IDLE),
        (_Phase.HEAD, _LIMITS.head_ms, connections.Reason.HEAD_TOO_SLOW),
        (_Phase.BODY, _LIMITS.body_stall_ms, connections.Reason.BODY_TOO_SLOW),
        (_Phase.SENDING, _LIMITS.unread_ms, connections.Reason.NOT_READ),
        (_Phase.DRAINING, _LIMITS.drain_ms, connections.Reason.DRAINED),
    ],
)
def test_each_phase_ends_in_time(phase, limit_ms, reason):
    """Guards against connections that stay for ever in one phase."""
    table, time = _table()
    _open(table, 1)
    table.enter(1, phase)
    time.advance(limit_ms - 1)
    assert not table.expired()
    time.advance(1)
    assert [(c.key, c.reason) for c in table.expired()] == [(1, reason)]


def test_a_body_that_never_stalls_ends_as_well():
    """Guards against a body that lasts for ever at a steady rate."""
    table, time = _table()
    _open(table, 1)
    table.enter(1, _Phase.BODY)
    for _ in range(_LIMITS.body_ms // 1_000):
        assert not table.expired()
        time.advance(1_000)
        table.received(1, connections.PROGRESS_BYTES, 0)
    assert [close.key for close in table.expired()] == [1]


@pytest.mark.parametrize("seed", range(20))
def test_the_sum_of_costs_is_exact_and_bounded(seed):
    """Guards against a sum that drifts, or that exceeds the budget."""
    rng = random.Random(seed)
    table, time = _table(connections.ConnectionLimits(connections=40))
    receiving = (_Phase.IDLE, _Phase.HEAD, _Phase.BODY)
    known = set()
    for number in range(1_500):
        time.advance(rng.randrange(60))
        key = rng.choice(sorted(known)) if known else None
        match rng.randrange(6):
            case 0:
                decision = table.opened(number)
                if decision.granted:
                    known.add(number)
            case 1 if known:
                table.closed(key)
                known.discard(key)
                continue
            case 2 if known:
                decision = table.paused(key)
            case 3 if known:
                table.resumed(key)
                continue
            case 4 if known:
                phase = rng.choice(receiving)
                decision = table.enter(key, phase, rng.randrange(4 * _MIB))
            case 5 if known:
                decision = table.received(key, 1_000, rng.randrange(4 * _MIB))
            case _:
                continue
        known -= {close.key for close in decision.closes}
        if not decision.granted and key in known:
            table.enter(key, _Phase.DRAINING)
            table.resumed(key)
        assert len(table) == len(known) <= 40
        assert table.held_bytes <= table.budget_bytes
    for key in known:
        table.closed(key)
    assert table.held_bytes == 0
