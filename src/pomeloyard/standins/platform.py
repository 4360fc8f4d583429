"""Stand-in for the platform: key-value store, VM list and VM operations."""

from __future__ import annotations

import argparse
import base64
import json
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import anyio
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..clock import Clock, SystemClock
from ..errors import (
    CompactedError,
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
)
from ..keyvalue.memory import MemoryStore
from ..keyvalue.store import (
    Compare,
    Delete,
    Entry,
    Operation,
    Put,
    Transaction,
    WatchBatch,
)
from ..serving import server_config
from ..vm_platform.directory import Vm, VmOperation
from .vm_directory import DirectoryBehaviour, MemoryVmDirectory

WATCH_PROGRESS_INTERVAL = timedelta(seconds=5)


@dataclass
class PlatformState:
    """State shared by the routes."""

    store: MemoryStore
    directory: MemoryVmDirectory


def platform_app(state: PlatformState) -> Starlette:
    """Return the ASGI application of the store and the VM directory."""

    async def call(request: Request) -> Response:
        body = await request.json()
        try:
            result = await _HANDLERS_BY_PATH[request.url.path](state.store, body)
            return JSONResponse(_without_defaults(result))
        except LeaseLostError as error:
            return JSONResponse({"code": 5, "message": str(error)}, 404)
        except (StoreError, KeyError, ValueError) as error:
            return JSONResponse({"code": 3, "message": str(error)}, 400)

    async def watch(request: Request) -> Response:
        create = (await request.json())["create_request"]
        lines = _watch_lines(state.store, create)
        return StreamingResponse(lines, media_type="application/json")

    async def list_vms(request: Request) -> Response:
        listing = await state.directory.list_vms()
        headers = {"ETag": f'"{listing.version}"'}
        if request.headers.get("if-none-match") == headers["ETag"]:
            return Response(status_code=304, headers=headers)
        content = msgspec.json.encode(listing)
        return Response(content, headers=headers, media_type="application/json")

    async def operate(request: Request) -> Response:
        body = await request.json()
        try:
            await state.directory.operate(
                request.path_params["name"],
                VmOperation(body["operation"]),
                operation_id=body["operation_id"],
                pool=body.get("pool", ""),
            )
        except (StoreError, KeyError, ValueError) as error:
            return JSONResponse({"message": str(error)}, 400)
        return JSONResponse({})

    async def put_vm(request: Request) -> Response:
        vm = msgspec.json.decode(await request.body(), type=Vm)
        state.directory.put(vm)
        return JSONResponse({})

    async def set_behaviour(request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        state.directory.behaviour = msgspec.convert(body, DirectoryBehaviour)
        return JSONResponse({})

    routes = [Route(path, call, methods=["POST"]) for path in _HANDLERS_BY_PATH]
    routes += [
        Route("/v3/watch", watch, methods=["POST"]),
        Route("/standin/behaviour", set_behaviour, methods=["POST"]),
        Route("/v1/vms", list_vms),
        Route("/v1/vms/{name}", put_vm, methods=["PUT"]),
        Route("/v1/vms/{name}/operations", operate, methods=["POST"]),
    ]
    return Starlette(routes=routes)


async def _range(store: MemoryStore, body: Mapping[str, Any]) -> dict[str, Any]:
    key = _text(body["key"])
    if not body.get("range_end"):
        entry = await store.get(key)
        return {
            "header": _header(store),
            "kvs": [_kv(entry)] if entry else [],
            "count": "1" if entry else "0",
        }
    prefix = _prefix_of(base64.b64decode(body["range_end"]))
    limit = int(body.get("limit", 0)) or 1_000_000
    page = await store.scan(prefix, start=key, limit=limit)
    return {
        "header": {"revision": str(page.revision)},
        "kvs": [_kv(entry) for entry in page.entries],
        "more": page.more,
    }


async def _txn(store: MemoryStore, body: Mapping[str, Any]) -> dict[str, Any]:
    compares = tuple(
        Compare(_text(c["key"]), int(c.get("mod_revision", 0)))
        for c in body.get("compare") or []
    )
    operations = tuple(_operation(op) for op in body.get("success") or [])
    result = await store.commit(Transaction(compares, operations))
    return {
        "header": {"revision": str(result.revision)},
        "succeeded": result.succeeded,
    }


async def _grant(store: MemoryStore, body: Mapping[str, Any]) -> dict[str, Any]:
    ttl = int(body["TTL"])
    lease = await store.grant_lease(timedelta(seconds=ttl))
    return {"header": _header(store), "ID": str(lease), "TTL": str(ttl)}


async def _keep_alive(store: MemoryStore, body: Mapping[str, Any]) -> dict[str, Any]:
    lease = int(body["ID"])
    try:
        ttl = int((await store.keep_lease_alive(lease)).total_seconds())
    except LeaseLostError:
        ttl = 0
    return {"result": {"header": _header(store), "ID": str(lease), "TTL": str(ttl)}}


async def _revoke(store: MemoryStore, body: Mapping[str, Any]) -> dict[str, Any]:
    await store.revoke_lease(int(body["ID"]))
    return {"header": _header(store)}


_HANDLERS_BY_PATH = {
    "/v3/kv/range": _range,
    "/v3/kv/txn": _txn,
    "/v3/lease/grant": _grant,
    "/v3/lease/keepalive": _keep_alive,
    "/v3/lease/revoke": _revoke,
}


async def _watch_lines(
    store: MemoryStore, create: Mapping[str, Any]
) -> AsyncIterator[bytes]:
    prefix = _prefix_of(base64.b64decode(create["range_end"]))
    start = int(create.get("start_revision", 0)) or store.revision + 1
    yield _line({"header": _header(store), "created": True})
    try:
        async with store.watch(prefix, from_revision=start) as batches:
            async for batch in _with_progress(store, batches):
                yield batch
    except CompactedError as error:
        yield _line(
            {
                "header": _header(store),
                "canceled": True,
                "compact_revision": str(error.compact_revision),
            }
        )


async def _with_progress(
    store: MemoryStore, batches: AsyncIterator[WatchBatch]
) -> AsyncIterator[bytes]:
    """Yield each batch as a line, and a progress notification while idle."""
    while True:
        with anyio.move_on_after(WATCH_PROGRESS_INTERVAL.total_seconds()) as scope:
            try:
                batch = await anext(batches)
            except (StopAsyncIteration, StoreUnavailableError):
                return
        if scope.cancelled_caught:
            store.expire()
            yield _line({"header": _header(store)})
        else:
            yield _line(
                {
                    "header": {"revision": str(batch.revision)},
                    "events": [_event(event) for event in batch.events],
                }
            )


def _line(result: Mapping[str, Any]) -> bytes:
    return json.dumps({"result": _without_defaults(result)}).encode() + b"\n"


def _without_defaults(message: Any) -> Any:
    """Omit zero values at all levels, as the JSON gateway does."""
    if isinstance(message, list):
        return [_without_defaults(item) for item in message]
    if not isinstance(message, dict):
        return message
    fields = {name: _without_defaults(value) for name, value in message.items()}
    return {k: v for k, v in fields.items() if v not in ("", "0", 0, False, [], {})}


def _event(event: Any) -> dict[str, Any]:
    if event.entry is not None:
        return {"kv": _kv(event.entry)}
    key = base64.b64encode(event.key.encode()).decode()
    kv = {"key": key, "mod_revision": str(event.revision)}
    return {"type": "DELETE", "kv": kv}


def _kv(entry: Entry) -> dict[str, Any]:
    return {
        "key": base64.b64encode(entry.key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": "1",
        "lease": str(entry.lease),
    }


def _operation(operation: Mapping[str, Any]) -> Operation:
    if "request_put" in operation:
        put = operation["request_put"]
        value = base64.b64decode(put.get("value", ""))
        return Put(_text(put["key"]), value, int(put.get("lease", 0)))
    return Delete(_text(operation["request_delete_range"]["key"]))


def _text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _prefix_of(range_end: bytes) -> str:
    """Return the prefix whose range ends at ``range_end``."""
    if range_end == b"\0":
        return ""
    return (range_end[:-1] + bytes([range_end[-1] - 1])).decode()


def _header(store: MemoryStore) -> dict[str, str]:
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(store.revision),
        "raft_term": "2",
    }


async def expire_leases(store: MemoryStore, clock: Clock) -> None:
    """Expire leases periodically, so that watchers see it without a store call."""
    while True:
        await clock.sleep(timedelta(seconds=0.5))
        store.expire()


def main() -> None:
    """Serve the platform stand-in as a process of its own."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--vms", type=Path, help="JSON array of VMs")
    arguments = parser.parse_args()
    vms = []
    if arguments.vms:
        vms = msgspec.json.decode(arguments.vms.read_bytes(), type=list[Vm])
    clock = SystemClock()
    state = PlatformState(MemoryStore(clock), MemoryVmDirectory(clock, vms))
    config = server_config(
        platform_app(state), host=arguments.host, port=arguments.port
    )

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(expire_leases, state.store, clock)
            await uvicorn.Server(config).serve()
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    main()
