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


def test_limits_of_the_account_are_told_with_their_figures():
    """Guards against a job that waits for its account's limit unexplained.

    The event names the first job that was held back, not each of them.
    """
    figures = {
        "account": "mina",
        "resource": "gpu",
        "usage": 7,
        "limit": 8,
        "need": 4,
    }
    history = explain.job_history(
        "a1",
        [
            _line("1", event=1312, job="c3", step=0, **figures),
            _line("2", event=1200, job="a1", account="mina"),
            _line("3", event=1312, job="b2", step=0, **figures),
            _line("4", event=1313, account="mina", held_ms=700),
            _line("5", event=1312, account="lena", job="d4"),
            _line("6", event=1312, job="a1", step=1, **figures),
            _line("7", event=1305, job="a1", account="mina"),
            _line("8", event=1313, account="mina", held_ms=5),
        ],
    )
    assert [(line.time, line.event) for line in history.lines] == [
        ("2", 1200),
        ("3", 1312),
        ("4", 1313),
        ("6", 1312),
        ("7", 1305),
    ]
    held = history.lines[1].details
    assert held == figures | {"job": "b2", "step": 0}
    assert "job" not in history.lines[3].details
    assert history.lines[2].details["held_ms"] == 700


def test_a_job_that_was_only_held_back_has_no_history_of_others():
    """Guards against lines of an account that is not the job's."""
    history = explain.job_history(
        "a1",
        [
            _line("1", job="a1"),
            _line("2", event=1312, account="mina", job="b2"),
            _line("3", job="a1"),
        ],
    )
    assert [line.time for line in history.lines] == ["1", "3"]
