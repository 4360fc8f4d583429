"""Failure of a client's call to a daemon."""

from __future__ import annotations

from typing import Any

from .errors import PomeloyardError

PROBLEM_PREFIX = "urn:pomeloyard:"


class CallError(PomeloyardError):
    """The call was refused, failed or has an unknown outcome.

    ``status`` is the HTTP status, or 0 without a response; ``problem`` holds the
    problem details (RFC 9457); ``retry_after`` is in seconds.
    """

    def __init__(
        self, status: int, problem: dict[str, Any], retry_after: str = ""
    ) -> None:
        super().__init__(f"{problem.get('type')}: {problem.get('detail')}")
        self.status = status
        self.problem = problem
        self.retry_after = retry_after

    @property
    def reason(self) -> str:
        """Return the problem type without its prefix."""
        return str(self.problem.get("type", "")).removeprefix(PROBLEM_PREFIX)

    @property
    def outcome(self) -> str:
        """Return "not-run" or "unknown"."""
        return str(self.problem.get("outcome", "unknown"))
