"""Metrics of a host, exposed in the Prometheus text format."""

import aioprometheus


class Metrics:
    """Registry with the counters and gauges of one process."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.submissions = self._counter(
            "laburnumgate_submissions_total", "Submissions by verdict."
        )
        self.log_failures = self._counter(
            "laburnumgate_log_failures_total", "Failed calls to the log."
        )
        self.endpoint_calls = self._counter(
            "laburnumgate_endpoint_calls_total", "Calls to endpoints by action."
        )
        self.peer_bytes = self._counter(
            "laburnumgate_peer_bytes_total",
            "Bytes of messages exchanged with peers, by direction.",
        )
        self.refusals = self._counter(
            "laburnumgate_refusals_total", "Requests refused, by cause."
        )
        self.waiting_jobs = self._gauge(
            "laburnumgate_waiting_jobs", "Jobs waiting in this host's zone."
        )
        self.running_runs = self._gauge(
            "laburnumgate_runs", "Runs that this host places or watches."
        )
        self.free_accelerators = self._gauge(
            "laburnumgate_free_accelerators", "Free accelerators of the zone."
        )
        self.config_offset = self._gauge(
            "laburnumgate_config_offset", "Offset of the configuration."
        )

    def count_peer_bytes(self, direction: str, size: int) -> None:
        """Adds `size` bytes of peer traffic in direction `in` or `out`."""
        self.peer_bytes.add({"direction": direction}, size)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)
