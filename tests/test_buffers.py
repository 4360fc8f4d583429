"""Lending of VMs: peak forecasts, worthwhile moves, budgets and hysteresis."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from pomeloyard.fleet.forecasts import (
    LendReason,
    PeakOrderForecast,
    PoolDemand,
    PoolForecast,
    plan_lending,
    wanted_vms,
)
from pomeloyard.fleet.vms import VmRecord
from pomeloyard.keyvalue import layout

from .support.fleet import Fleet, make_config, make_vms, run

START = datetime(2026, 1, 1, tzinfo=UTC)
POOLS = {"orders": (4, 0), "mill": (4, 0), "spare": (0, 0)}


def after(seconds):
    return START + timedelta(seconds=seconds)


def forecast_with_peaks(length, count=3, period=100, height=8.0):
    forecast = PoolForecast()
    for n in range(count):
        forecast.observe(after(n * period), height, 4)
        forecast.observe(after(n * period + length), 0.2, 4)
    return forecast


@pytest.mark.parametrize(
    ("peak_length", "move_seconds", "expected"),
    [
        (20, 5, (4, LendReason.PEAK)),
        (4, 5, (0, LendReason.PEAK_TOO_SHORT)),
        (20, 30, (0, LendReason.PEAK_TOO_SHORT)),
    ],
)
def test_peak_shorter_than_a_move_starts_no_moves(peak_length, move_seconds, expected):
    """Guards against moves that complete after the peak has ended."""
    forecast = forecast_with_peaks(peak_length)
    forecast.observe(after(500), 8.0, 4)
    pool = PoolDemand("orders", 4, 0, forecast)
    result = wanted_vms(pool, after(500.5), timedelta(seconds=move_seconds))
    assert result == expected


def test_demand_oscillating_around_capacity_is_one_peak():
    """Guards against moving VMs back and forth when demand is near the threshold."""
    forecast = PoolForecast()
    for second in range(60):
        forecast.observe(after(second), 4.2 if second % 2 else 3.8, 4)
    assert forecast.peak_began_at == after(1)
    assert not forecast.peaks


def test_next_peak_is_predicted_until_the_order_of_pools_changes():
    """Guards against preparing for a peak that the old order predicts."""
    peak_order = PeakOrderForecast()
    for n, pool in enumerate(["a", "b", "c"] * 3):
        peak_order.record_peak_start(pool, after(n * 20))
    assert peak_order.next_peak(after(165)) == ("a", after(180), timedelta(seconds=20))
    assert peak_order.next_peak(after(195)) is None
    for n, pool in enumerate(["b", "a", "c"]):
        peak_order.record_peak_start(pool, after(200 + n * 20))
    assert peak_order.next_peak(after(245)) is None


def test_current_peak_comes_before_a_predicted_one():
    """Guards against reserving VMs for a prediction while a queue grows."""
    predicted = PoolDemand("a", 4, 0, forecast_with_peaks(20), prepare_from=after(0))
    peaking = forecast_with_peaks(20)
    peaking.observe(after(400), 8.0, 4)
    pools = [predicted, PoolDemand("b", 4, 0, peaking)]
    plan = plan_lending(pools, "spare", 5, after(401), timedelta(seconds=3))
    moves = [(d.target, d.vms, d.reason) for d in plan]
    assert moves == [
        ("b", 4, LendReason.PEAK),
        ("a", 1, LendReason.PREDICTED_PEAK),
        ("a", 0, LendReason.NO_VM_FREE),
    ]


async def lending_fleet(spare_vms=4):
    config = make_config(POOLS, 0.5, spare="spare")
    vms = [vm for pool, sizes in POOLS.items() for vm in make_vms(pool, *sizes)]
    fleet = Fleet(config, vms + make_vms("spare", spare_vms))
    fleet.demand = {"orders": 0.2, "mill": 0.2}
    await fleet.step()
    return fleet


def pool_sizes(fleet):
    sizes = {}
    for vm in fleet.stored(layout.VMS, VmRecord).values():
        sizes[vm.pool] = sizes.get(vm.pool, 0) + 1
    return sizes


def test_lent_vms_move_to_the_next_peak_and_return_after_the_last():
    """Guards against VMs that are not returned or move through the spare pool."""

    async def body():
        fleet = await lending_fleet()
        for pool in ("orders", "mill"):
            fleet.demand = {"orders": 0.2, "mill": 0.2, pool: 7.0}
            for _ in range(60):
                await fleet.step()
            assert pool_sizes(fleet)[pool] == 7
        fleet.demand = {"orders": 0.2, "mill": 0.2}
        for _ in range(20):
            await fleet.step()
        assert pool_sizes(fleet)["mill"] == 7, "VMs returned before RETURN_AFTER"
        await fleet.run_until(lambda: pool_sizes(fleet)["mill"] == 4, 700, 5)
        await fleet.run_until(fleet.all_in_service)
        homes = [v.home_pool for v in fleet.stored(layout.VMS, VmRecord).values()]
        assert set(homes) == {""}
        assert pool_sizes(fleet) == {"orders": 4, "mill": 4, "spare": 4}
        assert fleet.violations == []

    run(body)


@pytest.mark.parametrize("after_effect", [False, True])
def test_lending_survives_a_killed_controller_at_each_step(after_effect):
    """Guards against VMs in two pools or in none after a crash during a move."""

    async def body():
        for commit in range(12):
            fleet = await lending_fleet()
            fleet.demand["orders"] = 7.0
            fleet.store.kill_at_commit = commit
            fleet.store.kill_after_effect = after_effect
            await fleet.run_until(lambda f=fleet: pool_sizes(f).get("orders") == 7, 60)
            await fleet.run_until(fleet.all_in_service, 60)
            assert sum(pool_sizes(fleet).values()) == 12
            assert fleet.unavailable_vms() == set()

    run(body)


def test_spare_pool_keeps_what_its_own_service_needs():
    """Guards against lending VMs that the budget or the pool's own demand needs."""

    async def body():
        sizes = {"orders": (4, 0), "catalog": (4, 0)}
        config = make_config(sizes, 0.75)
        pool = config.pools_by_name["catalog"]
        config.pools_by_name["catalog"] = type(pool)("catalog", 4, spare=True)
        vms = [vm for name, size in sizes.items() for vm in make_vms(name, *size)]
        fleet = Fleet(config, vms)
        fleet.demand = {"orders": 20.0, "catalog": 1.0}
        for _ in range(40):
            await fleet.step()
        assert pool_sizes(fleet) == {"orders": 5, "catalog": 3}
        assert fleet.violations == []

    run(body)
