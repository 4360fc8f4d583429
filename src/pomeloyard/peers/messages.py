"""Types of the messages between daemons."""

from __future__ import annotations

import msgspec

PROTOCOL_VERSION = 1


class WireMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base of messages, which are encoded as arrays of their fields.

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

    Services and teams are indexes into the sorted names of configuration
    ``config_revision``. Each demand is (service, team, queued, running, served
    slot time in milliseconds since the start of the incarnation).
    """

    sequence: int
    config_revision: int
    ready_partitions: tuple[int, ...]
    demands: tuple[tuple[int, int, int, int, int], ...]


class LendItem(WireMessage, frozen=True):
    """Amounts of a resource that the receiver should lend, by borrower.

    Borrowers are indexes into the partition table's members.
    """

    kind: str
    name: str
    amounts: tuple[tuple[int, int], ...]


class LendAdvice(WireMessage, frozen=True):
    """Capacity targets and loans that the coordinator advises to one daemon.

    ``targets`` are (service, team, hundredths of a slot), with indexes as in
    DemandReport. Full advice replaces all earlier advice, other advice only the
    targets and the resources that it names. Advice for another revision of the
    configuration or the partition table is ignored.
    """

    full: bool
    config_revision: int
    partitions_revision: int
    targets: tuple[tuple[int, int, int], ...]
    lend: tuple[LendItem, ...]


class LoanGrant(WireMessage, frozen=True):
    """Upper limit of a partition's resource that the receiver may keep."""

    partition: int
    epoch: int
    kind: str
    name: str
    amount: int
    version: int


class LoanKept(WireMessage, frozen=True):
    """Amount that the borrower keeps, in reply to grant ``version``."""

    partition: int
    epoch: int
    kind: str
    name: str
    amount: int
    version: int


class LoanQuery(WireMessage, frozen=True):
    """Request of a new holder for what the receiver keeps of a partition."""

    partition: int
    epoch: int


class KeptAmount(WireMessage, frozen=True):
    """Units of a resource that a borrower keeps."""

    kind: str
    name: str
    amount: int


class LoanStatement(WireMessage, frozen=True):
    """All amounts that the sender keeps of a partition, for its new holder."""

    partition: int
    epoch: int
    kept: tuple[KeptAmount, ...]


class ClaimRequest(WireMessage, frozen=True):
    """Request to claim an idempotency key at its partition's holder."""

    request_id: int
    partition: int
    key_hash: bytes
    fingerprint: bytes
    epoch: int = 0
    attempt: int = 0


class ClaimReply(WireMessage, frozen=True):
    """Reply to a claim: "granted", "duplicate" or "refused".

    ``holder`` is the incarnation that runs a duplicate's first attempt. A grant
    that is not durable takes effect only once the requesting daemon has recorded it.
    """

    request_id: int
    result: str
    holder: str = ""
    reason: str = ""
    epoch: int = 0
    durable: bool = True
    detail: str = ""
    attempt: int = 0


class ClaimRelease(WireMessage, frozen=True):
    """Notice that a claimed request did not run, so its claim can be released."""

    partition: int
    key_hash: bytes
    attempt: int = 0


class ResultRequest(WireMessage, frozen=True):
    """Request for the stored result of a keyed request.

    ``attempt`` is that of the claim, which the receiver releases if it has no
    result.
    """

    request_id: int
    key_hash: bytes
    attempt: int = 0


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
    """Key records as stored, and ids of withdrawals that are not yet stored."""

    version: int
    content: bytes
    withdrawn: tuple[str, ...] = ()


class KeyWithdrawn(WireMessage, frozen=True):
    """Notice that the key with this id is no longer valid."""

    key_id: str


class DrainNotice(WireMessage, frozen=True):
    """Notice of a VM's new state, with the epoch of the VM's record."""

    vm: str
    state: str
    epoch: int


class RunningQuery(WireMessage, frozen=True):
    """Request for the number of requests running at a VM drained since ``epoch``."""

    request_id: int
    vm: str
    epoch: int = 0


class RunningReply(WireMessage, frozen=True):
    """Number of the sender's requests that run, or may run, at a VM."""

    request_id: int
    vm: str
    running: int


class ExplainRequest(WireMessage, frozen=True):
    """Request for the decisions about a subject, for example "vm/cut-3"."""

    request_id: int
    subject: str


class ExplainReply(WireMessage, frozen=True):
    """Decision records about a subject, as JSON; ``omitted`` counts older ones."""

    request_id: int
    records: tuple[bytes, ...] = ()
    omitted: int = 0


class Goodbye(WireMessage, frozen=True):
    """Last message of a daemon that stops; its incarnation runs no more requests."""

    incarnation: str


class PartitionsRequest(WireMessage, frozen=True):
    """Request for the sender's partition table if newer than ``newer_than``."""

    newer_than: int


class PartitionsReply(WireMessage, frozen=True):
    """Partition table with the store revision at which it was written."""

    revision: int
    content: bytes


class ClaimRow(WireMessage, frozen=True):
    """A claim and its age in milliseconds."""

    key_hash: bytes
    fingerprint: bytes
    runner: str
    attempt: int
    age_ms: int


class ClaimRecord(WireMessage, frozen=True):
    """Request to record a claim while the store is unavailable."""

    request_id: int
    partition: int
    epoch: int
    claim: ClaimRow


class ClaimRecorded(WireMessage, frozen=True):
    """Whether the claim was recorded; it is not if a later epoch is known."""

    request_id: int
    recorded: bool


class ClaimQuery(WireMessage, frozen=True):
    """Request of a partition's new holder for the recorded claims after a key.

    The receiver no longer records claims of the partition's earlier epochs.
    """

    request_id: int
    partition: int
    epoch: int
    after: bytes = b""


class ClaimStatement(WireMessage, frozen=True):
    """Claims that may be missing from the store, in key order.

    ``lost_ms`` is how much longer claims may exist that no daemon knows;
    ``vouches`` tells that the sender was up for the whole window and saw no
    store outage, and ``known`` are the incarnations that it saw in that time.
    """

    request_id: int
    claims: tuple[ClaimRow, ...] = ()
    more: bool = False
    outage_seen: bool = False
    lost_ms: int = 0
    vouches: bool = False
    known: tuple[str, ...] = ()


class ClaimOutage(WireMessage, frozen=True):
    """Notice that claims were granted during a store outage ``age_ms`` ago."""

    age_ms: int


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
    | PartitionsRequest
    | PartitionsReply
    | ClaimRecord
    | ClaimRecorded
    | ClaimQuery
    | ClaimStatement
    | ClaimOutage
    | HealthReport
)

MESSAGE_TYPES: tuple[type, ...] = Message.__args__
"""The index of a class is its type number on the wire; only append to it."""
