"""A yard in virtual time: executors with leases and fences, a store, one term."""

from __future__ import annotations

from collections import defaultdict
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import msgspec

from pomeloyard.batch import layout
from pomeloyard.batch.advice import Advice, AdviceService
from pomeloyard.batch.decisions import DecisionLines
from pomeloyard.batch.executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    Report,
    RunningTask,
    StartAnswer,
)
from pomeloyard.batch.follow import DocumentError, OperatorFollower
from pomeloyard.batch.intake import Authorized, Intake
from pomeloyard.batch.model import (
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
from pomeloyard.batch.progress import EndKind
from pomeloyard.batch.registry import ExecutorRegistry
from pomeloyard.batch.term import PlacingTerm
from pomeloyard.batch.vm_keeper import VmKeeper
from pomeloyard.batch.vms import PoolVm, VmAnswer, VmService, VmState
from pomeloyard.clock import ManualClock
from pomeloyard.errors import (
    CallNotSentError,
    CallUnansweredError,
    StaleFenceError,
)
from pomeloyard.keyvalue.store import Compare, Delete, Put, Transaction
from pomeloyard.logs import LogWriter
from pomeloyard.roles import HeldRole

from .job_fakes import FaultyStore, settle

STEP = timedelta(milliseconds=50)
HOLD_MAX = timedelta(seconds=10)
LASTING_START = timedelta(seconds=0.9)
"""A lasting task is at work this long after its start."""
EPOCH_KEY = "epochs/placing"
QUEUE = Queue("cuts", "desk.example", "/cuts/", "mill", max_attempts=3, stretch=1.6)
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
    """Operators' documents as msgpack of the product's own types."""

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

    def wave_status(self, wave_id, completed):
        return f"status/{wave_id}", b"completed" if completed else b"running"


class RegistrationDocuments:
    prefix = "executors/"

    def executor(self, key, content):
        try:
            return msgspec.msgpack.decode(content, type=Executor)
        except msgspec.MsgspecError as error:
            raise DocumentError(str(error)) from error


class Run:
    def __init__(self, run, saved, started, takes, lease_until):
        self.run = run
        self.saved = saved
        self.started = started
        self.takes = takes
        self.ends_at = started + takes
        self.lease_until = lease_until


class FakeExecutor:
    """One executor; ``silent`` calls get no answer and have no effect."""

    def __init__(self, clock, executor_id, cpu=4000, service="mill", rack="r1"):
        self.clock = clock
        self.executor = Executor(
            executor_id,
            f"{executor_id}:1",
            service,
            "zone-1",
            Resources(cpu, 64_000, 0),
            ("plain", rack),
            False,
            1,
            rack,
        )
        self.silent = False
        self.swallow_starts = 0
        """Starts that get no answer and are kept for ``carry_out_late``."""
        self.kept_orders = []
        self.lose_start_answers = 0
        """Starts that are carried out at once and get no answer."""
        self.lose_looks = 0
        """Looks that get no answer, as a spell of lost calls does."""
        self.fails = False
        self.stalls = False
        self.restart()

    def restart(self):
        """Lose everything, as after a crash."""
        self.born = self.clock.monotonic()
        self.incarnation = getattr(self, "incarnation", 0) + 1
        self.fence = 0
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.highest_run = {}

    def now(self):
        return self.clock.monotonic() - self.born

    def percent(self, task):
        run = self.runs[task]
        if run.takes > timedelta(hours=1):
            return 100 if self.now() - run.started >= LASTING_START else 50
        if self.stalls:
            return 40
        return min(99, round((self.now() - run.started) / run.takes * 100))

    def check_fence(self, fence):
        if fence < self.fence:
            raise StaleFenceError("stale")
        self.fence = fence

    def end(self, task, kind, saved=""):
        run = self.runs.pop(task)
        self.highest_run[task] = max(self.highest_run.get(task, 0), run.run)
        self.ended.append(EndedTask(self.next_end, task, run.run, kind, saved))
        self.next_end += 1

    def advance(self):
        for task, run in list(self.runs.items()):
            if self.now() >= run.lease_until:
                self.end(task, EndKind.LAPSED)
            elif self.now() >= run.ends_at and not self.stalls:
                self.end(task, EndKind.FAILED if self.fails else EndKind.DONE)


class FakeExecutors(ExecutorClient):
    """All executors, and an audit of what they were told."""

    def __init__(self, clock, world):
        self.clock = clock
        self.world = world
        self.by_id = {}
        self.run_time = timedelta(seconds=1)
        self.lasting = set()
        self.started = []
        self.stopped = []
        self.looks = 0
        self.waits = []
        self.violations = []

    def _reach(self, executor):
        fake = self.by_id.get(executor.executor_id)
        if fake is None:
            raise CallNotSentError("nobody listens")
        if fake.silent:
            raise CallUnansweredError("silent")
        fake.advance()
        return fake

    async def start(self, executor, order, timeout):
        self.world.check_durable(order, executor.executor_id)
        fake = self._reach(executor)
        if fake.swallow_starts:
            fake.swallow_starts -= 1
            fake.kept_orders.append(order)
            raise CallUnansweredError("no answer")
        answer = self.carry_out(fake, order)
        if fake.lose_start_answers:
            fake.lose_start_answers -= 1
            raise CallUnansweredError("the answer was lost")
        return answer, fake.now()

    def carry_out(self, fake, order):
        fake.check_fence(order.fence)
        advice = self.world.advice
        if advice is not None and not advice.holds(order, fake.executor.executor_id):
            return StartAnswer.NO_TICKET
        if order.task in fake.runs and fake.runs[order.task].run == order.run:
            return StartAnswer.STARTED
        if order.run <= fake.highest_run.get(order.task, 0):
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
        takes = timedelta(days=1) if lasts else self.run_time
        until = min(order.lease_until, fake.now() + HOLD_MAX)
        fake.runs[order.task] = Run(order.run, order.saved, fake.now(), takes, until)
        self.started.append((order.task, order.run, fake.executor.executor_id))
        used = sum(self.world.cpu_of(task) for task in fake.runs)
        if used > fake.executor.capacity.cpu_millis:
            self.violations.append(f"{fake.executor.executor_id} is over its room")
        return StartAnswer.STARTED

    def carry_out_late(self, fake):
        """Carry out the orders that were kept."""
        for order in fake.kept_orders:
            try:
                self.carry_out(fake, order)
            except StaleFenceError:
                continue
        fake.kept_orders = []

    async def stop(self, executor, task, run, fence, timeout):
        fake = self._reach(executor)
        fake.check_fence(fence)
        self.stopped.append((task, run))
        if task in fake.runs and fake.runs[task].run == run:
            self.world.note_ended_by_order(fake, [task])
        fake.highest_run[task] = max(fake.highest_run.get(task, 0), run)
        if task in fake.runs and fake.runs[task].run == run:
            fake.end(task, EndKind.STOPPED)

    async def look(self, executor, *, fence, acknowledged, lease_until, wait, timeout):
        self.looks += 1
        self.waits.append(wait)
        deadline = self.clock.monotonic() + wait
        gives_up = self.clock.monotonic() + timeout
        life = None
        target = self.by_id.get(executor.executor_id)
        if target is not None and target.lose_looks:
            target.lose_looks -= 1
            await self.clock.sleep(timeout)
            raise CallUnansweredError("lost")
        while True:
            fake = self.by_id.get(executor.executor_id)
            if fake is not None and life not in (None, fake.incarnation):
                raise CallUnansweredError("the crash broke the connection")
            life = fake.incarnation if fake is not None else None
            if fake is not None and fake.silent:
                await self.clock.sleep(gives_up - self.clock.monotonic())
            fake = self._reach(executor)
            fake.check_fence(fence)
            for end in fake.ended:
                if end.number <= acknowledged and end.kind is EndKind.DONE:
                    self.world.done.add((end.task, end.run))
                    self.world.check_end_durable(end.task)
            fake.ended = [e for e in fake.ended if e.number > acknowledged]
            if lease_until is not None:
                until = min(lease_until, fake.now() + HOLD_MAX)
                for run in fake.runs.values():
                    run.lease_until = max(run.lease_until, until)
            if fake.ended or self.clock.monotonic() >= deadline:
                break
            await self.clock.sleep(STEP)
        rows = tuple(
            RunningTask(task, run.run, run.saved, fake.percent(task), 0)
            for task, run in fake.runs.items()
        )
        return Report(
            fake.now(), fake.incarnation, rows, tuple(fake.ended), False, False
        )

    async def pace(self, executor, task, run, percent, fence, timeout):
        self._reach(executor).check_fence(fence)


class FakeAdvice(AdviceService):
    """Lets a step run on some executors, with tickets that expire."""

    def __init__(self, world, good, valid=timedelta(seconds=3)):
        self.world = world
        self.good = good
        self.valid = valid
        self.questions = []
        self.expiry = {}

    async def advise(self, step, executors, timeout):
        self.questions.append((step, tuple(executors)))
        await self.world.clock.sleep(STEP)
        number = len(self.questions)
        tickets = {e: f"{step}/{e}/{number}" for e in executors if e in self.good}
        until = self.world.clock.monotonic() + self.valid
        self.expiry.update((ticket, until) for ticket in tickets.values())
        return Advice(tickets, self.valid)

    def holds(self, order, executor_id):
        step = order.task.rpartition(".")[0]
        until = self.expiry.get(order.ticket, timedelta(0))
        mine = order.ticket.startswith(f"{step}/{executor_id}/")
        return mine and self.world.clock.monotonic() < until


class World:
    """Everything around a term."""

    def __init__(self, executors=2, cpu=4000):
        self.clock = ManualClock()
        self.store = FaultyStore(self.clock)
        self.done = set()
        self.specs = {}
        self.client = FakeExecutors(self.clock, self)
        self.follower = OperatorFollower(self.clock, self.store, ConfigDocuments())
        self.intake = Intake(self.clock, self.store, self.follower)
        writer = LogWriter(self.clock)
        self.lines = DecisionLines(self.clock, writer, "daemon-1")
        self.fakes = [
            FakeExecutor(self.clock, f"e-{n}", cpu, rack=f"r{n % 2}")
            for n in range(executors)
        ]
        for fake in self.fakes:
            self.client.by_id[fake.executor.executor_id] = fake
        self.epoch = 0
        self.new_keeper = None
        self.advice = None
        self.arrivals = []
        """Registrations to write or, with None, to delete."""
        self.lasting_tasks = 0
        self.ended_by_order = set()
        """Lasting tasks that an order has ended and that are not at work again."""
        self.policy = None
        self.ids_kept = False
        """Whether the deployment says that executors keep their ids."""

    def cpu_of(self, task):
        job, _, step, _ = task.split(".")
        return self.specs[job].steps[int(step)].cpu_millis

    def note_ended_by_order(self, fake, tasks):
        """Check that no more of a lasting step is away than may be."""
        for other in self.fakes:
            at_work = {task for task in other.runs if other.percent(task) >= 100}
            self.ended_by_order -= at_work
        final = (JobState.CANCELLED, JobState.FAILED)
        for task in tasks:
            job, _, number, _ = task.split(".")
            step = self.specs[job].steps[int(number)]
            if not step.lasting or self.state(job) in final:
                continue
            name = task.rpartition(".")[0]
            away = {t for t in self.ended_by_order if t.startswith(f"{name}.")}
            at_work = fake.percent(task) >= 100
            if at_work and len(away - {task}) >= max(1, step.may_be_away):
                self.client.violations.append(f"{task} is ended while {away} are away")
            self.ended_by_order.add(task)

    def entry(self, key):
        return self.store._entries_by_key.get(key)

    def rows(self, job):
        entry = self.entry(layout.RUNS + job)
        return [] if entry is None else msgspec.msgpack.decode(entry.value)[1]

    def check_durable(self, order, executor_id):
        """Every order was stored before it is sent."""
        job, _, step, index = order.task.split(".")
        for _, number, rows, _ in self.rows(job):
            for row in rows:
                same = number == int(step) and row[0] == int(index)
                if same and row[2] == order.run and row[4] == executor_id:
                    return
        self.client.violations.append(f"{order.task} was ordered before it was stored")

    def check_end_durable(self, task):
        """Every end is stored before it is acknowledged."""
        job, _, step, index = task.split(".")
        if self.state(job) in (JobState.COMPLETED, JobState.CANCELLED):
            return
        for _, number, rows, _ in self.rows(job):
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

    async def submit(self, job, *steps, queue=QUEUE, **fields):
        spec = JobSpec("payload", tuple(steps or [StepSpec(1, 1000, 100)]), **fields)
        self.specs[job] = spec
        if any(step.lasting for step in spec.steps):
            self.client.lasting.add(job)

        def authorize():
            return Authorized(queue, TEAM.name, self.follower.revision)

        deadline = self.clock.monotonic() + timedelta(seconds=3)
        await self.intake.submit(job, spec, authorize, deadline)

    def keep_vms(self, standby=0):
        """Give the terms a keeper and return the VMs."""
        vms = FakeVms(self, standby)

        def new_keeper(term):
            return VmKeeper(
                self.clock,
                self.store,
                self.follower,
                vms,
                ConfigDocuments(),
                self.lines,
                term,
                "daemon-1",
                term.role,
                term.guard,
                upkeep_time=FakeVms.OPERATION_TIME,
                move_time=FakeVms.OPERATION_TIME,
                takeover_pause=timedelta(seconds=3),
            )

        self.new_keeper = new_keeper
        return vms

    async def new_term(self):
        self.epoch += 1
        await self.put(EPOCH_KEY, self.epoch)
        revision = self.entry(EPOCH_KEY).mod_revision
        role = HeldRole(self.epoch, revision, self.clock.monotonic())
        guard = Compare(EPOCH_KEY, revision)
        registry = ExecutorRegistry(self.clock, self.store, RegistrationDocuments())
        return PlacingTerm(
            self.clock,
            self.store,
            self.follower,
            registry,
            self.client,
            self.lines,
            role,
            guard,
            timedelta(seconds=60),
            self.new_keeper,
            self.advice,
            ids_kept=self.ids_kept,
            policy=self.policy,
        )

    async def drive(self, seconds, until=None):
        """Let time pass, or return early once ``until`` holds."""
        for _ in range(round(seconds / STEP.total_seconds())):
            await settle(40)
            while self.arrivals:
                key, content = self.arrivals.pop(0)
                change = Delete(key) if content is None else Put(key, content)
                await self.store.commit(Transaction((), (change,)))
            if until is not None and until():
                return True
            self.clock.advance(STEP)
        await settle(40)
        return until is not None and until()

    @asynccontextmanager
    async def term(self):
        """Run one term."""
        term = await self.new_term()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(term.run)
            await settle()
            yield term
            tasks.cancel_scope.cancel()

    @asynccontextmanager
    async def running(self):
        """Run the followers and the first term; check the audit at the end."""
        await self.publish(configuration())
        for fake in self.fakes:
            await self.put(f"executors/{fake.executor.executor_id}", fake.executor)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            await settle()
            async with self.term() as term:
                yield term
            tasks.cancel_scope.cancel()
        assert self.client.violations == [], self.client.violations


class FakeVms(VmService):
    """VMs of the fakes' executors; an operation gives a VM a new executor."""

    OPERATION_TIME = timedelta(seconds=2)

    def __init__(self, world, standby=0):
        self.world = world
        self.vms = {}
        self.back_at = {}
        self.fence = 0
        self.swallow = 0
        """Operations that are carried out and not answered."""
        self.hidden = set()
        """VMs that the list leaves out."""
        self.maintained = []
        self.moves = []
        self.down_at_once = 0
        self.most_away = 0
        self.turns = []
        """Orders of two holders for one VM within the time that forbids it."""
        self.last_order = {}
        self.ordered_at = defaultdict(list)
        for fake in world.fakes:
            vm = f"vm-{fake.executor.executor_id}"
            self.vms[vm] = PoolVm(
                vm, fake.executor.service, VmState.UP, fake.executor.executor_id
            )
        for number in range(standby):
            self.vms[f"vm-s{number}"] = PoolVm(f"vm-s{number}", "spare", VmState.UP, "")

    async def list(self):
        self._advance()
        await anyio.lowlevel.checkpoint()
        return tuple(vm for vm in self.vms.values() if vm.name not in self.hidden)

    def crash(self, executor_id):
        """Let an executor go dark and its VM be listed as down."""
        fake = self.world.client.by_id[executor_id]
        fake.silent = True
        fake.runs.clear()
        vm = next(v for v in self.vms.values() if v.executor_id == executor_id)
        self.vms[vm.name] = replace(vm, state=VmState.DOWN, executor_id="")

    def _advance(self):
        for name, at in list(self.back_at.items()):
            if self.world.clock.monotonic() >= at:
                del self.back_at[name]
                self._revive(name)

    def _revive(self, name):
        vm = self.vms[name]
        if vm.pool == "spare":
            self.vms[name] = replace(vm, state=VmState.UP, executor_id="")
            return
        executor_id = f"{name}-{len(self.maintained) + len(self.moves)}"
        fake = FakeExecutor(self.world.clock, executor_id, service=vm.pool)
        self.world.client.by_id[executor_id] = fake
        self.world.fakes.append(fake)
        self.vms[name] = replace(vm, state=VmState.UP, executor_id=executor_id)
        key = f"executors/{executor_id}"
        entry = msgspec.msgpack.encode(fake.executor)
        self.world.arrivals.append((key, entry))

    def _take(self, name, pool, state):
        vm = self.vms[name]
        fake = self.world.client.by_id.pop(vm.executor_id, None)
        if fake is not None:
            fake.advance()
            self.world.note_ended_by_order(fake, list(fake.runs))
            fake.runs.clear()
            self.world.fakes.remove(fake)
            self.world.arrivals.append((f"executors/{vm.executor_id}", None))
        self.vms[name] = PoolVm(name, pool, state, "")
        self.back_at[name] = self.world.clock.monotonic() + self.OPERATION_TIME

    async def _operate(self, fence, vm):
        now = self.world.clock.monotonic()
        before, at = self.last_order.get(vm, (fence, now))
        if before != fence and now < at + timedelta(seconds=3):
            self.turns.append((vm, before, fence))
        self.last_order[vm] = (fence, now)
        self.ordered_at[vm].append(now)
        if fence < self.fence:
            raise StaleFenceError("stale")
        self.fence = fence
        await anyio.lowlevel.checkpoint()

    async def _answer(self):
        if self.swallow:
            self.swallow -= 1
            raise CallUnansweredError("no answer")
        return VmAnswer.DONE

    async def maintain(self, vm, wave, holder, fence):
        await self._operate(fence, vm)
        if (vm, wave) in self.maintained:
            return VmAnswer.DONE
        if vm not in self.vms:
            return VmAnswer.INVALID
        if self.vms[vm].state is not VmState.UP:
            return VmAnswer.BUSY
        self.maintained.append((vm, wave))
        self._take(vm, self.vms[vm].pool, VmState.IN_UPKEEP)
        self.down_at_once = max(self.down_at_once, len(self.back_at))
        away = self.world.lasting_tasks - sum(
            task.split(".")[0] in self.world.client.lasting
            for fake in self.world.fakes
            for task in fake.runs
        )
        self.most_away = max(self.most_away, away)
        return await self._answer()

    async def move(self, vm, pool, holder, fence):
        await self._operate(fence, vm)
        if self.vms[vm].pool == pool:
            return VmAnswer.DONE
        if self.vms[vm].state is not VmState.UP:
            return VmAnswer.BUSY
        self.moves.append((vm, pool))
        self._take(vm, pool, VmState.MOVING)
        return await self._answer()
