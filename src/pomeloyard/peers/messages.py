"""Typed messages between daemons."""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1


class WireMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of messages, which travel as arrays of their fields.

    New fields are appended with a default, so that an older daemon of the same
    protocol version ignores them.
    """


class Hello(WireMessage, frozen=True):
    """First message in both directions of a connection."""

    incarnation: str
    vm: str
    address: str
    availability_zone: str
    config_revision: int = 0


class Heartbeat(WireMessage, frozen=True):
    """Periodic state of a daemon."""

    config_revision: int
    keys_version: int
    partitions_revision: int
    store_reachable: bool


class DemandReport(WireMessage, frozen=True):
    """Demand at one daemon and the partitions whose capacity it can use.

    Services and teams are positions in the sorted names of configuration
    ``config_revision``. Each demand is (service, team, queued, running, served
    slot time in milliseconds since the start of the incarnation).
    """

    sequence: int
    config_revision: int
    ready_partitions: tuple[int, ...]
    demands: tuple[tuple[int, int, int, int, int], ...]


class LendItem(WireMessage, frozen=True):
    """Total amount of a resource that the receiver should lend to a borrower."""

    borrower: str
    kind: str
    name: str
    amount: int


class LendAdvice(WireMessage, frozen=True):
    """The coordinator's complete advice to one daemon.

    ``targets`` are (service, team, hundredths of a slot); positions are as in
    DemandReport. ``lend`` replaces all earlier advice of the same resources.
    """

    round: int
    config_revision: int
    targets: tuple[tuple[int, int, int], ...]
    lend: tuple[LendItem, ...]


class LoanGrant(WireMessage, frozen=True):
    """Amount of a partition's resource that the receiver may keep at most."""

    partition: int
    epoch: int
    kind: str
    name: str
    amount: int
    version: int


class LoanKept(WireMessage, frozen=True):
    """Amount that the borrower keeps, answering the grant ``version``."""

    partition: int
    epoch: int
    kind: str
    name: str
    amount: int
    version: int


class LoanQuery(WireMessage, frozen=True):
    """Question of a new holder about what the receiver keeps of a partition."""

    partition: int
    epoch: int


class KeptAmount(WireMessage, frozen=True):
    """Units of a resource that a borrower keeps."""

    kind: str
    name: str
    amount: int


class LoanStatement(WireMessage, frozen=True):
    """Everything that the sender keeps of a partition, for its new holder."""

    partition: int
    epoch: int
    kept: tuple[KeptAmount, ...]


class ClaimRequest(WireMessage, frozen=True):
    """Request to claim an idempotency key at its partition's holder."""

    request_id: int
    partition: int
    key_hash: bytes
    fingerprint: bytes


class ClaimReply(WireMessage, frozen=True):
    """Answer to a claim: "granted", "duplicate" or "refused"."""

    request_id: int
    result: str
    holder: str = ""
    reason: str = ""


class ClaimRelease(WireMessage, frozen=True):
    """Notice that a claimed request did not run."""

    partition: int
    key_hash: bytes


class ResultRequest(WireMessage, frozen=True):
    """Question for the stored answer of a keyed request."""

    request_id: int
    key_hash: bytes


class ResultReply(WireMessage, frozen=True):
    """State of a keyed request: "running", "done", "unknown" or "absent"."""

    request_id: int
    state: str
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


class ConfigRequest(WireMessage, frozen=True):
    """Request for the sender's configuration if newer than ``newer_than``."""

    newer_than: int


class ConfigReply(WireMessage, frozen=True):
    """Published content of a configuration revision, as stored."""

    revision: int
    content: bytes


class KeysRequest(WireMessage, frozen=True):
    """Request for the sender's key records."""

    newer_than: int


class KeysReply(WireMessage, frozen=True):
    """Key records as stored, and withdrawals that are not yet stored."""

    version: int
    content: bytes
    withdrawn: tuple[str, ...] = ()


class KeyWithdrawn(WireMessage, frozen=True):
    """Notice that a key (by its id) must no longer work."""

    key_id: str


class DrainNotice(WireMessage, frozen=True):
    """Notice of a VM's new state, with the epoch of its record."""

    vm: str
    state: str
    epoch: int


class RunningQuery(WireMessage, frozen=True):
    """Question how many requests run at a VM."""

    request_id: int
    vm: str


class RunningReply(WireMessage, frozen=True):
    """Requests of the sender that run, or may run, at a VM."""

    request_id: int
    vm: str
    running: int


class ExplainRequest(WireMessage, frozen=True):
    """Question for decisions about a subject, for example "vm/cut-3"."""

    request_id: int
    subject: str


class ExplainReply(WireMessage, frozen=True):
    """Decision records about a subject, as JSON."""

    request_id: int
    records: tuple[bytes, ...] = ()


class Goodbye(WireMessage, frozen=True):
    """Last message of a daemon that stops; its incarnation runs nothing more."""

    incarnation: str


class PartitionsRequest(WireMessage, frozen=True):
    """Request for the sender's partition table if newer than ``newer_than``."""

    newer_than: int


class PartitionsReply(WireMessage, frozen=True):
    """Partition table with the store revision that made it."""

    revision: int
    content: bytes


Message = (
    Hello
    | Heartbeat
    | DemandReport
    | LendAdvice
    | LoanGrant
    | LoanKept
    | LoanQuery
    | LoanStatement
    | ClaimRequest
    | ClaimReply
    | ClaimRelease
    | ResultRequest
    | ResultReply
    | ConfigRequest
    | ConfigReply
    | KeysRequest
    | KeysReply
    | KeyWithdrawn
    | DrainNotice
    | RunningQuery
    | RunningReply
    | ExplainRequest
    | ExplainReply
    | Goodbye
    | PartitionsRequest
    | PartitionsReply
)

MESSAGE_TYPES: tuple[type, ...] = Message.__args__
"""The position of a class is its type number on the wire; append only."""
