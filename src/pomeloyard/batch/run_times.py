"""Expected run times, learned from finished runs (no I/O).

Load pattern: submitters' estimates are off by a factor of 1.2 in one queue and 2.5 in
the next, some by a constant factor; steps of a queue differ by a factor of 1.6, and of
some queues 3 of 100 tasks take seven times as long as the others of their step.

For each queue the distributions of four quantities are kept: the run time of steps,
its ratio to the submitter's estimate, its ratio to what was expected, and the ratio of
a task to its step. An estimate counts as far as those of its queue have been right.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from .distributions import Distribution, Summary

LEVEL_GENERATION = 50
"""Observations of a generation that shows a level; run times that change by a factor of
five within 400 steps are followed."""
TAIL_GENERATION = 400
"""Observations of a generation that shows a tail of a few in a hundred."""
MIN_FAST_RATIO = 0.2
"""Lower bound of the ratio of a step's fastest tasks to its typical one."""
MAX_QUEUES = 128
"""Queues that are kept; the least recently used one is dropped."""
PRIOR_OBSERVATIONS = 8
"""Weight of the prior, in observations."""
PRIOR_SPREAD = 0.5
"""Standard deviation, in logarithms, that is assumed of run times and estimates."""
DEFAULT_RUN_MS = 1000.0
"""Expected for the first tasks of a queue if the submitter gave no estimate."""
MAX_ESTIMATE_MS = 7 * 24 * 3600 * 1000
"""Longer estimates count as absurd, and no step is expected to take longer; a duration
must hold the sum of a job's steps."""
MIN_OBSERVATIONS = 20
"""Observations from which quantiles of a queue are used; before, a task is expected to
take as long as its step."""
MAX_LENGTH_RATIO = 50.0
"""Tasks that took this many times as long as expected, or more, count as this."""


def _level() -> Distribution:
    return Distribution(LEVEL_GENERATION)


def _tail() -> Distribution:
    return Distribution(TAIL_GENERATION, MAX_LENGTH_RATIO)


@dataclass
class QueueRunTimes:
    """What finished runs have shown about one queue."""

    runs: Distribution = field(default_factory=_level)
    """Typical run time of each step, that of its median task, in ms."""
    estimate_ratios: Distribution = field(default_factory=_level)
    """Its ratio to the submitter's estimate."""
    expectation_ratios: Distribution = field(default_factory=_tail)
    """Its ratio to what was expected before."""
    task_ratios: Distribution = field(default_factory=_tail)
    """Ratio of tasks to the typical run time of their step."""
    observations: int = 0
    """Observations of this term."""
    blend: _Blend | None = field(default=None, repr=False)
    """As of the summaries that it names."""

    def distributions(self) -> Iterator[Distribution]:
        """Yield the distributions in the order in which they are stored."""
        yield from (
            self.runs,
            self.estimate_ratios,
            self.expectation_ratios,
            self.task_ratios,
        )


def _variance(summary: Summary) -> float:
    """Return the variance of the logarithms, drawn towards the prior."""
    count = summary.count
    spread = summary.log_spread if summary.points else 0.0
    prior = PRIOR_OBSERVATIONS * PRIOR_SPREAD**2
    return (count * spread**2 + prior) / (count + PRIOR_OBSERVATIONS)


class _Blend:
    """How estimates and the run times of a queue combine, by what has been observed.

    It is the same for all steps of a queue, and planning asks for it thousands of times
    in a round.
    """

    def __init__(self, runs: Summary, ratios: Summary) -> None:
        self.runs = runs
        self.ratios = ratios
        of_runs, of_errors = _variance(runs), _variance(ratios)
        self.estimate_weight = of_runs / max(of_runs + of_errors, 1e-9)
        self.log_bias = 0.0
        """Logarithm of the factor by which estimates are too short."""
        if ratios.points:
            trust = ratios.count / (ratios.count + PRIOR_OBSERVATIONS)
            self.log_bias = trust * ratios.log_median


def _blend_of(known: QueueRunTimes) -> _Blend:
    runs, ratios = known.runs.summary(), known.estimate_ratios.summary()
    blend = known.blend
    if blend is None or blend.runs is not runs or blend.ratios is not ratios:
        blend = known.blend = _Blend(runs, ratios)
    return blend


class RunTimes:
    """Distributions of run times by queue."""

    def __init__(self) -> None:
        self._by_queue: OrderedDict[str, QueueRunTimes] = OrderedDict()

    def queues(self) -> dict[str, QueueRunTimes]:
        """Return the queues that are known."""
        return dict(self._by_queue)

    def queue(self, name: str) -> QueueRunTimes:
        """Return what is known about a queue, creating it as the latest one."""
        known = self._by_queue.get(name)
        if known is None:
            known = self._by_queue[name] = QueueRunTimes()
        self._by_queue.move_to_end(name)
        while len(self._by_queue) > MAX_QUEUES:
            self._by_queue.popitem(last=False)
        return known

    def estimate_weight(self, queue: str) -> float:
        """Return the weight of the submitters' estimates, from 0 to 1.

        It is that of the better of two independent measurements of one quantity: the
        variance of run times against that of the errors of the estimates.
        """
        known = self._by_queue.get(queue)
        if known is None:
            return 0.5
        return _blend_of(known).estimate_weight

    def expected_ms(
        self, queue: str, estimate_ms: float, usual_ms: float | None = None
    ) -> float:
        """Return the expected run time of a step's tasks.

        ``usual_ms`` is the typical run time of its tasks that are done, if any.
        """
        if usual_ms is not None:
            return usual_ms
        usable = 0 < estimate_ms <= MAX_ESTIMATE_MS
        known = self._by_queue.get(queue)
        if known is None or not known.runs.summary().points:
            return float(estimate_ms) if usable else DEFAULT_RUN_MS
        blend = _blend_of(known)
        log_usual = blend.runs.log_median
        if not usable:
            return min(math.exp(log_usual), MAX_ESTIMATE_MS)
        weight = blend.estimate_weight
        log_estimate = math.log(estimate_ms) + blend.log_bias
        log_expected = weight * log_estimate + (1 - weight) * log_usual
        return min(math.exp(log_expected), MAX_ESTIMATE_MS)

    def quantile_ms(
        self,
        queue: str,
        estimate_ms: float,
        usual_ms: float | None,
        quantile: float,
    ) -> float:
        """Return the run time that a share ``quantile`` of such tasks stays below."""
        expected = self.expected_ms(queue, estimate_ms, usual_ms)
        ratios = self._ratios(queue, usual_ms)
        return expected * ratios.quantile(quantile) if ratios else expected

    def typical_ms(self, queue: str, run_ms: float, share: float) -> float:
        """Return the typical run time of a step, of which only fast tasks are done.

        ``run_ms`` is the run time that a share of its tasks stays below.
        """
        known = self._by_queue.get(queue)
        if known is None or known.task_ratios.count < MIN_OBSERVATIONS:
            return run_ms
        ratio = known.task_ratios.summary().quantile(share)
        return run_ms / min(1.0, max(MIN_FAST_RATIO, ratio))

    def mean_ms(
        self, queue: str, estimate_ms: float, usual_ms: float | None = None
    ) -> float:
        """Return the mean run time of a step's tasks, long ones included."""
        expected = self.expected_ms(queue, estimate_ms, usual_ms)
        known = self._by_queue.get(queue)
        if known is None or known.task_ratios.count < MIN_OBSERVATIONS:
            return expected
        return expected * known.task_ratios.summary().mean

    def slowest_ms(
        self, queue: str, estimate_ms: float, usual_ms: float | None, tasks: int
    ) -> float:
        """Return the expected run time of the slowest of some tasks of a step."""
        expected = self.expected_ms(queue, estimate_ms, usual_ms)
        known = self._by_queue.get(queue)
        if known is None or known.task_ratios.count < MIN_OBSERVATIONS:
            return expected
        ratios = known.task_ratios.summary()
        # A record of a job is not checked for its number of tasks when it is read.
        tasks = max(1, tasks)
        return expected * max(1.0, ratios.quantile(tasks / (tasks + 1)))

    def remaining_ms(
        self,
        queue: str,
        estimate_ms: float,
        usual_ms: float | None,
        elapsed_ms: float,
        quantile: float | None = None,
    ) -> float:
        """Return the expected remaining time of a run that has been running for a time.

        With ``quantile`` return that quantile of the rest. A run that has outlasted all
        others is expected to take as long again.
        """
        expected = self.expected_ms(queue, estimate_ms, usual_ms)
        ratios = self._ratios(queue, usual_ms)
        points = ratios.points if ratios else (1.0,)
        longer = [p * expected for p in points if p * expected > elapsed_ms]
        if not longer:
            return elapsed_ms
        if quantile is None:
            return sum(longer) / len(longer) - elapsed_ms
        return longer[min(len(longer) - 1, int(quantile * len(longer)))] - elapsed_ms

    def _ratios(self, queue: str, usual_ms: float | None) -> Summary | None:
        """Return the ratios of run times to the expected ones, if known well enough."""
        known = self._by_queue.get(queue)
        if known is None:
            return None
        kind = known.expectation_ratios if usual_ms is None else known.task_ratios
        return kind.summary() if kind.count >= MIN_OBSERVATIONS else None

    def record(
        self,
        queue: str,
        estimate_ms: float,
        usual_ms: float | None,
        run_ms: float,
        *,
        whole_step: bool,
    ) -> None:
        """Record a run time.

        With ``whole_step`` it is the typical one of a step, else that of a task, and
        ``usual_ms`` the typical one of its step.
        """
        run_ms = max(run_ms, 1.0)
        expected = self.expected_ms(queue, estimate_ms, usual_ms)
        ratio = run_ms / max(expected, 1.0)
        known = self.queue(queue)
        known.observations += 1
        if not whole_step:
            known.task_ratios.add(ratio)
            return
        known.expectation_ratios.add(ratio)
        known.runs.add(run_ms)
        if 0 < estimate_ms <= MAX_ESTIMATE_MS:
            known.estimate_ratios.add(run_ms / estimate_ms)

    def error(self, queue: str) -> float:
        """Return the mean absolute error of the expected run times, in logarithms."""
        known = self._by_queue.get(queue)
        points = known.expectation_ratios.summary().points if known else ()
        return sum(abs(math.log(point)) for point in points) / max(1, len(points))
