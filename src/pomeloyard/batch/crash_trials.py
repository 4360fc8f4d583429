"""Applies verdicts on crashes to the tasks of a term, and limits trials.

``crash_blame`` has the decision itself.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from .crash_blame import (
    CLEARANCE_TIME,
    SILENCE_SPREAD,
    SIMULTANEITY,
    TRIAL_TIME,
    ZONE_CRASHES,
    RunAtCrash,
    Verdict,
    judge,
)
from .decision_log import JobDecisionLog
from .executor_link import ExecutorLink
from .placed_run import PlacedRun
from .progress import JobRun, StepRun, Task

CRASH_MEMORY = timedelta(seconds=60)
"""Crashes are compared with those of this time."""
MAX_TRIAL_SILENCE = timedelta(seconds=3)
"""An executor that has been silent for longer is cut off rather than crashed, as the
list of VMs would have shown a crash. The trial of an image does not wait for it."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """The loss of contact with an executor."""

    at: timedelta
    observed: bool
    """Whether it closed a connection then; silence is noticed later."""

    def coincides_with(self, other: _Loss) -> bool:
        """Tell whether both executors may have been lost at the same moment."""
        limit = SIMULTANEITY if self.observed else SILENCE_SPREAD
        return self.observed == other.observed and abs(self.at - other.at) <= limit


class CrashTrials:
    """Keeps which tasks and images are suspected of crashing executors."""

    def __init__(
        self,
        clock: Clock,
        decision_log: JobDecisionLog,
        links_by_id: Mapping[str, ExecutorLink],
    ) -> None:
        self._clock = clock
        self._decision_log = decision_log
        self._links_by_id = links_by_id
        self._suspected_images: set[str] = set()
        """Images of tasks that were given up; one task of each tries it at a time."""
        self._crashed: list[tuple[_Loss, ExecutorLink]] = []
        """Recent crashes."""

    def restore(self, job: JobRun) -> None:
        """Suspect the images of tasks that an earlier term has given up."""
        if not job.has_suspicions:
            return
        for step in job.steps():
            convicted = any(
                task.suspicion and task.suspicion.convicted
                for task in step.tasks.known()
            )
            if convicted and step.spec.image:
                self._suspected_images.add(step.spec.image)

    def concern(self, step: StepRun) -> bool:
        """Tell whether a task of a step may need a trial."""
        return step.job.has_suspicions or self.suspects_image(step)

    def suspects_image(self, step: StepRun) -> bool:
        """Tell whether every task of a step must be started on trial."""
        return step.spec.image in self._suspected_images

    def needs_trial(self, task: Task) -> bool:
        """Tell whether a task must be started on trial."""
        suspicion = task.suspicion
        suspected = suspicion is not None and suspicion.on_trial
        return suspected or self.suspects_image(task.step)

    def may_begin(self, task: Task, links: Collection[ExecutorLink]) -> bool:
        """Tell whether a trial may begin on one of the executors of a pool.

        At most half of them hold trials, so that other tasks find room, and one task
        at a time tries an image.
        """
        image = task.step.spec.image
        trials = [link for link in links if link.has_trial]
        now = self._clock.monotonic()
        # An executor that has just crashed may hold the trial of an image.
        if image in self._suspected_images and any(
            run.on_trial and run.task.step.spec.image == image
            for link in trials
            if link.silence(now) <= MAX_TRIAL_SILENCE
            for run in link.runs_by_name.values()
        ):
            return False
        usable = sum(link.usable for link in links)
        return sum(link.usable for link in trials) < max(1, usable // 2)

    def pass_trial(self, placed: PlacedRun) -> None:
        """Record that a run on trial has not crashed its executor."""
        self._suspected_images.discard(placed.task.step.spec.image)
        if placed.task.suspicion is not None:
            placed.task.suspicion.passed_run = placed.run
        self._decision_log.record("crash", placed.task.name, "passed", run=placed.run)

    def clear_if_proven(self, placed: PlacedRun) -> bool:
        """Forget the crashes under a task that has run long; False if it had none."""
        if placed.task.suspicion is None:
            return False
        if placed.proven_uptime(None) < CLEARANCE_TIME:
            return False
        placed.task.clear()
        self._decision_log.record("crash", placed.task.name, "cleared", run=placed.run)
        return True

    def record(
        self, link: ExecutorLink, runs: Collection[PlacedRun], evidence: str
    ) -> list[Task]:
        """Count a crash for the runs that it ended; return the tasks to give up."""
        loss = self._loss_of(link)
        simultaneous = self._is_simultaneous(link, loss)
        forget_before = self._clock.monotonic() - CRASH_MEMORY
        self._crashed = [one for one in self._crashed if one[0].at >= forget_before]
        self._crashed.append((loss, link))
        alive_at = link.closed_connection_at
        at_crash = [
            _run_at_crash(placed, alive_at, adopted=placed.fence < link.fence)
            for placed in runs
        ]
        verdict = judge(at_crash, simultaneous=simultaneous)
        self._log(link, runs, evidence, verdict, simultaneous)
        convicted: dict[str, Task] = {}
        runs_by_unit = {placed.task.crash_unit: placed for placed in runs}
        for unit, placed in runs_by_unit.items():
            task = placed.task
            if unit in verdict.counted:
                task.suspect().count_crash(placed.run)
            if unit in verdict.suspects:
                task.suspect().on_trial = True
            if unit in verdict.convicted:
                convicted[unit] = task
                if task.step.spec.image:
                    self._suspected_images.add(task.step.spec.image)
        return list(convicted.values())

    def _loss_of(self, link: ExecutorLink) -> _Loss:
        """Return when contact with an executor was lost."""
        closed_at = link.closed_connection_at
        if closed_at is not None:
            return _Loss(closed_at, observed=True)
        return _Loss(link.unreachable_since or self._clock.monotonic(), observed=False)

    def _is_simultaneous(self, link: ExecutorLink, loss: _Loss) -> bool:
        """Tell whether other executors were lost with it that share a rack or zone."""
        others = [other for at, other in self._crashed if at.coincides_with(loss)]
        others += [
            other
            for other in self._links_by_id.values()
            if other.executor.address
            and other.unreachable_since is not None
            and self._loss_of(other).coincides_with(loss)
        ]
        lost = {id(other): other for other in others if other is not link}
        executor = link.executor
        in_zone = sum(
            other.executor.availability_zone == executor.availability_zone
            for other in lost.values()
        )
        in_rack = any(other.executor.rack == executor.rack for other in lost.values())
        return (bool(executor.rack) and in_rack) or in_zone + 1 >= ZONE_CRASHES

    def _log(
        self,
        link: ExecutorLink,
        runs: Collection[PlacedRun],
        evidence: str,
        verdict: Verdict,
        simultaneous: bool,
    ) -> None:
        executor = link.executor
        self._decision_log.record(
            "crash",
            executor.executor_id,
            evidence,
            vm=executor.vm,
            rack=executor.rack,
            zone=executor.availability_zone,
            runs=len(runs),
            suspects=len(verdict.suspects),
            closed_connection=link.closed_connection_at is not None,
            simultaneous=simultaneous,
        )
        for placed in runs:
            task = placed.task
            unit = task.crash_unit
            uptime = placed.proven_uptime(link.closed_connection_at)
            outcome = "suspected" if unit in verdict.suspects else "bystander"
            if unit in verdict.convicted:
                outcome = "given-up"
            before = task.suspicion.crashes if task.suspicion else 0
            self._decision_log.record(
                "crash",
                task.name,
                outcome,
                run=placed.run,
                executor=executor.executor_id,
                crashes=before + (unit in verdict.counted),
                answered=placed.acknowledged_at is not None,
                up_ms=round(uptime / timedelta(milliseconds=1)),
            )


def _run_at_crash(
    placed: PlacedRun, alive_at: timedelta | None, *, adopted: bool
) -> RunAtCrash:
    """Return what is known of a run; an earlier term knew whether one was started."""
    suspicion = placed.task.suspicion
    counted_before = suspicion is not None and suspicion.counted_run >= placed.run
    uptime = placed.proven_uptime(alive_at)
    if adopted and placed.listed_clock is not None:
        # It had lasted through the change of the holder.
        uptime = max(uptime, TRIAL_TIME)
    return RunAtCrash(
        placed.task.step.job.job_id,
        placed.task.crash_unit,
        suspicion.crashes if suspicion else 0,
        suspicion is not None and suspicion.on_trial,
        uptime,
        (placed.witnessed or adopted) and not counted_before,
        placed.witnessed,
    )
