"""Results of this daemon's keyed requests, stored to answer repeated ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..claims.table import CLAIM_WINDOW
from ..clock import Clock

RESULT_WINDOW = CLAIM_WINDOW + timedelta(minutes=2)
"""Longer than a claim, so that a claim's holder always knows the request's state."""

MAX_RESPONSE_BYTES = 64 * 1024
"""Longest response body that is stored."""

MAX_STORED_BYTES = 4 * 1024 * 1024
"""Total size of a daemon's stored responses; the oldest are evicted first."""

MAX_RESULTS = 50_000
RESPONSE_OVERHEAD_BYTES = 512


class ResultState(Enum):
    """State of a request at the daemon that holds its claim."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def size(self) -> int:
        """Return the number of bytes that count towards the limit."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return RESPONSE_OVERHEAD_BYTES + headers + len(self.body)


@dataclass(slots=True)
class Result:
    """State of one keyed request; ``response`` is None if it is not stored."""

    fingerprint: bytes
    started: timedelta
    state: ResultState = ResultState.RUNNING
    response: StoredResponse | None = field(default=None)


class ResultTable:
    """Results by key hash, bounded in number, age and bytes."""

    def __init__(
        self,
        clock: Clock,
        max_results: int = MAX_RESULTS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ) -> None:
        self._clock = clock
        self._max_results = max_results
        self._max_stored_bytes = max_stored_bytes
        self._results_by_key: dict[bytes, Result] = {}
        self._sizes_by_key: dict[bytes, int] = {}
        self.stored_bytes = 0

    def __len__(self) -> int:
        return len(self._results_by_key)

    def get(self, key_hash: bytes) -> Result | None:
        """Return the result of a key, or None if this daemon has none."""
        self._expire()
        return self._results_by_key.get(key_hash)

    def begin(self, key_hash: bytes, fingerprint: bytes) -> bool:
        """Add a request before it is claimed; return False if the table is full."""
        self._expire()
        if len(self._results_by_key) >= self._max_results:
            return False
        self._results_by_key[key_hash] = Result(fingerprint, self._clock.monotonic())
        return True

    def forget(self, key_hash: bytes) -> None:
        """Drop a request that certainly did not run."""
        self._results_by_key.pop(key_hash, None)
        self._drop_response(key_hash)

    def finish(
        self, key_hash: bytes, state: ResultState, response: StoredResponse | None
    ) -> None:
        """Record how a request ended and store its response if it is short enough."""
        result = self._results_by_key.get(key_hash)
        if result is None:
            return
        result.state = state
        if response is None or len(response.body) > MAX_RESPONSE_BYTES:
            return
        result.response = response
        self._sizes_by_key[key_hash] = response.size()
        self.stored_bytes += response.size()
        while self.stored_bytes > self._max_stored_bytes:
            self._drop_response(next(iter(self._sizes_by_key)))

    def _drop_response(self, key_hash: bytes) -> None:
        self.stored_bytes -= self._sizes_by_key.pop(key_hash, 0)
        result = self._results_by_key.get(key_hash)
        if result is not None:
            result.response = None

    def _expire(self) -> None:
        cutoff = self._clock.monotonic() - RESULT_WINDOW
        while self._results_by_key:
            first = next(iter(self._results_by_key))
            result = self._results_by_key[first]
            if result.started > cutoff or result.state is ResultState.RUNNING:
                return
            self.forget(first)
