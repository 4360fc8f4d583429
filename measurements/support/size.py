"""Count lines of code, of tests and of tests of faults and limits.

Usage: python -m measurements.support.size
"""

from __future__ import annotations

import io
import sys
import tokenize
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from measurements.figures import Figure

CODE_DIRECTORIES = ("src", "measurements")
TEST_DIRECTORY = "tests"
TEST_SHARE_BOUND = 1 / 3
FAULT_SHARE_BOUND = 0.25

# Routing of new work, ejection of endpoints, and the caller's response then.
ROUTING_FILES = (
    "tests/test_routing.py",
    "tests/test_drain_notices.py",
)
# Units and slots in use stay within the total, and each team gets its share.
LIMIT_FILES = (
    "tests/test_loans_model.py",
    "tests/test_shares.py",
    "tests/test_budgets.py",
)
# Retries that are allowed after a fault; a key runs at most once.
RETRY_FILES = (
    "tests/test_request_faults.py",
    "tests/test_claim_model.py",
    "tests/test_keyed_processes.py",
)
# Fleet membership, role holders and the links between daemons.
MEMBERSHIP_FILES = (
    "tests/test_membership.py",
    "tests/test_roles.py",
    "tests/test_peer_streams.py",
    "tests/test_fleet_model.py",
)
# Stored, followed and replicated state, with lost responses and outages.
STATE_FILES = (
    "tests/test_store_contract.py",
    "tests/test_follower.py",
    "tests/test_replication.py",
    "tests/test_job_store.py",
)
# Recovery after VMs, daemons or controllers fail, pause or are killed.
RECOVERY_FILES = (
    "tests/test_repairs.py",
    "tests/test_vm_operations.py",
    "tests/test_fleet_processes.py",
    "tests/test_jobs_processes.py",
    "tests/test_job_model.py",
    "tests/test_whole_system.py",
)
FAULT_FILES = (
    ROUTING_FILES
    + LIMIT_FILES
    + RETRY_FILES
    + MEMBERSHIP_FILES
    + STATE_FILES
    + RECOVERY_FILES
)

IGNORED_TOKENS = frozenset(
    {
        tokenize.COMMENT,
        tokenize.NL,
        tokenize.NEWLINE,
        tokenize.INDENT,
        tokenize.DEDENT,
        tokenize.ENCODING,
        tokenize.ENDMARKER,
    }
)


def code_lines(text: str) -> int:
    """Return the number of lines that are neither blank nor only a comment.

    Docstrings count, except their blank lines.
    """
    occupied: set[int] = set()
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type not in IGNORED_TOKENS:
            occupied.update(range(token.start[0], token.end[0] + 1))
    lines = text.splitlines()
    return sum(bool(lines[number - 1].strip()) for number in occupied)


def lines_by_file(root: Path, directories: Iterable[str]) -> dict[str, int]:
    """Return the number of code lines of every Python file in the directories."""
    return {
        path.relative_to(root).as_posix(): code_lines(path.read_text(encoding="utf-8"))
        for directory in directories
        for path in sorted((root / directory).rglob("*.py"))
    }


def figures(root: Path) -> Iterator[Figure]:
    """Yield the sizes; a named file that is missing is an error."""
    code = sum(lines_by_file(root, CODE_DIRECTORIES).values())
    tests_by_file = lines_by_file(root, [TEST_DIRECTORY])
    tests = sum(tests_by_file.values())
    faults = sum(tests_by_file[name] for name in FAULT_FILES)
    yield Figure("size_code_lines", code, "lines")
    yield Figure("size_test_lines", tests, "lines")
    share = tests / (code + tests)
    # The target is below a third, so exactly a third is out of bounds.
    ok = share < TEST_SHARE_BOUND
    yield Figure("size_test_share", share, "ratio", TEST_SHARE_BOUND, ok)
    share = faults / tests
    # The target is a minimum: a quarter or more.
    ok = share >= FAULT_SHARE_BOUND
    yield Figure("size_fault_test_share_least", share, "ratio", FAULT_SHARE_BOUND, ok)


def main() -> int:
    """Print one JSON line for each figure; return 1 if one is out of bounds."""
    found = list(figures(Path.cwd()))
    for figure in found:
        print(msgspec.json.encode(figure).decode())
    return int(any(figure.ok is False for figure in found))


if __name__ == "__main__":
    sys.exit(main())
