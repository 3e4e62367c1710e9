"""Tests of the replay of load patterns against the placer's decisions."""

import dataclasses
import json

from click import testing
from laburnumgate_bench import load_patterns
from laburnumgate_bench import replay
from laburnumgate_placer import policy
import pytest


def _play(name, seed=1, endpoints=60, seconds=20):
    pattern = next(p for p in load_patterns.PATTERNS if p.name == name)
    return replay.Replay(pattern, endpoints, seed).run(seconds)


def _figures(measures):
    return dataclasses.replace(measures, pass_mean_ms=0, pass_max_ms=0)


def test_a_seed_gives_the_same_figures():
    """Guards against comparing two builds on different loads."""
    assert _figures(_play("gang-burst")) == _figures(_play("gang-burst"))
    assert _figures(_play("gang-burst")) != _figures(_play("gang-burst", 2))


@pytest.mark.parametrize(
    "pattern", load_patterns.PATTERNS, ids=lambda p: p.name
)
def test_each_pattern_is_served(pattern):
    """Guards against decisions that leave the pool idle under some load."""
    measures = replay.Replay(pattern, 60, 1).run(20)
    assert measures.on_time[load_patterns.URGENT] > 0.3


def test_preemption_throws_little_away_when_there_is_too_much_work():
    """Guards against the cascade that took most of a pool's capacity."""
    measures = _play("overload")
    pool_core_s = 60 * (32 + 64) * 20
    assert measures.lost_core_s < 0.03 * pool_core_s


def test_the_command_prints_a_line_for_the_pattern():
    """Guards against a command that cannot be used."""
    arguments = ["--pattern", "steady", "--endpoints", "20", "--seconds", "2"]
    result = testing.CliRunner().invoke(replay.main, arguments)
    assert result.exit_code == 0
    assert result.output.startswith("steady")
    result = testing.CliRunner().invoke(replay.main, ["--pattern", "no"])
    assert result.exit_code == 2


def test_a_policy_setting_is_compared_on_the_same_load():
    """Guards against figures of a setting that was not on, or another load."""
    arguments = ["--pattern", "steady", "--endpoints", "20", "--seconds", "2"]
    arguments += ["--policy", "urgent_headroom", "--json"]
    result = testing.CliRunner().invoke(replay.main, arguments)
    assert result.exit_code == 0
    lines = [json.loads(line) for line in result.output.splitlines()]
    assert [line["policy"] for line in lines] == [[], ["urgent_headroom"]]
    arguments = ["--pattern", "steady", "--policy", "no"]
    result = testing.CliRunner().invoke(replay.main, arguments)
    assert result.exit_code == 2


def test_headroom_saves_stops_and_keeps_urgent_work_on_time():
    """Guards against headroom that costs more work than the stops it saves."""
    pattern = next(p for p in load_patterns.PATTERNS if p.name == "rack-gangs")
    on = policy.Policy(urgent_headroom=True, urgent_on_fastest=True)
    without = replay.Replay(pattern, 96, 2).run(45)
    with_headroom = replay.Replay(pattern, 96, 2, on).run(45)
    assert with_headroom.stopped_runs < 0.5 * without.stopped_runs
    for priority, share in without.on_time.items():
        assert with_headroom.on_time[priority] >= share
