"""Checks that the metrics page matches the code."""

import pathlib

from laburnumgate_host import reference

PAGE = pathlib.Path(__file__).parents[3] / "docs/operators/metrics.md"


def test_the_page_shows_the_metrics_of_the_code():
    """An outdated page would lead to alerts on metrics that do not exist."""
    assert PAGE.read_text() == reference.fill_tables(PAGE.read_text())
