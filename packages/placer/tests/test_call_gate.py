"""Tests of the limit on calls that are under way."""

import asyncio

import builders
from laburnumgate_core import clock
from laburnumgate_placer import call_gate
from laburnumgate_placer.overload import dispatch


async def _send(gate, monotonic, latency_s, seen):
    async with gate.call():
        seen["now"] += 1
        seen["most"] = max(seen["most"], seen["now"])
        sent_ms = monotonic.now_ms()
        await asyncio.sleep(latency_s)
        gate.record_answer(sent_ms)
        seen["now"] -= 1


def test_a_large_job_does_not_start_all_its_calls_at_once():
    """Guards against calls that time out because they were sent together.

    In a simulated day the first job of 90 tasks made 59 calls pass their
    timeout, as the host could not carry that many.
    """

    async def work():
        monotonic = clock.MonotonicClock()
        gate = call_gate.CallGate(monotonic)
        seen = {"now": 0, "most": 0}
        await asyncio.gather(
            *(_send(gate, monotonic, 0.01, seen) for _ in range(400))
        )
        assert seen["now"] == 0
        assert seen["most"] <= dispatch.MAX_CALLS

    builders.run(work())


def test_slow_answers_reduce_the_calls_under_way():
    """Guards against calls that queue up on a host at its limit."""

    async def work():
        monotonic = clock.MonotonicClock()
        gate = call_gate.CallGate(monotonic)
        seen = {"now": 0, "most": 0}
        await asyncio.gather(
            *(_send(gate, monotonic, 0.25, seen) for _ in range(200))
        )
        seen["most"] = 0
        await asyncio.gather(
            *(_send(gate, monotonic, 0.0, seen) for _ in range(100))
        )
        assert seen["most"] < dispatch.INITIAL_CALLS

    builders.run(work())


def test_a_cancelled_caller_gives_up_its_turn():
    """Guards against turns that are lost, so that no call is sent any more."""

    async def work():
        monotonic = clock.MonotonicClock()
        gate = call_gate.CallGate(monotonic)
        seen = {"now": 0, "most": 0}
        tasks = [
            asyncio.create_task(_send(gate, monotonic, 0.05, seen))
            for _ in range(300)
        ]
        await asyncio.sleep(0.01)
        for task in tasks[::2]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        async with asyncio.timeout(1):
            await gate.wait()

    builders.run(work())


def test_the_window_follows_the_latency():
    """Guards against a limit that never recovers, or falls without bound."""
    window = dispatch.Window()
    for now_ms in range(0, 20_000, dispatch.REDUCTION_INTERVAL_MS):
        window = window.after_answer(dispatch.SLOW_ANSWER_MS, now_ms)
    assert window.calls == dispatch.MIN_CALLS
    for _ in range(2_000):
        window = window.after_answer(5, 30_000)
    assert window.calls == dispatch.MAX_CALLS
