"""A kept connection to one peer that carries one HTTP/1.1 call at a time."""

from __future__ import annotations

import select
import socket
from collections.abc import Mapping

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection after this long (TCP_USER_TIMEOUT)."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body that is read; a page of the store holds about 1 MB."""


class PeerClosedError(Exception):
    """The peer ended the connection before its answer was whole."""


class BadAnswerError(Exception):
    """What came is no HTTP answer, or too large."""


class _Answer:
    """Collects an answer from the parser's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.chunks: list[bytes] = []
        self.size = 0
        self.status = 0
        self.reusable = False
        """Whether the peer keeps the connection."""
        self.whole = False

    def on_body(self, content: bytes) -> None:
        self.size += len(content)
        if self.size > MAX_ANSWER_BYTES:
            raise BadAnswerError(f"more than {MAX_ANSWER_BYTES} bytes")
        self.chunks.append(content)

    def on_message_complete(self) -> None:
        # Both are known only until the parser goes on.
        self.status = self.parser.get_status_code()
        self.reusable = self.parser.should_keep_alive()
        # An interim answer precedes the one to the call.
        self.whole = self.status >= 200


def request_bytes(
    method: str, target: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    r"""Return a request as it is sent.

    Raises ValueError if a part cannot stand in the head of a request.

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
    """An open connection; after any failure it must be closed."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self.idle_since = 0.0
        """Time at which it became idle, in seconds of the event loop."""
        self.reusable = True
        """Whether the peer keeps the connection after the last answer."""

    @classmethod
    async def open(cls, host: str, port: int) -> Connection:
        """Connect; raises OSError."""
        connection = cls(await anyio.connect_tcp(host, port))
        options = connection._socket.setsockopt
        options(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        options(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return connection

    def is_stale(self) -> bool:
        """Tell whether an idle connection has bytes or an end to read.

        No answer is due on it, so the peer has closed it or speaks out of turn.
        """
        descriptor = self._socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    async def call(self, request: bytes) -> tuple[int, bytes]:
        """Send one request and return status and body of its answer.

        Raises PeerClosedError, BadAnswerError or anyio's errors of streams.
        """
        await self._stream.send(request)
        answer = _Answer()
        while not answer.whole:
            try:
                answer.parser.feed_data(await self._stream.receive())
            except anyio.EndOfStream as error:
                raise PeerClosedError("the connection ended in an answer") from error
            except httptools.HttpParserError as error:
                raise BadAnswerError(str(error)) from error
        self.reusable = answer.reusable
        return answer.status, b"".join(answer.chunks)

    async def close(self) -> None:
        """Close at once, without waiting for the peer."""
        await anyio.aclose_forcefully(self._stream)
