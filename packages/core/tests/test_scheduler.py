"""Tests of the scheduler of one zone."""

from laburnumgate_core import actions
import pytest
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


def test_an_endpoint_that_shrinks_and_grows_is_given_only_what_it_has():
    """Guards against placing by the capacity that an endpoint once had."""
    world = scheduler_fake.World(endpoints=1)
    world.submit("a/r0")
    world.submit("a/r1")
    world.tick()
    assert len(world.running()) == 2
    world.resize("e0", 4)
    world.submit("a/r2")
    world.tick(5_000)
    assert set(world.running()) == {"a/r0", "a/r1"}
    world.finish("a/r0")
    world.tick(5_000)
    assert set(world.running()) == {"a/r1"}
    world.resize("e0", 8)
    world.tick(5_000)
    assert set(world.running()) == {"a/r1", "a/r2"}


@pytest.mark.parametrize(
    "call", [actions.TakeLease, actions.Append, actions.HoldPart]
)
def test_a_start_decided_before_the_endpoint_shrank_is_not_sent(call):
    """Guards against filling a shrunken endpoint beyond its capacity."""
    world = scheduler_fake.World(endpoints=1)
    world.submit("a/r0")
    world.tick()
    world.submit("a/r1")
    world.unanswered = (call,)
    world.tick(200)
    assert [type(action) for action in world.waiting] == [call]
    world.resize("e0", 4)
    world.answer_waiting()
    world.tick(5_000)
    assert set(world.running()) == {"a/r0"}
    world.finish("a/r0")
    world.tick(5_000)
    assert set(world.running()) == {"a/r1"}


def test_a_launch_beside_a_claim_goes_on():
    """Guards against taking claimed capacity for a shrunken endpoint."""
    world = scheduler_fake.World(endpoints=1, guaranteed=4)
    world.submit("a/r0", checkpointable=True)
    world.tick()
    world.submit("a/r1", idempotent=False)
    world.unanswered = (actions.HoldPart, actions.CheckpointPart)
    world.tick(200)
    world.submit("b/r0")
    world.tick(200)
    hold, checkpoint = world.waiting
    assert isinstance(checkpoint, actions.CheckpointPart)
    world.waiting.remove(checkpoint)
    world.answer_waiting()
    assert set(world.running()) == {"a/r1"}


def test_a_shrunken_endpoint_does_not_hide_what_its_rack_has_free():
    """Guards against a job that waits although another endpoint is free."""
    world = scheduler_fake.World(endpoints=2)
    world.submit("a/r0", accelerators_per_part=8)
    world.tick()
    (shrunken,) = world.running()["a/r0"]
    world.resize(shrunken, 1)
    world.submit("a/r1", accelerators_per_part=8)
    world.tick(5_000)
    assert set(world.running()) == {"a/r0", "a/r1"}
