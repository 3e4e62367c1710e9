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
