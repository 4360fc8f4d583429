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


class TeamDemand(WireMessage, frozen=True):
    """Demand of one team for one service at one daemon.

    ``served_ms`` is the cumulative slot time of the incarnation in milliseconds.
    """

    service: str
    team: str
    queued: int
    running: int
    served_ms: int


class ResourceAmount(WireMessage, frozen=True):
    """Units of a countable resource: kind "slots" (VM) or "limit" (team)."""

    kind: str
    name: str
    amount: int


class DemandReport(WireMessage, frozen=True):
    """Demand and holdings of one daemon, sent to the coordinator."""

    sequence: int
    demands: tuple[TeamDemand, ...]
    held: tuple[ResourceAmount, ...]
    in_use: tuple[ResourceAmount, ...]


class LendItem(WireMessage, frozen=True):
    """Advice to lend units of a resource to another daemon."""

    borrower: str
    resource: ResourceAmount


class TeamTarget(WireMessage, frozen=True):
    """Slots that a team should use for a service at the receiving daemon."""

    service: str
    team: str
    slots: float


class LendAdvice(WireMessage, frozen=True):
    """The coordinator's advice to one daemon."""

    round: int
    targets: tuple[TeamTarget, ...]
    lend: tuple[LendItem, ...]


class LoanGrant(WireMessage, frozen=True):
    """Total amount that the sender lends to the receiver, per version."""

    resource: ResourceAmount
    version: int


class LoanKept(WireMessage, frozen=True):
    """Amount that the borrower keeps, answering grant ``version``."""

    resource: ResourceAmount
    version: int


class LoanQuery(WireMessage, frozen=True):
    """Question of a partition's new holder about the former incarnation."""

    former: str


class LoanStatement(WireMessage, frozen=True):
    """Loans between the sender and a former incarnation."""

    former: str
    borrowed_from_former: tuple[ResourceAmount, ...]
    lent_to_former: tuple[ResourceAmount, ...]


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
    """Question how many requests run at a VM that drains since ``epoch``."""

    request_id: int
    vm: str
    epoch: int = 0


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


class VmOutcomes(WireMessage, frozen=True):
    """Observations of one kind at one VM (see repair.ObservationKind)."""

    vm: str
    kind: str
    count: int


class HealthReport(WireMessage, frozen=True):
    """Observations of VMs since the last report, sent to the controller."""

    outcomes: tuple[VmOutcomes, ...]


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
    | HealthReport
)

MESSAGE_TYPES: tuple[type, ...] = Message.__args__
"""The position of a class is its type number on the wire; append only."""
