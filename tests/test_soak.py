"""A short seeded run of the soak; `python -m tests.soak.soak_run` runs more."""

from __future__ import annotations

import anyio
import pytest

from tests.soak.soak_run import run_seed

SEEDS = [1, 10, 11, 12, 13, 27, 28, 36, 70, 74, 78, 217, 218, 301, 302]
"""Seed 1 is the first seed; each of the others has failed once:

10: two overlapping faults started one daemon twice; the soak now starts it once.
11: an idle executor restarted, and the sequence number acknowledged before the restart
    acknowledged its first end.
12: an unresponsive connection to the store delayed a cancellation by 5.6 s.
36: a role lost within a task group was logged as a failure of the work.
70: a call to a store that was cut off blocked until the daemon's exit; and after all
    jobs were read again, a cancellation was applied before its job was known.
11, 13, 27, 28, 74, 78 also: a start without a response was executed by the next
incarnation of an executor that kept its ID, before the daemon could reach that
incarnation. 78 also as 70.
217, 218: such a start finished before the daemon queried the next incarnation; its end
was acknowledged, and the task ran again.
301, 302: the stand-in of the executors carried out an order without a response a second
time, 30 s later.
13 also: a call whose caller had disconnected was cancelled at a daemon's exit.
"""


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(seed):
    violations, counts = anyio.run(run_seed, seed, 8.0)
    assert violations == [], counts
