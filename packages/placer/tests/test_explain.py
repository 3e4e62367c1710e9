"""Tests of extracting a job's history from the logs of all hosts."""

from laburnumgate_placer import explain
import orjson


def _line(time, host="h1", **fields):
    content = {"time": time, "host": host, "event": 1, "message": "m"}
    return "  3.2 h1 " + orjson.dumps(content | fields).decode()


def test_lines_of_all_hosts_are_ordered_by_time():
    """Guards against a history without the lines of another host."""
    history = explain.job_history(
        "a1",
        [
            _line("3", host="h2", job="a1", endpoints=["e1"]),
            _line("1", job="a1"),
            _line("2", job="b2"),
            _line("4", endpoint="e1", reason="silent"),
            _line("4", endpoint="e9", reason="silent"),
            _line("5", job="a1"),
            "no json",
            "{broken",
        ],
    )
    assert [(line.time, line.host) for line in history.lines] == [
        ("1", "h1"),
        ("3", "h2"),
        ("4", "h1"),
        ("5", "h1"),
    ]
    assert history.skipped == 2
    assert history.lines[2].details["reason"] == "silent"


def test_a_change_of_the_leader_is_told_in_one_line():
    """Guards against a history that is lost among the endpoints of a leader.

    In a simulated day with 270 endpoints a new leader logged each of them, and
    the history of a job listed those that it had used once more.
    """
    history = explain.job_history(
        "a1",
        [
            _line("1", job="a1", endpoints=["e1", "e2"]),
            _line("2", host="h2", event=1110, token=9),
            _line("3", host="h2", event=1400, endpoint="e1"),
            _line("3", host="h2", event=1400, endpoint="e2"),
            _line("4", job="a1"),
            _line("5", host="h3", event=1110, token=12),
        ],
    )
    assert [(line.time, line.event) for line in history.lines] == [
        ("1", 1),
        ("2", 1110),
        ("4", 1),
    ]
