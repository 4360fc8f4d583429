"""Line counts and the page of figures; a wrong page would hide a missed target."""

import pytest

from measurements.figures import Figure, at_most
from measurements.support.report import page
from measurements.support.size import code_lines


@pytest.mark.parametrize(
    ("text", "lines"),
    [
        ("", 0),
        ("# comment\n\n", 0),
        ("x = 1  # comment\n", 1),
        ("x = [\n    # comment\n    1,\n]\n", 3),
        ('def f():\n    """First.\n\n    # Not a comment.\n    """\n', 4),
        ('x = "#"\n', 1),
    ],
)
def test_only_blank_lines_and_comments_are_left_out(text, lines):
    assert code_lines(text) == lines


def test_figures_out_of_bounds_come_first():
    figures = [
        Figure("free", 12345.678, "ms"),
        Figure("ended", 1.0, "1 = yes", 1.0, True),
        at_most("kept", 0.01, "ratio", 0.02, "lilim"),
        at_most("missed", 3, "VMs", 0, "hsinchu"),
    ]
    text = page(figures, "abc1234", "2026-01-31", "0.5")
    assert "abc1234, 2026-01-31, load 0.5" in text.splitlines()[0]
    outside, others = text.split("## In bounds, or without a bound")
    assert "| `missed` | hsinchu | 3 VMs | 0 VMs | no |" in outside
    assert "kept" not in outside
    assert "| `kept` | lilim | 0.01 ratio | 0.02 ratio | yes |" in others
    assert "| `ended` |  | 1 (1 = yes) | 1 (1 = yes) | yes |" in others
    assert "| `free` |  | 12346 ms |  | no bound |" in others


def test_page_without_missed_targets_says_so():
    text = page([at_most("kept", 0, "VMs", 0)], "abc1234", "2026-01-31", "0.5")
    assert "## Out of bounds\n\nNone.\n" in text
