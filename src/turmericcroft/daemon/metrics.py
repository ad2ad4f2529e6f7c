"""Metrics of one daemon in the Prometheus text format."""

import time
import typing

import aioprometheus
from aioprometheus import renderer

from turmericcroft.clients import keyvalue
from turmericcroft.daemon import answering as answering_tasks
from turmericcroft.daemon import board as boards
from turmericcroft.daemon import resident
from turmericcroft.timeline import recorder


class Metrics:
    """Reads the counters of the daemon's tasks when metrics are rendered."""

    def __init__(
        self,
        board: boards.Board,
        answering: answering_tasks.Answering,
        key_value: keyvalue.KeyValue,
        timeline: recorder.Recorder,
    ) -> None:
        self.board = board
        self.answering = answering
        self.key_value = key_value
        self.timeline = timeline
        self.registry = aioprometheus.Registry()
        self._answers = self._counter(
            "turmericcroft_answers_total", "Answers by outcome."
        )
        self._refusals = self._counter(
            "turmericcroft_refusals_total", "Refusals after acceptance."
        )
        self._calls = self._counter(
            "turmericcroft_key_value_calls_total", "Key-value calls."
        )
        self._dropped = self._counter(
            "turmericcroft_timeline_dropped_total", "Events dropped."
        )
        self._cpu = self._counter(
            "turmericcroft_cpu_seconds_total", "Processor time used."
        )
        self._open = self._gauge(
            "turmericcroft_open_answers", "Answers being made."
        )
        self._config = self._gauge(
            "turmericcroft_configuration_number", "Number in force."
        )
        self._servers = self._gauge(
            "turmericcroft_servers", "Servers that take new work."
        )
        self._memory = self._gauge(
            "turmericcroft_resident_memory_bytes", "Resident memory."
        )

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Renders all metrics in a format that the Accept header allows."""
        self._collect()
        content, headers = renderer.render(self.registry, accepted)
        return content, dict(headers)

    def _collect(self) -> None:
        counters = self.answering.counters
        for outcome in ("answered", "resumed", "lost", "cancelled", "spilled"):
            value = getattr(counters, outcome)
            self._answers.set({"outcome": outcome}, value)
        for code, value in counters.refused.items():
            self._refusals.set({"code": code}, value)
        self._calls.set({}, self.key_value.calls)
        self._dropped.set({}, self.timeline.dropped)
        self._cpu.set({}, time.process_time())
        self._open.set({}, len(self.answering.open_answers))
        self._config.set({}, self.board.config_number)
        self._servers.set({}, len(self.board.fleet.servers))
        self._memory.set({}, resident.resident_bytes())

    def _counter(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> typing.Any:
        return aioprometheus.Gauge(name, doc, registry=self.registry)
