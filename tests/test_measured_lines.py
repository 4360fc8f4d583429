"""Linear fits of measured costs."""

import pytest

from measurements.support.lines import fit, growth_exponent, line_figures


@pytest.mark.parametrize(
    ("costs", "at_ten", "residual"),
    [
        ({1: 3.0, 2: 5.0, 4: 9.0}, 21.0, 0.0),
        ({1: 1.0, 2: 4.0, 3: 9.0}, 110 / 3, 1 / 3),
        ({1: 0.0, 2: 0.0, 3: 0.0}, 0.0, 0.0),
    ],
)
def test_a_curve_shows_in_the_residual(costs, at_ten, residual):
    """Guard against reporting a nonlinear cost as a good linear fit."""
    line = fit(costs)
    assert line.at(10) == pytest.approx(at_ten)
    assert line.residual == pytest.approx(residual)


def test_only_the_value_at_the_target_is_bounded():
    """Guard against a limit that is checked at small sizes instead of the target."""
    figures = list(line_figures("x", "B", "VMs", {1: 1.0, 2: 2.0}, 100, 50.0))
    assert [f.ok for f in figures if f.bound is not None] == [False]
    assert figures[-1].value == pytest.approx(100)
    assert growth_exponent({1: 1.0, 4: 16.0}) == pytest.approx(2)
