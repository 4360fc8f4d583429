import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.shares import weighted_max_min

AMOUNTS = st.integers(0, 1000)
WEIGHTS = st.integers(1, 50)


@settings(derandomize=True, max_examples=200)
@given(
    st.integers(0, 3000),
    st.dictionaries(st.sampled_from("abcdefgh"), st.tuples(AMOUNTS, WEIGHTS)),
)
def test_division_is_max_min_fair(capacity, teams):
    """Guards against unused or exceeded capacity, and against unfair division."""
    demands = {name: demand for name, (demand, _) in teams.items()}
    weights = {name: weight for name, (_, weight) in teams.items()}
    shares = weighted_max_min(capacity, demands, weights)
    assert math.isclose(sum(shares.values()), min(capacity, sum(demands.values())))
    levels = {name: shares[name] / weights[name] for name in teams}
    for name in teams:
        assert 0 <= shares[name] <= demands[name]
        if shares[name] < demands[name] - 1e-9:
            assert levels[name] >= max(levels.values()) - 1e-9


@pytest.mark.parametrize("bad", [-1.0, math.nan])
def test_invalid_amounts_are_rejected(bad):
    """Guards against a NaN demand, which breaks the sort order without an error."""
    with pytest.raises(ValueError, match="demand"):
        weighted_max_min(1, {"a": bad, "b": 1}, {})
    with pytest.raises(ValueError, match="weight"):
        weighted_max_min(1, {"a": 1}, {"a": bad})
