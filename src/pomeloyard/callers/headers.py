"""Headers that are passed on between callers and executors."""

from __future__ import annotations

from collections.abc import Iterable

RawHeaders = tuple[tuple[bytes, bytes], ...]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""

SET_BY_DAEMON = frozenset(
    {
        b"authorization",
        b"content-length",
        b"expect",
        b"host",
        b"request-timeout",
        b"x-request-id",
        b"x-team",
    }
)
"""Request headers that are the daemon's own, or meant for it alone."""

NOT_FOR_CALLERS = frozenset({b"x-request-id", b"x-team"})


def request_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return a caller's headers for an executor; names are lower case.

    >>> request_headers([(b"x-team", b"a"), (b"accept", b"*/*")])
    ((b'accept', b'*/*'),)
    """
    return _passed_on(headers, SET_BY_DAEMON)


def response_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return an executor's headers for the caller; names are lower case."""
    return _passed_on(headers, NOT_FOR_CALLERS)


def _passed_on(
    headers: Iterable[tuple[bytes, bytes]], excluded: frozenset[bytes]
) -> RawHeaders:
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP | excluded
    for name, value in lowered:
        if name == b"connection":
            # Content-Length frames the body and cannot be named away.
            named = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | (named - {b"content-length"})
    return tuple(item for item in lowered if item[0] not in dropped)
