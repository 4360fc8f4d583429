"""Operator routes for VMs, pools, budgets and waves."""

from __future__ import annotations

from starlette.routing import Route

from .pool_routes import pool_routes
from .support import OperatorContext
from .vm_routes import vm_routes
from .wave_routes import wave_routes


def fleet_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/vms, /v1/pools, /v1/budgets and /v1/waves."""
    return [*vm_routes(context), *pool_routes(context), *wave_routes(context)]
