"""The ASGI application for operators."""

from __future__ import annotations

from starlette.applications import Starlette

from ..problems import EXCEPTION_HANDLERS
from .config_routes import config_routes
from .fleet_routes import fleet_routes
from .key_routes import key_routes
from .support import OperatorContext


def operator_app(context: OperatorContext) -> Starlette:
    """Return the application with all operator routes."""
    routes = [
        *config_routes(context),
        *key_routes(context),
        *fleet_routes(context),
    ]
    return Starlette(routes=routes, exception_handlers=EXCEPTION_HANDLERS)
