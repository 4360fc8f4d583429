"""The three possible outcomes of an operation: done, refused or unknown."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")


class RefusalReason(Enum):
    """Why an operation certainly did not run."""

    KEY_MISSING = "key-missing"
    KEY_INVALID = "key-invalid"
    ROLE_INSUFFICIENT = "role-insufficient"
    NOT_FOUND = "not-found"
    INVALID_INPUT = "invalid-input"
    TOO_LARGE = "too-large"
    QUEUE_FULL = "queue-full"
    DEADLINE_PASSED = "deadline-passed"
    LIMIT_REACHED = "limit-reached"
    NO_CAPACITY = "no-capacity"
    NO_EXECUTOR = "no-executor"
    ENDPOINT_UNREACHABLE = "endpoint-unreachable"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    KEY_REUSED = "idempotency-key-reused"
    STORE_UNAVAILABLE = "store-unavailable"
    CONFLICT = "conflict"
    BUDGET_EXCEEDED = "budget-exceeded"
    NOT_READY = "not-ready"
    SHUTTING_DOWN = "shutting-down"
    IMPOSSIBLE = "impossible"
    CANCELLED = "cancelled"
    STALE_FENCE = "stale-fence"


class UnknownReason(Enum):
    """Why it is unknown whether an operation ran."""

    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_MISMATCHED = "answer-mismatched"
    IN_PROGRESS = "in-progress"
    EARLIER_ATTEMPT = "earlier-attempt"
    ANSWER_LOST = "answer-lost"
    INTERNAL_ERROR = "internal-error"


@dataclass(frozen=True, slots=True)
class Done(Generic[T]):
    """The operation ran and returned ``value``."""

    value: T


@dataclass(frozen=True, slots=True)
class Refused:
    """The operation certainly did not run."""

    reason: RefusalReason
    detail: str = ""
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The operation may have run."""

    reason: UnknownReason
    detail: str = ""


Outcome = Done[T] | Refused | Unknown
