"""JSON log lines on a bounded queue that never blocks the event loop."""

from __future__ import annotations

import os
import select
from collections import deque
from datetime import timedelta

import logbook
import msgspec

from .clock import Clock
from .decisions import Decision

FLUSH_INTERVAL = timedelta(seconds=0.05)
CHUNK_BYTES = 4096
"""A pipe that polls as writable takes at least this much (PIPE_BUF) without
blocking, so that the flags of a shared standard error need no change."""
MAX_CHUNKS_PER_FLUSH = 64
"""Bound on the time of one flush; about 5 MB/s at the flush interval."""
MAX_LINE_BYTES = 16 * 1024
REOPEN_INTERVAL = timedelta(seconds=1)
STDOUT = 1
STDERR = 2


class LogWriter:
    """Writes lines to a file, or to a standard stream, in bounded batches.

    Lines that find the queue full are dropped and counted.
    """

    def __init__(
        self,
        clock: Clock,
        file: str = "",
        max_lines: int = 10_000,
        stream: int = STDERR,
    ) -> None:
        self._clock = clock
        self._file = file
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._descriptor: int | None = None if file else stream
        self._retry_at = timedelta(0)
        self.dropped_lines = 0
        self.written_bytes = 0
        self.failed_writes = 0

    @property
    def queued_lines(self) -> int:
        """Return how many lines wait to be written."""
        return len(self._lines)

    def put(self, line: bytes) -> None:
        """Queue a line; never blocks."""
        if len(self._lines) >= self._max_lines or len(line) > MAX_LINE_BYTES:
            self.dropped_lines += 1
            return
        self._lines.append(line + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            if self._lines or self._rest:
                self.flush()
            await self._clock.sleep(FLUSH_INTERVAL)

    def flush(self) -> None:
        """Write a bounded batch of what the destination takes without blocking."""
        for _ in range(MAX_CHUNKS_PER_FLUSH):
            chunk = self._next_chunk()
            if not chunk or not self._is_writable():
                return
            try:
                written = os.write(self._descriptor, chunk)  # type: ignore[arg-type]
            except BlockingIOError:
                return
            except OSError:
                self._fail()
                return
            self.written_bytes += written
            self._rest = chunk[written:]

    def close(self) -> None:
        """Write what the destination takes and close the file."""
        self.flush()
        if self._file and self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _next_chunk(self) -> bytes:
        while self._lines and len(self._rest) < CHUNK_BYTES:
            self._rest += self._lines.popleft()
        return (
            self._rest[:CHUNK_BYTES] if len(self._rest) <= CHUNK_BYTES else self._cut()
        )

    def _cut(self) -> bytes:
        """Return the first chunk and queue the rest again."""
        chunk, rest = self._rest[:CHUNK_BYTES], self._rest[CHUNK_BYTES:]
        self._lines.appendleft(rest)
        self._rest = chunk
        return chunk

    def _is_writable(self) -> bool:
        if self._descriptor is None and not self._open():
            return False
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)  # type: ignore[arg-type]
        return any(event & select.POLLOUT for _, event in poll.poll(0))

    def _open(self) -> bool:
        if self._clock.monotonic() < self._retry_at:
            return False
        # Without O_NONBLOCK, opening a pipe that nobody reads would block.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK
        try:
            self._descriptor = os.open(self._file, flags, 0o640)
        except OSError:
            self._fail()
            return False
        return True

    def _fail(self) -> None:
        """Count a failed write and try a file again later."""
        self.failed_writes += 1
        self._retry_at = self._clock.monotonic() + REOPEN_INTERVAL
        if self._file and self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
            # A line that was cut by the failure cannot be continued.
            self._rest = b""


class JsonLogHandler(logbook.Handler):
    """Logbook handler that turns records into JSON lines."""

    def __init__(self, writer: LogWriter, level: str = "INFO") -> None:
        super().__init__(logbook.lookup_level(level.upper()))
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record."""
        line = {
            "at": record.time,
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        self._writer.put(msgspec.json.encode(line))

    def handle_error(self, record: logbook.LogRecord, exc_info: object) -> None:
        """Count a record that cannot be formatted; logging never raises."""
        self._writer.dropped_lines += 1


def decision_line(decision: Decision) -> bytes:
    """Return a decision as a JSON line with candidates, choice and typed reason."""
    return msgspec.json.encode(decision)


class DecisionSink:
    """Sink of a DecisionLog that queues one line for each decision."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self.lines = 0

    def __call__(self, decision: Decision) -> None:
        """Queue the line of a decision."""
        self.lines += 1
        self._writer.put(decision_line(decision))
