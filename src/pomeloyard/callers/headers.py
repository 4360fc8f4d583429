"""Filters for headers forwarded between callers and executors."""

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
"""Headers that apply to a single connection (RFC 9110, section 7.6.1)."""

NOT_FOR_EXECUTORS = frozenset(
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
"""Request headers that the daemon sets or that are meant only for it."""

NOT_FOR_CALLERS = frozenset({b"x-request-id", b"x-team"})


def request_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return the headers of a caller to forward to an executor, in lower case.

    >>> request_headers([(b"x-team", b"a"), (b"accept", b"*/*")])
    ((b'accept', b'*/*'),)
    """
    return _forwarded(headers, NOT_FOR_EXECUTORS)


def response_headers(headers: Iterable[tuple[bytes, bytes]]) -> RawHeaders:
    """Return the headers of an executor to forward to the caller, in lower case."""
    return _forwarded(headers, NOT_FOR_CALLERS)


def _forwarded(
    headers: Iterable[tuple[bytes, bytes]], excluded: frozenset[bytes]
) -> RawHeaders:
    lower_case_headers = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP | excluded
    for name, value in lower_case_headers:
        if name == b"connection":
            # Content-Length frames the body, so Connection must not remove it.
            connection_options = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | (connection_options - {b"content-length"})
    return tuple(item for item in lower_case_headers if item[0] not in dropped)
