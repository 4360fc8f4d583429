"""Validation of budgets that cannot be met."""

from __future__ import annotations

import pytest

from pomeloyard.fleet.budgets import BudgetProblemKind, budget_problems
from pomeloyard.vm_platform.directory import VmRole

from .support.fleet import make_config

EXECUTOR, WORKER = VmRole.EXECUTOR, VmRole.WORKER
MORE_THAN_POOL, NO_MAINTENANCE = (
    BudgetProblemKind.MORE_THAN_POOL,
    BudgetProblemKind.NO_MAINTENANCE,
)


@pytest.mark.parametrize(
    ("pool", "minimum", "per_zone", "expected"),
    [
        ((2, 1), 1, 0, []),
        ((6, 6), 0.8, 0, []),
        ((6, 6), 5, 1, []),
        ((6, 6), 6, 0, [(NO_MAINTENANCE, EXECUTOR), (NO_MAINTENANCE, WORKER)]),
        ((6, 6), 1.0, 0, [(NO_MAINTENANCE, EXECUTOR), (NO_MAINTENANCE, WORKER)]),
        ((6, 0), 0.9, 0, [(NO_MAINTENANCE, EXECUTOR)]),
        ((6, 0), 7, 0, [(MORE_THAN_POOL, EXECUTOR)]),
        ((0, 4), 5, 0, [(MORE_THAN_POOL, WORKER)]),
        ((0, 0), 1, 0, [(MORE_THAN_POOL, EXECUTOR)]),
        ((6, 0), 1, 1.0, [(NO_MAINTENANCE, EXECUTOR)]),
        ((6, 0), 1.5, 0, [(BudgetProblemKind.NOT_A_SHARE, EXECUTOR)]),
        ((6, 0), -1, 0, [(BudgetProblemKind.NEGATIVE, EXECUTOR)]),
    ],
)
def test_budget_that_cannot_be_met_is_reported(pool, minimum, per_zone, expected):
    """Guards against publishing a budget that never allows maintenance."""
    config = make_config({"orders": pool}, minimum, per_zone=per_zone)
    problems = budget_problems(config)
    assert [(p.kind, p.role) for p in problems] == expected
    assert all(p.service == "orders" for p in problems)
