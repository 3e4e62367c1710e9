"""Tests of the scheduler of one zone."""

import scheduler_fake


def test_a_job_is_placed_apart_from_the_endpoint_that_it_crashed():
    """Guards against crashing the same endpoint again."""
    world = scheduler_fake.World(endpoints=3)
    world.submit("a/r")
    world.tick()
    crashed = world.running()["a/r"]
    world.reboot(crashed[0])
    world.tick(5_000)
    assert world.running()["a/r"] != crashed


def test_a_job_that_fits_nowhere_else_returns_to_a_crashed_endpoint():
    """Guards against a gang that waits forever after chance restarts."""
    world = scheduler_fake.World(endpoints=4)
    world.submit("a/r", parts=2, accelerators_per_part=8)
    world.tick()
    for _ in range(2):
        for endpoint_id in world.running()["a/r"]:
            world.reboot(endpoint_id)
        world.tick(5_000)
    assert "a/r" in world.running()
