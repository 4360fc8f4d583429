"""Queued jobs of each team, grouped into classes with equal requirements."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from datetime import datetime
from itertools import islice

from .job import Job, JobRequest

JobClass = tuple[object, ...]
MAX_CLASSES_PER_STEP = 256
"""Most job classes per team and priority that one planning step considers."""


def class_of(job: Job) -> JobClass:
    """Return the class of a job; all jobs of one class fit the same workers."""
    request: JobRequest = job.request
    return (
        request.queue,
        request.cores,
        request.memory_bytes,
        request.accelerators,
        request.label or request.command,
        job.memory_floor,
        job.failed_on,
    )


class TeamQueue:
    """Queued jobs of one team and priority, oldest first within each class.

    Jobs that are no longer queued are removed only when they reach the head, so
    that a cancellation does not have to search the queue.
    """

    def __init__(self, is_queued: Callable[[str, JobClass], bool]) -> None:
        self._is_queued = is_queued
        self._classes: dict[JobClass, deque[tuple[datetime, str]]] = {}

    def add(self, job: Job) -> None:
        """Add a queued job; adding it twice is harmless."""
        entries = self._classes.setdefault(class_of(job), deque())
        entry = (job.submitted_at, job.key)
        if entries and entry < entries[0]:
            entries.appendleft(entry)
        else:
            entries.append(entry)

    def heads(self) -> list[tuple[datetime, str, JobClass]]:
        """Return a heap of the oldest job of each class."""
        heads: list[tuple[datetime, str, JobClass]] = []
        for job_class in list(self._classes):
            head = self.head(job_class)
            if head is not None:
                heads.append((*head, job_class))
        if len(heads) > MAX_CLASSES_PER_STEP:
            heads = heapq.nsmallest(MAX_CLASSES_PER_STEP, heads, key=lambda h: h[:2])
        heapq.heapify(heads)
        return heads

    def head(self, job_class: JobClass) -> tuple[datetime, str] | None:
        """Return the oldest queued job of a class, or None."""
        entries = self._classes.get(job_class)
        if entries is None:
            return None
        while entries and not self._is_queued(entries[0][1], job_class):
            entries.popleft()
        if not entries:
            del self._classes[job_class]
            return None
        return entries[0]

    def next_after(
        self, job_class: JobClass, taken: set[str]
    ) -> tuple[datetime, str] | None:
        """Return the oldest queued job of a class that is not in ``taken``.

        Taken jobs are removed; the caller adds them again if they are not placed.
        """
        while True:
            head = self.head(job_class)
            if head is None or head[1] not in taken:
                return head
            self._classes[job_class].popleft()

    def oldest(self, limit: int) -> list[str]:
        """Return the keys of the oldest queued jobs of all classes."""
        entries = [
            entry
            for job_class, queued in self._classes.items()
            for entry in islice(
                (e for e in queued if self._is_queued(e[1], job_class)), limit
            )
        ]
        return [key for _, key in heapq.nsmallest(limit, entries)]

    def of_class(self, job_class: JobClass, limit: int) -> list[str]:
        """Return the keys of the oldest queued jobs of one class."""
        queued = self._classes.get(job_class, ())
        keys = (key for _, key in queued if self._is_queued(key, job_class))
        return list(islice(keys, limit))
