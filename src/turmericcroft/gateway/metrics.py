"""Metrics of the gateway, in the Prometheus text format."""

import time

import aioprometheus
from aioprometheus import renderer

from turmericcroft.daemon import resident

# Bounds on both sides of the latency objectives, which are 0.15 to 1.3 s.
_LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.2, 2.0, 4.0, 8.0, 16.0]


class Metrics:
    """Metrics of one daemon; docs/METRICS.md has a line on each."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = self._counter(
            "turmericcroft_requests_total", "Requests ended, by outcome."
        )
        self.attempts = self._counter(
            "turmericcroft_sends_total", "Requests sent to servers, by cause."
        )
        self.store_calls = self._counter(
            "turmericcroft_store_calls_total", "Calls to the store."
        )
        self.connections_opened = self._counter(
            "turmericcroft_server_connections_opened_total",
            "Connections opened to servers.",
        )
        self.discarded = self._counter(
            "turmericcroft_server_bytes_discarded_total",
            "Bytes of servers that belong to no open request, by cause.",
        )
        self.ends_checked = self._counter(
            "turmericcroft_ends_checked_total",
            "Responses that ended with their connection, by conclusion.",
        )
        self.undecoded = self._counter(
            "turmericcroft_undecoded_values_total",
            "Values of other writers that could not be decoded, by kind.",
        )
        self.job_failures = self._counter(
            "turmericcroft_job_failures_total",
            "Background jobs that failed and were started again, by job.",
        )
        self.log_lines_dropped = self._counter(
            "turmericcroft_log_lines_dropped_total",
            "Log lines left out, by kind.",
        )
        self.server_crashes = self._counter(
            "turmericcroft_server_crashes_total",
            "Crashes of servers that this daemon saw, by service.",
        )
        self.streams_taken_up = self._counter(
            "turmericcroft_streams_taken_up_total",
            "Streams that clients took up, by how their version is known.",
        )
        self.tunnels = self._counter(
            "turmericcroft_tunnels_total",
            "Connections to servers opened for other daemons.",
        )
        self.isolated = self._gauge(
            "turmericcroft_isolated_services",
            "Services of which this daemon reaches no server.",
        )
        self.cpu = self._counter(
            "turmericcroft_cpu_seconds_total", "Processor time used."
        )
        self.first_event = self._histogram(
            "turmericcroft_first_event_seconds",
            "Time to the first event, or to a whole answer.",
        )
        self.prediction_error = self._histogram(
            "turmericcroft_first_event_prediction_error_seconds",
            "Difference of the predicted and the seen first event.",
        )
        self.open_requests = self._gauge(
            "turmericcroft_open_requests", "Requests being answered."
        )
        self.declaration = self._gauge(
            "turmericcroft_declaration_version", "Version in force."
        )
        self.servers = self._gauge(
            "turmericcroft_usable_servers", "Servers that take new work."
        )
        self.servers_ordered = self._gauge(
            "turmericcroft_servers_ordered",
            "Servers last ordered, by service, zone and kind.",
        )
        self.fleet_age = self._gauge(
            "turmericcroft_fleet_age_seconds",
            "Age of what is known of the servers.",
        )
        self.ejected = self._gauge(
            "turmericcroft_ejected_servers",
            "Servers that get no new work after failures.",
        )
        self.limited = self._gauge(
            "turmericcroft_limited_servers",
            "Servers that stated a limit of requests per second.",
        )
        self.relaying = self._gauge(
            "turmericcroft_relaying",
            "1 while this daemon sums the digests of its zone.",
        )
        self.admission_probability = self._gauge(
            "turmericcroft_admission_probability",
            "Probability with which requests are admitted while short.",
        )
        self.offered_work = self._gauge(
            "turmericcroft_offered_work",
            "Server seconds per second that the fleet is offered.",
        )
        self.capacity = self._gauge(
            "turmericcroft_admissible_work",
            "Server seconds per second that the servers can do.",
        )
        self.memory = self._gauge(
            "turmericcroft_resident_memory_bytes", "Resident memory."
        )

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics for an Accept header."""
        self.cpu.set({}, time.process_time())
        self.memory.set({}, resident.resident_bytes())
        content, headers = renderer.render(self.registry, accepted)
        return content, dict(headers)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, doc, registry=self.registry, buckets=_LATENCY_BUCKETS_S
        )
