"""Concurrent calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

A = TypeVar("A")
B = TypeVar("B")


async def run_both(
    first: Callable[[], Awaitable[A]], second: Callable[[], Awaitable[B]]
) -> tuple[A, B]:
    """Make two calls concurrently and return both results.

    Waits for both, then raises the first error, not wrapped in an ExceptionGroup.
    """
    errors: list[Exception] = []
    first_results: list[A] = []
    second_results: list[B] = []

    async def run_first() -> None:
        try:
            first_results.append(await first())
        except Exception as error:
            errors.append(error)

    async def run_second() -> None:
        try:
            second_results.append(await second())
        except Exception as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_first)
        tasks.start_soon(run_second)
    if errors:
        raise errors[0]
    return first_results[0], second_results[0]
