"""Stand-in for the operators' platform: its store and scripted peers over HTTP."""

from __future__ import annotations

import base64
import json
from datetime import timedelta

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pomeloyard.errors import CompactedError, LeaseLostError
from pomeloyard.keyvalue.store import Compare, Delete, Put, Transaction

PAGE_ITEMS = 3


def _item(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "rev": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease,
    }


def store_app(memory):
    """Return an app that serves a MemoryStore over the platform's store protocol."""

    async def key(request: Request):
        entry = await memory.get(request.query_params["key"])
        if entry is None:
            return JSONResponse({"current_rev": memory.revision}, 404)
        return JSONResponse({**_item(entry), "current_rev": memory.revision})

    async def items(request: Request):
        prefix = request.query_params["prefix"]
        after = request.query_params.get("after", "")
        start = after + "\0" if after else ""
        page = await memory.scan(prefix, start=start, limit=PAGE_ITEMS)
        rows = [_item(entry) for entry in page.entries]
        body = {"items": rows, "truncated": page.more, "current_rev": page.revision}
        return JSONResponse(body)

    async def changes(request: Request):
        query = request.query_params
        wait = timedelta(milliseconds=int(query["wait_ms"]))
        try:
            batch = await memory.poll_changes(
                query["prefix"], int(query["after"]), wait
            )
        except CompactedError:
            return Response(status_code=410)
        events = [
            _item(event.entry)
            if event.entry
            else {"key": event.key, "rev": event.revision, "deleted": True}
            for event in batch.events
        ]
        return JSONResponse({"events": events, "current_rev": batch.revision})

    async def txn(request: Request):
        body = await request.json()
        compares = tuple(Compare(e["key"], e["rev"]) for e in body["expected"])
        puts = [
            Put(p["key"], base64.b64decode(p["value"], validate=True), p["lease"])
            for p in body["puts"]
        ]
        drops = [Delete(key) for key in body["drop"]]
        try:
            result = await memory.commit(Transaction(compares, (*puts, *drops)))
        except LeaseLostError:
            return Response(status_code=404)
        if not result.succeeded:
            return JSONResponse({"items": []}, 412)
        return JSONResponse({"rev": result.revision})

    async def lease(request: Request):
        ttl_ms = (await request.json())["ttl_ms"]
        granted = await memory.grant_lease(timedelta(milliseconds=ttl_ms))
        return JSONResponse({"lease": granted, "ttl_ms": ttl_ms})

    async def keep(request: Request):
        try:
            ttl = await memory.keep_lease_alive(int(request.path_params["lease"]))
        except LeaseLostError:
            return Response(status_code=404)
        return JSONResponse({"ttl_ms": round(ttl.total_seconds() * 1000)})

    async def end(request: Request):
        await memory.revoke_lease(int(request.path_params["lease"]))
        return JSONResponse({})

    return Starlette(
        routes=[
            Route("/kv-key", key),
            Route("/kv-range", items),
            Route("/kv-watch", changes),
            Route("/kv-txn", txn, methods=["POST"]),
            Route("/kv-lease", lease, methods=["POST"]),
            Route("/kv-keep/{lease}", keep, methods=["POST"]),
            Route("/kv-lease-end/{lease}", end, methods=["DELETE"]),
        ]
    )


class FakePeer:
    """Sends the responses that a test sets per path and records all calls."""

    def __init__(self):
        self.responses = {}
        self.calls = []

    def script(self, path, status, body=None):
        self.responses[path] = (status, body)

    async def __call__(self, scope, receive, send):
        content = b""
        while True:
            message = await receive()
            content += message.get("body", b"")
            if not message.get("more_body"):
                break
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        self.calls.append((scope["path"], headers, content))
        status, body = self.responses.get(scope["path"], (404, None))
        raw = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        length = str(len(raw)).encode()
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": raw})
