"""Steps in which instances on simulated time read a store that comes back from an older copy."""

import asyncio
import collections
import json

from behave import given, then, when

from features import simulated_fleet, simulated_loop, store_values

CONFIG_KEY = "op/config"
START_SECONDS = 5.0
AWAY_SECONDS = 1.0
# Time before the store leaves whose changes it loses; the lost changes are made in it.
LOST_SECONDS = 2.0
SERVERS = ("s0", "s1", "s2", "s3", "s4")


def make_server(name, sequence, state="ready", born=5):
    """Returns a server's item."""
    fields = {"Seq": sequence, "State": state, "born": born, "Version": name}
    return json.dumps(store_values.SERVER_ITEM | fields)


def act(context, function, *arguments):
    """Runs a function on the loop."""

    async def run():
        return function(*arguments)

    return context.loop.run_until_complete(run())


def wait(context, seconds):
    """Lets time pass."""
    context.loop.run_until_complete(asyncio.sleep(seconds))


def write_server(context, name, state="ready"):
    """Writes the next item of a server."""
    context.sequence += 1
    act(
        context,
        context.simulation.store.write,
        f"servers/{name}",
        make_server(name, context.sequence, state),
    )


def write_config(context, version):
    """Writes a configuration."""
    act(context, context.simulation.store.write, CONFIG_KEY, store_values.make_config(version))


def write_evacuation(context, zone, text):
    """Sets the evacuation of a zone, or lifts it if the text is None."""
    act(context, context.simulation.store.write, f"op/evacuate/{zone}", text)


def return_store(context, away_seconds=AWAY_SECONDS, lost_seconds=LOST_SECONDS, cuts_watches=True):
    """Lets the store go away and come back without its latest changes."""
    act(context, context.simulation.store.leave, cuts_watches)
    wait(context, away_seconds)
    act(context, context.simulation.store.come_back, lost_seconds)
    context.requests = context.simulation.requests
    context.seen_since_return.clear()


def record(context, instance):
    """Records the configurations and servers in force at an instance."""
    contents = instance.content_by_key
    if CONFIG_KEY in contents:
        version = json.loads(contents[CONFIG_KEY])["Version"]
        versions = context.versions_by_boot[instance]
        if not versions or versions[-1] != version:
            versions.append(version)
    names = {key.removeprefix("servers/") for key in contents if key.startswith("servers/")}
    context.seen_since_return.setdefault(instance.name, []).append(names)


@given("{count:d} instances and a store of era {era:d} with configuration {version:d}")
def make_fleet(context, count, era, version):
    """Starts the instances and lets them read the store."""
    context.loop = simulated_loop.SimulatedLoop()
    context.simulation = simulated_fleet.Fleet(count, era)
    context.sequence = 0
    context.versions_by_boot = collections.defaultdict(list)
    context.seen_since_return = {}
    context.simulation.observe = lambda instance: record(context, instance)
    context.add_cleanup(close, context)
    write_config(context, version)
    for name in SERVERS:
        write_server(context, name)
    for name in context.simulation.names:
        act(context, context.simulation.start, name)
    wait(context, START_SECONDS)
    context.requests = context.simulation.requests


def close(context):
    """Ends the instances."""
    act(context, context.simulation.stop_all)
    wait(context, 0.1)
    context.loop.close()


@when('{count:d} writes of server "{name}" and configuration {version:d} are lost by a return')
def lose_writes(context, count, name, version):
    """Makes changes that the store then loses."""
    for _ in range(count):
        write_server(context, name)
    write_config(context, version)
    context.lost_number = context.simulation.store.revision
    wait(context, LOST_SECONDS / 2)
    return_store(context)


@when('the registration of server "{name}" is lost by a return')
def lose_registration(context, name):
    """Registers a server, which the store then loses."""
    write_server(context, name)
    wait(context, LOST_SECONDS / 2)
    return_store(context)


@when('the removal of server "{name}" is lost by a return')
def lose_removal(context, name):
    """Removes a server, which the store then has again."""
    remove_server(context, name)
    wait(context, LOST_SECONDS / 2)
    return_store(context)


@when('zone "{zone}" is evacuated and restored, which is lost by a return')
def lose_restored_zone(context, zone):
    """Sets and lifts an evacuation."""
    write_evacuation(context, zone, "{}")
    wait(context, 0.5)
    write_evacuation(context, zone, None)
    wait(context, LOST_SECONDS / 2)
    return_store(context)


@when('zone "{zone}" is evacuated, which is lost by a return')
def lose_evacuation(context, zone):
    """Sets an evacuation, which operators then no longer want."""
    write_evacuation(context, zone, "{}")
    wait(context, LOST_SECONDS / 2)
    return_store(context)


@when("the store is away for {away_ms:d} ms and loses the last {lost_ms:d} ms")
def return_again(context, away_ms, lost_ms):
    """Lets the store come back once more."""
    wait(context, 0.2)
    return_store(context, away_ms / 1000, lost_ms / 1000)


@when("the store returns without ending watches, and loses {count:d} writes")
def return_silently(context, count):
    """Lets the store come back at once, while the watches go on waiting."""
    for _ in range(count):
        write_server(context, "s1")
    wait(context, 0.5)
    return_store(context, 0.0, cuts_watches=False)


@when(
    '{count:d} writes of server "{name}" and the removal of server "{removed}" are lost by a return'
)
def lose_writes_and_removal(context, count, name, removed):
    """Makes changes that the store then loses, the removal as the last."""
    for _ in range(count):
        write_server(context, name)
    remove_server(context, removed)
    wait(context, LOST_SECONDS / 2)
    return_store(context)


@when("a list for instance {name} is made before a return that loses {count:d} writes, and is late")
def delay_list(context, name, count):
    """Starts an instance anew, whose list of operators' keys arrives 1.5 s late."""
    name = name.strip('"')
    for _ in range(count):
        write_server(context, "s1")
    link = context.simulation.link_by_name[name]
    link.reply_delay_seconds = 1.5
    act(context, context.simulation.start, name)
    wait(context, 0.5)
    return_store(context, 0.0, cuts_watches=False)


@when('{count:d} writes of server "{name}" are lost by a return between two pages of a list')
def return_during_list(context, count, name):
    """Starts the instances anew, whose lists then have pages of two eras."""
    for _ in range(count):
        write_server(context, name)
    for link in context.simulation.link_by_name.values():
        link.reply_delay_seconds = 0.2
    for instance_name in context.simulation.names:
        act(context, context.simulation.start, instance_name)
    wait(context, 0.1)
    return_store(context, 0.0, cuts_watches=False)


@when("instance {name} starts again")
def restart(context, name):
    """Starts an instance with empty tables."""
    act(context, context.simulation.start, name.strip('"'))


@when("instance {name} is cut off, and the others start again after a return that it has not seen")
def return_unseen(context, name):
    """Lets an instance keep the values that the store has lost, and the others start empty."""
    fleet = context.simulation
    name = name.strip('"')
    others = [other for other in fleet.names if other != name]
    for other in others:
        fleet.cut(name, other)
    for _ in range(5):
        write_server(context, "s1")
    write_config(context, 2)
    wait(context, LOST_SECONDS / 2)
    fleet.link_by_name[name].is_cut = True
    return_store(context)
    for other in others:
        act(context, fleet.start, other)
    wait(context, 0.5)


@when("instance {name} is connected to the others again")
def connect(context, name):
    """Heals the streams; the instance does not reach the store yet."""
    act(context, context.simulation.heal)
    wait(context, 1.0)


@when("configuration {version:d} is written")
@when("configuration {version:d} is written again")
def write_configuration(context, version):
    """Writes a configuration."""
    wait(context, 0.3)
    write_config(context, version)


@when('server "{name}" is written as {state}')
def write_state(context, name, state):
    """Writes a server's item."""
    write_server(context, name, state)


@when('server "{name}" is written {count:d} times')
def write_often(context, name, count):
    """Writes a server's items at once."""
    for _ in range(count):
        write_server(context, name)


@when('server "{name}" is started again')
def start_server(context, name):
    """Writes the item of a new process of a server."""
    text = make_server(name, 1, born=6)
    act(context, context.simulation.store.write, f"servers/{name}", text)


@when('server "{name}" is removed')
def remove_server(context, name):
    """Removes a server's item."""
    act(context, context.simulation.store.write, f"servers/{name}", None)


@when('zone "{zone}" is evacuated')
def evacuate(context, zone):
    """Sets an evacuation."""
    wait(context, 0.3)
    write_evacuation(context, zone, "{}")


@when("the instances run for {duration_ms:d} ms")
def pass_time(context, duration_ms):
    """Lets time pass, and counts requests from its start."""
    context.requests = context.simulation.requests
    wait(context, duration_ms / 1000)


@then("configuration {version:d} is in force at all instances within {limit_ms:d} ms")
def check_config(context, version, limit_ms):
    """Checks the configuration after the time."""
    wait(context, limit_ms / 1000)
    expected = store_values.make_config(version)
    for name, instance in context.simulation.instance_by_name.items():
        assert instance.content_by_key.get(CONFIG_KEY) == expected, name


@then('server "{name}" is {state} at all instances within {limit_ms:d} ms')
def check_state(context, name, state, limit_ms):
    """Checks a server's state after the time."""
    wait(context, limit_ms / 1000)
    for instance in context.simulation.instance_by_name.values():
        text = instance.content_by_key[f"servers/{name}"]
        assert json.loads(text)["State"] == state, (instance.name, text)


@then('server "{name}" is in force at all instances')
def check_in_force(context, name):
    """Checks that a server is in force."""
    for instance in context.simulation.instance_by_name.values():
        assert f"servers/{name}" in instance.content_by_key, instance.name


@then('server "{name}" was in force at all instances ever since')
def check_kept(context, name):
    """Checks that a server was in force after each change since the return."""
    for instance_name, sets in context.seen_since_return.items():
        assert all(name in names for names in sets), instance_name


@then('server "{name}" was in force at no instance since the return')
def check_removed(context, name):
    """Checks that a server was in force after no change since the return."""
    for instance_name, sets in context.seen_since_return.items():
        assert not any(name in names for names in sets), instance_name


@then('zone "{zone}" is evacuated at all instances')
def check_zone(context, zone):
    """Checks that an evacuation is in force."""
    for instance in context.simulation.instance_by_name.values():
        assert f"op/evacuate/{zone}" in instance.content_by_key, instance.name


@then("no instance has gone back to an earlier configuration")
def check_versions(context):
    """Checks the versions that were in force in each boot."""
    for versions in context.versions_by_boot.values():
        assert versions == sorted(versions), versions


@then("all instances have the store's values after {duration_ms:d} ms")
def check_values(context, duration_ms):
    """Compares the tables of all instances with the store."""
    wait(context, duration_ms / 1000)
    for link in context.simulation.link_by_name.values():
        link.is_cut = False
    expected = {key: each.text for key, each in context.simulation.store.latest_changes().items()}
    for name, instance in context.simulation.instance_by_name.items():
        contents = instance.content_by_key
        differing = [k for k in expected | contents if expected.get(k) != contents.get(k)]
        assert not differing, (name, differing)


@then("the instances have made at most {count:d} requests meanwhile")
def check_requests(context, count):
    """Checks the number of requests to the store."""
    made = context.simulation.requests - context.requests
    print(f"{made} requests")
    assert made <= count, made
