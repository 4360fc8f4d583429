"""Calls that are made at once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

A = TypeVar("A")
B = TypeVar("B")


async def both(
    first: Callable[[], Awaitable[A]], second: Callable[[], Awaitable[B]]
) -> tuple[A, B]:
    """Make two calls at once and return both results.

    Waits for both; raises the error of the first that failed, as it is.
    """
    errors: list[Exception] = []
    firsts: list[A] = []
    seconds: list[B] = []

    async def run_first() -> None:
        try:
            firsts.append(await first())
        except Exception as error:
            errors.append(error)

    async def run_second() -> None:
        try:
            seconds.append(await second())
        except Exception as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_first)
        tasks.start_soon(run_second)
    if errors:
        raise errors[0]
    return firsts[0], seconds[0]
