"""Simulated batch system on a manual clock: executors, VMs, a store and one term."""

from __future__ import annotations

from collections import Counter, defaultdict
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import msgspec

from pomeloyard.batch import layout
from pomeloyard.batch.advice import Advice, AdviceService
from pomeloyard.batch.configuration_follower import ConfigurationFollower, DocumentError
from pomeloyard.batch.decision_log import JobDecisionLog
from pomeloyard.batch.evacuations import DEFAULT_EVACUATION_BOUND
from pomeloyard.batch.executor_registry import ExecutorRegistry
from pomeloyard.batch.executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    ExecutorReport,
    RunningTask,
    StartAnswer,
)
from pomeloyard.batch.job_service import AuthorizedCall, JobService
from pomeloyard.batch.model import (
    FINAL_STATES,
    Configuration,
    JobSpec,
    JobState,
    Pool,
    Queue,
    Resources,
    StepSpec,
    TeamLimits,
    Wave,
)
from pomeloyard.batch.placing_term import PlacingTerm
from pomeloyard.batch.progress import EndKind
from pomeloyard.batch.vm_controller import VmController
from pomeloyard.batch.vms import PoolVm, VmAnswer, VmService, VmState
from pomeloyard.clock import ManualClock
from pomeloyard.errors import (
    CallClosedError,
    CallNotPermittedError,
    CallNotSentError,
    CallUnansweredError,
    StaleFenceError,
)
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Compare, Delete, Put, Transaction
from pomeloyard.logs import LogWriter
from pomeloyard.roles import HeldRole

from .job_fakes import FaultyStore, settle

STEP = timedelta(milliseconds=50)
MAX_LEASE = timedelta(seconds=10)
LASTING_START_TIME = timedelta(seconds=0.9)
"""Time from the start of a lasting task until it counts as available."""
EPOCH_KEY = "epochs/placing"
QUEUE = Queue("cuts", "desk.example", "/cuts/", "mill", max_attempts=3, stretch=1.6)
SHRINK_GRACE = timedelta(seconds=4.5)
"""A capacity that has shrunk counts this much later."""
CRASHES_BEFORE_LIMIT = 3
"""Executors that may crash under a task before its starts are limited."""
STARTS_AFTER_LIMIT = 2
"""Starts that a task may have after that many crashes."""
CRASH_DOWN_TIME = timedelta(seconds=3)
"""Time from the crash of an executor until its VM has an executor again."""
TEAM = TeamLimits("nets", ("key-1",), 1.0, Resources(0, 0, 0))


def configuration(version=1, queues=(QUEUE,), teams=(TEAM,), pools=None):
    pools = pools or [Pool("mill"), Pool("spare", standby=True)]
    return Configuration(
        version,
        {queue.name: queue for queue in queues},
        {pool.name: pool for pool in pools},
        {team.name: team for team in teams},
        {key: team.name for team in teams for key in team.keys},
    )


class ConfigDocuments:
    """Configurations and waves encoded as msgpack of the model's types."""

    prefix = "op/"
    configuration_key = "op/config"

    def configuration(self, content):
        try:
            return msgspec.msgpack.decode(content, type=Configuration)
        except msgspec.MsgspecError as error:
            raise DocumentError(str(error)) from error

    def wave(self, key, content):
        if not key.startswith("op/wave/"):
            return None
        return msgspec.msgpack.decode(content, type=Wave)

    def evacuated_zone(self, key):
        prefix = "op/evacuate/"
        return key.removeprefix(prefix) if key.startswith(prefix) else None

    def wave_status(self, wave_id, completed):
        return f"status/{wave_id}", b"completed" if completed else b"running"


class RegistrationDocuments:
    prefix = "executors/"

    def executor(self, key, content):
        try:
            return msgspec.msgpack.decode(content, type=Executor)
        except msgspec.MsgspecError as error:
            raise DocumentError(str(error)) from error


class FakeRun:
    def __init__(self, run, saved, started, duration, lease_until):
        self.run = run
        self.saved = saved
        self.started = started
        self.duration = duration
        self.ends_at = started + duration
        self.lease_until = lease_until
        self.stops_at = None


class FakeExecutor:
    """One executor; while ``silent`` its calls get no answer and have no effect."""

    def __init__(
        self, clock, executor_id, cpu=4000, service="mill", rack="r1", zone="zone-1"
    ):
        self.clock = clock
        self.executor = Executor(
            executor_id,
            f"{executor_id}:1",
            service,
            zone,
            Resources(cpu, 64_000, 0),
            ("plain", rack),
            False,
            1,
            rack,
        )
        self.silent = False
        self.larger_capacity_until = []
        """Earlier, larger capacities in cpu, and until when they still count."""
        self.crashed = False
        """Whether it is down: calls in flight are closed, later ones refused."""
        self.starts_to_delay = 0
        """Number of next starts that get no answer and wait in ``delayed_orders``."""
        self.delayed_orders = []
        self.start_answers_to_lose = 0
        """Number of next starts that take effect but get no answer."""
        self.polls_to_lose = 0
        """Number of next polls that get no answer."""
        self.stops_to_lose = 0
        """Number of next stops that get no answer and have no effect."""
        self.crashes_on_start = False
        """Whether the next start crashes it before the run begins."""
        self.rejects_starts = False
        """Whether it answers each start as an unhealthy executor does."""
        self.fails = False
        self.stalls = False
        self.stop_time = timedelta(0)
        """How long a stop takes; the run stays listed meanwhile."""
        self.restart()

    def restart(self):
        """Lose all state, as after a crash."""
        self.born = self.clock.monotonic()
        self.incarnation = getattr(self, "incarnation", 0) + 1
        self.fence = 0
        self.runs = {}
        self.ended = []
        self.next_end_number = 1
        self.highest_run_by_task = {}

    def now(self):
        return self.clock.monotonic() - self.born

    def cpu_limit(self):
        """Return the cpu that starts must keep to; a shrunk room counts later."""
        now = self.clock.monotonic()
        larger = [cpu for cpu, until in self.larger_capacity_until if now < until]
        return max([self.executor.capacity.cpu_millis, *larger])

    def resize(self, cpu):
        """Change the capacity; return the registration that shows it."""
        before = self.executor.capacity.cpu_millis
        until = self.clock.monotonic() + SHRINK_GRACE
        self.larger_capacity_until.append((before, until))
        capacity = replace(self.executor.capacity, cpu_millis=cpu)
        self.executor = replace(self.executor, capacity=capacity)
        return self.executor

    def percent(self, task):
        run = self.runs[task]
        if run.duration > timedelta(hours=1):
            return 100 if self.now() - run.started >= LASTING_START_TIME else 50
        if self.stalls:
            return 40
        return min(99, round((self.now() - run.started) / run.duration * 100))

    def check_fence(self, fence):
        if fence < self.fence:
            raise StaleFenceError("stale")
        self.fence = fence

    def end(self, task, kind, saved=""):
        run = self.runs.pop(task)
        self.highest_run_by_task[task] = max(
            self.highest_run_by_task.get(task, 0), run.run
        )
        self.ended.append(EndedTask(self.next_end_number, task, run.run, kind, saved))
        self.next_end_number += 1

    def advance(self):
        for task, run in list(self.runs.items()):
            if run.stops_at is not None and self.now() >= run.stops_at:
                self.end(task, EndKind.STOPPED)
            elif self.now() >= run.lease_until:
                self.end(task, EndKind.LEASE_EXPIRED)
            elif self.now() >= run.ends_at and not self.stalls:
                self.end(task, EndKind.FAILED if self.fails else EndKind.DONE)


class FakeExecutors(ExecutorClient):
    """All executors; records the orders they receive and violations of invariants."""

    def __init__(self, clock, world):
        self.clock = clock
        self.world = world
        self.by_id = {}
        self.run_time = timedelta(seconds=1)
        self.lasting = set()
        self.started = []
        self.rejected_starts = 0
        self.stopped = []
        self.call_time = timedelta(0)
        """How long executors take to answer a start or a stop."""
        self.calls_under_way = Counter()
        """Starts and stops that wait for an answer, by executor and by kind."""
        self.most_under_way = Counter()
        self.sendable_calls = None
        """Starts and stops that the sender can handle at once; others fail."""
        self.polls = 0
        self.poll_waits = []
        self.violations = []
        self.deadly = set()
        """Tasks under which each executor that starts them crashes."""
        self.crash_delay = timedelta(milliseconds=20)
        """Time from the start of a deadly task to the crash."""
        self.crashes_by_task = defaultdict(int)
        self.starts_after_limit = defaultdict(int)
        self.started_deadly_at = {}
        """When an executor started a deadly task, by executor."""

    def crash(self, fake):
        """Crash an executor; its VM has an executor again after CRASH_DOWN_TIME."""
        self.started_deadly_at.pop(fake.executor.executor_id, None)
        for task in fake.runs:
            self.crashes_by_task[task] += 1
        fake.crashed = True
        fake.restart()
        self.world.returning.append((self.clock.monotonic() + CRASH_DOWN_TIME, fake))
        if self.world.vms is not None:
            self.world.vms.mark_down(fake)

    def crash_due(self):
        """Crash the executors whose deadly task has run long enough."""
        for executor_id, at in list(self.started_deadly_at.items()):
            if self.clock.monotonic() >= at + self.crash_delay:
                self.crash(self.by_id[executor_id])

    def _count_start_after_limit(self, task):
        if task not in self.deadly or (
            self.crashes_by_task[task] < CRASHES_BEFORE_LIMIT
        ):
            return
        self.starts_after_limit[task] += 1
        if self.starts_after_limit[task] > STARTS_AFTER_LIMIT:
            self.violations.append(f"{task} starts again and again")

    def _connect(self, executor):
        fake = self.by_id.get(executor.executor_id)
        if fake is None:
            raise CallNotSentError("connection refused")
        if fake.silent:
            raise CallUnansweredError("silent")
        if fake.crashed:
            raise CallNotSentError("connection refused")
        fake.advance()
        return fake

    @asynccontextmanager
    async def _call(self, kind, executor):
        """Take as long as a call does, and count it meanwhile."""
        keys = (kind, executor.executor_id), kind, "all"
        self.calls_under_way.update(keys)
        for key in keys:
            most = max(self.most_under_way[key], self.calls_under_way[key])
            self.most_under_way[key] = most
        try:
            if self.call_time:
                await self.clock.sleep(self.call_time)
            limit = self.sendable_calls
            if limit is not None and self.calls_under_way["all"] > limit:
                raise CallNotSentError("timed out in the sender's own queue")
            yield
        finally:
            self.calls_under_way.subtract(keys)

    async def start(self, executor, order, timeout, permitted):
        async with self._call("start", executor):
            return await self._start(executor, order, permitted)

    async def _start(self, executor, order, permitted):
        if not permitted():
            raise CallNotPermittedError("no longer permitted")
        self.world.check_assignment_durable(order, executor.executor_id)
        fake = self._connect(executor)
        if fake.crashes_on_start:
            fake.crashes_on_start = False
            self.crash(fake)
            raise CallClosedError("the crash broke the connection")
        if fake.starts_to_delay:
            fake.starts_to_delay -= 1
            fake.delayed_orders.append(order)
            raise CallUnansweredError("no answer")
        if fake.rejects_starts:
            self.rejected_starts += 1
            return StartAnswer.NOT_ACCEPTED, None
        self.world.check_zone(fake, order.task)
        answer = self.execute_order(fake, order)
        if fake.start_answers_to_lose:
            fake.start_answers_to_lose -= 1
            raise CallUnansweredError("the answer was lost")
        return answer, fake.now()

    def execute_order(self, fake, order):
        fake.check_fence(order.fence)
        advice = self.world.advice
        if advice is not None and not advice.is_valid_for(
            order, fake.executor.executor_id
        ):
            return StartAnswer.NO_TICKET
        if order.task in fake.runs and fake.runs[order.task].run == order.run:
            return StartAnswer.STARTED
        if order.run <= fake.highest_run_by_task.get(order.task, 0):
            return StartAnswer.STALE_RUN
        if order.lease_until <= fake.now():
            return StartAnswer.TOO_LATE
        for other in self.by_id.values():
            other.advance()
            if order.task in other.runs:
                self.violations.append(f"{order.task} runs twice")
        if any(task == order.task for task, _ in self.world.done):
            self.violations.append(f"{order.task} starts after it was done")
        lasts = order.task.split(".")[0] in self.lasting
        duration = timedelta(days=1) if lasts else self.run_time
        until = min(order.lease_until, fake.now() + MAX_LEASE)
        fake.runs[order.task] = FakeRun(
            order.run, order.saved, fake.now(), duration, until
        )
        self.started.append((order.task, order.run, fake.executor.executor_id))
        self._count_start_after_limit(order.task)
        if order.task in self.deadly:
            self.started_deadly_at.setdefault(
                fake.executor.executor_id, self.clock.monotonic()
            )
        used = sum(self.world.cpu_millis_of(task) for task in fake.runs)
        if used > fake.cpu_limit():
            self.violations.append(f"{fake.executor.executor_id} exceeds its capacity")
        return StartAnswer.STARTED

    def execute_delayed_orders(self, fake):
        """Execute the delayed start orders."""
        for order in fake.delayed_orders:
            try:
                self.execute_order(fake, order)
            except StaleFenceError:
                continue
        fake.delayed_orders = []

    async def stop(self, executor, task, run, fence, timeout):
        async with self._call("stop", executor):
            await self._stop(executor, task, run, fence)

    async def _stop(self, executor, task, run, fence):
        fake = self._connect(executor)
        if fake.stops_to_lose:
            fake.stops_to_lose -= 1
            raise CallUnansweredError("no answer")
        fake.check_fence(fence)
        self.stopped.append((task, run))
        fake.highest_run_by_task[task] = max(fake.highest_run_by_task.get(task, 0), run)
        running = fake.runs.get(task)
        if running is None or running.run != run or running.stops_at is not None:
            return
        self.world.record_stopped_tasks(fake, [task])
        running.stops_at = fake.now() + fake.stop_time
        fake.advance()

    async def poll(self, executor, *, fence, acknowledged, lease_until, wait, timeout):
        self.polls += 1
        self.poll_waits.append(wait)
        deadline = self.clock.monotonic() + wait
        times_out_at = self.clock.monotonic() + timeout
        incarnation = None
        target = self.by_id.get(executor.executor_id)
        if target is not None and target.polls_to_lose:
            target.polls_to_lose -= 1
            await self.clock.sleep(timeout)
            raise CallUnansweredError("lost")
        while True:
            fake = self.by_id.get(executor.executor_id)
            if fake is not None and incarnation not in (None, fake.incarnation):
                raise CallClosedError("the crash broke the connection")
            incarnation = fake.incarnation if fake is not None else None
            if fake is not None and fake.silent:
                await self.clock.sleep(times_out_at - self.clock.monotonic())
                raise CallUnansweredError("silent")
            fake = self._connect(executor)
            fake.check_fence(fence)
            for end in fake.ended:
                if end.number <= acknowledged and end.kind is EndKind.DONE:
                    self.world.done.add((end.task, end.run))
                    self.world.check_end_durable(end.task)
            fake.ended = [e for e in fake.ended if e.number > acknowledged]
            if lease_until is not None:
                until = min(lease_until, fake.now() + MAX_LEASE)
                for run in fake.runs.values():
                    run.lease_until = max(run.lease_until, until)
            if fake.ended or self.clock.monotonic() >= deadline:
                break
            await self.clock.sleep(STEP)
        rows = tuple(
            RunningTask(task, run.run, run.saved, fake.percent(task), 0)
            for task, run in fake.runs.items()
        )
        return ExecutorReport(
            fake.now(), fake.incarnation, rows, tuple(fake.ended), False, False
        )

    async def limit_cpu(self, executor, task, run, percent, fence, timeout):
        self._connect(executor).check_fence(fence)


class FakeAdvice(AdviceService):
    """Allows steps on some executors, with tickets that expire."""

    def __init__(self, world, allowed, valid=timedelta(seconds=3)):
        self.world = world
        self.allowed = allowed
        self.valid = valid
        self.requests = []
        self.expires_at_by_ticket = {}

    async def advise(self, step, executors, timeout):
        self.requests.append((step, tuple(executors)))
        await self.world.clock.sleep(STEP)
        number = len(self.requests)
        tickets = {e: f"{step}/{e}/{number}" for e in executors if e in self.allowed}
        until = self.world.clock.monotonic() + self.valid
        self.expires_at_by_ticket.update((ticket, until) for ticket in tickets.values())
        return Advice(tickets, self.valid)

    def is_valid_for(self, order, executor_id):
        step = order.task.rpartition(".")[0]
        until = self.expires_at_by_ticket.get(order.ticket, timedelta(0))
        matches = order.ticket.startswith(f"{step}/{executor_id}/")
        return matches and self.world.clock.monotonic() < until


class World:
    """The environment of a placing term, with faults that tests inject."""

    def __init__(self, executors=2, cpu=4000, zones=1):
        self.clock = ManualClock()
        self.store = FaultyStore(self.clock)
        self.done = set()
        self.specs_by_job = {}
        self.client = FakeExecutors(self.clock, self)
        self.follower = ConfigurationFollower(self.clock, self.store, ConfigDocuments())
        self.job_service = JobService(self.clock, self.store, self.follower)
        writer = LogWriter(self.clock)
        self.decision_log = JobDecisionLog(self.clock, writer, "daemon-1")
        self.fake_executors = [
            FakeExecutor(
                self.clock,
                f"e-{n}",
                cpu,
                rack=f"r{n % 2}",
                zone=f"zone-{n % zones + 1}",
            )
            for n in range(executors)
        ]
        for fake in self.fake_executors:
            self.client.by_id[fake.executor.executor_id] = fake
        self.epoch = 0
        self.new_vm_controller = None
        self.advice = None
        self.pending_registrations = []
        """Registrations to write, or to delete if the content is None."""
        self.lasting_tasks = 0
        self.evacuated_at_by_zone = {}
        """When the store confirmed each evacuation that is in force."""
        self.stop_time = timedelta(0)
        """How long stops take at executors that join later."""
        self.stopped_lasting_tasks = set()
        """Lasting tasks stopped by an order and not available again yet."""
        self.policy = None
        self.registrations = RegistrationDocuments()
        self.returning = []
        """Crashed executors and when their VMs have an executor again."""
        self.vms = None
        self.memory_for_jobs = 0
        """Bytes that stored jobs may take, 0 for any number."""
        self.role_confirmed = False
        """Whether the store confirms the renewals of the placing role."""
        self.ids_reused = False
        """Whether the deployment states that executors restart under the same id."""

    def cpu_millis_of(self, task):
        job, _, step, _ = task.split(".")
        return self.specs_by_job[job].steps[int(step)].cpu_millis

    def _record_tasks_at_work(self):
        for fake in self.fake_executors:
            self.stopped_lasting_tasks -= {
                task
                for task, run in fake.runs.items()
                if task.split(".")[0] in self.client.lasting
                and fake.percent(task) >= 100
                and run.stops_at is None
            }

    def record_stopped_tasks(self, fake, tasks):
        """Check that a lasting step has no more unavailable tasks than allowed."""
        self._record_tasks_at_work()
        for task in tasks:
            job, _, number, _ = task.split(".")
            step = self.specs_by_job[job].steps[int(number)]
            cancelled = self.entry(layout.CANCELS + job) is not None
            if not step.lasting or cancelled:
                continue
            name = task.rpartition(".")[0]
            away = {t for t in self.stopped_lasting_tasks if t.startswith(f"{name}.")}
            at_work = fake.percent(task) >= 100
            if at_work and len(away - {task}) >= max(1, step.may_be_away):
                self.client.violations.append(
                    f"{task} is stopped while {away} are unavailable"
                )
            self.stopped_lasting_tasks.add(task)

    async def evacuate(self, zone):
        await self.put(f"op/evacuate/{zone}", b"{}")
        self.evacuated_at_by_zone.setdefault(zone, self.clock.monotonic())

    async def readmit(self, zone):
        self.evacuated_at_by_zone.pop(zone, None)
        key = f"op/evacuate/{zone}"
        await self.store.commit(Transaction((), (Delete(key),)))

    async def readmit_during_outage(self, zone):
        """Readmit a zone while the daemons cannot reach the store."""
        self.evacuated_at_by_zone.pop(zone, None)
        change = Transaction((), (Delete(f"op/evacuate/{zone}"),))
        await MemoryStore.commit(self.store, change)

    def check_zone(self, fake, task):
        """Check that nothing is started in a zone after the bound on evacuations."""
        at = self.evacuated_at_by_zone.get(fake.executor.availability_zone)
        if at is not None and self.clock.monotonic() > at + DEFAULT_EVACUATION_BOUND:
            self.client.violations.append(f"{task} starts in an evacuated zone")

    def entry(self, key):
        return self.store._entries_by_key.get(key)

    def rows(self, job):
        entry = self.entry(layout.RUNS + job)
        return [] if entry is None else msgspec.msgpack.decode(entry.value)[1]

    def check_assignment_durable(self, order, executor_id):
        """Check that an assignment was stored before its start is sent."""
        job, _, step, index = order.task.split(".")
        for _, number, rows, *_ in self.rows(job):
            for row in rows:
                same = number == int(step) and row[0] == int(index)
                if same and row[2] == order.run and row[4] == executor_id:
                    return
        self.client.violations.append(f"{order.task} was ordered before it was stored")

    def check_end_durable(self, task):
        """Check that an end was stored before it is acknowledged."""
        job, _, step, index = task.split(".")
        if self.state(job) in FINAL_STATES:
            return
        for _, number, rows, *_ in self.rows(job):
            for row in rows:
                if number == int(step) and row[0] == int(index) and row[1] == 2:
                    return
        self.client.violations.append(f"{task} was acknowledged before it was stored")

    def state(self, job):
        entry = self.entry(layout.RUNS + job)
        if entry is None:
            return JobState.PENDING
        return JobState(msgspec.msgpack.decode(entry.value)[0])

    async def put(self, key, value):
        content = value if isinstance(value, bytes) else msgspec.msgpack.encode(value)
        await self.store.commit(Transaction((), (Put(key, content),)))

    async def publish(self, config):
        await self.put("op/config", config)
        await settle()

    async def submit(self, job, *steps, queue=QUEUE, team=TEAM.name, **fields):
        spec = JobSpec("payload", tuple(steps or [StepSpec(1, 1000, 100)]), **fields)
        self.specs_by_job[job] = spec
        if any(step.lasting for step in spec.steps):
            self.client.lasting.add(job)

        def authorize():
            return AuthorizedCall(queue, team, self.follower.revision)

        deadline = self.clock.monotonic() + timedelta(seconds=3)
        await self.job_service.submit(job, spec, authorize, deadline)

    def manage_vms(self, standby=0):
        """Let the terms manage VMs, and return the fake VM service."""
        vms = self.vms = FakeVms(self, standby)

        def new_vm_controller(term):
            return VmController(
                self.clock,
                self.store,
                self.follower,
                vms,
                ConfigDocuments(),
                self.decision_log,
                term,
                "daemon-1",
                term.role,
                term.guard,
                maintenance_time=FakeVms.OPERATION_TIME,
                move_time=FakeVms.OPERATION_TIME,
                takeover_pause=timedelta(seconds=3),
            )

        self.new_vm_controller = new_vm_controller
        return vms

    async def new_term(self):
        self.epoch += 1
        await self.put(EPOCH_KEY, self.epoch)
        revision = self.entry(EPOCH_KEY).mod_revision
        role = HeldRole(
            self.epoch,
            revision,
            self.clock.monotonic(),
            is_confirmed=lambda: self.role_confirmed,
        )
        guard = Compare(EPOCH_KEY, revision)
        registry = ExecutorRegistry(self.clock, self.store, self.registrations)
        return PlacingTerm(
            self.clock,
            self.store,
            self.follower,
            registry,
            self.client,
            self.decision_log,
            role,
            guard,
            timedelta(seconds=60),
            self.new_vm_controller,
            self.advice,
            ids_reused=self.ids_reused,
            policy=self.policy,
            memory_for_jobs=lambda: self.memory_for_jobs,
        )

    def _return_crashed(self):
        """Let crashed executors return: as new ones where VMs are managed."""
        now = self.clock.monotonic()
        for at, fake in list(self.returning):
            if now < at:
                continue
            self.returning.remove((at, fake))
            executor_id = fake.executor.executor_id
            if self.vms is not None:
                self.client.by_id.pop(executor_id, None)
                self.fake_executors.remove(fake)
                self.pending_registrations.append((f"executors/{executor_id}", None))
                self.vms.return_to_service(fake.executor.vm)
                continue
            fake.crashed = False
            fake.executor = replace(fake.executor, incarnation=fake.incarnation)
            content = msgspec.msgpack.encode(fake.executor)
            self.pending_registrations.append((f"executors/{executor_id}", content))

    async def run_for(self, seconds, until=None):
        """Advance the clock; return True early once ``until`` returns True."""
        for _ in range(round(seconds / STEP.total_seconds())):
            await settle(40)
            while self.pending_registrations and not self.store.down:
                key, content = self.pending_registrations.pop(0)
                change = Delete(key) if content is None else Put(key, content)
                await self.store.commit(Transaction((), (change,)))
            if until is not None and until():
                return True
            self._record_tasks_at_work()
            self.client.crash_due()
            self._return_crashed()
            self.clock.advance(STEP)
        await settle(40)
        return until is not None and until()

    @asynccontextmanager
    async def term(self):
        """Run one term in the background."""
        term = await self.new_term()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(term.run)
            await settle()
            yield term
            tasks.cancel_scope.cancel()

    @asynccontextmanager
    async def running(self):
        """Run the follower and a first term; check for violations at the end."""
        await self.publish(configuration())
        for fake in self.fake_executors:
            await self.put(f"executors/{fake.executor.executor_id}", fake.executor)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            await settle()
            async with self.term() as term:
                yield term
            tasks.cancel_scope.cancel()
        assert self.client.violations == [], self.client.violations


class FakeVms(VmService):
    """VMs of the fake executors; an operation gives a VM a new executor."""

    OPERATION_TIME = timedelta(seconds=2)
    OPERATION_DELAY = timedelta(seconds=0.3)

    def __init__(self, world, standby=0):
        self.world = world
        self.vms = {}
        self.available_at_by_vm = {}
        self.fence_by_vm = {}
        """Highest fencing token that was used for each VM."""
        self.returns = 0
        self.unavailable = False
        """Whether the list cannot be read and no operation is accepted."""
        self.lost_answers = 0
        """Number of next operations that take effect but get no answer."""
        self.operations_to_delay = 0
        """Number of next operations that get no answer and take effect later."""
        self.delayed_operations = []
        """Time and arguments of each operation that is still to take effect."""
        self.list_lag = timedelta(0)
        """Age of what the list shows."""
        self._snapshots = []
        self.unlisted_vms = set()
        """VMs that are missing from the list."""
        self.maintained = []
        self.moves = []
        self.down_at_once = 0
        self.max_unavailable = 0
        self.conflicting_orders = []
        """Orders that two role holders sent for one VM within 3 s."""
        self.last_order_by_vm = {}
        self.ordered_at = defaultdict(list)
        self.capacity_by_vm = {}
        self.rack_by_vm = {}
        for fake in world.fake_executors:
            vm = f"vm-{fake.executor.executor_id}"
            executor = fake.executor = replace(fake.executor, vm=vm)
            self.capacity_by_vm[vm] = executor.capacity.cpu_millis
            self.rack_by_vm[vm] = executor.rack
            self.vms[vm] = PoolVm(
                vm,
                executor.service,
                VmState.UP,
                executor.executor_id,
                availability_zone=executor.availability_zone,
            )
        zones = sorted({f.executor.availability_zone for f in world.fake_executors})
        for number in range(standby):
            self.vms[f"vm-s{number}"] = PoolVm(
                f"vm-s{number}",
                "spare",
                VmState.UP,
                "",
                availability_zone=zones[number % len(zones)],
            )

    async def list(self):
        self.advance()
        await anyio.lowlevel.checkpoint()
        self._check_available()
        now = self.world.clock.monotonic()
        self._snapshots.append((now, tuple(self.vms.values())))
        old_enough = [vms for at, vms in self._snapshots if at <= now - self.list_lag]
        vms = old_enough[-1] if old_enough else self._snapshots[0][1]
        return tuple(vm for vm in vms if vm.name not in self.unlisted_vms)

    def crash(self, executor_id):
        """Make an executor silent and list its VM as down."""
        fake = self.world.client.by_id[executor_id]
        fake.silent = True
        fake.runs.clear()
        vm = next(v for v in self.vms.values() if v.executor_id == executor_id)
        self.vms[vm.name] = replace(vm, state=VmState.DOWN, executor_id="")

    def advance(self):
        """Carry out what is due, as the world's time moves on."""
        now = self.world.clock.monotonic()
        due = [one for one in self.delayed_operations if one[0] <= now]
        self.delayed_operations = [
            one for one in self.delayed_operations if one[0] > now
        ]
        for _, vm, pool, state, fence in due:
            up = self.vms[vm].state is VmState.UP
            if up and fence >= self.fence_by_vm.get(vm, 0):
                self._detach_executor(vm, pool, state)
            elif state is VmState.IN_MAINTENANCE:
                self.maintained = [one for one in self.maintained if one[0] != vm]
        for name, at in list(self.available_at_by_vm.items()):
            if self.world.clock.monotonic() >= at:
                del self.available_at_by_vm[name]
                self.return_to_service(name)

    def mark_down(self, fake):
        """List the VM of a crashed executor as down."""
        vm = self.vms[fake.executor.vm]
        self.vms[vm.name] = replace(vm, state=VmState.DOWN, executor_id="")

    def return_to_service(self, name):
        """Give a VM a new executor."""
        vm = self.vms[name]
        if vm.pool == "spare":
            self.vms[name] = replace(vm, state=VmState.UP, executor_id="")
            return
        self.returns += 1
        executor_id = f"{name}-{self.returns}"
        fake = FakeExecutor(
            self.world.clock,
            executor_id,
            self.capacity_by_vm.get(name, 4000),
            service=vm.pool,
            rack=self.rack_by_vm.get(name, "r1"),
            zone=vm.availability_zone,
        )
        fake.incarnation += self.returns
        fake.executor = replace(fake.executor, vm=name, incarnation=fake.incarnation)
        fake.stop_time = self.world.stop_time
        self.world.client.by_id[executor_id] = fake
        self.world.fake_executors.append(fake)
        self.vms[name] = replace(vm, state=VmState.UP, executor_id=executor_id)
        key = f"executors/{executor_id}"
        entry = msgspec.msgpack.encode(fake.executor)
        self.world.pending_registrations.append((key, entry))

    def _detach_executor(self, name, pool, state):
        vm = self.vms[name]
        fake = self.world.client.by_id.pop(vm.executor_id, None)
        if fake is not None:
            fake.advance()
            self.world.record_stopped_tasks(fake, list(fake.runs))
            fake.runs.clear()
            self.world.fake_executors.remove(fake)
            self.world.pending_registrations.append(
                (f"executors/{vm.executor_id}", None)
            )
        self.vms[name] = replace(vm, pool=pool, state=state, executor_id="")
        self.available_at_by_vm[name] = (
            self.world.clock.monotonic() + self.OPERATION_TIME
        )

    def _check_available(self):
        if self.unavailable:
            raise CallUnansweredError("no answer")

    async def _check_order(self, fence, vm):
        self._check_available()
        self.advance()
        now = self.world.clock.monotonic()
        before, at = self.last_order_by_vm.get(vm, (fence, now))
        if before != fence and now < at + timedelta(seconds=3):
            self.conflicting_orders.append((vm, before, fence))
        self.last_order_by_vm[vm] = (fence, now)
        self.ordered_at[vm].append(now)
        if fence < self.fence_by_vm.get(vm, 0):
            raise StaleFenceError("stale")
        self.fence_by_vm[vm] = fence
        await anyio.lowlevel.checkpoint()

    def _delays(self, vm, pool, state, fence):
        """Tell whether an operation is delayed, and schedule it if so."""
        if not self.operations_to_delay:
            return False
        self.operations_to_delay -= 1
        at = self.world.clock.monotonic() + self.OPERATION_DELAY
        self.delayed_operations.append((at, vm, pool, state, fence))
        return True

    async def _answer(self):
        if self.lost_answers:
            self.lost_answers -= 1
            raise CallUnansweredError("no answer")
        return VmAnswer.DONE

    async def maintain(self, vm, wave, holder, fence):
        await self._check_order(fence, vm)
        if (vm, wave) in self.maintained:
            return VmAnswer.DONE
        if vm not in self.vms:
            return VmAnswer.INVALID
        if self.vms[vm].state is not VmState.UP:
            return VmAnswer.BUSY
        self.maintained.append((vm, wave))
        pool = self.vms[vm].pool
        if self._delays(vm, pool, VmState.IN_MAINTENANCE, fence):
            raise CallUnansweredError("no answer")
        self._detach_executor(vm, self.vms[vm].pool, VmState.IN_MAINTENANCE)
        self.down_at_once = max(self.down_at_once, len(self.available_at_by_vm))
        away = self.world.lasting_tasks - sum(
            task.split(".")[0] in self.world.client.lasting
            for fake in self.world.fake_executors
            for task in fake.runs
        )
        self.max_unavailable = max(self.max_unavailable, away)
        return await self._answer()

    async def move(self, vm, pool, holder, fence):
        await self._check_order(fence, vm)
        if self.vms[vm].pool == pool:
            return VmAnswer.DONE
        if self.vms[vm].state is not VmState.UP:
            return VmAnswer.BUSY
        self.moves.append((vm, pool))
        if self._delays(vm, pool, VmState.MOVING, fence):
            raise CallUnansweredError("no answer")
        self._detach_executor(vm, pool, VmState.MOVING)
        return await self._answer()
