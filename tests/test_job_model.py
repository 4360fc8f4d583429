"""Invariants of jobs under random faults in any order."""

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.jobs.job import JobRequest, JobState
from pomeloyard.jobs.store import JobStore
from tests.support.fake_workers import GIB, SchedulerBench

LIMITS = {"mill": 4, "desk": 3}
WORKER = st.integers(0, 3)
ACTIONS = st.one_of(
    st.tuples(
        st.just("submit"),
        st.sampled_from(sorted(LIMITS)),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    ),
    st.tuples(st.just("wait"), st.integers(1, 40)),
    st.tuples(st.just("silent"), WORKER, st.booleans()),
    st.tuples(st.just("mute"), WORKER, st.integers(1, 3)),
    st.tuples(st.just("refusing"), WORKER),
    st.tuples(st.just("heal"), WORKER),
    st.tuples(st.just("restart"), WORKER),
    st.tuples(st.just("gone"), WORKER),
    st.tuples(st.just("new scheduler"), st.booleans()),
    st.tuples(st.just("store down")),
    st.tuples(st.just("store up")),
    st.tuples(st.just("lose answers"), st.integers(1, 4)),
    st.tuples(st.just("cancel"), st.integers(0, 30)),
)


class Model:
    """Applies actions to a bench and records the accepted jobs."""

    def __init__(self):
        self.bench = SchedulerBench(workers=4, cores=2, limits=LIMITS)
        self.jobs = JobStore(
            self.bench.store, self.bench.clock, lambda: self.bench.state.config
        )
        self.accepted: dict[str, tuple[str, bool]] = {}
        self.cancelled: set[str] = set()
        self.scheduler_scopes: list[anyio.CancelScope] = []

    async def start_scheduler(self, tasks):
        async def run_scheduler(scope):
            with scope:
                async with self.bench.scheduler():
                    await anyio.sleep_forever()

        scope = anyio.CancelScope()
        self.scheduler_scopes.append(scope)
        tasks.start_soon(run_scheduler, scope)
        await self.bench.run(0.25)

    async def apply(self, tasks, action, arguments):
        bench = self.bench
        store_was_up = not bench.store.down
        if action == "submit" and store_was_up:
            team, idempotent, urgent, checkpointable = arguments
            request = JobRequest(
                "sleep 3",
                cores=1,
                memory_bytes=GIB,
                idempotent=idempotent,
                urgent=urgent,
                checkpointable=checkpointable,
                retry_limit=20,
            )
            bench.store.answers_to_lose = 0
            job_id = await bench.submit(team, f"k{len(self.accepted)}", request)
            self.accepted[job_id] = (team, idempotent)
        elif action == "wait":
            await bench.run(arguments[0] / 2)
        elif action == "new scheduler" and store_was_up:
            bench.store.answers_to_lose = 0
            # The previous scheduler may continue for a while after the failover.
            if arguments[0] or len(self.scheduler_scopes) > 1:
                self.scheduler_scopes.pop(0).cancel()
            await self.start_scheduler(tasks)
        elif action == "store down":
            bench.store.down = True
        elif action == "store up":
            bench.store.down = False
        elif action == "lose answers":
            bench.store.answers_to_lose = arguments[0]
        elif action == "cancel" and store_was_up and self.accepted:
            job_id = sorted(self.accepted)[arguments[0] % len(self.accepted)]
            bench.store.answers_to_lose = 0
            self.cancelled.add(job_id)
            await self.jobs.cancel(self.accepted[job_id][0], [job_id])
        elif action in ("silent", "mute", "refusing", "heal", "restart", "gone"):
            self.apply_to_worker(action, f"w{arguments[0]}", arguments)

    def apply_to_worker(self, action, name, arguments):
        worker = self.bench.workers.by_name[name]
        if action == "silent":
            worker.unresponsive, worker.delays_orders = True, arguments[1]
        elif action == "mute":
            worker.answers_to_drop = arguments[1]
        elif action == "refusing":
            worker.refuses_calls = True
        elif action == "restart":
            worker.tasks.clear()
        elif action == "gone":
            worker.tasks.clear()
            worker.refuses_calls = True
            if name in self.bench.state.vm_list.vms_by_name:
                self.bench.remove_worker(name)
        else:
            self.repair(name)

    def repair(self, name):
        worker = self.bench.workers.by_name[name]
        if name not in self.bench.state.vm_list.vms_by_name:
            self.bench.workers.by_name.pop(name)
            self.bench.add_worker(name, "az0", "az0-r0", cores=2)
            return
        worker.unresponsive = worker.refuses_calls = False
        worker.answers_to_drop = 0
        for order in worker.delayed_orders:
            self.bench.workers.execute_order(worker, order)
        worker.delayed_orders.clear()

    async def end(self):
        """Repair all faults, wait, and check that every job has ended."""
        bench = self.bench
        bench.store.down, bench.store.answers_to_lose = False, 0
        for name in list(bench.workers.by_name):
            self.repair(name)
        await bench.run(200)
        jobs = await bench.jobs()
        assert not bench.limit_violations, bench.limit_violations
        for job_id, (_, idempotent) in self.accepted.items():
            job = jobs[job_id]
            assert job.final, job
            if not idempotent and not job.checkpoint:
                assert bench.start_count(job_id) <= 1, job
            if idempotent and job_id not in self.cancelled:
                assert job.state is JobState.SUCCEEDED, job


@settings(derandomize=True, max_examples=12, deadline=None)
@given(st.lists(ACTIONS, min_size=5, max_size=25))
def test_jobs_survive_any_order_of_faults(actions):
    """Guards against lost jobs, double runs and broken limits (R5, R7, R8)."""

    async def main():
        model = Model()
        async with anyio.create_task_group() as tasks:
            await model.start_scheduler(tasks)
            for action, *arguments in actions:
                await model.apply(tasks, action, arguments)
            await model.end()
            tasks.cancel_scope.cancel()

    anyio.run(main)
