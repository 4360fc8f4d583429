"""JSON log lines, written through a bounded queue without blocking the event loop."""

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
"""PIPE_BUF: a pipe that polls as writable accepts this much without blocking, so a
shared standard error need not be set to O_NONBLOCK."""
MAX_CHUNKS_PER_FLUSH = 64
"""Bounds the duration of one flush; about 5 MB/s at the flush interval."""
MAX_LINE_BYTES = 16 * 1024
REOPEN_INTERVAL = timedelta(seconds=1)
STDOUT = 1
STDERR = 2


class LogWriter:
    """Writes lines to a file or a standard stream in bounded batches.

    Lines are dropped and counted while the queue is full.
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
        self._unwritten = b""
        self._descriptor: int | None = None if file else stream
        self._retry_at = timedelta(0)
        self.dropped_lines = 0
        self.written_bytes = 0
        self.failed_writes = 0

    @property
    def queued_lines(self) -> int:
        """Return the number of lines in the queue."""
        return len(self._lines)

    def put(self, line: bytes) -> None:
        """Queue a line without blocking; drop it if the queue is full."""
        if len(self._lines) >= self._max_lines or len(line) > MAX_LINE_BYTES:
            self.dropped_lines += 1
            return
        self._lines.append(line + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            if self._lines or self._unwritten:
                self.flush()
            await self._clock.sleep(FLUSH_INTERVAL)

    def flush(self) -> None:
        """Write a bounded batch, as far as the destination does not block."""
        for _ in range(MAX_CHUNKS_PER_FLUSH):
            chunk = self._next_chunk()
            if not chunk or not self._is_writable():
                return
            try:
                written = os.write(self._descriptor, chunk)  # type: ignore[arg-type]
            except BlockingIOError:
                return
            except OSError:
                self._record_failure()
                return
            self.written_bytes += written
            self._unwritten = chunk[written:]

    def close(self) -> None:
        """Flush one batch and close the file."""
        self.flush()
        if self._file and self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _next_chunk(self) -> bytes:
        while self._lines and len(self._unwritten) < CHUNK_BYTES:
            self._unwritten += self._lines.popleft()
        return (
            self._unwritten[:CHUNK_BYTES]
            if len(self._unwritten) <= CHUNK_BYTES
            else self._split_chunk()
        )

    def _split_chunk(self) -> bytes:
        """Return the first chunk and put the rest back at the head of the queue."""
        chunk, rest = self._unwritten[:CHUNK_BYTES], self._unwritten[CHUNK_BYTES:]
        self._lines.appendleft(rest)
        self._unwritten = chunk
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
        # Without O_NONBLOCK, opening a named pipe without a reader would block.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK
        try:
            self._descriptor = os.open(self._file, flags, 0o640)
        except OSError:
            self._record_failure()
            return False
        return True

    def _record_failure(self) -> None:
        """Count a failed write; reopen a file after an interval."""
        self.failed_writes += 1
        self._retry_at = self._clock.monotonic() + REOPEN_INTERVAL
        if self._file and self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
            # The rest of a partly written line would be malformed by itself.
            self._unwritten = b""


class JsonLogHandler(logbook.Handler):
    """Logbook handler that queues records as JSON lines."""

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
        """Count a record that cannot be formatted as dropped, instead of raising."""
        self._writer.dropped_lines += 1


def decision_line(decision: Decision) -> bytes:
    """Encode a decision as a JSON line."""
    return msgspec.json.encode(decision)


class DecisionSink:
    """Sink of a DecisionLog that queues a JSON line for each decision."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self.lines = 0

    def __call__(self, decision: Decision) -> None:
        """Queue the line of a decision."""
        self.lines += 1
        self._writer.put(decision_line(decision))
