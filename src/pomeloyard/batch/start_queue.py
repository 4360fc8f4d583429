"""Order in which starts are sent, and how many are under way (no I/O).

A job of thousands of small tasks, or hundreds of jobs at once, fit on the executors at
the same moment. If all their starts were sent at once, each would wait for the others
in this process until it timed out. Only a limited number of starts is therefore under
way, the teams take turns, and tasks beyond another limit stay unassigned, so that a
later job of another team finds few starts ahead of its own.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from datetime import timedelta

from .executor_link import ExecutorLink
from .placed_run import Phase, PlacedRun

MAX_UNANSWERED_STARTS = 512
"""Assigned tasks whose start has not been answered, of all teams. A holder on half a
core sends them within two seconds."""
MAX_STARTS_UNDER_WAY = 64
"""Starts that wait for an answer. Half a core needs about 0.1 s for them, a fraction of
the time-out of an order."""
OVERDUE_AFTER = timedelta(seconds=0.15)
"""A start without an answer for this long is overdue and blocks no other one."""
MAX_STARTS_WITH_OVERDUE = 256
"""The limit including overdue starts."""
MAX_STARTS_PER_EXECUTOR = 15
"""Starts that wait for an answer of one executor, which may not answer at all."""

PendingStart = tuple[ExecutorLink, PlacedRun]


def team_of(start: PendingStart) -> str:
    """Return the team whose task is started."""
    return start[1].task.step.job.record.team


def is_unanswered(start: PendingStart) -> bool:
    """Tell whether a run is assigned and its start neither answered nor given up."""
    link, placed = start
    tracked = link.runs_by_name.get(placed.task.name) is placed
    return tracked and placed.phase in (Phase.ASSIGNED, Phase.START_SENT)


class AssignmentLimit:
    """Limits the tasks that are assigned and not started yet.

    Below the limit any task may be assigned. At the limit only teams may go on that
    have less than an equal share of it.
    """

    def __init__(self) -> None:
        self._starts: list[PendingStart] = []
        self._counts_by_team: Counter[str] = Counter()
        self._share = 0
        self.reached = False
        """Whether a task was held back since the last update."""

    def __len__(self) -> int:
        """Return the number of unanswered starts."""
        return len(self._starts)

    def update(self, waiting_teams: int) -> None:
        """Forget starts that were answered; the share is for so many teams."""
        self._starts = [start for start in self._starts if is_unanswered(start)]
        self._counts_by_team = Counter(map(team_of, self._starts))
        self._share = MAX_UNANSWERED_STARTS // max(1, waiting_teams)
        self.reached = False

    def allows(self, team: str) -> bool:
        """Tell whether another task of a team may be assigned now."""
        allowed = (
            len(self._starts) < MAX_UNANSWERED_STARTS
            or self._counts_by_team[team] < self._share
        )
        self.reached = self.reached or not allowed
        return allowed

    def add(self, start: PendingStart) -> None:
        """Count a task that has been assigned."""
        self._starts.append(start)
        self._counts_by_team[team_of(start)] += 1


class StartQueue:
    """Starts whose assignment is durable; the teams take turns."""

    def __init__(self) -> None:
        self._waiting_by_team: dict[str, deque[PendingStart]] = {}
        """The team whose turn it is comes first."""
        self._sent_at_by_run: dict[int, timedelta] = {}
        """When each start under way was sent, by identity of its run, oldest first."""
        self._under_way_by_executor: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of starts that have not been sent."""
        return sum(map(len, self._waiting_by_team.values()))

    def extend(self, starts: Iterable[PendingStart]) -> None:
        """Append starts."""
        for start in starts:
            self._waiting_by_team.setdefault(team_of(start), deque()).append(start)

    def take(self, now: timedelta) -> PendingStart | None:
        """Return the next start to send, None if none may be sent now.

        The caller must pass it to ``finish`` once it was answered or given up.
        """
        if not self._waiting_by_team or not self._has_free_slot(now):
            return None
        for team, waiting in list(self._waiting_by_team.items()):
            start = self._take_from(waiting)
            if waiting:
                # The other teams come first next time.
                self._waiting_by_team[team] = self._waiting_by_team.pop(team)
            else:
                del self._waiting_by_team[team]
            if start is not None:
                link, placed = start
                self._sent_at_by_run[id(placed)] = now
                self._under_way_by_executor[link.executor.executor_id] += 1
                return start
        return None

    def finish(self, start: PendingStart) -> None:
        """Free the slot of a start."""
        link, placed = start
        del self._sent_at_by_run[id(placed)]
        executor_id = link.executor.executor_id
        self._under_way_by_executor[executor_id] -= 1
        if not self._under_way_by_executor[executor_id]:
            del self._under_way_by_executor[executor_id]

    def _has_free_slot(self, now: timedelta) -> bool:
        if len(self._sent_at_by_run) >= MAX_STARTS_WITH_OVERDUE:
            return False
        recent = 0
        for sent_at in reversed(self._sent_at_by_run.values()):
            if now - sent_at >= OVERDUE_AFTER:
                break
            recent += 1
        return recent < MAX_STARTS_UNDER_WAY

    def _take_from(self, waiting: deque[PendingStart]) -> PendingStart | None:
        """Take the first start whose executor has a free slot; drop ended runs."""
        blocked: list[PendingStart] = []
        taken: PendingStart | None = None
        while waiting and taken is None:
            start = waiting.popleft()
            if not is_unanswered(start):
                continue
            under_way = self._under_way_by_executor[start[0].executor.executor_id]
            if under_way < MAX_STARTS_PER_EXECUTOR:
                taken = start
            else:
                blocked.append(start)
        waiting.extendleft(reversed(blocked))
        return taken
