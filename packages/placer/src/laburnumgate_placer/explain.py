"""Extracts the history of one job from the log lines of all hosts."""

from collections.abc import Iterable
import dataclasses

import orjson

from laburnumgate_placer import events

# A new leader finds all endpoints again, which says nothing about a job.
_OMITTED = frozenset({events.Event.ENDPOINT_FOUND.number})
# Changes of the leader belong to the history of each job that was open.
_OF_LEADERS = frozenset(
    event.number
    for event in (
        events.Event.LEAD_TAKEN,
        events.Event.LEAD_LOST,
        events.Event.LEAD_RECOVERED,
    )
)
# An account that is at its limit holds back all its jobs; the event names only
# the first of them.
_OF_ACCOUNTS = frozenset(
    event.number
    for event in (events.Event.ACCOUNT_HELD, events.Event.ACCOUNT_RELEASED)
)
# Fields that every line has or that are the same in the whole history.
_COMMON = frozenset({"time", "host", "level", "message", "event", "job"})


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line of the history.

    Attributes:
      time: time of the log record, in UTC.
      host: host that wrote the line.
      event: event number.
      text: event message.
      details: all other fields.
    """

    time: str
    host: str
    event: int
    text: str
    details: dict


@dataclasses.dataclass(frozen=True, slots=True)
class JobHistory:
    """Log lines about a job and its endpoints.

    Attributes:
      lines: the lines, ordered by time.
      skipped: number of non-empty lines that could not be parsed.
    """

    lines: tuple[Line, ...]
    skipped: int


def job_history(job_id: str, texts: Iterable[str]) -> JobHistory:
    """Collects the log lines about a job, its account, endpoints and leaders.

    The lines of endpoints, leaders and the account are those between the first
    and the last line of the job.

    Args:
      job_id: id of the job.
      texts: log lines of any number of hosts, in any order. Text before the
        first brace is ignored. Lines without valid JSON are skipped and
        counted.
    """
    found: list[Line] = []
    of_endpoints: list[Line] = []
    of_leaders: list[Line] = []
    of_accounts: list[Line] = []
    skipped = 0
    for text in texts:
        content = _parse(text)
        if content is None:
            skipped += bool(text.strip())
            continue
        line = Line(
            content.get("time", ""),
            content.get("host", ""),
            content.get("event", 0),
            content.get("message", ""),
            {k: v for k, v in content.items() if k not in _COMMON},
        )
        if line.event in _OF_ACCOUNTS:
            if content.get("job", job_id) != job_id:
                line.details["job"] = content["job"]
            of_accounts.append(line)
        elif content.get("job") == job_id:
            found.append(line)
        elif line.event in _OMITTED:
            continue
        elif line.event in _OF_LEADERS:
            of_leaders.append(line)
        elif "endpoint" in content and "job" not in content:
            of_endpoints.append(line)
    used = {
        endpoint
        for line in found
        for endpoint in line.details.get("endpoints", ())
    }
    if found:
        first = min(line.time for line in found)
        last = max(line.time for line in found)
        accounts = {line.details.get("account") for line in found} - {None}
        related = of_leaders + [
            line for line in of_endpoints if line.details["endpoint"] in used
        ]
        related += [
            line
            for line in of_accounts
            if line.details.get("account") in accounts
        ]
        found.extend(line for line in related if first <= line.time <= last)
    found.sort(key=lambda line: line.time)
    return JobHistory(tuple(found), skipped)


def _parse(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = orjson.loads(text[start:])
    except orjson.JSONDecodeError:
        return None
    return content if isinstance(content, dict) else None
