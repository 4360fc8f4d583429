"""Call ASGI applications without a server."""

from __future__ import annotations

import json


class Response:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""

    @property
    def json(self):
        return json.loads(self.body)


async def call_app(app, method, target, key="", body=None):
    path, _, query = target.partition("?")
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = [(b"authorization", f"Bearer {key}".encode())] if key else []
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "headers": headers,
    }
    response = Response()

    async def receive():
        return {"type": "http.request", "body": content, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            response.status = message["status"]
            response.headers = {k.decode(): v.decode() for k, v in message["headers"]}
        else:
            response.body += message.get("body", b"")

    await app(scope, receive, send)
    return response
