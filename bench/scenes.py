"""Made-up work for the measurements of single roles, without a network."""

import datetime
import itertools

import msgspec

from monsoonhoist.core import clock, data, events, fanout, kernel, membership, messages
from monsoonhoist.node import curl, search

KEY_SPACE = 1_000_000
RESULTS = 10
MYSELF = data.InstanceId("node-0")
POOL = data.PoolId("p")
ROUTE = data.RouteId("r")
DEADLINE = datetime.timedelta(milliseconds=330)


def tables_of(services: int) -> data.Tables:
    """Returns tables with one route to one pool of two servers for each shard."""
    names = [data.ServiceId(f"shard-{number:04d}") for number in range(services)]
    servers_by_service = {
        name: tuple(
            data.Server(
                data.ServerId(f"{name}-{letter}"), name, "127.0.0.1:1", "zone-1", 64, 256, False
            )
            for letter in "ab"
        )
        for name in names
    }
    route = data.Route(ROUTE, data.Rank.URGENT, POOL, True, DEADLINE, 0.9, 0.05)
    return data.Tables({ROUTE: route}, {POOL: data.Pool(POOL, KEY_SPACE, servers_by_service)})


def results_of(service: int) -> tuple[data.Result, ...]:
    """Returns one shard's results."""
    return tuple(
        data.Result(service * 1000 + number, 1.0 / (number + service + 1), f"entry {number:08d}")
        for number in range(RESULTS)
    )


def spec_of(number: int) -> fanout.QuerySpec:
    """Returns a query."""
    return fanout.QuerySpec(
        data.QueryId(f"node-0.1796373764289114200.{number}"),
        ROUTE,
        POOL,
        data.Rank.URGENT,
        data.Request(query="coxed four, Saturday 07:30").to_question().content,
        RESULTS,
        300,
        0.05,
        True,
    )


def frames(services: int) -> tuple[messages.SubBatch, messages.SubReply]:
    """Returns a batch of sub-requests and the merged reply to it."""
    names = tuple(data.ServiceId(f"shard-{number:04d}") for number in range(services))
    batch = messages.SubBatch(MYSELF, spec_of(1), data.Snapshot(7), 1, names)
    keys = data.KeyRange(1000, 2000)
    holdings = (data.Holding(data.Snapshot(7), keys), data.Holding(data.Snapshot(6), keys))
    parts = tuple(fanout.Part(name, 1, data.Snapshot(7), keys, holdings) for name in names)
    reply = messages.SubReply(
        spec_of(1).query_id, parts, (), {data.Snapshot(7): results_of(1)}, 3, services
    )
    return batch, reply


class EntryScene:
    """An entry kernel whose owners answer at once, each with one merged reply.

    Args:
        services: Shards of the pool.
        owners: Instances.
    """

    def __init__(self, services: int, owners: int):
        self._services = services
        made = kernel.make_kernel(
            MYSELF,
            data.ZoneId("zone-1"),
            clock.ManualClock(),
            kernel.PolicyNames(),
        )
        self._entry = made.entry
        instances = tuple(sorted(data.InstanceId(f"node-{number}") for number in range(owners)))
        self._entry.handle(events.ViewChanged(tables_of(services), instances))
        self._number = itertools.count()

    def run(self, rounds: int) -> None:
        """Takes queries through to their answers."""
        for _ in range(rounds):
            query_id = data.QueryId(f"q{next(self._number)}")
            question = data.Request(query="coxed four").to_question()
            commands = self._entry.handle(events.QueryArrived(query_id, ROUTE, question))
            answered = False
            for command in commands:
                answered = self._reply(command) or answered
            if not answered:
                raise SystemExit("the query was not answered")

    def _reply(self, command: events.Command) -> bool:
        """Answers a batch; returns whether the query ended."""
        if not isinstance(command, events.SendMessage):
            return False
        batch = command.message
        parts = tuple(self._part(service, batch.attempt) for service in batch.services)
        merged = {data.Snapshot(7): results_of(len(parts))}
        reply = messages.SubReply(batch.query.query_id, parts, (), merged, 1, len(parts))
        ended = self._entry.handle(events.ReplyArrived(command.instance, reply))
        return any(isinstance(found, events.Respond) for found in ended)

    def _part(self, service: data.ServiceId, attempt: int) -> fanout.Part:
        number = int(service.rsplit("-", 1)[1])
        keys = data.KeyRange(
            number * KEY_SPACE // self._services, (number + 1) * KEY_SPACE // self._services
        )
        return fanout.Part(service, attempt, data.Snapshot(7), keys, (data.Holding(7, keys),))


class OwnerScene:
    """An owner kernel whose backend servers answer at once.

    Args:
        services: Shards in each batch.
    """

    def __init__(self, services: int):
        self._clock = clock.ManualClock()
        made = kernel.make_kernel(MYSELF, data.ZoneId("zone-1"), self._clock, kernel.PolicyNames())
        self._owner = made.owner
        self._owner.handle(events.ViewChanged(tables_of(services), (MYSELF,)))
        self._names = tuple(data.ServiceId(f"shard-{number:04d}") for number in range(services))
        self._number = itertools.count()

    def run(self, rounds: int) -> None:
        """Takes batches through to their replies."""
        for _ in range(rounds):
            self._clock.advance(0.01)
            spec = spec_of(next(self._number))
            batch = messages.SubBatch(MYSELF, spec, data.Snapshot(7), 1, self._names)
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
            events.CallReplied(call_id, data.Snapshot(7), keys, holdings, results_of(1), False)
        )


def backend_call(address: str, number: int) -> curl.HttpCall:
    """Returns a call to a backend server, its body encoded as the program does."""
    body = search.SearchBody(
        call=f"bench.{number}",
        query_id=data.QueryId(f"q{number}"),
        route=ROUTE,
        rank=data.Rank.URGENT,
        query="coxed four, Saturday 07:30",
        limit=RESULTS,
        snapshot=data.Snapshot(1),
        deadline_ms=5000,
        repeatable=True,
    )
    return curl.HttpCall(
        "POST",
        f"http://{address}/v1/search",
        msgspec.json.encode(body),
        datetime.timedelta(seconds=5),
        datetime.timedelta(seconds=1),
        headers=search.JSON_HEADERS,
    )


def read_backend_reply(reply: curl.HttpReply) -> None:
    """Reads a backend server's reply as the program does."""
    event = search.read_reply(1, reply)
    if not isinstance(event, events.CallReplied):
        raise SystemExit(f"the call failed: {event}")


def pool_value(name: str, servers: int) -> messages.TableValue:
    """Returns a pool's table value with two servers for each shard."""
    blocks = ["[pool]\nkey_space = 1000000\n"]
    for number in range(servers):
        blocks.append(
            f"[server {name}-{number // 2:05d}-{'ab'[number % 2]}]\n"
            f"service = {name}-{number // 2:05d}\n"
            f"address = 10.{number % 250}.{number // 250 % 250}.{number % 199}:8080\n"
            f"zone = zone-{number % 14}\nslots = 64\nconnections = 256\n"
        )
    return messages.TableValue(data.TableKey(f"pool/{name}"), 1, "\n".join(blocks))


def member_of(number: int, version: int = 0) -> data.Member:
    """Returns an instance's statement."""
    return data.Member(
        data.InstanceId(f"node-{number:05d}"),
        data.Incarnation(1796373764289114200 + number),
        version,
        data.MemberState.LIVE,
        f"10.{number % 250}.{number // 250}.7",
        9000,
        data.ZoneId(f"zone-{number % 14}"),
    )


def membership_of(instances: int) -> membership.Membership:
    """Returns a view of many instances."""
    view = membership.Membership(member_of(0))
    view.merge(member_of(number) for number in range(1, instances))
    return view


def change_member(view: membership.Membership) -> None:
    """Takes in one statement and works out what a node works out after it."""
    version = next(_versions)
    view.merge((member_of(1, version),))
    view.live()
    view.neighbours(16)
    view.is_watcher(2)


_versions = itertools.count(1)
