"""Watches the registrations of executors."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import anyio
import logbook

from ..clock import Clock
from ..errors import CompactedError, StoreError
from ..keyvalue.store import Entry, PollingStore
from .configuration_follower import DocumentError
from .executors import Executor
from .job_reload import scan_with_retries

POLL_WAIT = timedelta(seconds=1.2)
"""A connection that silently stopped delivering hides draining executors for this long;
nothing may be started on them 2 s after they announced the drain."""
RETRY_DELAY = timedelta(seconds=0.1)
"""Mean pause after a store error."""
DEFAULT_CAPACITY_BOUND = timedelta(seconds=3)
"""Time from the registration of a smaller capacity until starts must keep to it, if the
deployment states none."""
MAX_DELIVERY_TIME = timedelta(seconds=0.5)
"""Time from the check of a start until its call times out."""

log = logbook.Logger("pomeloyard.batch.registry")


class ExecutorDocuments(Protocol):
    """Store prefix and decoder of executor registrations."""

    prefix: str

    def executor(self, key: str, content: bytes) -> Executor:
        """Decode a registration; raises DocumentError."""
        ...


class ExecutorRegistry:
    """Keeps the currently registered executors."""

    def __init__(
        self,
        clock: Clock,
        store: PollingStore,
        documents: ExecutorDocuments,
        capacity_bound: timedelta = DEFAULT_CAPACITY_BOUND,
    ) -> None:
        self._clock = clock
        self._store = store
        self._documents = documents
        self.executors_by_id: dict[str, Executor] = {}
        self.loaded = anyio.Event()
        self.on_change: Callable[[], None] | None = None
        self.on_progress: Callable[[], None] | None = None
        """Called after each page of registrations and each answered poll."""
        self._max_age = capacity_bound - MAX_DELIVERY_TIME
        self._confirmed_at: timedelta | None = None
        self._confirmed = anyio.Event()

    @property
    def is_current(self) -> bool:
        """Tell whether the registrations are new enough for a start.

        A capacity that has shrunk since they were read must not be exceeded for long.
        """
        if self._confirmed_at is None:
            return False
        return self._clock.monotonic() - self._confirmed_at <= self._max_age

    def successors_of(self, executor: Executor) -> list[Executor]:
        """Return the registrations that name the same VM and a later start.

        A VM has one executor at a time, so everything on an earlier one has ended. But
        anybody may write a registration, so only one that answers under its id counts.
        """
        if not executor.vm:
            return []
        return [
            other
            for other in self.executors_by_id.values()
            if other.vm == executor.vm
            and other.executor_id != executor.executor_id
            and other.incarnation > executor.incarnation
        ]

    async def wait_until_current(self) -> None:
        """Return once the registrations are new enough for starts."""
        while not self.is_current:
            await self._confirmed.wait()

    def _on_progress(self) -> None:
        if self.on_progress is not None:
            self.on_progress()

    def _confirm(self, asked_at: timedelta) -> None:
        self._on_progress()
        self._confirmed_at = asked_at
        self._confirmed.set()
        self._confirmed = anyio.Event()

    async def run(self) -> None:
        """Watch the registrations until cancelled."""
        position: int | None = None
        while True:
            try:
                asked_at = self._clock.monotonic()
                if position is None:
                    position = await self._load_all()
                    self._confirm(asked_at)
                    self.loaded.set()
                else:
                    # Registrations that are too old for starts are confirmed at once.
                    wait = POLL_WAIT if self.is_current else timedelta(0)
                    batch = await self._store.poll_changes(
                        self._documents.prefix, position, wait
                    )
                    self._confirm(asked_at)
                    position = batch.revision
                    for event in batch.events:
                        self._apply(event.key, event.entry)
                    if not batch.events:
                        continue
                if self.on_change is not None:
                    self.on_change()
            except CompactedError as error:
                log.info("watch revision was compacted, reloading all: {}", error)
                position = None
            except StoreError as error:
                log.info("executor watch failed, retrying: {}", error)
                await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))

    async def _load_all(self) -> int:
        prefix = self._documents.prefix
        page = await scan_with_retries(
            self._clock, self._store, prefix, self._on_progress
        )
        entries = {entry.key: entry for entry in page.entries}
        for executor_id in list(self.executors_by_id):
            if prefix + executor_id not in entries:
                del self.executors_by_id[executor_id]
        for key, entry in entries.items():
            self._apply(key, entry)
        return page.revision

    def _apply(self, key: str, entry: Entry | None) -> None:
        executor_id = key.removeprefix(self._documents.prefix)
        if entry is None:
            self.executors_by_id.pop(executor_id, None)
            return
        try:
            executor = self._documents.executor(key, entry.value)
        except DocumentError as error:
            log.warning("ignoring registration {}, which is invalid: {}", key, error)
            self.executors_by_id.pop(executor_id, None)
            return
        self.executors_by_id[executor_id] = executor
