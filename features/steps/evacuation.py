"""Steps that evacuate availability zones."""

import asyncio
import base64
import collections
import datetime
import json

from behave import given, then, when

from features import store_values
from features.steps import odd_replies, operator_keys, removed_keys, server_choice
from monsoonhoist.core import data, exchange
from monsoonhoist.fleet import warming
from monsoonhoist.node import config_service, key_ranges, range_reader
from monsoonhoist.overload import budget
from monsoonhoist.platform import reader, store_format, wire_names
from monsoonhoist.policy import ownership
from monsoonhoist.protocol import events, messages
from monsoonhoist.shards import kernel_config
from monsoonhoist.tables import native, store

OLD, NEW = removed_keys.NAMES
GRACE_SECONDS = 2.0
ZONES = ("z1", "z2")


def make_server_text(zone, service="s", state="ready"):
    """Returns the item of a server."""
    return json.dumps(
        store_values.SERVER_ITEM | {"Zone": zone, "Service": service, "State": state, "Slots": 4}
    )


def split_names(names):
    """Returns the names in a list with commas."""
    return [name for name in names.split(", ") if name]


# The table format and the reader.


@given("a store without a configuration")
def make_store(context):
    """Makes an empty store."""
    context.harness = store_values.StoreHarness(store_format.PlatformFormat(0.2))
    context.number = 0


@given('a configuration in force, with servers in the zones "z1" and "z2"')
def make_store_with_config(context):
    """Makes a store with a configuration and two servers."""
    make_store(context)
    offer_config(context)


@when("a configuration and its servers follow")
def offer_config(context):
    """Offers a configuration and two servers."""
    context.harness.offer("op/config", store_values.make_config(1))
    for zone in ZONES:
        context.harness.offer(f"servers/{zone}-a", make_server_text(zone))


def read_item(context, key, **fields):
    """Passes an item of the store through the conversion of the reader to the store."""
    context.number += 1
    item = json.dumps({"Key": key, "Rev": context.number, **fields})
    body = f'{{"events": [{item}], "CurrentRev": 1}}'.encode()
    for value in reader._make_table_values(reader._decode(body, reader.WatchReply).events):
        context.harness.offer(value.key, value.text)


def encode(text):
    """Returns a value as the store transmits it."""
    return base64.b64encode(text.encode()).decode()


@when('the store has the key "{key}" with the value "{text}"')
def read_value(context, key, text):
    """Reads an item."""
    read_item(context, key, Value=encode(text))


@when('the store has the key "{key}" with an empty value')
def read_empty_value(context, key):
    """Reads an item with an empty value."""
    read_item(context, key, Value="")


@when('the store has the key "{key}" with a value that is not base64')
def read_odd_value(context, key):
    """Reads an item that cannot be decoded."""
    read_item(context, key, Value="%%%")


@when('the store has the key "{key}" with a value of {length:d} bytes')
def read_long_value(context, key, length):
    """Reads an item that is too long to be passed on."""
    read_item(context, key, Value=encode("x" * length))


@when('the key "{key}" is removed')
def remove_key(context, key):
    """Reads the removal of an item."""
    read_item(context, key, Removed=True)


@then('the evacuated zones are "{names}"')
@then('the evacuated zones are ""')
def check_zones(context, names=""):
    """Compares the evacuated zones in force."""
    zones = getattr(context.harness.store.tables, "evacuated_zones", frozenset())
    assert sorted(zones) == split_names(names), zones


@then('there is a finding about "{key}"')
def check_finding(context, key):
    """Checks that a finding names the key."""
    assert any(text.startswith(f"{key}:") for text in context.harness.findings), (
        context.harness.findings
    )


@then('there is no finding about "{key}"')
def check_no_finding(context, key):
    """Checks that there is no finding."""
    assert not context.harness.findings, context.harness.findings


# The kernels.


class EvacuationSimulation(server_choice.Simulation):
    """An instance with the tables of the platform, whose zones can be evacuated.

    Args:
        servers_by_service: Names of the servers of each service, which start with their zone.
        behaviour: Behaviour of all servers.
        fields: Fields of the route in the configuration.

    Attributes:
        calls_by_zone: Number of calls since the latest evacuation.
        answers: Time of the request, time of the answer, and the answer, since then.
    """

    def __init__(self, servers_by_service, behaviour, fields):
        names = [name for servers in servers_by_service.values() for name in servers]
        super().__init__({name: behaviour for name in names})
        self.servers_by_service = servers_by_service
        self.fields = fields
        self.harness = store_values.StoreHarness(store_format.PlatformFormat(0.2))
        self.calls_by_zone = collections.Counter()
        self.answers = []
        self.evacuated_at = 0.0
        self._sent_at_by_query = {}

    def publish(self, leaving):
        """Passes tables to the kernels in which all servers are leaving or none is."""
        self.harness.offer("op/config", store_values.make_config(1, **self.fields))
        state = "draining" if leaving else "ready"
        for service, names in self.servers_by_service.items():
            for name in names:
                text = make_server_text(name.partition("-")[0], service, state)
                self.harness.offer(f"servers/{name}", text)
        self.publish_tables()

    def publish_tables(self):
        """Passes the tables to the kernels."""
        view = events.ViewChanged(self.harness.store.tables, (server_choice.LOCAL_INSTANCE,))
        self.handle(self.entry, view)
        self.handle(self.owner, view)

    def evacuate(self, zones):
        """Evacuates exactly these zones and resets what is counted."""
        self.calls_by_zone.clear()
        self.answers.clear()
        self.evacuated_at = self.clock.now_seconds
        for zone in ZONES:
            self.harness.offer(f"op/evacuate/{zone}", "{}" if zone in zones else "")
        self.publish_tables()

    def send_query(self):
        """Sends a query."""
        query_id = data.QueryId(f"q{len(self._sent_at_by_query)}")
        self._sent_at_by_query[query_id] = self.clock.now_seconds
        content = exchange.HttpRequest("GET", "/r/", (), b"")
        request = exchange.CallerRequest("r", content, 0, is_clamped=True)
        self.handle(self.entry, events.QueryArrived(query_id, data.RouteId("r"), request))

    def start_call(self, command):
        """Counts a call by the zone of its server."""
        self.calls_by_zone[command.server.zone] += 1
        super().start_call(command)

    def execute_other(self, command):
        """Records an answer."""
        if isinstance(command, events.Respond):
            sent_at = self._sent_at_by_query[command.query_id]
            self.answers.append((sent_at, self.clock.now_seconds, command.answer))

    def refused_count(self):
        """Returns the number of refusals within 1 ms of the request or of the evacuation."""
        return sum(
            answer.outcome is data.Outcome.NOT_RUN
            and answered_at - max(sent_at, self.evacuated_at) <= 0.001
            for sent_at, answered_at, answer in self.answers
        )


def start_simulation(context, servers_by_service, behaviour=None, **fields):
    """Makes the simulation and passes tables to its kernels."""
    behaviour = behaviour or server_choice.Behaviour()
    context.simulation = EvacuationSimulation(
        servers_by_service, behaviour, {"Attempts": 2, "Service": "s", **fields}
    )
    options = budget.BudgetOptions(1000.0, hedges_use_allowance=True)
    context.simulation.options = kernel_config.KernelOptions(options, GRACE_SECONDS)
    context.simulation.start()


@given('a service with the servers "{names}", each failing a tenth of its calls')
def make_failing_servers(context, names):
    """Makes servers with failures, so that calls are repeated."""
    behaviour = server_choice.Behaviour(failed_share=0.1)
    start_simulation(context, {"s": split_names(names)}, behaviour)


@given('a service with the servers "{names}", and a grace period for leaving servers')
def make_servers(context, names):
    """Makes servers without faults."""
    start_simulation(context, {"s": split_names(names)})


@given('a service with the servers "{names}", which take {latency_ms:d} ms for a call')
def make_slow_servers(context, names, latency_ms):
    """Makes servers with a constant latency."""
    factor = latency_ms / 1000 / server_choice.LATENCY_SECONDS
    behaviour = server_choice.Behaviour(latency_factor=factor, jitter=0.0)
    start_simulation(context, {"s": split_names(names)}, behaviour)


@given(
    'a gathered route with a minimum share of {share:f}, whose shards are "z1", "z2" and "z1, z2"'
)
def make_gathered_route(context, share):
    """Makes a route with three shards, with servers in one, the other and both zones."""
    servers_by_service = {"s1": ["z1-a"], "s2": ["z2-a"], "s3": ["z1-b", "z2-b"]}
    gather = sorted(servers_by_service)
    start_simulation(context, servers_by_service, Gather=gather, MinShardShare=share, TopK=5)


@when("{count:d} requests arrive, one every {interval_ms:d} ms")
def send_requests(context, count, interval_ms):
    """Sends requests at a constant rate."""
    context.simulation.run(count, interval_ms / 1000)


@when("{count:d} requests arrive at once")
@when("{count:d} request arrives at once")
def send_at_once(context, count):
    """Sends requests without waiting."""
    for _ in range(count):
        context.simulation.send_query()


@when('the zones "{names}" are evacuated at once')
@when('the zones "" are evacuated at once')
def evacuate(context, names=""):
    """Puts the keys in force."""
    context.simulation.evacuate(split_names(names))


@when('the servers are leaving and the zones "{names}" are evacuated')
def evacuate_leaving(context, names):
    """Puts the keys in force while the servers are leaving."""
    context.simulation.publish(leaving=True)
    evacuate(context, names)


@when("{duration_ms:d} ms of the simulation pass")
def advance(context, duration_ms):
    """Lets time pass."""
    simulation = context.simulation
    simulation.advance(simulation.clock.now_seconds + duration_ms / 1000)


@then('servers of the zone "{zone}" have received {count:d} calls since the evacuation')
def check_calls(context, zone, count):
    """Checks the number of calls."""
    assert context.simulation.calls_by_zone[zone] == count, context.simulation.calls_by_zone


@then('servers of the zone "{zone}" have received at least {count:d} calls since the evacuation')
def check_many_calls(context, zone, count):
    """Checks the number of calls."""
    assert context.simulation.calls_by_zone[zone] >= count, context.simulation.calls_by_zone


@then("all requests since the evacuation were refused within 1 ms")
def check_all_refused(context):
    """Checks that no request was answered otherwise."""
    simulation = context.simulation
    assert simulation.answers
    assert simulation.refused_count() == len(simulation.answers), simulation.answers


@then("{count:d} requests are refused as not run, within 1 ms")
@then("{count:d} request is refused as not run, within 1 ms")
def check_refused(context, count):
    """Checks the number of refusals."""
    assert context.simulation.refused_count() == count, context.simulation.answers


@then("all requests are answered")
def check_all_answered(context):
    """Checks that no request has failed."""
    outcomes = {answer.outcome for _, _, answer in context.simulation.answers}
    assert outcomes == {data.Outcome.ANSWERED}, outcomes


@then("{count:d} request is answered")
def check_answered(context, count):
    """Checks the number of answers."""
    outcomes = [answer.outcome for _, _, answer in context.simulation.answers]
    assert outcomes.count(data.Outcome.ANSWERED) == count, outcomes


@then("{count:d} request is answered with {covered:d} of {total:d} shards")
def check_partial(context, count, covered, total):
    """Checks the coverage of the answers."""
    coverages = [answer.coverage for _, _, answer in context.simulation.answers]
    assert len(coverages) == count, context.simulation.answers
    for coverage in coverages:
        assert len(coverage.covered) == covered, coverage
        assert len(coverage.missing) == total - covered, coverage


@given(
    'a view of a pool with servers in the zones "z1" and "z2", of which "{evacuated}" is evacuated'
)
def make_view(context, evacuated):
    """Makes the view of an instance that is alone in its cell."""
    make_store(context)
    fields = {"Gather": ["s1", "s2"], "Service": "", "TopK": 5}
    context.harness.offer("op/config", store_values.make_config(1, **fields))
    for service in fields["Gather"]:
        for zone in ZONES:
            key = f"servers/{zone}-{service}"
            context.harness.offer(key, make_server_text(zone, service))
    context.harness.offer(f"op/evacuate/{evacuated}", "{}")
    instance = server_choice.LOCAL_INSTANCE
    tables = context.harness.store.tables
    context.view = events.ViewChanged(tables, (instance,), (instance,), warming.CELLS_MIN)


@then('connections are opened ahead to servers of the zone "{zone}" only')
def check_connections(context, zone):
    """Checks the zones of the servers to connect to."""
    instance = server_choice.LOCAL_INSTANCE
    policy = ownership.CellOwnership(instance)
    servers = warming.servers_to_connect(context.view, instance, policy)
    assert {server.zone for server in servers} == {zone}, servers


# A watcher of a fake store.


@when(
    'the zone "{zone}" is evacuated in the store at {start_ms:d} ms,'
    " and put back in service at {end_ms:d} ms"
)
def evacuate_in_store(context, zone, start_ms, end_ms):
    """Writes and removes the key."""
    key = f"op/evacuate/{zone}"
    operator_keys.add_action(context, start_ms, lambda: operator_keys.write(context, key, "{}"))
    operator_keys.add_action(context, end_ms, lambda: operator_keys.remove(context, key))


@then("the evacuation and its end are each in force within {limit_ms:d} ms")
def check_evacuation_delays(context, limit_ms):
    """Checks the delay of both changes."""
    operator_keys.check_delays(context, limit_ms)
    assert len(context.written_at_by_key) == 2, context.written_at_by_key


# Two instances.


class ListClient(key_ranges.RangeClient):
    """A service that has a list and no changes.

    Args:
        page: The list.
    """

    def __init__(self, page):
        self._page = page

    async def read_page(self, prefix, after):
        """Returns the list."""
        return self._page

    async def watch(self, prefix, revision, duration):
        """Waits for ever."""
        await asyncio.Event().wait()


def read_list(context, name, number):
    """Has an instance read a list that has a configuration and no evacuation."""
    page = key_ranges.Page((removed_keys.make_config_value(),), number)
    key_range = key_ranges.KeyRange("", datetime.timedelta(1), datetime.timedelta(0))
    store_reader = range_reader.RangeReader(
        ListClient(page), (key_range,), datetime.timedelta(1), wire_names.is_removable
    )

    async def read():
        return await store_reader.read(context.pair.replicator_by_name[name].store)

    reading = asyncio.run(read())
    context.pair.read(name, reading.values, reading.listed_number)


@given(
    'two instances of which both know the evacuation of "{zone}",'
    " written with the number {number:d}"
)
def make_evacuated_pair(context, zone, number):
    """Makes two connected instances."""
    context.pair = removed_keys.Pair()
    context.key = data.TableKey(f"op/evacuate/{zone}")
    value = messages.TableValue(context.key, number, "{}")
    context.pair.connect()
    context.pair.read(OLD, (removed_keys.make_config_value(), value), 0)


@when('instance "{name}" reads a list with the number {number:d} that lacks the evacuation')
def read_stale_list(context, name, number):
    """Reads a list while the instances are connected."""
    read_list(context, name, number)


@when(
    'instance "{name}" reads a list with the number {number:d} that lacks the evacuation,'
    ' while "{other}" is cut off'
)
def read_list_alone(context, name, number, other):
    """Reads a list while the instances are not connected."""
    context.pair.is_connected = False
    read_list(context, name, number)


@when("the instances are connected")
def connect(context):
    """Connects the instances."""
    context.pair.connect()


@then('the zone "{zone}" is evacuated at instances "{names}"')
@then('the zone "{zone}" is evacuated at instances ""')
def check_instances(context, zone, names=""):
    """Checks at which instances the zone is evacuated."""
    found = [
        name
        for name in removed_keys.NAMES
        if zone in context.pair.replicator_by_name[name].store.tables.evacuated_zones
    ]
    assert found == split_names(names), found


# The native configuration service.


@given('a native configuration service with the keys "{keys}" at the index {index:d}')
def make_native_service(context, keys, index):
    """Makes a reader of the service."""
    context.driver = odd_replies.CannedDriver()
    context.native_store = store.TableStore(native.NativeFormat())
    body = json.dumps({"number": 1, "text": ""}).encode()
    url = odd_replies.value_url("routes")
    context.driver.reply_by_url[url] = odd_replies.make_reply(200, body)
    client = odd_replies.make_client(context.driver)
    context.native_reader = config_service.ConfigServiceReader(client, odd_replies.WAIT)
    set_index(context, index, split_names(keys))


def set_index(context, index, keys):
    """Sets the index that the service returns."""
    body = json.dumps({"index": index, "number_by_key": dict.fromkeys(keys, 1)}).encode()
    url = f"{odd_replies.SERVICE_URL}/v1/index"
    context.driver.reply_by_url[url] = odd_replies.make_reply(200, body)


@when("its reader reads the index")
def read_index(context):
    """Reads the index, and the values after it."""
    for _ in range(2):
        for value in asyncio.run(context.native_reader.read(context.native_store)).values:
            context.native_store.offer(value)
        context.native_store.apply_accepted()


@when('the index {index:d} lacks "{key}" and is read')
def read_without_key(context, index, key):
    """Reads an index without the key."""
    set_index(context, index, ["routes"])
    read_index(context)


@when('the index {index:d} has "{key}" and is read')
def read_with_key(context, index, key):
    """Reads an index with the key."""
    set_index(context, index, ["routes", key])
    read_index(context)


@then('the native evacuated zones are "{names}"')
@then('the native evacuated zones are ""')
def check_native_zones(context, names=""):
    """Compares the evacuated zones in force."""
    zones = context.native_store.tables.evacuated_zones
    assert sorted(zones) == split_names(names), zones
