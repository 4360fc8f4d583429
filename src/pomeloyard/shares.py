"""Weighted max-min fair division of a capacity."""

from __future__ import annotations

import math
from collections.abc import Mapping
from itertools import accumulate


def weighted_max_min(
    capacity: float,
    demands_by_name: Mapping[str, float],
    weights_by_name: Mapping[str, float],
) -> dict[str, float]:
    """Divide ``capacity`` by weighted max-min fairness.

    No name receives more than its demand, and what it leaves is divided among the
    others by weight. A missing weight is 1. Names with weight 0 share equally what
    all others leave. Takes O(n log n) for n names. Raises ValueError for a negative,
    infinite or NaN weight and for a negative or NaN demand.

    >>> weighted_max_min(10, {"a": 2, "b": 8, "c": 8}, {"a": 1, "b": 1, "c": 3})
    {'a': 2.0, 'b': 2.0, 'c': 6.0}
    >>> weighted_max_min(10, {"a": 2, "b": 3}, {})
    {'a': 2.0, 'b': 3.0}
    >>> weighted_max_min(10, {"a": 4, "spare": 9, "more": 9}, {"spare": 0, "more": 0})
    {'a': 4.0, 'spare': 3.0, 'more': 3.0}
    """
    weights = {name: float(weights_by_name.get(name, 1.0)) for name in demands_by_name}
    for name, demand in demands_by_name.items():
        if not demand >= 0 or not 0 <= weights[name] < math.inf:
            raise ValueError(f"{name}: demand {demand}, weight {weights[name]}")
    remaining = max(0.0, float(capacity))
    shares = dict.fromkeys(demands_by_name, 0.0)
    weighted = [name for name in demands_by_name if weights[name] > 0]
    remaining = _fill(remaining, weighted, demands_by_name, weights, shares)
    unweighted = [name for name in demands_by_name if weights[name] == 0]
    equal = dict.fromkeys(unweighted, 1.0)
    _fill(remaining, unweighted, demands_by_name, equal, shares)
    return shares


def _fill(
    remaining: float,
    names: list[str],
    demands: Mapping[str, float],
    weights: Mapping[str, float],
    shares: dict[str, float],
) -> float:
    """Divide ``remaining`` by progressive filling; return what is left."""
    # In order of demand per weight, all names before the first whose demand exceeds
    # the common level receive their demand; that one and the rest receive the level.
    names.sort(key=lambda name: demands[name] / weights[name])
    # Suffix sums, because repeated subtraction would accumulate rounding errors.
    sums = list(accumulate(weights[name] for name in reversed(names)))
    for index, name in enumerate(names):
        level = remaining / sums[len(names) - 1 - index]
        if demands[name] > level * weights[name]:
            for other in names[index:]:
                shares[other] = min(float(demands[other]), level * weights[other])
            return 0.0
        shares[name] = float(demands[name])
        remaining = max(0.0, remaining - shares[name])
    return remaining
