"""A persistent HTTP/1.1 connection that carries one call at a time."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable, Mapping

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

USER_TIMEOUT_MS = 3000
"""Bytes unacknowledged for this long end a connection (TCP_USER_TIMEOUT)."""
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest accepted body; a page of the store holds about 1 MB."""


class PeerClosedError(Exception):
    """The peer closed the connection before its response was complete."""


class BadAnswerError(Exception):
    """The peer sent an invalid or oversized HTTP response."""


class _ResponseParser:
    """Collects a response from the callbacks of the HTTP parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.chunks: list[bytes] = []
        self.size = 0
        self.status = 0
        self.reusable = False
        """Whether the peer keeps the connection open."""
        self.complete = False

    def on_body(self, content: bytes) -> None:
        self.size += len(content)
        if self.size > MAX_RESPONSE_BYTES:
            raise BadAnswerError(f"more than {MAX_RESPONSE_BYTES} bytes")
        self.chunks.append(content)

    def on_message_complete(self) -> None:
        # The parser has both only until it reads the next message.
        self.status = self.parser.get_status_code()
        self.reusable = self.parser.should_keep_alive()
        # An interim (1xx) response precedes the final one.
        self.complete = self.status >= 200


def request_bytes(
    method: str, target: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    r"""Return an encoded request.

    Raises ValueError if the target or a header is not valid in a request head.

    >>> request_bytes("GET", "/a", {"Host": "b"}, b"")
    b'GET /a HTTP/1.1\r\nHost: b\r\n\r\n'
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines)
    if " " in target or head.count("\n") != len(lines) - 1:
        raise ValueError("a space in the target or a line break in the head")
    return head.encode("latin-1") + b"\r\n\r\n" + body


class Connection:
    """An open connection; it must be closed after any failure."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self.idle_since = 0.0
        """Time at which it became idle, in seconds of the event loop's clock."""
        self.reusable = True
        """Whether the peer keeps the connection open after the last response."""

    @classmethod
    async def open(cls, host: str, port: int) -> Connection:
        """Connect; raises OSError."""
        connection = cls(await anyio.connect_tcp(host, port))
        options = connection._socket.setsockopt
        options(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        options(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return connection

    def is_stale(self) -> bool:
        """Tell whether an idle connection is readable.

        No response is due, so the peer has closed it or sent unexpected bytes.
        """
        descriptor = self._socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    async def call(
        self, request: bytes, on_data: Callable[[], None] | None = None
    ) -> tuple[int, bytes]:
        """Send one request and return status and body of the response.

        ``on_data`` is called after each part of the response has arrived. Raises
        PeerClosedError, BadAnswerError or anyio's stream errors.
        """
        await self._stream.send(request)
        response = _ResponseParser()
        while not response.complete:
            try:
                content = await self._stream.receive()
                if on_data is not None:
                    on_data()
                response.parser.feed_data(content)
            except anyio.EndOfStream as error:
                raise PeerClosedError("the connection ended in an answer") from error
            except httptools.HttpParserError as error:
                raise BadAnswerError(str(error)) from error
        self.reusable = response.reusable
        return response.status, b"".join(response.chunks)

    async def close(self) -> None:
        """Close immediately, without waiting for the peer."""
        await anyio.aclose_forcefully(self._stream)
