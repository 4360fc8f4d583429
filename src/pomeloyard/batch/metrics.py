"""Prometheus metrics of one daemon that runs batch jobs."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from datetime import timedelta

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from ..keyvalue.store import CallCounter
from ..logs import LogWriter
from .configuration_follower import ConfigurationFollower
from .decision_log import JobDecisionLog
from .placing import PlacingRole
from .pool_shares import TeamShare
from .run_times import RunTimes

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


def _share_metrics(
    shares_by_pool: Mapping[str, Mapping[str, TeamShare]],
) -> Iterator[Metric]:
    held = GaugeMetricFamily(
        "pomeloyard_team_pool_cores",
        "Cores, by dominant resource, that a team's short tasks hold in a full pool",
        labels=["pool", "team"],
    )
    entitled = GaugeMetricFamily(
        "pomeloyard_team_pool_share_cores",
        "Cores of a full pool that a team is entitled to",
        labels=["pool", "team"],
    )
    for pool, by_team in shares_by_pool.items():
        for team, share in by_team.items():
            held.add_metric([pool, team], share.held)
            entitled.add_metric([pool, team], share.share)
    yield held
    yield entitled


def _run_time_metrics(run_times: RunTimes) -> Iterator[Metric]:
    error = GaugeMetricFamily(
        "pomeloyard_run_time_error",
        "Mean absolute error of expected run times, in natural logarithms",
        labels=["queue"],
    )
    weight = GaugeMetricFamily(
        "pomeloyard_estimate_weight",
        "Weight of the submitters' estimates in expected run times, 0 to 1",
        labels=["queue"],
    )
    for queue in run_times.queues():
        error.add_metric([queue], run_times.error(queue))
        weight.add_metric([queue], run_times.estimate_weight(queue))
    yield error
    yield weight


class BatchMetrics:
    """Metrics registry of a daemon; all but histograms are collected on request."""

    def __init__(
        self,
        decision_log: JobDecisionLog,
        writer: LogWriter,
        calls: CallCounter,
        follower: ConfigurationFollower,
        role: PlacingRole,
    ) -> None:
        self._decision_log = decision_log
        self._writer = writer
        self._calls = calls
        self._follower = follower
        self._role = role
        self._registry = CollectorRegistry()
        self.call_seconds = Histogram(
            "pomeloyard_call_seconds",
            "Time from a caller's request to its answer",
            ["method", "status"],
            buckets=SECONDS_BUCKETS,
            registry=self._registry,
        )
        self._registry.register(self)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics collected from other components."""
        decisions = CounterMetricFamily(
            "pomeloyard_decisions",
            "Decisions by kind and outcome",
            labels=["kind", "outcome"],
        )
        for (kind, outcome), count in self._decision_log.counts.items():
            decisions.add_metric([kind, outcome], count)
        yield decisions
        calls = CounterMetricFamily(
            "pomeloyard_store_calls", "Calls to the store", labels=["kind"]
        )
        calls.add_metric(["read"], self._calls.reads)
        calls.add_metric(["write"], self._calls.writes)
        calls.add_metric(["failed"], self._calls.failures)
        calls.add_metric(["relayed"], self._calls.relayed)
        yield calls
        dropped = CounterMetricFamily(
            "pomeloyard_log_lines_dropped", "Log lines over the bound on volume"
        )
        dropped.add_metric(
            [], self._decision_log.dropped_lines + self._writer.dropped_lines
        )
        yield dropped
        age = min(self._follower.proof_age(), timedelta(days=1))
        yield GaugeMetricFamily(
            "pomeloyard_configuration_age_seconds",
            "Time since the daemon was certainly current",
            value=age.total_seconds(),
        )
        evacuated = GaugeMetricFamily(
            "pomeloyard_zone_evacuated",
            "Evacuated availability zones, as far as known",
            labels=["zone"],
        )
        for zone in sorted(self._follower.evacuations.zones):
            evacuated.add_metric([zone], 1)
        yield evacuated
        yield from self._term_metrics()

    def _term_metrics(self) -> Iterator[Metric]:
        term = self._role.term
        yield GaugeMetricFamily(
            "pomeloyard_placing_epoch",
            "Epoch of the placing role, 0 if another daemon holds it",
            value=term.epoch if term else 0,
        )
        if term is None:
            return
        jobs = GaugeMetricFamily("pomeloyard_jobs", "Jobs by state", labels=["state"])
        for state, count in term.job_counts().items():
            jobs.add_metric([state.value], count)
        yield jobs
        stored = GaugeMetricFamily(
            "pomeloyard_stored_job_bytes",
            "Estimated memory of the stored jobs, by team",
            labels=["team"],
        )
        for team, size in term.stored_jobs.bytes_by_team.items():
            stored.add_metric([team], size)
        yield stored
        executors = GaugeMetricFamily(
            "pomeloyard_executors",
            "Executors by whether they take tasks",
            labels=["usable"],
        )
        usable = sum(link.usable for link in term.links_by_id.values())
        executors.add_metric(["yes"], usable)
        executors.add_metric(["no"], len(term.links_by_id) - usable)
        yield executors
        failed = CounterMetricFamily(
            "pomeloyard_failed_items",
            "Unexpected errors in the handling of single items, by kind of item",
            labels=["kind"],
        )
        for kind, count in term.failed_items.counts.items():
            failed.add_metric([kind], count)
        yield failed
        yield from _run_time_metrics(term.estimates.run_times)
        yield from _share_metrics(term.shares_by_pool())
        running = sum(len(link.runs_by_name) for link in term.links_by_id.values())
        yield GaugeMetricFamily(
            "pomeloyard_runs", "Runs of tasks that may exist", value=running
        )
