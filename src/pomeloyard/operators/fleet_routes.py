"""Operator routes for VMs, pools, budgets, waves and availability zones."""

from __future__ import annotations

from starlette.routing import Route

from .pool_routes import pool_routes
from .support import OperatorContext
from .vm_routes import vm_routes
from .wave_routes import wave_routes
from .zone_routes import zone_routes


def fleet_routes(context: OperatorContext) -> list[Route]:
    """Return the routes for what operators do with the fleet's VMs."""
    return [
        *vm_routes(context),
        *pool_routes(context),
        *wave_routes(context),
        *zone_routes(context),
    ]
