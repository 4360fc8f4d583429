"""The ASGI application of /metrics, /healthz and /readyz."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .metrics import FleetMetrics
from .readiness import NotReadyReason


def monitoring_app(
    metrics: FleetMetrics, reasons: Callable[[], list[NotReadyReason]]
) -> Starlette:
    """Return the application; /readyz responds 503 with reasons if not ready."""

    async def healthy(request: Request) -> Response:
        return Response("ok")

    async def ready(request: Request) -> Response:
        blocking = reasons()
        body = {"ready": not blocking, "reasons": blocking}
        status = 503 if blocking else 200
        return Response(
            msgspec.json.encode(body), status, media_type="application/json"
        )

    async def metric_text(request: Request) -> Response:
        return Response(metrics.text(), headers={"Content-Type": CONTENT_TYPE_LATEST})

    return Starlette(
        routes=[
            Route("/healthz", healthy),
            Route("/readyz", ready),
            Route("/metrics", metric_text),
        ]
    )
