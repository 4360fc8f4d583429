"""Cost of each role by size, a line through it and its value at the target size.

Processor time is this machine's. A memory figure counts what the part keeps by
itself, without the interpreter and the libraries.
"""

from __future__ import annotations

from collections.abc import Iterable

from .figures import Figure
from .support import slopes_state

PARTS = (
    slopes_state.state_figures,
    slopes_state.heartbeat_figures,
    slopes_state.claim_figures,
)


def measure() -> Iterable[Figure]:
    """Yield the figures of all roles."""
    for part in PARTS:
        yield from part()
