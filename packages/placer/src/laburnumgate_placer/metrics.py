"""Prometheus metrics of a host; durations are in seconds."""

from collections.abc import Iterator
import contextlib
import time

import aioprometheus

REGISTRY = aioprometheus.Registry()


def _counter(name: str, doc: str) -> aioprometheus.Counter:
    return aioprometheus.Counter(name, doc, registry=REGISTRY)


def _gauge(name: str, doc: str) -> aioprometheus.Gauge:
    return aioprometheus.Gauge(name, doc, registry=REGISTRY)


class DurationHistogram:
    """A histogram of durations in seconds."""

    def __init__(self, name: str, doc: str):
        self._histogram = aioprometheus.Histogram(name, doc, registry=REGISTRY)

    def observe(self, seconds: float, **labels: str) -> None:
        """Records one duration."""
        self._histogram.observe(labels, max(0.0, float(seconds)))

    @contextlib.contextmanager
    def time(self, **labels: str) -> Iterator[None]:
        """Records the duration of the enclosed block."""
        began = time.monotonic()
        try:
            yield
        finally:
            self.observe(time.monotonic() - began, **labels)


REQUESTS = _counter(
    "laburnumgate_requests_total", "Callers' requests by call and status."
)
REFUSED_CONNECTIONS = _counter(
    "laburnumgate_refused_connections_total",
    "Connections that were closed, and requests that were refused before they"
    " were handled, by listener and reason.",
)
CONNECTIONS = _gauge(
    "laburnumgate_connections", "Open connections by listener."
)
CONNECTION_BYTES = _gauge(
    "laburnumgate_connection_bytes",
    "Memory that connections and their requests hold, by listener.",
)
ENDPOINT_CALLS = _counter(
    "laburnumgate_endpoint_calls_total", "Calls to endpoints by outcome."
)
WATCH_CALLS = _counter(
    "laburnumgate_watch_calls_total",
    "Calls to endpoints that were added while start orders were in doubt.",
)
LOG_CALLS = _counter(
    "laburnumgate_log_calls_total", "Calls to the log by call and outcome."
)
LOG_BYTES = _counter(
    "laburnumgate_log_received_bytes_total",
    "Bytes of the log's answers, by topic and whether the answer arrived"
    " completely.",
)
FEED_AGE = _gauge(
    "laburnumgate_feed_age_seconds",
    "Time since all records of a topic were known to be applied.",
)
RUN_ENDS = _counter(
    "laburnumgate_run_ends_total", "Ends of tasks by how they ended."
)
LOST_MEMBERS = _counter(
    "laburnumgate_lost_tasks_total",
    "Tasks that were lost with their endpoint, by what is known of it.",
)
MOVED_RUNS = _counter(
    "laburnumgate_moved_runs_total",
    "Runs that were moved off an endpoint, by reason.",
)
LEADING = _gauge("laburnumgate_leading", "1 while this host leads.")
OPEN_JOBS = _gauge("laburnumgate_open_jobs", "Jobs that the leader places.")
CONFIG_VERSION = _gauge(
    "laburnumgate_config_version", "Version of the configuration in force."
)
ACCOUNT_USAGE = _gauge(
    "laburnumgate_account_usage",
    "What an account may have running, by account and resource.",
)
ACCOUNT_LIMIT = _gauge(
    "laburnumgate_account_limit",
    "Limit of an account, by account and resource; 0 for none.",
)
ACCOUNT_SHARE = _gauge(
    "laburnumgate_account_share",
    "Part of the pool that an account may have running, divided by its weight"
    " relative to the mean, by account and resource.",
)
ACCOUNT_HELD = _counter(
    "laburnumgate_account_held_total",
    "How often an account was held back by its limit.",
)
REJECTED_JOBS = _counter(
    "laburnumgate_rejected_jobs_total",
    "Jobs that were turned away at submission, by reason.",
)
HEADROOM_ENDPOINTS = _gauge(
    "laburnumgate_headroom_endpoints",
    "Endpoints that patient work leaves free for urgent gangs, by service.",
)
ACCEPT_SECONDS = DurationHistogram(
    "laburnumgate_accept_seconds", "From a submission to its answer."
)
START_SECONDS = DurationHistogram(
    "laburnumgate_start_seconds",
    "From a unit's turn until all its tasks are started.",
)
PASS_SECONDS = DurationHistogram(
    "laburnumgate_pass_seconds", "A placement pass of the leader."
)
RECORD_SECONDS = DurationHistogram(
    "laburnumgate_record_seconds", "Storing the leader's decisions."
)
RECOVERY_SECONDS = DurationHistogram(
    "laburnumgate_recovery_seconds", "From a claim to the first placement."
)
