"""Lend VMs of the spare pool to pools with peak demand."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

import logbook

from ..decisions import Decision, DecisionKind, DecisionLog
from ..errors import RefusedError, StoreError
from ..keyvalue.records import ConflictError, Versioned
from ..vm_platform.directory import VmRole
from .budgets import BudgetRecord, Scope
from .forecasts import (
    SUCCESSOR_MARGIN,
    LendDecision,
    LendReason,
    PeakOrderForecast,
    PoolDemand,
    PoolForecast,
    median_time,
    plan_lending,
    wanted_vms,
)
from .operations import VmOperations
from .records import FleetRecords
from .vms import Cause, VmPlan, VmRecord, VmState

DEFAULT_MOVE_TIME = timedelta(seconds=5)
"""Assumed duration of a move until one has been measured."""

MAX_MOVE_SAMPLES = 20

EXTRA_CANDIDATES = 4
"""VMs tried beyond those needed, as a zone's budget may refuse some."""

CONTROLLER = "controller"

log = logbook.Logger("pomeloyard.fleet.buffers")


class BufferManager:
    """Lends executors to pools with peaks, within the budgets."""

    def __init__(
        self,
        records: FleetRecords,
        operations: VmOperations,
        decisions: DecisionLog,
        demand_by_pool: Callable[[], Mapping[str, float]],
    ) -> None:
        self._records = records
        self._operations = operations
        self._decisions = decisions
        self._demand_by_pool = demand_by_pool
        self._forecasts: dict[str, PoolForecast] = defaultdict(PoolForecast)
        self._move_began_at: dict[str, datetime] = {}
        self._move_times: deque[timedelta] = deque(maxlen=MAX_MOVE_SAMPLES)
        self._peak_order = PeakOrderForecast()
        self._last_refusal_by_subject: dict[str, LendReason] = {}

    def move_time(self) -> timedelta:
        """Return the median duration of recent moves, from drain to service."""
        return median_time(self._move_times) if self._move_times else DEFAULT_MOVE_TIME

    async def step(self, budgets: Mapping[str, Versioned[BudgetRecord]]) -> None:
        """Sample the demand and start the moves that pay off."""
        config, now = self._records.state.config, self._records.clock.now()
        spare = [p.name for p in config.pools_by_name.values() if p.spare]
        self._record_move_times(now)
        if not spare:
            return
        pools = self._pool_demands(spare[0], now)
        lendable = self._lendable_vms(spare[0], pools, budgets)
        ordinary = config.pools_by_name[spare[0]].executors
        free = max(0, min(lendable, len(self._free_vms(spare[0])) - ordinary))
        plan = plan_lending(
            pools, spare[0], free, now, self.move_time(), lendable - free
        )
        for decision in plan:
            await self._execute(decision, spare[0])

    def _pool_demands(self, spare: str, now: datetime) -> list[PoolDemand]:
        demand = self._demand_by_pool()
        own: dict[str, int] = defaultdict(int)
        borrowed: dict[str, int] = defaultdict(int)
        movable: dict[str, int] = defaultdict(int)
        for vm in self._records.state.vm_records_by_name.values():
            if vm.role is not VmRole.EXECUTOR:
                continue
            pool = vm.target_pool or vm.pool
            lent = vm.home_pool == spare or vm.pool == spare
            if lent and pool != spare:
                borrowed[pool] += 1
                movable[pool] += vm.state is VmState.IN_SERVICE
            elif vm.accepts_work() or vm.target_pool:
                own[pool] += 1
        for pool in sorted(demand):
            forecast = self._forecasts[pool]
            peak_before = forecast.peak_began_at
            forecast.observe(now, demand[pool], self._base_capacity(pool, own[pool]))
            if peak_before is None and forecast.peak_began_at is not None:
                self._peak_order.record_peak_start(pool, now)
        predicted = self._peak_order.next_peak(now)
        pools = []
        for pool in sorted(demand):
            prepare_from = self._forecasts[pool].prepare_from(now)
            if predicted is not None and predicted[0] == pool:
                prepare_from = predicted[1] - predicted[2] * SUCCESSOR_MARGIN
            pools.append(
                PoolDemand(
                    pool,
                    own[pool],
                    borrowed[pool],
                    self._forecasts[pool],
                    movable[pool],
                    prepare_from,
                )
            )
        return pools

    def _base_capacity(self, pool: str, own: int) -> int:
        """Return the capacity, in VMs, above which a pool's demand counts as a peak.

        The spare pool has more VMs than its own service needs; what that service
        needs is the pool's configured size.
        """
        config = self._records.state.config.pools_by_name.get(pool)
        configured = config.executors if config is not None else 0
        return min(own, configured) if configured else own

    def _lendable_vms(
        self,
        spare: str,
        pools: list[PoolDemand],
        budgets: Mapping[str, Versioned[BudgetRecord]],
    ) -> int:
        """Return how many VMs the spare pool can lend beyond its own needs."""
        free = len(self._free_vms(spare))
        own = next((pool for pool in pools if pool.pool == spare), None)
        if own is not None:
            needed = math.ceil(own.forecast.demand)
            _, reason = wanted_vms(own, self._records.clock.now(), self.move_time())
            if reason is not LendReason.NO_PEAK:
                needed = max(needed, math.ceil(own.forecast.current_height()))
            free = min(free, own.own_vms - needed)
        for service in self._records.services_of(spare):
            budget = budgets.get(service.name)
            if budget is None:
                continue
            room = self._records.headroom(service, budget.value)
            if Scope(VmRole.EXECUTOR) in room:
                free = min(free, room[Scope(VmRole.EXECUTOR)].spare)
        return max(0, free)

    def _free_vms(self, pool: str) -> list[VmRecord]:
        """Return executors of a pool that may be lent, in name order.

        In pools other than the spare one, only borrowed VMs are free.
        """
        config = self._records.state.config.pools_by_name.get(pool)
        spare = config is not None and config.spare
        state = self._records.state
        listed = state.vm_list.vms_by_name
        return [
            vm
            for name, vm in sorted(state.vm_records_by_name.items())
            if not (name in listed and state.is_evacuated(listed[name]))
            and vm.pool == pool
            and vm.role is VmRole.EXECUTOR
            and vm.state is VmState.IN_SERVICE
            and (spare or vm.home_pool)
        ]

    async def _execute(self, decision: LendDecision, spare: str) -> None:
        self._record_decision(decision)
        cause = Cause.GIVE_BACK if decision.target == spare else Cause.LEND
        started = 0
        tries = decision.vms + EXTRA_CANDIDATES
        for vm in self._free_vms(decision.source)[:tries]:
            if started == decision.vms:
                return
            try:
                await self._operations.move(
                    vm.name,
                    decision.target,
                    CONTROLLER,
                    cause,
                    operation=f"lend.{vm.name}.{vm.epoch}",
                )
            except (RefusedError, ConflictError) as error:
                log.info("VM {} not lent: {}", vm.name, error)
            except StoreError as error:
                log.warning("VM {} not lent, store call failed: {}", vm.name, error)
                return
            else:
                started += 1

    def _record_move_times(self, now: datetime) -> None:
        """Measure the duration of moves."""
        for name, vm in self._records.state.vm_records_by_name.items():
            moving = vm.plan is VmPlan.MOVE and vm.state is not VmState.SET_ASIDE
            if moving:
                self._move_began_at.setdefault(name, now)
            elif name in self._move_began_at:
                began_at = self._move_began_at.pop(name)
                if vm.state is VmState.IN_SERVICE:
                    self._move_times.append(now - began_at)

    def _record_decision(self, decision: LendDecision) -> None:
        subject = f"pool/{decision.target}"
        if decision.vms == 0:
            # Each tick, twice a second, would otherwise record the same refusal.
            if self._last_refusal_by_subject.get(subject) is decision.reason:
                return
            self._last_refusal_by_subject[subject] = decision.reason
        else:
            self._last_refusal_by_subject.pop(subject, None)
        self._decisions.record(
            Decision(
                self._records.clock.now(),
                DecisionKind.MOVE,
                subject,
                f"{decision.vms} VMs from {decision.source}"
                if decision.vms
                else "no move",
                decision.reason,
                inputs={
                    "demand_vms": decision.demand,
                    "wanted_vms": decision.wanted,
                    "move_seconds": self.move_time().total_seconds(),
                },
            )
        )
