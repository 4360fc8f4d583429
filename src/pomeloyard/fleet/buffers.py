"""Carry out lending between the spare pool and pools whose queues peak."""

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
    TURN_MARGIN,
    LendDecision,
    LendReason,
    PoolDemand,
    PoolForecast,
    TurnForecast,
    median_time,
    plan_lending,
    wanted_vms,
)
from .operations import VmOperations
from .records import FleetRecords
from .vms import Cause, VmPlan, VmRecord, VmState

FIRST_MOVE_TIME = timedelta(seconds=5)
"""Time that a move is taken to need until one was seen."""

MOVES_REMEMBERED = 20

REFUSED_TRIES = 4
"""Further VMs that are tried when a zone's budget refuses some."""

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
        self._move_times: deque[timedelta] = deque(maxlen=MOVES_REMEMBERED)
        self._turns = TurnForecast()
        self._last_not_moved: dict[str, LendReason] = {}

    def move_time(self) -> timedelta:
        """Return the median time of recent moves, from drain to service."""
        return median_time(self._move_times) if self._move_times else FIRST_MOVE_TIME

    async def step(self, budgets: Mapping[str, Versioned[BudgetRecord]]) -> None:
        """Take a sample of the demand and start the moves that are worth it."""
        config, now = self._records.state.config, self._records.clock.now()
        spare = [p.name for p in config.pools_by_name.values() if p.spare]
        self._note_moves(now)
        if not spare:
            return
        pools = self._pool_demands(spare[0], now)
        lendable = self._lendable(spare[0], pools, budgets)
        ordinary = config.pools_by_name[spare[0]].executors
        free = max(0, min(lendable, len(self._free_vms(spare[0])) - ordinary))
        plan = plan_lending(
            pools, spare[0], free, now, self.move_time(), lendable - free
        )
        for decision in plan:
            await self._carry_out(decision, spare[0])

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
            was_peak = forecast.peak_began_at
            forecast.observe(now, demand[pool], self._ordinary_vms(pool, own[pool]))
            if was_peak is None and forecast.peak_began_at is not None:
                self._turns.note_start(pool, now)
        turn = self._turns.next_peak(now)
        pools = []
        for pool in sorted(demand):
            prepare_from = self._forecasts[pool].prepare_from(now)
            if turn is not None and turn[0] == pool:
                prepare_from = turn[1] - turn[2] * TURN_MARGIN
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

    def _ordinary_vms(self, pool: str, own: int) -> int:
        """Return the VMs above whose load a pool's demand counts as a peak.

        The spare pool has more VMs than its own service needs, which is what the
        pool's configured size says.
        """
        config = self._records.state.config.pools_by_name.get(pool)
        configured = config.executors if config is not None else 0
        return min(own, configured) if configured else own

    def _lendable(
        self,
        spare: str,
        pools: list[PoolDemand],
        budgets: Mapping[str, Versioned[BudgetRecord]],
    ) -> int:
        """Return how many VMs the spare pool can lend within its own needs."""
        free = len(self._free_vms(spare))
        own = next((pool for pool in pools if pool.pool == spare), None)
        if own is not None:
            needed = math.ceil(own.forecast.demand)
            _, reason = wanted_vms(own, self._records.clock.now(), self.move_time())
            if reason is not LendReason.NO_PEAK:
                needed = max(needed, math.ceil(own.forecast.height_now()))
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
        """Return executors of a pool that may be lent on, in name order.

        Of other pools than the spare one, only borrowed VMs are free.
        """
        config = self._records.state.config.pools_by_name.get(pool)
        spare = config is not None and config.spare
        vms = self._records.state.vm_records_by_name
        return [
            vm
            for _, vm in sorted(vms.items())
            if vm.pool == pool
            and vm.role is VmRole.EXECUTOR
            and vm.state is VmState.IN_SERVICE
            and (spare or vm.home_pool)
        ]

    async def _carry_out(self, decision: LendDecision, spare: str) -> None:
        self._decide(decision)
        cause = Cause.GIVE_BACK if decision.target == spare else Cause.LEND
        started = 0
        tries = decision.vms + REFUSED_TRIES
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
                log.info("{} not lent: {}", vm.name, error)
            except StoreError as error:
                log.warning("{} not lent: {}", vm.name, error)
                return
            else:
                started += 1

    def _note_moves(self, now: datetime) -> None:
        """Learn how long moves take."""
        for name, vm in self._records.state.vm_records_by_name.items():
            moving = vm.plan is VmPlan.MOVE and vm.state is not VmState.SET_ASIDE
            if moving:
                self._move_began_at.setdefault(name, now)
            elif name in self._move_began_at:
                began_at = self._move_began_at.pop(name)
                if vm.state is VmState.IN_SERVICE:
                    self._move_times.append(now - began_at)

    def _decide(self, decision: LendDecision) -> None:
        subject = f"pool/{decision.target}"
        if decision.vms == 0:
            # The same refusal would otherwise be recorded twice a second.
            if self._last_not_moved.get(subject) is decision.reason:
                return
            self._last_not_moved[subject] = decision.reason
        else:
            self._last_not_moved.pop(subject, None)
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
