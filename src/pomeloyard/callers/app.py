"""ASGI application for callers."""

from __future__ import annotations

from starlette.applications import Starlette

from ..fleet_state import FleetState
from ..jobs.store import JobStore
from ..problems import EXCEPTION_HANDLERS
from ..requests.service import RequestService
from .job_routes import job_routes
from .service_routes import service_routes


def caller_app(
    state: FleetState, requests: RequestService, jobs: JobStore
) -> Starlette:
    """Return an application with all routes for callers."""
    routes = [*service_routes(state, requests), *job_routes(state, jobs)]
    return Starlette(routes=routes, exception_handlers=EXCEPTION_HANDLERS)
