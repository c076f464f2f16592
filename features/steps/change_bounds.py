"""Steps that disturb some instances and measure when a change is in force at the others.

The bound holds only for instances that nothing has disturbed; the steps record the disturbed ones.
"""

import time

import behave
from behave import given, then, when

from features import change_bounds, failure_report

# Time between the start of a deployment and the first disturbance.
SETTLE_SECONDS = 2.0


@behave.fixture
def running_bounds_fleet(context, instances, zones):
    """Starts a deployment and stops it after the scenario."""
    deployment = change_bounds.BoundsFleet(instances, zones)
    failure_report.note_evidence(context.scenario, deployment.folder)
    try:
        deployment.start()
        deployment.publish_next()
        yield deployment
    finally:
        deployment.stop()


@given("{instances:d} instances in {zones:d} zones, undisturbed")
def start(context, instances, zones):
    """Starts a deployment and waits until the watchers are settled."""
    context.bounds = behave.use_fixture(running_bounds_fleet, context, instances, zones)
    context.watch_order = context.bounds.watch_order()
    context.disturbed = set()
    time.sleep(SETTLE_SECONDS)


@given("servers' items that change each 10 ms")
def change_tables(context):
    """Writes items until the end of the scenario."""
    writing = change_bounds.changing_tables(context.bounds)
    writing.__enter__()
    context.add_cleanup(writing.__exit__, None, None, None)
    time.sleep(SETTLE_SECONDS)


@given("the watchers have just read the store")
@when("the watchers have just read the store")
def let_read(context):
    """Lets the watchers read an item that matters to no table."""
    context.bounds.write_unrelated_item()
    time.sleep(change_bounds.JUST_READ_SECONDS)


@given("the watchers have just begun to wait for changes")
def let_wait(context):
    """Lets the watchers read an item and begin to wait for the next change."""
    context.bounds.write_unrelated_item()
    time.sleep(change_bounds.WAITING_SECONDS)


@when('the links of the first {count:d} watchers to the store have the fault "{how}"')
def disturb_watchers(context, count, how):
    """Disturbs the links of the instances that come first in the order of watchers."""
    numbers = context.watch_order[:count]
    context.disturbed.update(numbers)
    context.bounds.disturb_store_links(numbers, how)


@when("the replies of the store to the first {count:d} watchers are held up for {ms:d} ms")
def hold_replies(context, count, ms):
    """Delays the replies of the store to the instances that come first in the order."""
    numbers = context.watch_order[:count]
    context.disturbed.update(numbers)
    context.bounds.disturb_store_links(numbers, "hold", ms / 1000)


@when("watcher {position:d} was killed and started again {seconds:g} s ago")
def restart_watcher(context, position, seconds):
    """Kills and starts an instance, given by its place in the order of watchers from 1."""
    number = context.watch_order[position - 1]
    context.disturbed.add(number)
    process = context.bounds.process_by_number[number]
    process.kill()
    process.wait()
    context.bounds.start_instance(number)
    time.sleep(seconds)


@when("the streams to watcher {position:d} are reset")
def reset_streams(context, position):
    """Resets the streams that others have opened to an instance."""
    number = context.watch_order[position - 1]
    context.disturbed.add(number)
    context.bounds.reset_streams(number)


@when("watcher {position:d} is killed")
def kill_watcher(context, position):
    """Kills an instance."""
    number = context.watch_order[position - 1]
    context.disturbed.add(number)
    context.bounds.process_by_number[number].kill()


@when('the instance that first sends "{key}" to the last watcher dies before it has sent it')
def kill_sender(context, key):
    """Kills the sender of a value, which the receiver has requested and does not get from it."""
    receiver = context.watch_order[-1]
    context.killed = context.bounds.kill_sender_of_value(receiver, key)


@when("the first {count:d} watchers are held up for {stop_ms:d} ms of each {period_ms:d} ms")
def hold_up(context, count, stop_ms, period_ms):
    """Stops processes again and again until the end of the scenario."""
    numbers = context.watch_order[:count]
    context.disturbed.update(numbers)
    stop = stop_ms / 1000
    holding = change_bounds.held_up(context.bounds, numbers, stop, period_ms / 1000 - stop)
    holding.__enter__()
    context.add_cleanup(holding.__exit__, None, None, None)


@given("all instances run for {run_ms:d} ms of each {period_ms:d} ms")
def limit_processor(context, run_ms, period_ms):
    """Lets all instances run as with a quota of processor time, until the end of the scenario."""
    stop = (period_ms - run_ms) / 1000
    limiting = change_bounds.held_up(
        context.bounds, context.watch_order, stop, run_ms / 1000, is_staggered=True
    )
    limiting.__enter__()
    context.add_cleanup(limiting.__exit__, None, None, None)
    time.sleep(SETTLE_SECONDS)


@when("the operator adds a route and a server says that it is leaving")
def change(context):
    """Writes a change and measures when it is in force at the instances."""
    context.disturbed.update(getattr(context, "killed", ()))
    numbers = sorted(set(context.watch_order) - context.disturbed)
    context.measurement = change_bounds.Measurement(context.bounds, numbers)
    context.measurement.publish()
    context.measurement.wait()


@then("both are in force within 3 s at the undisturbed instances")
def check_bound(context):
    """Checks the times; an instance that died while it sent a value counts as disturbed."""
    killed = set(getattr(context, "killed", ()))
    measurement = context.measurement
    delays_by_number = {
        number: delays
        for number, delays in measurement.delays_by_number.items()
        if number not in killed
    }
    seen = measurement.describe()
    print(f"watch order {context.watch_order}, died {sorted(killed)}\n{seen}")
    assert "killed" not in context or killed, f"no value was sent\n{seen}"
    worst = max(delays.worst() for delays in delays_by_number.values())
    assert worst <= change_bounds.CHANGE_BOUND_SECONDS, seen
    assert measurement.last_use <= change_bounds.CHANGE_BOUND_SECONDS, seen
