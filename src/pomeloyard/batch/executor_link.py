"""One placing term's view of one executor: its runs, their leases and their ends."""

from __future__ import annotations

import random
from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..errors import (
    CallClosedError,
    CallNotPermittedError,
    CallNotSentError,
    CallQueuedError,
    CallUnansweredError,
    StaleFenceError,
)
from .crash_blame import TRIAL_POLL_WAIT
from .executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOrder,
)
from .link_handler import LinkHandler
from .placed_run import LossCause, Phase, PlacedRun
from .progress import EndKind, Task

LEASE_DURATION = timedelta(seconds=7)
"""Long enough for tasks to survive a store outage and a failover of the placing role,
short enough that the tasks of an unreachable executor are restarted soon."""
CLOCK_DRIFT_FACTOR = 1.02
"""An executor's monotonic clock may run slow by up to this factor."""
MAX_REQUEST_DELAY = timedelta(seconds=12)
"""A request that timed out may still be carried out until this much later."""
MAX_UNCONFIRMED = timedelta(seconds=7.5)
"""A term ends this long after the request of the last renewal of its role that the
store confirmed; it then renews no lease and sends no order.

Tasks survive a store outage of 10 s and 2 s for the role to be taken and executors to
be polled, if 10 + 2 <= MAX_UNCONFIRMED - 0.4 - 1.5 + 0.98 * 7: the last renewal of the
role and the last poll may be 0.4 s and 1.5 s old as the outage and the term begin and
end, and an executor's clock may run fast. That takes 7.04 s. Each further second adds
one to the time for which a successor leaves unreachable executors alone."""
POLL_WAIT = timedelta(seconds=1.5)
"""How long a poll waits for a task to end; a lease of 7 s survives several lost
polls."""
SHORT_POLL_WAIT = timedelta(seconds=0.5)
"""Shorter wait while the state of a run is unknown, or while serving and filling tasks
share the executor."""
POLL_TIMEOUT_MARGIN = timedelta(seconds=0.5)
"""Added to the requested wait; executors answer within milliseconds, or within 0.3 s
if a packet is lost."""
ORDER_TIMEOUT = timedelta(seconds=0.5)
"""After this the answer counts as lost; the next poll shows whether the request was
carried out."""
RETRY_DELAY = timedelta(seconds=0.05)
"""Base of the exponential back-off after a failed poll; the first failure doubles it
already."""
STOP_RETRY_DELAY = timedelta(seconds=0.15)
"""Pause before a stop is retried; longer than RETRY_DELAY, as many runs of one executor
may be stopped at once."""
MAX_RETRY_DELAY = timedelta(seconds=0.8)
"""Upper limit of the back-off, so that an executor that recovers is used within a
second."""
MAX_REPORT_AGE = timedelta(seconds=0.3)
"""Ends are only acknowledged this soon after a report. In a longer time the executor
may have restarted, run a task to its end and numbered that end from 1 again."""
MAX_STOP_TIME = timedelta(seconds=1)
"""A task ends within 0.9 s of its stop, by a clock that may run slow."""
SUSPECT_POLL_TIMEOUT = timedelta(seconds=0.5)
"""Poll time-out for an executor whose VM is listed as down."""
MAX_STOPS_UNDER_WAY = 15
"""Stops that wait for an answer of one executor; thousands may be due at once."""
MIN_LARGE_REPORT = 32
"""Reports with more rows than this are large."""
PAUSE_PER_ROW = timedelta(milliseconds=0.5)
"""Pause after a large report, for each further row. A poll returns at each end of a
run, so that its cost would otherwise grow with the square of the number of runs."""
MAX_REPORT_PAUSE = timedelta(seconds=0.1)
"""Well below ``MAX_REPORT_AGE``, after which ends are not acknowledged."""

REJECTION_PAUSE = timedelta(seconds=0.5)
"""After a rejected start other executors are preferred for this long, doubled with
each further one."""
MAX_REJECTION_DOUBLINGS = 3

log = logbook.Logger("pomeloyard.batch.link")


class ExecutorLink:
    """Renews the leases of one executor's runs and tracks their state."""

    def __init__(
        self,
        clock: Clock,
        client: ExecutorClient,
        executor: Executor,
        fence: int,
        handler: LinkHandler,
        lease: timedelta = LEASE_DURATION,
    ) -> None:
        self._clock = clock
        self._client = client
        self.executor = executor
        self.fence = fence
        self._handler = handler
        self._lease = lease
        self.registered = True
        self.reachable = False
        """Whether the last poll was answered, under this fencing token."""
        self.draining = executor.draining
        self.incarnation: int | None = None
        self.runs_by_name: dict[str, PlacedRun] = {}
        self._trials: set[str] = set()
        """Tasks whose runs have still to show that they crash no executor."""
        self.unassigned_runs: set[tuple[str, int]] = set()
        """Runs that the executor lists but that are not assigned to it. While there
        are any, its free capacity is unknown."""
        self._unanswered_starts: dict[str, tuple[int, timedelta]] = {}
        """Run and time of the last start without an answer, by task. The executor may
        still carry it out, even after a restart."""
        self.applied_end = 0
        self._durable_end = 0
        self._unacknowledged_job_ids: set[str] = set()
        """Ids of the jobs with task ends that are not acknowledged yet."""
        self._reported_at: timedelta | None = None
        self._first_reported_at: timedelta | None = None
        """From then on the executor rejects the orders of earlier terms."""
        self._earlier_terms_end = clock.monotonic() + MAX_UNCONFIRMED * (
            CLOCK_DRIFT_FACTOR
        )
        """Until then the holder of an earlier term, whose clock may run slow, may renew
        leases at an executor that this term does not reach."""
        self._clock_offset: timedelta | None = None
        """Upper bound of the executor's clock minus the local clock."""
        self._last_lease_at = clock.monotonic()
        self._work_event = anyio.Event()
        self._failed_polls = 0
        self.unreachable_since: timedelta | None = None
        self.closed_connection_at: timedelta | None = None
        """When the executor last closed a connection in a call, as a crash does."""
        self._drained_before_restart = False
        """Whether the previous incarnation was drained before it ended."""
        self._restart_reported: tuple[int, set[tuple[str, int]]] = (0, set())
        """Incarnation whose first report is not applied yet, and the tasks and runs
        that were reported as lost with the one before."""
        self.suspected = False
        """Whether the platform lists the VM as down."""
        self._poll_scope = anyio.CancelScope()
        self._rejections = 0
        """Periods of rejected starts since the last one that was accepted."""
        self._rejecting_until = timedelta(0)
        self._stop_slots = anyio.Semaphore(MAX_STOPS_UNDER_WAY)
        self._report_pause = timedelta(0)
        """How long to wait after the last report before the next poll."""
        self.closed = False
        self.cordoned_for_maintenance = False
        """Whether the VM is drained for its maintenance and gets no new runs."""
        self.cordoned_for_move = False
        """Whether the VM is drained for another pool and gets no new runs."""
        self.zone_evacuated = False
        """Whether its availability zone is evacuated, so that nothing is started."""
        self.spreading_tasks = False
        """Whether lasting tasks are being moved off the VM one by one."""
        self.needs_maintenance = False
        """Whether the VM still needs maintenance in a wave."""
        self.operation_ordered = False
        """Whether an operation that ends all runs may have been requested."""
        self.operation_begun_at = timedelta(0)
        """When this term began it, 0 if an earlier one may have."""
        self.ordered_by_this_term = False
        """Whether this term requests such an operation. A request of an earlier term
        that is still to be repeated may never be carried out."""

    @property
    def usable(self) -> bool:
        """Tell whether new runs may be placed here."""
        return not self.zone_evacuated and self.operational

    @property
    def operational(self) -> bool:
        """Tell whether new runs could be placed here if its zone is not evacuated."""
        return (
            self.registered
            and self.reachable
            and not self.draining
            and not self.unassigned_runs
            and not self.closed
            and not self.cordoned_for_maintenance
            and not self.cordoned_for_move
            and not self.operation_ordered
            and not self.suspected
        )

    @property
    def has_trial(self) -> bool:
        """Tell whether a run here has still to show that it crashes no executor."""
        return bool(self._trials)

    def has_suspects_beside(self, task: Task) -> bool:
        """Tell whether suspects of other jobs run here."""
        return any(
            (suspicion := placed.task.suspicion) is not None
            and suspicion.on_trial
            and placed.task.step.job is not task.step.job
            for placed in self.runs_by_name.values()
        )

    @property
    def may_end_by_operation(self) -> bool:
        """Tell whether an operation on its VM may have ended the executor.

        One that begins after contact was lost meets the next executor of the VM.
        """
        lost_at = self.unreachable_since
        lost_before = lost_at is not None and lost_at < self.operation_begun_at
        return self.operation_ordered and not lost_before

    def silence(self, now: timedelta) -> timedelta:
        """Return how long the executor has been unreachable, 0 if it answers."""
        since = self.unreachable_since
        return now - since if since is not None else timedelta(0)

    def poll_soon(self) -> None:
        """Poll soon, as there are runs to track."""
        self._work_event.set()

    def update(self, executor: Executor) -> None:
        """Apply a registration; a new incarnation is polled before it is used."""
        if executor.incarnation != self.executor.incarnation:
            self._drained_before_restart = self.draining
            self.reachable = False
            self.draining = False
        self.executor = executor
        self.draining = self.draining or executor.draining
        self.registered = True
        self.poll_soon()

    def poll_now(self) -> None:
        """Poll at once instead of waiting for the poll in progress."""
        if self.reachable:
            self._poll_scope.cancel()
        self.poll_soon()

    def suspect(self) -> None:
        """Probe the executor at once, as its VM is listed as down."""
        if not self.suspected:
            self.suspected = True
            self._poll_scope.cancel()
            self.poll_soon()

    def all_leases_expired(self, now: timedelta) -> bool:
        """Tell whether all leases have expired, even those of delayed requests.

        They include those that an earlier term has renewed since this one began.
        """
        lease = max(self._lease, timedelta(seconds=10)) * CLOCK_DRIFT_FACTOR
        earlier = self._earlier_terms_end
        if self._first_reported_at is not None:
            earlier = min(earlier, self._first_reported_at)
        last = max(self._last_lease_at, earlier)
        return now >= last + MAX_REQUEST_DELAY + lease

    async def run(self) -> None:
        """Poll the executor while it has runs to track."""
        async with self._handler.first_polls:
            answered = await self._poll_once()
        if not answered:
            await self._wait_before_retry()
        while not self.closed:
            idle = not self.runs_by_name and not self.unassigned_runs
            if self.reachable and idle and not self.suspected:
                self._work_event = anyio.Event()
                await self._work_event.wait()
                continue
            if not await self._poll_once():
                await self._wait_before_retry()
            elif self._report_pause:
                await self._clock.sleep(self._report_pause)

    async def _poll_once(self) -> bool:
        """Poll and handle failures; return whether the executor answered."""
        try:
            with anyio.CancelScope() as self._poll_scope:
                await self._poll()
        except StaleFenceError as error:
            log.warning("executor {}: {}", self.executor.executor_id, error)
            self.closed = True
            self._handler.handle_stale_fence(self)
        except CallQueuedError as error:
            log.info("executor {}: {}", self.executor.executor_id, error)
            return False
        except (CallNotSentError, CallUnansweredError) as error:
            if isinstance(error, CallUnansweredError):
                self._handler.handle_lost_call(self)
            self._note_closed_connection(error)
            self._mark_unreachable(str(error))
            return False
        except Exception as error:
            # A fault in the handling of one executor must not end the whole term.
            log.exception("look at executor {} failed", self.executor.executor_id)
            self._mark_unreachable(repr(error))
            return False
        return True

    async def _wait_before_retry(self) -> None:
        """Wait before the next poll, with exponential back-off and jitter."""
        delay = RETRY_DELAY * min(2**self._failed_polls, 16)
        delay = min(delay, MAX_RETRY_DELAY) * random.uniform(0.7, 1.3)
        await self._clock.sleep(delay)

    def mark_starts_unanswered(self, reason: str) -> None:
        """Treat pending starts as unanswered, as a task of this link has failed."""
        self._mark_unreachable(reason)
        for placed in self.runs_by_name.values():
            if placed.phase is Phase.START_SENT:
                placed.phase = Phase.UNCONFIRMED
                placed.unsure = True

    async def _poll(self) -> None:
        asked_at = self._clock.monotonic()
        first = not self.reachable or self.suspected or self._clock_offset is None
        until = None
        if not first and self._clock_offset is not None:
            until = asked_at + self._clock_offset + self._lease
            self._last_lease_at = asked_at
        wait = timedelta(0) if first else self._poll_wait()
        report = await self._client.poll(
            self.executor,
            fence=self.fence,
            acknowledged=0 if first else self._end_to_acknowledge(asked_at),
            lease_until=until,
            wait=wait,
            timeout=SUSPECT_POLL_TIMEOUT
            if self.suspected
            else wait + POLL_TIMEOUT_MARGIN,
        )
        now = self._clock.monotonic()
        self._reported_at = now
        if self._first_reported_at is None:
            self._first_reported_at = now
        self._clock_offset = report.clock - now
        self._failed_polls = 0
        extra_rows = len(report.running) + len(report.ended) - MIN_LARGE_REPORT
        self._report_pause = min(PAUSE_PER_ROW * max(0, extra_rows), MAX_REPORT_PAUSE)
        if self.incarnation not in (None, report.incarnation):
            self._report_restart(report)
        self.unreachable_since = self.closed_connection_at = None
        was_suspected, self.suspected = self.suspected, False
        if was_suspected:
            log.info(
                "executor {} answers although its VM is listed as down",
                self.executor.executor_id,
            )
        if report.incarnation != self.incarnation:
            if self.incarnation is not None:
                log.info(
                    "executor {} restarted, incarnation {}",
                    self.executor.executor_id,
                    report.incarnation,
                )
                self._handler.handle_reused_id(self)
                await self._revoke_unanswered_starts(now)
            self.incarnation = report.incarnation
            self.applied_end = self._durable_end = 0
        self._apply_report(report, asked_at, now)
        was_usable = self.usable
        self.reachable = True
        self.draining = self.executor.draining or report.draining
        if self.usable != was_usable:
            self._handler.handle_link_change(self)
        if self.applied_end > self._durable_end:
            await self._handler.wait_until_durable(self._unacknowledged_job_ids)
            self._durable_end = self.applied_end
            self._unacknowledged_job_ids = set()

    def _report_restart(self, report: ExecutorReport) -> None:
        """Report a crash if the executor has restarted under runs that it lost.

        A poll that fails later is repeated, but reports no run twice.
        """
        if self._restart_reported[0] != report.incarnation:
            self._restart_reported = (report.incarnation, set())
        reported = self._restart_reported[1]
        not_lost = reported.union((row.task, row.run) for row in report.running)
        runs = [
            placed
            for placed in self.runs_by_name.values()
            if placed.phase not in (Phase.ASSIGNED, Phase.START_SENT)
            and (placed.task.name, placed.run) not in not_lost
        ]
        reported.update((placed.task.name, placed.run) for placed in runs)
        drained = self._drained_before_restart or self.draining
        cause = LossCause.LEFT if drained else LossCause.CRASHED
        self._drained_before_restart = False
        for placed in runs:
            placed.loss_cause = cause
        if runs and cause is LossCause.CRASHED:
            self._handler.handle_crash(self, runs, "restarted")

    async def _revoke_unanswered_starts(self, now: timedelta) -> None:
        """Stop, on a new incarnation, the starts that got no answer before.

        The new incarnation has no record of earlier stops and would carry out a start
        that arrives late.
        """
        for task, (run, ordered_at) in list(self._unanswered_starts.items()):
            if now < ordered_at + MAX_REQUEST_DELAY:
                await self._client.stop(
                    self.executor, task, run, self.fence, ORDER_TIMEOUT
                )
            del self._unanswered_starts[task]

    def _end_to_acknowledge(self, now: timedelta) -> int:
        """Return the last end to acknowledge; 0 if the last report is too old."""
        reported_at = self._reported_at
        if reported_at is None or now - reported_at > MAX_REPORT_AGE:
            return 0
        return self._durable_end

    def _poll_wait(self) -> timedelta:
        serving = filling = False
        if self.has_trial:
            return TRIAL_POLL_WAIT
        longest = SHORT_POLL_WAIT if self._handler.calls_are_lost() else POLL_WAIT
        for placed in self.runs_by_name.values():
            if placed.unsure and placed.phase is Phase.UNCONFIRMED:
                return timedelta(0)
            if placed.unsure and placed.stop_answered_at is not None:
                # The start is revoked, so there will be no end to wait for.
                return timedelta(0)
            if placed.phase in (Phase.UNCONFIRMED, Phase.STOPPING):
                longest = SHORT_POLL_WAIT
            spec = placed.task.step.spec
            if spec.lasting and (placed.percent < 100 or placed.may_be_stopping):
                # Other tasks of its step may be disrupted only once it is ready.
                longest = SHORT_POLL_WAIT
            serving = serving or spec.target_tail_ms > 0
            filling = filling or spec.fills
        return SHORT_POLL_WAIT if serving and filling else longest

    def _apply_report(
        self, report: ExecutorReport, asked_at: timedelta, now: timedelta
    ) -> None:
        """Reconcile the assigned runs with both lists of a report."""
        for end in report.ended:
            if end.number > self.applied_end:
                self.applied_end = end.number
                self._apply_end(end)
        listed = {row.task: row for row in report.running}
        for name, placed in list(self.runs_by_name.items()):
            row = listed.get(name)
            if row is not None and row.run == placed.run:
                self._apply_running(placed, row, asked_at, now, report.clock)
            elif not report.ended_truncated:
                self._apply_missing(placed, asked_at)
        self.unassigned_runs = {
            (row.task, row.run)
            for row in report.running
            if (mine := self.runs_by_name.get(row.task)) is None or mine.run != row.run
        }
        for task, run in sorted(self.unassigned_runs):
            log.warning(
                "executor {} runs {} run {}, which is not assigned to it",
                self.executor.executor_id,
                task,
                run,
            )
            self._handler.spawn(self, self._stop_unassigned, task, run)

    def _apply_end(self, end: EndedTask) -> None:
        placed = self.runs_by_name.get(end.task)
        if placed is None or placed.run != end.run:
            job_id = self._handler.handle_unassigned_end(self, end)
            if job_id:
                self._unacknowledged_job_ids.add(job_id)
            return
        self.untrack(placed)
        self._unacknowledged_job_ids.add(placed.task.step.job.job_id)
        self._handler.handle_run_end(self, placed, end.kind, end.saved)

    def _apply_running(
        self,
        placed: PlacedRun,
        row: RunningTask,
        asked_at: timedelta,
        now: timedelta,
        clock: timedelta,
    ) -> None:
        """Update a run that a report lists, made at ``clock`` on the executor."""
        placed.unsure = False
        placed.listed_clock = clock
        if placed.started_clock is None:
            placed.started_clock = clock
        if placed.on_trial and clock - placed.started_clock >= placed.trial_time:
            placed.on_trial = False
            self._trials.discard(placed.task.name)
            self._handler.handle_trial_passed(self, placed)
        first = self._first_reported_at
        if first is not None and asked_at >= first + MAX_STOP_TIME:
            # A stop that arrived before the first report would have ended it.
            placed.may_be_stopping = False
        if placed.phase in (Phase.START_SENT, Phase.UNCONFIRMED, Phase.ASSIGNED):
            placed.phase = Phase.RUNNING
        if placed.acknowledged_at is None:
            placed.acknowledged_at = now
            self._handler.handle_run_begun(placed)
        if placed.percent != row.percent or placed.moved_at is None:
            placed.moved_at = now
        placed.percent = row.percent
        placed.gauge = row.gauge
        if row.saved:
            placed.task.saved = row.saved
        self._handler.handle_run_status(self, placed, row)

    def _apply_missing(self, placed: PlacedRun, asked_at: timedelta) -> None:
        """Handle a run that is in neither list of a report.

        A run whose start was acknowledged before the poll is lost. A run whose start
        may still arrive is stopped first, which revokes that start.
        """
        if placed.fence < self.fence and placed.phase is Phase.UNCONFIRMED:
            # The executor has seen a higher fencing token and rejects the start.
            self._mark_lost(placed)
        elif placed.phase is Phase.RUNNING:
            if placed.acknowledged_at is None or placed.acknowledged_at <= asked_at:
                self._mark_lost(placed)
        elif placed.phase is Phase.UNCONFIRMED:
            self.stop(placed)
        elif placed.phase is Phase.STOPPING:
            answered = placed.stop_answered_at
            if answered is not None and answered <= asked_at:
                self._mark_lost(placed)

    def _mark_lost(self, placed: PlacedRun) -> None:
        self.untrack(placed)
        self._handler.handle_run_end(self, placed, EndKind.LOST, "")

    def untrack(self, placed: PlacedRun) -> None:
        """Stop tracking a run that is over."""
        if self.runs_by_name.get(placed.task.name) is placed:
            del self.runs_by_name[placed.task.name]
            self._trials.discard(placed.task.name)

    def mark_all_lost(self, reason: str, cause: LossCause) -> None:
        """Mark all runs as lost, as they are certainly over."""
        if self.runs_by_name:
            log.info(
                "executor {}: {} runs have ended: {}",
                self.executor.executor_id,
                len(self.runs_by_name),
                reason,
            )
        runs = list(self.runs_by_name.values())
        for placed in runs:
            placed.loss_cause = cause
        sent = [placed for placed in runs if placed.phase is not Phase.ASSIGNED]
        if sent and cause is LossCause.CRASHED:
            self._handler.handle_crash(self, sent, "gone")
        for placed in runs:
            # The job of a run may have ended with the crash, and the run with it.
            if self.runs_by_name.get(placed.task.name) is placed:
                self._mark_lost(placed)

    def assign(self, placed: PlacedRun) -> None:
        """Track a run from its assignment on."""
        self.runs_by_name[placed.task.name] = placed
        if placed.on_trial:
            self._trials.add(placed.task.name)
        self._work_event.set()

    async def start(self, placed: PlacedRun) -> None:
        """Send the start of a run whose assignment is durable."""
        tracked = self.runs_by_name.get(placed.task.name) is placed
        if tracked and placed.phase is Phase.ASSIGNED:
            placed.phase = Phase.START_SENT
            await self._send_start(placed)

    async def _send_start(self, placed: PlacedRun) -> None:
        await self._handler.wait_until_current()
        if not self._is_pending_start(placed):
            # Stopped or given up meanwhile.
            return
        now = self._clock.monotonic()
        task = placed.task
        if self.zone_evacuated:
            self._start_refused(placed, StartAnswer.NOT_PERMITTED)
            return
        if self._clock_offset is None or not self.operational:
            self._start_refused(placed, StartAnswer.NOT_ACCEPTED)
            return
        order = StartOrder(
            task=task.name,
            run=placed.run,
            payload=task.step.job.record.spec.payload,
            saved=task.saved,
            lease_until=now + self._clock_offset + self._lease,
            fence=self.fence,
            ticket=placed.ticket,
        )
        try:
            answer, clock = await self._client.start(
                self.executor,
                order,
                ORDER_TIMEOUT,
                lambda: self._may_send_start(placed),
            )
        except StaleFenceError:
            self._handler.handle_stale_fence(self)
            return
        except CallNotPermittedError:
            self._start_refused(placed, StartAnswer.NOT_PERMITTED)
            return
        except CallQueuedError as error:
            log.info("start of {} run {}: {}", task.name, placed.run, error)
            self._start_refused(placed, StartAnswer.NOT_ACCEPTED)
            return
        except CallNotSentError as error:
            self._mark_unreachable(str(error))
            self._start_refused(placed, StartAnswer.NOT_ACCEPTED)
            return
        except CallUnansweredError as error:
            log.info(
                "start of {} run {} got no answer: {}", task.name, placed.run, error
            )
            self._note_closed_connection(error)
            placed.start_closed = isinstance(error, CallClosedError)
            self._record_unanswered_start(placed, placed.ordered_at or now)
            self._handler.handle_lost_call(self)
            if placed.phase is Phase.START_SENT:
                placed.phase = Phase.UNCONFIRMED
                placed.unsure = True
                self.poll_now()
            return
        answered_at = self._clock.monotonic()
        if clock is not None:
            self._clock_offset = clock - answered_at
        if answer is not StartAnswer.STARTED:
            if answer is StartAnswer.NOT_ACCEPTED:
                self._note_rejection(answered_at)
            self._start_refused(placed, answer)
        elif placed.phase is Phase.START_SENT:
            placed.phase = Phase.RUNNING
            placed.acknowledged_at = answered_at
            self._rejections = 0
            self._handler.handle_run_begun(placed)
            placed.started_clock = clock
            if placed.on_trial:
                self.poll_now()
            task.started_at = answered_at

    def _note_rejection(self, now: timedelta) -> None:
        """Put the executor behind others for a while that grows with each rejection."""
        pause = REJECTION_PAUSE * 2 ** min(self._rejections, MAX_REJECTION_DOUBLINGS)
        if now >= self._rejecting_until:
            self._rejections += 1
        self._rejecting_until = max(self._rejecting_until, now + pause)

    def rejects_starts(self, now: timedelta) -> bool:
        """Tell whether the executor rejected a start a short time ago."""
        return now < self._rejecting_until

    def _is_pending_start(self, placed: PlacedRun) -> bool:
        """Tell whether a start is still to be sent."""
        tracked = self.runs_by_name.get(placed.task.name) is placed
        return tracked and placed.phase is Phase.START_SENT

    def _may_send_start(self, placed: PlacedRun) -> bool:
        """Tell whether a start may be sent now, and if so note the time."""
        permitted = self._is_pending_start(placed) and self._handler.may_start_on(
            self, placed.task
        )
        if permitted:
            self._last_lease_at = placed.ordered_at = self._clock.monotonic()
        return permitted

    def _record_unanswered_start(
        self, placed: PlacedRun, ordered_at: timedelta
    ) -> None:
        starts = self._unanswered_starts
        for task, (_, at) in list(starts.items()):
            if ordered_at >= at + MAX_REQUEST_DELAY:
                del starts[task]
        starts[placed.task.name] = (placed.run, ordered_at)

    def _start_refused(self, placed: PlacedRun, answer: StartAnswer) -> None:
        if self.runs_by_name.get(placed.task.name) is placed:
            self.untrack(placed)
            self._handler.handle_refused_start(self, placed, answer)

    def stop(self, placed: PlacedRun) -> bool:
        """Stop a run, whether or not its start has arrived.

        Returns False if the stop would exceed the disruption budget of the run's step.
        """
        if placed.phase is Phase.ASSIGNED:
            # No start was sent, and the stored assignment is replaced before one is.
            self._mark_lost(placed)
        elif placed.phase is not Phase.STOPPING:
            if placed.phase is Phase.RUNNING and not self._handler.may_disrupt(placed):
                return False
            placed.phase = Phase.STOPPING
            self._handler.spawn(self, self._stop_until_answered, placed)
        return True

    async def _stop_until_answered(self, placed: PlacedRun) -> None:
        name = placed.task.name
        while not self.closed and self.runs_by_name.get(name) is placed:
            try:
                async with self._stop_slots:
                    await self._client.stop(
                        self.executor, name, placed.run, self.fence, ORDER_TIMEOUT
                    )
            except StaleFenceError:
                self._handler.handle_stale_fence(self)
                return
            except (CallNotSentError, CallUnansweredError) as error:
                log.debug("stop of {} run {} failed: {}", name, placed.run, error)
                await self._clock.sleep(STOP_RETRY_DELAY)
                continue
            placed.stop_answered_at = self._clock.monotonic()
            if placed.unsure:
                self.poll_now()
            return

    async def _stop_unassigned(self, task: str, run: int) -> None:
        try:
            async with self._stop_slots:
                await self._client.stop(
                    self.executor, task, run, self.fence, ORDER_TIMEOUT
                )
        except StaleFenceError:
            self._handler.handle_stale_fence(self)
        except (CallNotSentError, CallUnansweredError) as error:
            log.debug("stop of {} run {} failed: {}", task, run, error)

    def limit_cpu(self, placed: PlacedRun, percent: int) -> None:
        """Limit the CPU share of a run to a percentage."""
        placed.pace = percent
        placed.pace_sent_at = self._clock.monotonic()
        self._handler.spawn(self, self._send_pace, placed, percent)

    async def _send_pace(self, placed: PlacedRun, percent: int) -> None:
        try:
            await self._client.limit_cpu(
                self.executor,
                placed.task.name,
                placed.run,
                percent,
                self.fence,
                ORDER_TIMEOUT,
            )
        except StaleFenceError:
            self._handler.handle_stale_fence(self)
        except (CallNotSentError, CallUnansweredError) as error:
            log.info("limiting the CPU share of {} failed: {}", placed.task.name, error)
            # Unknown limit; the next poll decides again.
            placed.pace = -1

    def _note_closed_connection(self, error: Exception) -> None:
        if isinstance(error, CallClosedError) and self.closed_connection_at is None:
            # A process that was paused notices it late.
            now = self._clock.monotonic()
            self.closed_connection_at = min(now, self._handler.awake_until())

    def _mark_unreachable(self, detail: str) -> None:
        if self.unreachable_since is None:
            self.unreachable_since = self._clock.monotonic()
            log.info("executor {} lost: {}", self.executor.executor_id, detail)
        self._failed_polls += 1
        if self.reachable:
            self.reachable = False
            self._handler.handle_link_change(self)
        self._work_event.set()
