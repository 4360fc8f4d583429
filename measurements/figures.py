"""The result of a measurement."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure with its bound; ``ok`` is None where there is no bound.

    The bound comes from a stated target, never from a measured figure.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    ok: bool | None = None
    deployment: str = ""


def at_most(
    name: str, value: float, unit: str, bound: float, deployment: str = ""
) -> Figure:
    """Return a figure that must not exceed its bound."""
    return Figure(name, value, unit, bound, value <= bound, deployment)
