"""Results of the keyed requests that this daemon ran, kept for repeated requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..claims.table import CLAIM_WINDOW
from ..clock import Clock

RESULT_WINDOW = CLAIM_WINDOW + timedelta(minutes=2)
"""Longer than a claim is held, so that a claim's runner always knows its state."""

MAX_RESPONSE_BYTES = 64 * 1024
"""Longest body of a response that is kept."""

MAX_KEPT_BYTES = 4 * 1024 * 1024
"""Bytes of all kept responses of one daemon; the oldest are dropped first."""

MAX_RESULTS = 50_000
RESPONSE_OVERHEAD_BYTES = 512


class ResultState(Enum):
    """What the daemon that was granted a claim knows of its request."""

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
        """Return the bytes that count towards the limit."""
        names = sum(len(name) + len(value) for name, value in self.headers)
        return RESPONSE_OVERHEAD_BYTES + names + len(self.body)


@dataclass(slots=True)
class Result:
    """State of one keyed request; ``response`` is None if it is not held."""

    fingerprint: bytes
    started: timedelta
    state: ResultState = ResultState.RUNNING
    response: StoredResponse | None = field(default=None)


class ResultTable:
    """Results by key, bounded in number, age and bytes."""

    def __init__(
        self,
        clock: Clock,
        max_results: int = MAX_RESULTS,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ) -> None:
        self._clock = clock
        self._max_results = max_results
        self._max_kept_bytes = max_kept_bytes
        self._results_by_key: dict[bytes, Result] = {}
        self._kept: dict[bytes, int] = {}
        self.kept_bytes = 0

    def __len__(self) -> int:
        return len(self._results_by_key)

    def get(self, key_hash: bytes) -> Result | None:
        """Return the result of a key, or None if it did not run here."""
        self._expire()
        return self._results_by_key.get(key_hash)

    def begin(self, key_hash: bytes, fingerprint: bytes) -> bool:
        """Note that a request is about to be claimed; False if there is no room."""
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
        """Note how a request ended and keep its response if there is room."""
        result = self._results_by_key.get(key_hash)
        if result is None:
            return
        result.state = state
        if response is None or len(response.body) > MAX_RESPONSE_BYTES:
            return
        result.response = response
        self._kept[key_hash] = response.size()
        self.kept_bytes += response.size()
        while self.kept_bytes > self._max_kept_bytes:
            self._drop_response(next(iter(self._kept)))

    def _drop_response(self, key_hash: bytes) -> None:
        self.kept_bytes -= self._kept.pop(key_hash, 0)
        result = self._results_by_key.get(key_hash)
        if result is not None:
            result.response = None

    def _expire(self) -> None:
        horizon = self._clock.monotonic() - RESULT_WINDOW
        while self._results_by_key:
            first = next(iter(self._results_by_key))
            result = self._results_by_key[first]
            if result.started > horizon or result.state is ResultState.RUNNING:
                return
            self.forget(first)
