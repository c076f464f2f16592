"""Messages between instances, and their encoding.

Each frame of a stream holds one message, encoded as MessagePack: an array with the tag and
then the fields. Decoding validates every field against its declared type.

The class names of messages other than heartbeats are values of the label ``kind`` of the metric
``stream_bytes``, so that renaming a class changes the metric.
"""

import zlib

import msgspec

from monsoonhoist import errors
from monsoonhoist.core import data
from monsoonhoist.protocol import fanout


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """First message on a stream, in each direction.

    Attributes:
        deployment: Name of the deployment; streams from another deployment are refused.
        member: The sender's record about itself.
        accepts_messages: Whether the sender, which opened the stream, accepts messages on it; an
            instance of an earlier build accepts only replies to heartbeats.
    """

    deployment: str
    member: data.Member
    accepts_messages: bool = False


class ConfigReadReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of a successful read of the configuration service, passed on between instances.

    Attributes:
        reader: Instance that read the configuration service.
        age_ms: Time since the configuration service answered, in milliseconds. It lacks the time
            that the report has travelled.
        number: Number of the read, larger for each later one of the same reader; 0 from an instance
            that does not number them.
    """

    reader: data.InstanceId
    age_ms: int
    number: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat from the side that opened the stream.

    Attributes:
        sequence: Number of the heartbeat on its stream.
        tables_digest: Digest of all table revisions in force at the sender.
        report: Latest read of the configuration service that the sender knows of; None
            if it knows of none.
        acknowledged: Number of the last heartbeat received on the stream in the other direction,
            which saves a ``HeartbeatReply``; 0 if there is none, -1 from an instance that does not
            read this field.
    """

    sequence: int
    tables_digest: bytes
    report: ConfigReadReport | None = None
    acknowledged: int = -1


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="beat-reply"):
    """Reply to a ``Heartbeat``, on the same stream and with its number."""

    sequence: int


class SubBatch(msgspec.Struct, frozen=True, array_like=True, tag="sub"):
    """The sub-requests of one query for one owner.

    Attributes:
        origin: The query's entry, which merges the answer.
        query: The query.
        snapshot: Snapshot to answer from; with ``LATEST_SNAPSHOT`` the servers choose it.
        attempt: Number that these sub-requests have among those for their shards, from 1.
        services: Shards to query.
    """

    origin: data.InstanceId
    query: fanout.QuerySpec
    snapshot: data.Snapshot
    attempt: int
    services: tuple[data.ServiceId, ...]


class SubReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Replies of one or more shards, merged by their owner.

    Attributes:
        query_id: The query.
        parts: Shards that returned results.
        failures: Shards that returned none.
        results_by_snapshot: Merged results of the parts, best first, for each snapshot.
        queue_delay_ms: Longest time that one of these sub-requests was queued at the owner, in
            milliseconds.
        calls: Number of calls to backend servers made for these shards.
    """

    query_id: data.QueryId
    parts: tuple[fanout.Part, ...]
    failures: tuple[fanout.Failure, ...]
    results_by_snapshot: dict[data.Snapshot, tuple[data.MergeableResult, ...]]
    queue_delay_ms: int
    calls: int


class BatchTaken(msgspec.Struct, frozen=True, array_like=True, tag="taken"):
    """Acknowledges to the entry that the owner is working on a query's sub-requests."""

    query_id: data.QueryId


class BatchCheck(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Liveness check of an owner that has acknowledged sub-requests of a query.

    A running owner replies with ``BatchTaken``.
    """

    query_id: data.QueryId


class CallRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request of an owner to make one more call for a shard.

    Attributes:
        service: The shard.
        attempt: Number of this sub-request among those for the shard, from 1.
        allowed: Number of calls allowed to the owner so far.
        unused: Number of the owner's calls that are proved to have run nothing.
        reason: Why one more call is needed.
    """

    service: data.ServiceId
    attempt: int
    allowed: int
    unused: int
    reason: data.RetryReason


class CallsWanted(msgspec.Struct, frozen=True, array_like=True, tag="want-calls"):
    """An owner's request to the entry for permission to make calls beyond the first.

    Only the entry knows how many calls all owners together make for a query.
    """

    query_id: data.QueryId
    requests: tuple[CallRequest, ...]


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """Number of calls that an owner may make for a shard.

    Attributes:
        service: The shard.
        attempt: Number of this sub-request among those for the shard, from 1.
        allowed: Total number of calls allowed, including the first; unchanged if the request
            for another call was denied.
    """

    service: data.ServiceId
    attempt: int
    allowed: int


class CallsAllowed(msgspec.Struct, frozen=True, array_like=True, tag="allow-calls"):
    """The entry's reply to ``CallsWanted``."""

    query_id: data.QueryId
    allowances: tuple[Allowance, ...]


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels an owner's remaining work for a query.

    Attributes:
        query_id: The query.
        is_abandoned: Whether calls in flight are to be cancelled immediately, because the caller
            has disconnected or the work has been reassigned to another owner.
        services: Shards concerned; empty for all.
    """

    query_id: data.QueryId
    is_abandoned: bool = False
    services: tuple[data.ServiceId, ...] = ()


class LeavingServer(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that has said that it is leaving.

    Attributes:
        server: The server.
        incarnation: Start of its process as the table lists it.
    """

    server: data.ServerId
    incarnation: int


class ServersLeaving(msgspec.Struct, frozen=True, array_like=True, tag="servers-leaving"):
    """Tells the other instances of a cell which servers have said that they are leaving.

    A receiver does not pass it on.
    """

    servers: tuple[LeavingServer, ...]


class Members(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """Records about instances; a receiver forwards those that are new to it."""

    members: tuple[data.Member, ...]


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """Revision of one table key, with a digest of its value.

    The digest decides which of two revisions with equal numbers is the newer.
    """

    key: data.TableKey
    number: int
    digest: bytes


class Revisions(msgspec.Struct, frozen=True, array_like=True, tag="revisions"):
    """Table revisions in force at the sender, either new or requested by the receiver."""

    revisions: tuple[Revision, ...]


class TableBuckets(msgspec.Struct, frozen=True, array_like=True, tag="buckets"):
    """Digests of all table revisions in force at the sender.

    The keys are divided into buckets by a hash; the digests of all buckets are concatenated.
    """

    digests: bytes


class WantRevisions(msgspec.Struct, frozen=True, array_like=True, tag="want-revisions"):
    """Requests the revisions in the given buckets."""

    buckets: tuple[int, ...]


class WantTables(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Requests the values of the given table keys."""

    keys: tuple[data.TableKey, ...]


class TableValue(msgspec.Struct, frozen=True):
    """Value of one table key, as published, with the number of its revision."""

    key: data.TableKey
    number: int
    text: str


class PackedTable(msgspec.Struct, frozen=True, array_like=True):
    """Value of one table key, with its text compressed in the zlib format (RFC 1950)."""

    key: data.TableKey
    number: int
    deflated: bytes


class PackedTables(msgspec.Struct, frozen=True, array_like=True, tag="tables"):
    """Values of one or more table keys."""

    tables: tuple[PackedTable, ...]


class TicketUse(msgspec.Struct, frozen=True, array_like=True, tag="ticket-use"):
    """Forwards a non-repeatable request to the instance that issued its ticket.

    Attributes:
        origin: Instance that received the request.
        forward_id: Id by which the origin matches the ``TicketAnswer``.
        route: Route of the request.
        request: The request.
        remaining_ms: Time left until the deadline, in milliseconds.
    """

    origin: data.InstanceId
    forward_id: str
    route: data.RouteId
    request: data.Request
    remaining_ms: int


class TicketAnswer(msgspec.Struct, frozen=True, array_like=True, tag="ticket-answer"):
    """Reply to ``TicketUse`` from the instance that issued the ticket."""

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
    | ServersLeaving
    | Members
    | Revisions
    | TableBuckets
    | WantRevisions
    | WantTables
    | PackedTables
    | TicketUse
    | TicketAnswer
)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the message encoded as MessagePack."""
    return _encoder.encode(message)


def pack_table(value: TableValue) -> PackedTable:
    """Returns a table value with its text compressed, as it is sent."""
    return PackedTable(value.key, value.number, zlib.compress(value.text.encode()))


def unpack_table(packed: PackedTable, bytes_max: int) -> TableValue:
    """Returns a received table value with its text decompressed.

    Raises:
        ProtocolError: If the text is malformed or longer than ``bytes_max`` bytes.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(packed.deflated, bytes_max + 1)
        if not inflater.eof or len(text) > bytes_max:
            raise errors.ProtocolError(
                f"the value of {packed.key!r} is truncated or longer than {bytes_max} bytes"
            )
        return TableValue(packed.key, packed.number, text.decode())
    except (zlib.error, UnicodeDecodeError) as error:
        raise errors.ProtocolError(f"malformed value of {packed.key!r}: {error}") from error


def decode(body: bytes) -> Message:
    """Returns the message encoded in the body of a frame.

    Raises:
        ProtocolError: If the bytes are not exactly one well-formed message.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.ProtocolError(f"malformed message: {error}") from error
