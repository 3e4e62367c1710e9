"""Tests that results of the policy benchmark are reproducible."""

from laburnumgate_bench import experiment
from laburnumgate_standins import layout as layouts
import pytest


@pytest.mark.parametrize("policy", ["thin", "current"])
def test_same_seed_gives_the_same_measures(policy):
    """Runs must not depend on set order or wall-clock time."""
    arguments = (layouts.HAI_PHONG, "zone-change", policy, 3, 0.85, 20_000)
    first = experiment.run(*arguments)
    assert first == experiment.run(*arguments)
    assert first.measures["ran"] > 0
    assert first.measures["unfinished"] == 0
