"""Names that leave the process stay as they are.

``names.txt`` lists fields and values of messages, stored keys and fields, settings,
flags, environment variables, metrics and labels, and keys of log lines. A rename in
the code that changes one of them would break other daemons, stored data, settings
files, clients or the operators' tools without a failure elsewhere.
"""

from __future__ import annotations

import ast
from pathlib import Path

HERE = Path(__file__).parent
SOURCE = HERE.parents[1] / "src"


def names_in(tree):
    """Yield all strings, annotated fields, keywords and class names of a module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value
        elif isinstance(node, ast.Constant) and isinstance(node.value, bytes):
            yield node.value.decode("latin-1")
        elif isinstance(node, ast.ClassDef):
            yield node.name
            for part in node.body:
                if isinstance(part, ast.AnnAssign) and isinstance(
                    part.target, ast.Name
                ):
                    yield part.target.id
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg


def test_each_name_that_leaves_the_process_is_still_in_the_source():
    found = set()
    for path in SOURCE.rglob("*.py"):
        found.update(names_in(ast.parse(path.read_text())))
    listed = (HERE / "names.txt").read_text().splitlines()
    assert len(listed) > 1000
    assert [name for name in listed if name not in found] == []
