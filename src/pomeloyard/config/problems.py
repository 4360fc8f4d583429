"""Problems found in configuration files."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

from ..errors import ConfigurationError


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """One error: its location, what is wrong and what was expected.

    ``line`` counts from 1 and is 0 if unknown.
    """

    file: str
    path: str
    problem: str
    expected: str = ""
    line: int = 0

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        text = ": ".join(part for part in (location, self.path, self.problem) if part)
        return f"{text} (expected {self.expected})" if self.expected else text


class ConfigProblemsError(ConfigurationError):
    """The configuration contains errors; nothing was published."""

    def __init__(self, problems: list[ConfigProblem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def unknown_name(
    file: str, path: str, name: str, known: Iterable[str]
) -> ConfigProblem:
    """Return the problem of an unknown table or key, suggesting a similar known one.

    >>> unknown_name("f", "pools.a", "executer", ["executors", "workers"]).expected
    'did you mean "executors"?'
    """
    names = sorted(known)
    similar = difflib.get_close_matches(name[:100], names, n=1)
    expected = (
        f'did you mean "{similar[0]}"?' if similar else "one of " + ", ".join(names)
    )
    return ConfigProblem(file, path, f'unknown name "{name[:100]}"', expected)
