"""Decides which task has crashed an executor (no I/O).

A task may crash each executor that starts it, and each crash ends all that runs there.
Nothing that the executor reports tells that task from those beside it, but how long
each has run does: a task that crashes executors does so soon after its start. Tasks
that were started shortly before a crash are suspects. They are started again on trial,
the suspects of each job apart from those of others, on an executor that gets no other
run until they have run for ``TRIAL_TIME``. A second crash then shows which job it was;
which of its tasks does not matter, as the job fails with any of them.

Executors also crash for reasons of their own, several at once if a rack or a zone
fails. Such a crash is never conclusive, and tasks that had run for longer are put on
trial only after several crashes.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

TRIAL_TIME = timedelta(seconds=0.2)
"""A run that has lasted this long is unlikely to be the cause of a crash."""
TRIAL_POLL_WAIT = TRIAL_TIME
"""Wait of a poll during a trial, so that its end is seen soon."""
CLEARANCE_TIME = timedelta(seconds=3)
"""A task that has run this long is no suspect, neither of this crash nor of earlier
ones."""
CRASHES_TO_CONVICT = 2
"""Crashes that convict a task whose job was the only suspect of the last one."""
CRASHES_TO_CONVICT_IN_DOUBT = 3
"""The same if others that were suspects before ran beside it."""
CRASHES_TO_ISOLATE = 3
"""Crashes after which any task is on trial, and for as long as it runs, so that also a
task that runs for longer before it crashes its executor becomes the only suspect."""
MAX_CRASHES = 4
"""Crashes that convict a suspect whatever other suspects there are."""
SIMULTANEITY = timedelta(seconds=0.1)
"""Executors of one rack that close their connections within this time may have a common
cause."""
SILENCE_SPREAD = timedelta(seconds=2.5)
"""The same for executors that fall silent, which a poll notices up to 2 s later."""
ZONE_CRASHES = 3
"""The same for this many executors of a zone."""


class Suspicion:
    """Crashes of executors under a task, or under a gang, whose tasks share it."""

    __slots__ = ("convicted", "counted_run", "crashes", "on_trial", "passed_run")

    def __init__(self, crashes: int = 0, on_trial: bool = False) -> None:
        self.crashes = crashes
        """Its runs that ended with a crash of their executors."""
        self.counted_run = 0
        """The latest of these runs. One start can crash an executor only once, and
        the members of a gang share a run, so that a repeated report of a crash and
        further executors of a gang add nothing."""
        self.on_trial = on_trial
        """Whether its next start is a trial."""
        self.convicted = False
        self.passed_run = 0
        """Its latest run that has passed a trial."""

    @property
    def trial_time(self) -> timedelta:
        """Return how long its run must last to pass a trial."""
        isolated = self.crashes >= CRASHES_TO_ISOLATE
        return CLEARANCE_TIME if isolated else TRIAL_TIME

    def count_crash(self, run: int) -> None:
        """Count a crash under a run, unless one is counted already."""
        if run > self.counted_run:
            self.counted_run = run
            self.crashes += 1


@dataclass(frozen=True, slots=True)
class RunAtCrash:
    """A run that ended with its executor."""

    job: str
    unit: str
    """The task, or the step of a gang."""
    crashes: int
    """Earlier crashes under it."""
    suspected: bool
    uptime: timedelta
    """How long it certainly ran."""
    counted: bool
    """Whether it may have been started before the crash, not only ordered, and no
    crash under this run is counted yet."""
    witnessed: bool
    """Whether the executor was certainly alive when it received the start."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a crash says about the tasks that it ended; names of tasks or gang steps."""

    counted: frozenset[str]
    """They have one crash more."""
    suspects: frozenset[str]
    """They are started again on trial."""
    convicted: frozenset[str]
    """They are given up."""


def judge(runs: Collection[RunAtCrash], *, simultaneous: bool) -> Verdict:
    """Judge the runs that a crash has ended.

    ``simultaneous`` tells that other executors that may share its cause were lost at
    about the same time.
    """
    fresh = [run for run in runs if run.uptime < TRIAL_TIME]
    earlier = [run for run in runs if run.suspected]
    suspects = fresh or earlier
    counted = {run.unit for run in runs if run.counted and run.uptime < CLEARANCE_TIME}
    crashes = {run.unit: run.crashes + (run.unit in counted) for run in runs}
    repeated = {unit for unit in counted if crashes[unit] >= CRASHES_TO_ISOLATE}
    suspect_units = {run.unit for run in suspects}
    convicted = {
        unit for unit in suspect_units & counted if crashes[unit] >= MAX_CRASHES
    }
    jobs = {run.job for run in suspects}
    if fresh and len(jobs) == 1 and not simultaneous:
        alone = jobs.issuperset(run.job for run in earlier)
        needed = CRASHES_TO_CONVICT if alone else CRASHES_TO_CONVICT_IN_DOUBT
        convicted |= {
            run.unit
            for run in suspects
            if run.witnessed and run.unit in counted and crashes[run.unit] >= needed
        }
    return Verdict(
        frozenset(counted), frozenset(suspect_units | repeated), frozenset(convicted)
    )
