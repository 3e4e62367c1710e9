"""Tests the least-squares fits of the load test."""

from laburnumgate_bench import load
from laburnumgate_bench import loadcalls
import pytest

CALL_STATS = loadcalls.CallStats(1, 1.0, 1.0, 1.0, 1.0, 1.0, {200: 1})


def point(hosts=3, endpoints=24, waiting=0, running=0, cpu=1.0, kib=0.0):
    idle = load.IdleUsage(cpu, 60.0, None)
    return load.Point(
        hosts,
        endpoints,
        waiting,
        running,
        idle,
        kib,
        CALL_STATS,
        CALL_STATS,
        CALL_STATS,
        CALL_STATS,
    )


def test_each_slope_comes_from_the_series_that_varies_its_size():
    """A slope must be fitted only to the series that varies its size.

    Points of other series differ in more than that size.
    """
    base = point()
    series = {
        "hosts": [base, point(hosts=6, cpu=1.3), point(hosts=9, cpu=1.6)],
        "endpoints": [base],
        "waiting": [
            point(running=24),
            point(running=24, waiting=300, kib=900.0),
            point(running=24, waiting=600, kib=1800.0),
        ],
    }
    slopes = {(f.measure, f.size): f.slope for f in load.fits(series)}
    cpu = "idle processor time, % of a core per host"
    kib = "growth of memory by tasks, KiB per host"
    assert slopes[cpu, "hosts"] == pytest.approx(0.1)
    assert slopes[kib, "waiting"] == pytest.approx(3.0)
    assert (cpu, "endpoints") not in slopes
    # There is no fit if hosts do not export the byte counter.
    assert not any("bytes" in measure for measure, _ in slopes)
