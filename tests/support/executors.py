"""Executors on loopback with injected faults."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketAttribute

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Request-Id: "


class FaultyExecutor:
    """A raw HTTP/1.1 server; ``fault`` selects how it fails the next requests."""

    def __init__(self):
        self.fault = "none"
        self.address = ""
        self.requests = []
        self.connections = self.open_connections = 0
        self.released = anyio.Event()
        self.sent_bytes = 0

    @asynccontextmanager
    async def serving(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield self
            tasks.cancel_scope.cancel()

    async def _serve(self, stream):
        self.connections += 1
        self.open_connections += 1
        try:
            await self._serve_requests(stream)
        finally:
            self.open_connections -= 1

    async def _serve_requests(self, stream):
        async with stream:
            if self.fault == "reset before":
                return
            try:
                while True:
                    request = await read_request(stream)
                    self.requests.append(request)
                    if not await self._answer(stream, request):
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _answer(self, stream, request):
        request_id = request.headers["x-request-id"].encode()
        if self.fault == "reset after":
            return False
        if self.fault == "silent":
            await anyio.sleep_forever()
        if self.fault == "slow":
            await self.released.wait()
        if self.fault == "endless":
            await self._send_endlessly(stream, request_id)
        if self.fault == "wrong id":
            request_id = b"another"
        body = b"0123456789"
        if self.fault == "truncated":
            body = body[:4]
        head = RESPONSE_HEAD + request_id + b"\r\n\r\n"
        if self.fault == "no length":
            head = head.replace(b"Content-Length: 10", b"Connection: close")
        if self.fault == "hop headers":
            extra = b"Connection: close, X-Private\r\nX-Private: 1\r\nX-Team: other\r\n"
            head = head[:-2] + extra + b"\r\n"
        if self.fault == "chunk missing":
            head = head.replace(b"Content-Length: 10", b"Transfer-Encoding: chunked")
            body = b"a\r\n0123456789\r\n"
        await stream.send(head + body)
        return self.fault in ("none", "slow")

    async def _send_endlessly(self, stream, request_id):
        length = 1 << 40
        head = RESPONSE_HEAD.replace(b"10", b"%d" % length)
        await stream.send(head + request_id + b"\r\n\r\n")
        while True:
            await stream.send(bytes(64 * 1024))
            self.sent_bytes += 64 * 1024


class ReceivedRequest:
    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body = headers, body


async def read_request(stream):
    """Return one request with its whole body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    line, *lines = head.decode().split("\r\n")
    headers = {k.lower(): v for k, v in (item.split(": ", 1) for item in lines)}
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        body += await stream.receive()
    while headers.get("transfer-encoding") == "chunked" and b"0\r\n\r\n" not in body:
        body += await stream.receive()
    return ReceivedRequest(line, headers, body)
