"""Metrics in the Prometheus text format, collected on each scrape."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from .allocation.admission import AdmissionController
from .clock import Clock
from .decisions import Decision
from .fleet_state import FleetState
from .keys import key_id_of
from .keyvalue.store import CallCounter
from .logs import LogWriter
from .outcomes import RefusalReason, UnknownReason
from .peers.streams import PeerNetwork
from .problems import MEDIA_TYPE
from .usage import TeamUsage

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
SERVICE_PATH = "/v1/services/"
MAX_PROBLEM_BYTES = 4096


@dataclass(frozen=True)
class MetricSources:
    """The parts of a daemon from which its metrics are collected."""

    incarnation: str
    state: FleetState
    admission: AdmissionController
    peers: PeerNetwork
    log_writer: LogWriter
    team_usage: Callable[[], list[TeamUsage]]
    store_calls: CallCounter
    collectors: list[Callable[[], Iterable[Metric]]] = field(default_factory=list)
    """Further collectors, provided by other parts of the daemon."""


class FleetMetrics:
    """Registry of one daemon's metrics."""

    def __init__(self, clock: Clock, sources: MetricSources) -> None:
        self._clock = clock
        self._sources = sources
        self._registry = CollectorRegistry()
        self._requests: Counter[tuple[str, str, str]] = Counter()
        self._decisions: Counter[tuple[str, str]] = Counter()
        self._duration = Histogram(
            "pomeloyard_request_duration_seconds",
            "Time from a request's arrival to the end of its response",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._registry.register(self)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def count_request(
        self, service: str, team: str, outcome: str, duration: timedelta
    ) -> None:
        """Count a finished request and observe its duration."""
        self._requests[service, team, outcome] += 1
        self._duration.labels(service).observe(duration.total_seconds())

    def count_decision(self, decision: Decision) -> None:
        """Count a decision; usable as a sink of a DecisionLog."""
        self._decisions[decision.kind.value, decision.reason.value] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics that are collected from the daemon's state."""
        yield from self._event_counters()
        yield from self._state_gauges()
        yield from self._store_counters()
        yield from self._peer_counters()
        yield from self._team_gauges()
        yield from self._queue_gauges()
        yield from self._log_counters()
        for collector in self._sources.collectors:
            yield from collector()

    def _event_counters(self) -> Iterator[Metric]:
        requests = CounterMetricFamily(
            "pomeloyard_requests",
            "Requests by service, team and outcome",
            labels=["service", "team", "outcome"],
        )
        for labels, count in self._requests.items():
            requests.add_metric(list(labels), count)
        yield requests
        decisions = CounterMetricFamily(
            "pomeloyard_decisions",
            "Decisions by kind and reason",
            labels=["kind", "reason"],
        )
        for pair, count in self._decisions.items():
            decisions.add_metric(list(pair), count)
        yield decisions
        failures = CounterMetricFamily(
            "pomeloyard_failed_authentications",
            "Refused authentications by reason",
            labels=["reason"],
        )
        for reason, count in self._sources.state.failed_authentications.items():
            failures.add_metric([reason], count)
        yield failures

    def _state_gauges(self) -> Iterator[Metric]:
        state = self._sources.state
        table = state.partitions
        held = len(table.partitions_held_by(self._sources.incarnation)) if table else 0
        for name, text, value in (
            (
                "config_revision",
                "Configuration revision in force",
                state.config.revision,
            ),
            ("keys_version", "Version of the key ring", state.keys.version),
            ("withdrawals", "Withdrawn keys in memory", len(state.withdrawn_key_ids)),
            ("store_reachable", "1 if the store answers", int(state.store_reachable)),
            ("partitions_held", "Partitions held by this daemon", held),
            (
                "registered_daemons",
                "Registered daemons",
                len(state.daemons_by_incarnation),
            ),
            (
                "connected_peers",
                "Connected daemons",
                len(self._sources.peers.connected()),
            ),
        ):
            yield GaugeMetricFamily(f"pomeloyard_{name}", text, value=value)
        vms = GaugeMetricFamily(
            "pomeloyard_vms", "VMs by pool and state", labels=["pool", "state"]
        )
        records = state.vm_records_by_name.values()
        for pair, count in Counter((r.pool, r.state.value) for r in records).items():
            vms.add_metric(list(pair), count)
        yield vms
        evacuated = GaugeMetricFamily(
            "pomeloyard_zone_evacuated", "Evacuated availability zones", labels=["zone"]
        )
        for zone in sorted(state.evacuated_zones.by_zone):
            evacuated.add_metric([zone], 1)
        yield evacuated

    def _store_counters(self) -> Iterator[Metric]:
        calls = self._sources.store_calls
        counter = CounterMetricFamily(
            "pomeloyard_store_calls", "Calls to the store", labels=["kind"]
        )
        for kind, count in (
            ("read", calls.reads),
            ("write", calls.writes),
            ("failed", calls.failures),
            ("watch", calls.watches_opened),
        ):
            counter.add_metric([kind], count)
        yield counter
        text = "Watches that are open"
        watches = calls.open_watches
        yield GaugeMetricFamily("pomeloyard_store_open_watches", text, value=watches)

    def _peer_counters(self) -> Iterator[Metric]:
        traffic = self._sources.peers.traffic
        for name, text, counts in (
            ("sent_bytes", "Bytes sent", traffic.sent_bytes_by_type),
            ("received_bytes", "Bytes received", traffic.received_bytes_by_type),
            ("sent_messages", "Messages sent", traffic.sent_messages_by_type),
            (
                "received_messages",
                "Messages received",
                traffic.received_messages_by_type,
            ),
        ):
            counter = CounterMetricFamily(
                f"pomeloyard_peer_{name}", f"{text}, by message type", labels=["type"]
            )
            for kind, count in counts.items():
                counter.add_metric([kind], count)
            yield counter
        for name, text, value in (
            ("dropped_messages", "Messages dropped", traffic.dropped_messages),
            ("rejected_frames", "Malformed frames", traffic.rejected_frames),
            ("failed_handlers", "Failed handlers", traffic.failed_handlers),
        ):
            yield CounterMetricFamily(f"pomeloyard_peer_{name}", text, value=value)

    def _team_gauges(self) -> Iterator[Metric]:
        usages = self._sources.team_usage()
        for name, text, attribute in (
            ("running_units", "Running requests of a team at this daemon", "running"),
            ("limit_units", "Upper limit of a team, fleet-wide", "limit"),
            ("queued_requests", "Waiting requests of a team at this daemon", "queued"),
            ("received_ratio", "Part of the running requests", "received"),
            ("entitled_ratio", "Part that the weights entitle to", "entitled"),
        ):
            gauge = GaugeMetricFamily(f"pomeloyard_team_{name}", text, labels=["team"])
            for usage in usages:
                gauge.add_metric([usage.team], getattr(usage, attribute))
            yield gauge

    def _queue_gauges(self) -> Iterator[Metric]:
        queued = GaugeMetricFamily(
            "pomeloyard_queue_length_requests", "Waiting requests", labels=["service"]
        )
        for service in self._sources.state.config.services_by_name:
            queued.add_metric([service], self._sources.admission.queued_count(service))
        yield queued
        running = GaugeMetricFamily(
            "pomeloyard_executor_running_requests", "Running requests", labels=["vm"]
        )
        for vm, count in self._sources.admission.running_by_vm.items():
            running.add_metric([vm], count)
        yield running

    def _log_counters(self) -> Iterator[Metric]:
        writer = self._sources.log_writer
        for name, text, value in (
            (
                "log_dropped_lines",
                "Log and decision lines dropped",
                writer.dropped_lines,
            ),
            ("log_written_bytes", "Bytes of log lines written", writer.written_bytes),
            ("log_failed_writes", "Failed writes of log lines", writer.failed_writes),
        ):
            yield CounterMetricFamily(f"pomeloyard_{name}", text, value=value)
        yield GaugeMetricFamily(
            "pomeloyard_log_queued_lines",
            "Lines waiting to be written",
            value=writer.queued_lines,
        )


class RequestMetrics:
    """ASGI middleware that counts service requests by their outcome.

    The outcome of a problem response is in its body; any other complete response
    counts as "done", and an incomplete response as "aborted".
    """

    def __init__(
        self, app: ASGIApp, metrics: FleetMetrics, clock: Clock, state: FleetState
    ) -> None:
        self._app = app
        self._metrics = metrics
        self._clock = clock
        self._state = state

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward a request and count its outcome."""
        if scope["type"] != "http" or not scope["path"].startswith(SERVICE_PATH):
            await self._app(scope, receive, send)
            return
        started = self._clock.monotonic()
        outcome = "aborted"
        problem: bytes | None = None

        async def observe(message: Message) -> None:
            nonlocal outcome, problem
            if message["type"] == "http.response.start":
                media_type = dict(message["headers"]).get(b"content-type", b"")
                problem = b"" if media_type == MEDIA_TYPE.encode() else None
            elif message["type"] == "http.response.body":
                if problem is not None and len(problem) < MAX_PROBLEM_BYTES:
                    problem += message.get("body", b"")
                if not message.get("more_body", False):
                    outcome = "done" if problem is None else problem_outcome(problem)
            await send(message)

        try:
            await self._app(scope, receive, observe)
        finally:
            service, team = self._labels(scope)
            duration = self._clock.monotonic() - started
            self._metrics.count_request(service, team, outcome, duration)

    def _labels(self, scope: Scope) -> tuple[str, str]:
        """Return service and team, empty if unknown, to bound the number of labels."""
        service = scope["path"].removeprefix(SERVICE_PATH).partition("/")[0]
        if service not in self._state.config.services_by_name:
            service = ""
        header = dict(scope["headers"]).get(b"authorization", b"").decode("latin-1")
        key = self._state.keys.keys_by_id.get(
            key_id_of(header.partition(" ")[2].strip())
        )
        return service, key.team if key is not None else ""


_REASONS = frozenset(r.value for r in (*RefusalReason, *UnknownReason))


def problem_outcome(body: bytes) -> str:
    """Return outcome and reason of this daemon's problem response, else "done".

    An executor may respond with problem details of its own; only known reasons
    become labels, to bound their number.
    """
    try:
        problem = json.loads(body)
        reason = problem["type"].removeprefix("urn:pomeloyard:")
        outcome = problem["outcome"]
    except (ValueError, KeyError, TypeError, AttributeError):
        return "done"
    if reason not in _REASONS or outcome not in ("not-run", "unknown"):
        return "done"
    return f"{outcome}:{reason}"
