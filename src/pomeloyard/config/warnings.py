"""Warnings about a configuration that has no errors; no I/O.

The load: 1,300 changes of configuration a day by 84 teams for 29 pools, most of
them read by nobody but their author. An entry without effect, or a limit that
contradicts another, is accepted and otherwise shows only when work waits.

A warning is given only if the configuration alone proves it, so that ``--strict``
does not reject a sensible configuration. The cores of workers, the zones of a pool's
VMs and the VMs that a spare pool has beyond its size are not in the configuration.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from ..claims.table import MAX_REQUEST_TIME
from ..fleet.budgets import configured_vms, needed_vms
from ..vm_platform.directory import VmRole
from .checks import FileOf, no_file
from .durations import format_duration
from .model import FleetConfig, PoolConfig, QueueConfig, ServiceConfig, TeamConfig
from .problems import ConfigProblem

Warnings = Iterable[ConfigProblem]


def config_warnings(
    config: FleetConfig, file_of: FileOf = no_file
) -> list[ConfigProblem]:
    """Return all warnings about a configuration without errors, in table order."""
    return [warning for check in _CHECKS for warning in check(config, file_of)]


def _pool_warnings(config: FleetConfig, file_of: FileOf) -> Warnings:
    services = {s.pool for s in config.services_by_name.values()}
    queued = {pool for q in config.queues_by_name.values() for pool in q.pools}
    lender = _lending_pool(config)
    jobs_in_all_pools = _some_jobs_use_all_pools(config)
    for pool in config.pools_by_name.values():
        path = f"pools.{pool.name}"
        file = file_of(path)
        serves = pool.name in services or pool is lender
        runs_jobs = pool.name in queued or (jobs_in_all_pools and pool.workers > 0)
        if not serves and not runs_jobs:
            wrong = "no service or queue uses it"
            yield ConfigProblem(file, path, wrong, "a service or queue with this pool")
        elif pool.executors and not serves:
            wrong = f"no service uses the {_count(pool, VmRole.EXECUTOR)}"
            expected = "a service with this pool"
            yield ConfigProblem(file, f"{path}.executors", wrong, expected)
        elif pool.workers and not runs_jobs:
            wrong = f"no job runs on the {_count(pool, VmRole.WORKER)}"
            expected = "a queue with this pool"
            yield ConfigProblem(file, f"{path}.workers", wrong, expected)
        yield from _maintenance_warnings(config, pool, file)


def _spare_warnings(config: FleetConfig, file_of: FileOf) -> Warnings:
    lender = _lending_pool(config)
    if lender is None:
        return
    path = f"pools.{lender.name}"
    if all(s.pool == lender.name for s in config.services_by_name.values()):
        wrong = "no service runs on a pool that could borrow VMs"
        expected = "a service with another pool"
        yield ConfigProblem(file_of(path), f"{path}.spare", wrong, expected)
    for pool in config.pools_by_name.values():
        if pool.spare and pool is not lender:
            path = f"pools.{pool.name}"
            wrong = f'has no effect: only the first spare pool, "{lender.name}", lends'
            expected = "one spare pool"
            yield ConfigProblem(file_of(path), f"{path}.spare", wrong, expected)


def _maintenance_warnings(config: FleetConfig, pool: PoolConfig, file: str) -> Warnings:
    """Warn if the trials alone take longer than the maintenance interval.

    A VM on trial counts as unavailable, and the budgets limit how many VMs are.
    """
    budgets = [
        s.budget for s in config.services_by_name.values() if s.pool == pool.name
    ]
    maintenance = config.maintenance
    for role in (VmRole.EXECUTOR, VmRole.WORKER):
        vms = configured_vms(pool, role)
        needed = [needed_vms(b.min_available, vms, role, pool) for b in budgets]
        at_once = vms - max(needed, default=vms)
        if at_once <= 0:
            continue  # No VM, no budget, or a budget that is an error.
        shortest = math.ceil(vms / at_once) * maintenance.trial
        if shortest > maintenance.interval:
            wrong = (
                f"maintenance takes at least {format_duration(shortest)}: "
                f"{_count(pool, role)}, at most {at_once} at once by the budget, "
                f"each on trial for {format_duration(maintenance.trial)}"
            )
            interval = format_duration(maintenance.interval)
            expected = f"at most maintenance.interval, {interval}"
            yield ConfigProblem(file, f"pools.{pool.name}", wrong, expected)


def _service_warnings(config: FleetConfig, file_of: FileOf) -> Warnings:
    callable_by_team = any(_takes_requests(t) for t in config.teams_by_name.values())
    for service in config.services_by_name.values():
        path = f"services.{service.name}"
        file = file_of(path)
        if not callable_by_team:
            expected = "a team whose limit is above its job_limit"
            yield ConfigProblem(file, path, "no team can call it", expected)
        for check in _SERVICE_CHECKS:
            for key, wrong, expected in check(config, service):
                yield ConfigProblem(file, f"{path}.{key}", wrong, expected)


ServiceFinding = tuple[str, str, str]
"""Key below the service, what is wrong and what was expected."""


def _executor_findings(
    config: FleetConfig, service: ServiceConfig
) -> Iterable[ServiceFinding]:
    pool = config.pools_by_name[service.pool]
    # A spare pool may lend executors to a pool that has none or one of its own.
    borrows = _lending_pool(config) is not None
    if not pool.executors and not borrows:
        yield "pool", f'pool "{pool.name}" has no executors', "a pool with executors"
    if service.hedge_after is not None and pool.executors == 1 and not borrows:
        wrong = f'has no effect: pool "{pool.name}" has no second executor'
        yield "hedge_after", wrong, "a pool with two executors"
    if service.connections_per_executor < service.slots_per_executor:
        wrong = f"{service.connections_per_executor} is below slots_per_executor"
        expected = f"at least {service.slots_per_executor}"
        yield "connections_per_executor", wrong, expected


def _shared_pool_findings(
    config: FleetConfig, service: ServiceConfig
) -> Iterable[ServiceFinding]:
    # Executors have one set of limits: those of the last service with their pool.
    ruling = [s for s in config.services_by_name.values() if s.pool == service.pool][-1]
    for key in ("slots_per_executor", "connections_per_executor"):
        value, in_force = getattr(service, key), getattr(ruling, key)
        if value != in_force:
            wrong = (
                f"{value} has no effect: the pool's executors have the {in_force} "
                f'of service "{ruling.name}"'
            )
            yield key, wrong, "the same value in all services of a pool"


def _request_findings(
    config: FleetConfig, service: ServiceConfig
) -> Iterable[ServiceFinding]:
    if service.queue_length == 0:
        # Admission refuses a request if queue_length others wait, also at 0 and 0.
        yield "queue_length", "0 refuses every request", "at least 1"
    for key in ("request_timeout", "queue_timeout"):
        value = getattr(service, key)
        if value > MAX_REQUEST_TIME:
            longest = format_duration(MAX_REQUEST_TIME)
            wrong = f"{format_duration(value)} is cut to {longest}"
            yield key, wrong, f"at most {longest}"
    if service.hedge_after is not None:
        longest_run = service.queue_timeout + service.request_timeout
        deadline = min(longest_run, MAX_REQUEST_TIME)
        if service.hedge_after >= deadline:
            hedge_after = format_duration(service.hedge_after)
            wrong = f"has no effect: no attempt lasts longer than {hedge_after}"
            yield "hedge_after", wrong, f"below {format_duration(deadline)}"


def _budget_findings(
    config: FleetConfig, service: ServiceConfig
) -> Iterable[ServiceFinding]:
    whole = service.budget.min_available
    per_zone = service.budget.min_available_per_zone
    # Shares of the pool and of a zone have different bases, so only counts compare.
    # A whole count of 0 leaves the budget to the zones.
    counts = isinstance(whole, int) and isinstance(per_zone, int)
    if counts and 0 < whole < per_zone:
        wrong = f"{whole} has no effect: each zone keeps {per_zone} available"
        yield "budget.min_available", wrong, f"at least {per_zone}"


def _team_warnings(config: FleetConfig, file_of: FileOf) -> Warnings:
    owners = {s.team for s in config.services_by_name.values()}
    queues = config.queues_by_name.values()
    any_workers = any(p.workers for p in config.pools_by_name.values())
    for team in config.teams_by_name.values():
        path = f"teams.{team.name}"
        file = file_of(path)
        if team.limit == 0:
            wrong = "0 lets none of its requests and jobs run"
            yield ConfigProblem(file, f"{path}.limit", wrong, "at least 1")
            continue
        in_queue = any(team in _teams_of(config, queue) for queue in queues)
        has_service = team.name in owners or (None in owners and _takes_requests(team))
        # Where no queue is defined, jobs use all pools and need none.
        runs_jobs = not queues and team.job_limit > 0
        if not (in_queue or has_service or runs_jobs):
            wrong = "no queue lists it and no service is its own or shared"
            expected = "a queue or service for the team"
            yield ConfigProblem(file, path, wrong, expected)
        # For a team in a queue, the queue's own warning covers its pools.
        if team.job_limit and not in_queue and not any_workers:
            wrong = f"{team.job_limit} is above what the pools hold: none has workers"
            expected = "a pool with workers, or 0"
            yield ConfigProblem(file, f"{path}.job_limit", wrong, expected)


def _queue_warnings(config: FleetConfig, file_of: FileOf) -> Warnings:
    for queue in config.queues_by_name.values():
        path = f"queues.{queue.name}"
        file = file_of(path)
        yield from _repeated(file, f"{path}.pools", queue.pools)
        yield from _repeated(file, f"{path}.teams", queue.teams)
        if not any(config.pools_by_name[pool].workers for pool in queue.pools):
            wrong, expected = "none of its pools has workers", "a pool with workers"
            yield ConfigProblem(file, f"{path}.pools", wrong, expected)
        teams = _teams_of(config, queue)
        without_jobs = [team for team in teams if team.job_limit == 0]
        expected = "a team with a job_limit above 0"
        if not teams:
            wrong = "no team can use it: none is defined"
            yield ConfigProblem(file, path, wrong, expected)
        elif len(without_jobs) == len(teams):
            wrong = "no team can use it: all have a job_limit of 0"
            yield ConfigProblem(file, path, wrong, expected)
        elif not queue.open:
            for team in without_jobs:
                wrong = f'team "{team.name}" has a job_limit of 0'
                yield ConfigProblem(file, f"{path}.teams", wrong, expected)


def _repeated(file: str, path: str, names: Sequence[str]) -> Warnings:
    for name, times in Counter(names).items():
        if times > 1:
            wrong = f'"{name}" is listed {times} times'
            yield ConfigProblem(file, path, wrong, "each name once")


def _lending_pool(config: FleetConfig) -> PoolConfig | None:
    """Return the pool that lends VMs: the first spare one."""
    return next((p for p in config.pools_by_name.values() if p.spare), None)


def _teams_of(config: FleetConfig, queue: QueueConfig) -> list[TeamConfig]:
    """Return the teams whose keys a queue accepts."""
    teams = config.teams_by_name.values()
    return [team for team in teams if queue.open or team.name in queue.teams]


def _some_jobs_use_all_pools(config: FleetConfig) -> bool:
    """Tell whether a team's jobs without a queue run on all pools.

    They do if no restricted queue lists the team.
    """
    listed = {
        team
        for queue in config.queues_by_name.values()
        if not queue.open
        for team in queue.teams
    }
    teams = config.teams_by_name.values()
    return any(team.job_limit > 0 and team.name not in listed for team in teams)


def _takes_requests(team: TeamConfig) -> bool:
    """Tell whether a team has units that are not reserved for jobs."""
    return team.limit > team.job_limit


def _count(pool: PoolConfig, role: VmRole) -> str:
    vms = configured_vms(pool, role)
    return f"{vms} {role.value}" + ("s" if vms != 1 else "")


_SERVICE_CHECKS: tuple[
    Callable[[FleetConfig, ServiceConfig], Iterable[ServiceFinding]], ...
] = (
    _executor_findings,
    _shared_pool_findings,
    _request_findings,
    _budget_findings,
)

_CHECKS: tuple[Callable[[FleetConfig, FileOf], Warnings], ...] = (
    _pool_warnings,
    _spare_warnings,
    _service_warnings,
    _team_warnings,
    _queue_warnings,
)
