"""Synthetic tables, messages and workloads for measuring single roles without a network."""

import datetime
import itertools

import msgspec

from monsoonhoist.core import clock, data
from monsoonhoist.fleet import membership, neighbours
from monsoonhoist.kernels import kernel
from monsoonhoist.node import http_call, search
from monsoonhoist.protocol import events, fanout, messages

KEY_SPACE = 1_000_000
RESULTS_PER_SHARD = 10
INSTANCE = data.InstanceId("node-0")
POOL = data.PoolId("p")
ROUTE = data.RouteId("r")
DEADLINE = datetime.timedelta(milliseconds=330)


def make_tables(shard_count: int) -> data.Tables:
    """Returns tables with one route to one pool, which has two servers for each shard."""
    services = [data.ServiceId(f"shard-{number:04d}") for number in range(shard_count)]
    servers_by_service = {
        service: tuple(
            data.Server(
                data.ServerId(f"{service}-{letter}"),
                service,
                "127.0.0.1:1",
                "zone-1",
                64,
                256,
                False,
            )
            for letter in "ab"
        )
        for service in services
    }
    route = data.Route(ROUTE, data.Rank.URGENT, POOL, True, DEADLINE, 0.9, 0.05)
    return data.Tables({ROUTE: route}, {POOL: data.Pool(POOL, KEY_SPACE, servers_by_service)})


def make_results(shard: int) -> tuple[data.Result, ...]:
    """Returns the results of one shard, given by its number."""
    return tuple(
        data.Result(shard * 1000 + number, 1.0 / (number + shard + 1), f"entry {number:08d}")
        for number in range(RESULTS_PER_SHARD)
    )


def make_query_spec(number: int) -> fanout.QuerySpec:
    """Returns the specification of a query with the given number."""
    return fanout.QuerySpec(
        data.QueryId(f"node-0.1796373764289114200.{number}"),
        ROUTE,
        POOL,
        data.Rank.URGENT,
        data.Request(query="coxed four, Saturday 07:30").to_caller_request().content,
        RESULTS_PER_SHARD,
        300,
        0.05,
        True,
    )


def make_frames(shard_count: int) -> tuple[messages.SubBatch, messages.SubReply]:
    """Returns a batch with one sub-request for each shard, and the merged reply to it."""
    services = tuple(data.ServiceId(f"shard-{number:04d}") for number in range(shard_count))
    batch = messages.SubBatch(INSTANCE, make_query_spec(1), data.Snapshot(7), 1, services)
    keys = data.KeyRange(1000, 2000)
    holdings = (data.Holding(data.Snapshot(7), keys), data.Holding(data.Snapshot(6), keys))
    parts = tuple(fanout.Part(service, 1, data.Snapshot(7), keys, holdings) for service in services)
    reply = messages.SubReply(
        make_query_spec(1).query_id, parts, (), {data.Snapshot(7): make_results(1)}, 3, shard_count
    )
    return batch, reply


class EntryWorkload:
    """An entry kernel whose owners reply immediately, each with one merged reply.

    Args:
        shard_count: Number of shards of the pool.
        owner_count: Number of instances that own shards.
    """

    def __init__(self, shard_count: int, owner_count: int):
        self._shard_count = shard_count
        kernels = kernel.make_kernel(
            INSTANCE,
            data.ZoneId("zone-1"),
            clock.ManualClock(),
            kernel.PolicyNames(),
        )
        self._entry = kernels.entry
        instances = tuple(
            sorted(data.InstanceId(f"node-{number}") for number in range(owner_count))
        )
        self._entry.handle(events.ViewChanged(make_tables(shard_count), instances))
        self._query_numbers = itertools.count()

    def run(self, rounds: int) -> None:
        """Runs queries from their arrival to the answer."""
        for _ in range(rounds):
            query_id = data.QueryId(f"q{next(self._query_numbers)}")
            request = data.Request(query="coxed four").to_caller_request()
            commands = self._entry.handle(events.QueryArrived(query_id, ROUTE, request))
            answered = False
            for command in commands:
                answered = self._reply(command) or answered
            if not answered:
                raise SystemExit("the query was not answered")

    def _reply(self, command: events.Command) -> bool:
        """Replies to a batch; returns whether the query was answered."""
        if not isinstance(command, events.SendMessage):
            return False
        batch = command.message
        parts = tuple(self._make_part(service, batch.attempt) for service in batch.services)
        merged = {data.Snapshot(7): make_results(len(parts))}
        reply = messages.SubReply(batch.query.query_id, parts, (), merged, 1, len(parts))
        commands = self._entry.handle(events.ReplyArrived(command.instance, reply))
        return any(isinstance(command, events.Respond) for command in commands)

    def _make_part(self, service: data.ServiceId, attempt: int) -> fanout.Part:
        shard = int(service.rsplit("-", 1)[1])
        keys = data.KeyRange(
            shard * KEY_SPACE // self._shard_count, (shard + 1) * KEY_SPACE // self._shard_count
        )
        return fanout.Part(service, attempt, data.Snapshot(7), keys, (data.Holding(7, keys),))


class OwnerWorkload:
    """An owner kernel whose backend servers reply after 5 ms of a manual clock.

    Args:
        shard_count: Number of shards in each batch.
    """

    def __init__(self, shard_count: int):
        self._clock = clock.ManualClock()
        kernels = kernel.make_kernel(
            INSTANCE, data.ZoneId("zone-1"), self._clock, kernel.PolicyNames()
        )
        self._owner = kernels.owner
        self._owner.handle(events.ViewChanged(make_tables(shard_count), (INSTANCE,)))
        self._services = tuple(
            data.ServiceId(f"shard-{number:04d}") for number in range(shard_count)
        )
        self._query_numbers = itertools.count()

    def run(self, rounds: int) -> None:
        """Runs batches from their arrival to the replies."""
        for _ in range(rounds):
            self._clock.advance(0.01)
            spec = make_query_spec(next(self._query_numbers))
            batch = messages.SubBatch(INSTANCE, spec, data.Snapshot(7), 1, self._services)
            commands = self._owner.handle(events.BatchArrived(batch))
            self._clock.advance(0.005)
            for command in commands:
                if isinstance(command, events.StartCall):
                    self._reply(command.call_id)
            self._owner.handle(events.TimeReached())

    def _reply(self, call_id: int) -> None:
        keys = data.KeyRange(0, 1000)
        holdings = (data.Holding(data.Snapshot(7), keys),)
        self._owner.handle(
            events.CallReplied(call_id, data.Snapshot(7), keys, holdings, make_results(1), False)
        )


def make_backend_call(address: str, number: int) -> http_call.HttpCall:
    """Returns a call to a backend server, with the body that the program encodes."""
    body = search.SearchBody(
        call=f"bench.{number}",
        query_id=data.QueryId(f"q{number}"),
        route=ROUTE,
        rank=data.Rank.URGENT,
        query="coxed four, Saturday 07:30",
        limit=RESULTS_PER_SHARD,
        snapshot=data.Snapshot(1),
        deadline_ms=5000,
        repeatable=True,
    )
    return http_call.HttpCall(
        "POST",
        f"http://{address}/v1/search",
        msgspec.json.encode(body),
        datetime.timedelta(seconds=5),
        datetime.timedelta(seconds=1),
        headers=search.JSON_HEADERS,
    )


def check_backend_reply(reply: http_call.HttpReply) -> None:
    """Decodes a reply of a backend server as the program does; exits if it is a failure."""
    event = search.read_reply(1, reply)
    if not isinstance(event, events.CallReplied):
        raise SystemExit(f"the call failed: {event}")


def make_pool_value(name: str, server_count: int) -> messages.TableValue:
    """Returns the table value of a pool, with two servers for each shard."""
    blocks = ["[pool]\nkey_space = 1000000\n"]
    for number in range(server_count):
        blocks.append(
            f"[server {name}-{number // 2:05d}-{'ab'[number % 2]}]\n"
            f"service = {name}-{number // 2:05d}\n"
            f"address = 10.{number % 250}.{number // 250 % 250}.{number % 199}:8080\n"
            f"zone = zone-{number % 14}\nslots = 64\nconnections = 256\n"
        )
    return messages.TableValue(data.TableKey(f"pool/{name}"), 1, "\n".join(blocks))


def make_member(number: int, version: int = 0) -> data.Member:
    """Returns the membership record of an instance."""
    return data.Member(
        data.InstanceId(f"node-{number:05d}"),
        data.Incarnation(1796373764289114200 + number),
        version,
        data.MemberState.LIVE,
        f"10.{number % 250}.{number // 250}.7",
        9000,
        data.ZoneId(f"zone-{number % 14}"),
    )


def make_membership(instance_count: int) -> membership.Membership:
    """Returns the membership as seen by instance 0."""
    view = membership.Membership(make_member(0))
    view.merge(make_member(number) for number in range(1, instance_count))
    return view


def update_member(view: membership.Membership) -> None:
    """Merges one changed record and derives what an instance derives after each change."""
    version = next(_member_versions)
    view.merge((make_member(1, version),))
    view.live()
    neighbours.choose(view.local_member, view.other_members(), 16)
    view.is_watcher(2)


_member_versions = itertools.count(1)
