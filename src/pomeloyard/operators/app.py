"""The ASGI application for operators."""

from __future__ import annotations

from starlette.applications import Starlette

from ..config.problems import ConfigProblemsError
from ..config.publication import ConfigConflictError
from ..problems import EXCEPTION_HANDLERS
from .config_routes import config_routes, conflict_response, problems_response
from .explain_routes import explain_routes
from .fleet_routes import fleet_routes
from .key_routes import key_routes
from .support import OperatorContext
from .team_routes import team_routes


def operator_app(context: OperatorContext) -> Starlette:
    """Return the application with all operator routes."""
    routes = [
        *config_routes(context),
        *key_routes(context),
        *team_routes(context),
        *fleet_routes(context),
        *explain_routes(context),
    ]
    handlers = {
        **EXCEPTION_HANDLERS,
        ConfigProblemsError: problems_response,
        ConfigConflictError: conflict_response,
    }
    return Starlette(routes=routes, exception_handlers=handlers)
