"""Messages between instances, and their codec.

Each frame holds one message, encoded as MessagePack. Decoding checks every field
against the message's record.
"""

import zlib

import msgpack
import msgspec

from monsoonhoist import errors
from monsoonhoist.core import data, fanout


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """First message of a stream, in each direction.

    Attributes:
        deployment: Name of the deployment; streams of another one are refused.
        member: What the sender states of itself.
    """

    deployment: str
    member: data.Member


class ServiceContact(msgspec.Struct, frozen=True, array_like=True):
    """That the configuration service has answered an instance.

    Attributes:
        reader: The instance that was answered.
        age_ms: Time since then, in milliseconds.
    """

    reader: data.InstanceId
    age_ms: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat of the side that opened the stream.

    Attributes:
        sequence: Counter of the stream.
        tables_digest: Digest of all table revisions in force at the sender.
        word: The sender's newest word of the configuration service, if it has one.
    """

    sequence: int
    tables_digest: bytes
    contact: ServiceContact | None = None


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="beat-reply"):
    """Reply to ``Beat`` on the same stream."""

    sequence: int


class SubBatch(msgspec.Struct, frozen=True, array_like=True, tag="sub"):
    """Sub-requests of one query to one owner.

    Attributes:
        origin: Instance that merges the answer.
        query: The query.
        snapshot: Snapshot to answer from; ``LATEST_SNAPSHOT`` lets servers choose.
        attempt: Number of the entry's attempt.
        services: Shards to ask.
    """

    origin: data.InstanceId
    query: fanout.QuerySpec
    snapshot: data.Snapshot
    attempt: int
    services: tuple[data.ServiceId, ...]


class SubReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """What some shards answered, merged by the owner.

    Attributes:
        query_id: The query.
        parts: Shards that answered.
        failures: Shards that gave nothing.
        results_by_snapshot: Best results of the parts, for each snapshot.
        queue_delay_ms: Longest wait of these sub-requests in the owner's queues.
        calls: Calls to backend servers made for these shards.
    """

    query_id: data.QueryId
    parts: tuple[fanout.Part, ...]
    failures: tuple[fanout.Failure, ...]
    results_by_snapshot: dict[data.Snapshot, tuple[data.ResultEntry, ...]]
    queue_delay_ms: int
    calls: int


class BatchTaken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Tells the entry that an owner has a query's sub-requests and is at work."""

    query_id: data.QueryId


class BatchCheck(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Asks an owner that took sub-requests whether it is still at work.

    Any owner that works answers with ``BatchTaken``.
    """

    query_id: data.QueryId


class CallRequest(msgspec.Struct, frozen=True, array_like=True):
    """That an owner would make one more call for a shard.

    Attributes:
        service: The shard.
        attempt: Number of the entry's attempt.
        allowed: Calls that the owner has been allowed so far.
        unused: Number of its calls that are proved to have run nothing.
        reason: Why one more is wanted.
    """

    service: data.ServiceId
    attempt: int
    allowed: int
    unused: int
    reason: data.RetryReason


class CallsWanted(msgspec.Struct, frozen=True, array_like=True, tag="want-calls"):
    """Asks the entry for calls beyond the first, since only the entry counts them all."""

    query_id: data.QueryId
    requests: tuple[CallRequest, ...]


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """How many calls an owner may make for a shard.

    Attributes:
        service: The shard.
        attempt: Number of the entry's attempt.
        allowed: Calls in all, the first included; as many as before if no more is allowed.
    """

    service: data.ServiceId
    attempt: int
    allowed: int


class CallsAllowed(msgspec.Struct, frozen=True, array_like=True, tag="allow-calls"):
    """Answers ``CallsWanted``."""

    query_id: data.QueryId
    allowances: tuple[Allowance, ...]


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Tells an owner that a query needs no more work.

    Attributes:
        query_id: The query.
        is_abandoned: Whether calls in flight end at once, since the caller has left or another
            owner has the work.
        services: Shards concerned; empty for all.
    """

    query_id: data.QueryId
    is_abandoned: bool = False
    services: tuple[data.ServiceId, ...] = ()


class Members(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """Statements about instances, passed on when they are new."""

    members: tuple[data.Member, ...]


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """Revision of one table key, with the digest that orders equal numbers."""

    key: data.TableKey
    number: int
    digest: bytes


class Revisions(msgspec.Struct, frozen=True, array_like=True, tag="revisions"):
    """Table revisions in force at the sender: new ones, or those that were asked for."""

    revisions: tuple[Revision, ...]


class TableBuckets(msgspec.Struct, frozen=True, array_like=True, tag="buckets"):
    """Digests of all table revisions in force at the sender, by bucket of their keys."""

    digests: bytes


class WantRevisions(msgspec.Struct, frozen=True, array_like=True, tag="want-revisions"):
    """Asks for the revisions in some buckets."""

    buckets: tuple[int, ...]


class WantTables(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Asks for the values of some table keys."""

    keys: tuple[data.TableKey, ...]


class TableValue(msgspec.Struct, frozen=True):
    """Value of one table key, as published."""

    key: data.TableKey
    number: int
    text: str


class PackedTable(msgspec.Struct, frozen=True, array_like=True):
    """Value of one table key, with its text deflated (RFC 1950)."""

    key: data.TableKey
    number: int
    deflated: bytes


class PackedTables(msgspec.Struct, frozen=True, array_like=True, tag="tables"):
    """Values of some table keys."""

    tables: tuple[PackedTable, ...]


class TicketUse(msgspec.Struct, frozen=True, array_like=True, tag="ticket-use"):
    """Forwards a non-repeatable request to the ticket's holder."""

    origin: data.InstanceId
    forward_id: str
    route: data.RouteId
    request: data.Request
    remaining_ms: int


class TicketAnswer(msgspec.Struct, frozen=True, array_like=True, tag="ticket-answer"):
    """Answer of a ticket's holder."""

    forward_id: str
    answer: data.Answer


Message = (
    Hello
    | Heartbeat
    | HeartbeatReply
    | SubBatch
    | SubReply
    | BatchTaken
    | BatchCheck
    | CallsWanted
    | CallsAllowed
    | Cancel
    | Members
    | Revisions
    | TableBuckets
    | WantRevisions
    | WantTables
    | PackedTables
    | TicketUse
    | TicketAnswer
)


def encode(message: Message) -> bytes:
    """Returns the message as MessagePack."""
    builtins = msgspec.to_builtins(message, builtin_types=(bytes,), str_keys=False)
    return msgpack.packb(builtins)


def pack_table(value: TableValue) -> PackedTable:
    """Returns a table value in the form that is sent."""
    return PackedTable(value.key, value.number, zlib.compress(value.text.encode()))


def unpack_table(packed: PackedTable, bytes_max: int) -> TableValue:
    """Returns a received table value.

    Raises:
        ProtocolError: If the text is malformed or longer than ``bytes_max``.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(packed.deflated, bytes_max + 1)
        if not inflater.eof or len(text) > bytes_max:
            raise errors.ProtocolError(f"the value of {packed.key!r} is too long or cut off")
        return TableValue(packed.key, packed.number, text.decode())
    except (zlib.error, UnicodeDecodeError) as error:
        raise errors.ProtocolError(f"malformed value of {packed.key!r}: {error}") from error


def unpack_tables(packed: PackedTables, bytes_max: int) -> list[TableValue]:
    """Returns received table values.

    Raises:
        ProtocolError: If a text is malformed or longer than ``bytes_max``.
    """
    return [unpack_table(table, bytes_max) for table in packed.tables]


def decode(body: bytes) -> Message:
    """Returns the message held in ``body``.

    Raises:
        ProtocolError: If the bytes are not exactly one well-formed message.
    """
    try:
        builtins = msgpack.unpackb(body, strict_map_key=False, use_list=True)
        return msgspec.convert(builtins, type=Message)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError, RecursionError) as error:
        raise errors.ProtocolError(f"malformed message: {error}") from error
