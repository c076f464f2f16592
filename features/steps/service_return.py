"""Steps in which the native configuration service comes back from a copy of an earlier state."""

import json
import threading
import time

from behave import given, then, when

from features.steps import store_return
from standins import site

ASK_PAUSE_SECONDS = 0.05
# Pool of the routes that the steps add.
POOL = "allocator"


def routes_with(context, names):
    """Returns the example's routes with further ones, and a comment that differs each time."""
    path = site.ROOT / "examples" / "zurichsee" / "routes.ini"
    context.edit_count = getattr(context, "edit_count", 0) + 1
    further = "".join(
        f"\n[route {name}]\nrank = normal\npool = {POOL}\ndeadline_ms = 1000\n"
        for name in names.split(", ")
    )
    return f"{path.read_text(encoding='utf-8')}{further}\n; Edit {context.edit_count}.\n"


def is_known(context, number, route):
    """Returns whether an instance has a route, or None if it does not say so.

    An instance issues no ticket for a route that it does not have.
    """
    try:
        reply = site.send("POST", f"{context.site.url(number)}/v1/ticket/{route}", "")
    except OSError:
        return None
    if "ticket" in json.loads(reply):
        return True
    return False if "no route is named" in reply else None


def all_instances(context):
    """Returns the numbers of all instances."""
    return range(1, context.site.options.instances + 1)


@given("the service states no era")
def state_no_era(context):
    """Lets the service leave the era out of its replies."""
    context.site.send_control("no-era", "")


@given('the operators publish the routes with "{names}" {times:d} times')
@when('the operators publish the routes with "{names}" {times:d} times')
def publish_routes(context, names, times):
    """Publishes the routes with further ones, several times."""
    for _ in range(times):
        context.lost_number = context.site.publish("routes", routes_with(context, names))
        assert context.lost_number, "the service is away"
    context.acknowledged_at = time.monotonic()


@when('the operators publish the routes with "{names}" once more')
def publish_routes_again(context, names):
    """Publishes the routes once more, with a number that is not above that of the lost ones."""
    number = context.site.publish("routes", routes_with(context, names))
    context.acknowledged_at = time.monotonic()
    assert 0 < number <= context.lost_number, (number, context.lost_number)


@when("the service is away for {seconds:g} s and returns from its old state")
def return_service(context, seconds):
    """Lets the service come back from the saved state, and waits until it has."""
    context.site.send_control("return", str(seconds))
    context.returned_at = time.monotonic()


@then('the route "{route}" is known everywhere in time')
@given('the route "{route}" is known everywhere in time')
def check_known(context, route):
    """Checks that all instances have the route from the bound after the publication on."""
    store_return.sleep_until(context.acknowledged_at + store_return.IN_FORCE_SECONDS)
    known_by_instance = {
        number: is_known(context, number, route) for number in all_instances(context)
    }
    assert set(known_by_instance.values()) == {True}, known_by_instance


@given('the route "{route}" is asked for all the while')
def start_asking(context, route):
    """Starts asking all instances for the route."""
    context.unknown_at = []
    context.asked_count_by_instance = dict.fromkeys(all_instances(context), 0)
    context.stopping = threading.Event()

    def ask(number):
        while not context.stopping.wait(ASK_PAUSE_SECONDS):
            context.asked_count_by_instance[number] += 1
            if not is_known(context, number, route):
                context.unknown_at.append((number, time.monotonic()))

    context.threads = [
        threading.Thread(target=ask, args=(number,), daemon=True)
        for number in all_instances(context)
    ]
    for thread in context.threads:
        thread.start()
    context.add_cleanup(context.stopping.set)


@then('the route "{route}" was known everywhere meanwhile')
def check_known_meanwhile(context, route):
    """Ends asking, and checks that all instances had the route all the while."""
    context.stopping.set()
    for thread in context.threads:
        thread.join()
    assert all(context.asked_count_by_instance.values()), context.asked_count_by_instance
    assert not context.unknown_at, context.unknown_at[:10]
