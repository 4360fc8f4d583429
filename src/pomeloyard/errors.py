"""Exceptions of the package; all derive from PomeloyardError."""

from __future__ import annotations

from .outcomes import Refused, Unknown


class PomeloyardError(Exception):
    """Base class of all errors raised by this package."""


class SettingsError(PomeloyardError):
    """The daemon's settings file is invalid."""


class ConfigurationError(PomeloyardError):
    """The fleet's configuration is invalid."""


class FrameError(PomeloyardError):
    """A frame from another daemon is malformed, oversized or of an unknown version."""


class CallNotSentError(PomeloyardError):
    """A call to a peer was certainly not received."""


class CallNotPermittedError(CallNotSentError):
    """A call was not sent, as its condition no longer held right before sending."""


class CallQueuedError(CallNotSentError):
    """A call was not sent, as this process had too many others to the same peer.

    It says nothing about the peer.
    """


class CallUnansweredError(PomeloyardError):
    """A call to a peer got no complete response; it may have taken effect."""


class CallClosedError(CallUnansweredError):
    """The peer closed the connection before its response was complete."""


class StaleFenceError(PomeloyardError):
    """A peer has seen a higher fencing token: another daemon holds the role."""


class StoreError(PomeloyardError):
    """Base class of failures of the platform's key-value store."""


class StoreUnavailableError(StoreError):
    """The store could not be reached; the operation certainly had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The store's response was lost; the operation may have taken effect."""


class WriteSupersededError(StoreOutcomeUnknownError):
    """A write's response was lost and the record since replaced: effect unknown."""


class StoreRequestError(StoreError):
    """The store rejected a request as invalid, for example a value over 1 MB."""


class CompactedError(StoreError):
    """A watch asked for a revision that the store has compacted."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions before {compact_revision} were compacted")
        self.compact_revision = compact_revision


class LeaseLostError(StoreError):
    """The store lease expired or was revoked."""


class RefusedError(PomeloyardError):
    """An operation was refused; it certainly did not run."""

    def __init__(self, refusal: Refused) -> None:
        super().__init__(f"{refusal.reason.value}: {refusal.detail}")
        self.refusal = refusal


class OutcomeUnknownError(PomeloyardError):
    """An operation may or may not have run."""

    def __init__(self, unknown: Unknown) -> None:
        super().__init__(f"{unknown.reason.value}: {unknown.detail}")
        self.unknown = unknown
