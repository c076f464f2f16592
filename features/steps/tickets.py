"""Steps that send non-repeatable requests with a ticket."""

import threading

from behave import given, then, when

from standins import site

ROUTE = "book-boat"
POOL = "boathouse"


def send(context, query, number):
    """Sends the request with the ticket and records its answer."""
    answer = context.site.send_query(number, ROUTE, query, ticket=context.ticket)
    context.answers.append(answer)


def send_in_background(context, query, number):
    """Sends the request in a background thread."""
    thread = threading.Thread(target=send, args=(context, query, number), daemon=True)
    thread.start()
    context.add_cleanup(thread.join)
    context.threads = [*getattr(context, "threads", []), thread]


def count_runs(context, query):
    """Returns how often the backend servers have started to execute a request."""
    all_statistics = [
        context.site.server_statistics(server) for server in context.site.servers(POOL)
    ]
    return sum(statistics["executed"].count(query) for statistics in all_statistics)


def join_threads(context):
    """Waits until the background requests have ended."""
    for thread in getattr(context, "threads", []):
        thread.join()


@given("the boathouse servers take {work_ms:d} ms for each request")
def set_processing_time(context, work_ms):
    """Sets the processing time of the pool's servers."""
    for server in context.site.servers(POOL):
        context.site.set_behaviour(server, median_ms=work_ms)


@given('of the boathouse servers only "{accepting_server}" accepts new requests')
def drain_other_servers(context, accepting_server):
    """Makes all other servers of the pool refuse requests as draining."""
    for server in context.site.servers(POOL):
        context.site.set_behaviour(server, draining=server != accepting_server)


@given("no boathouse server accepts new requests")
def drain_all_servers(context):
    """Makes all servers of the pool refuse requests as draining."""
    drain_other_servers(context, accepting_server="none")


@when('the request "{query}" is sent with the ticket to instances {numbers} in turn')
def send_in_turn(context, query, numbers):
    """Sends the request to several instances one after the other."""
    for number in numbers.split(", "):
        send(context, query, int(number))


@when('the request "{query}" is sent with the ticket to instances {numbers} at once')
def send_at_once(context, query, numbers):
    """Sends the request to several instances at the same time."""
    for number in numbers.split(", "):
        send_in_background(context, query, int(number))
    join_threads(context)


@when('in the background the request "{query}" is sent with the ticket to instance {number:d}')
def send_one_in_background(context, query, number):
    """Sends the request in the background, without waiting for its answer."""
    send_in_background(context, query, number)


@when('the request "{query}" is sent with the ticket to instance {number:d}')
def send_one(context, query, number):
    """Sends the request and waits for its answer."""
    send(context, query, number)


@when('the backend servers have recorded a run of "{query}"')
def wait_run(context, query):
    """Waits until a backend server has started to execute the request."""
    site.wait_until(
        lambda: count_runs(context, query) > 0,
        f"no backend server has started to execute the request {query!r}",
    )


@when("instance {number:d} is started again")
def restart(context, number):
    """Waits until an instance has exited, restarts it and waits until all instances are ready."""
    context.site.wait_exit(f"node-{number}")
    context.site.start_instance(number)
    context.site.wait_ready()


@then('all outcomes are "{outcome}"')
def check_outcomes(context, outcome):
    """Checks the outcomes of all requests sent with the ticket."""
    join_threads(context)
    outcomes = [answer["outcome"] for answer in context.answers]
    assert outcomes and set(outcomes) == {outcome}, context.answers


@then('the first {count:d} outcomes are "{outcome}"')
def check_first_outcomes(context, count, outcome):
    """Checks the outcomes of the first requests."""
    outcomes = [answer["outcome"] for answer in context.answers[:count]]
    assert outcomes == [outcome] * count, context.answers


@then('the backend servers have recorded {count:d} run of "{query}"')
@then('the backend servers have recorded {count:d} runs of "{query}"')
def check_runs(context, count, query):
    """Checks how often the backend servers started to execute the request."""
    assert count_runs(context, query) == count, count_runs(context, query)


@then('the backend servers have recorded at most 1 run of "{query}"')
def check_at_most_once(context, query):
    """Checks that the backend servers started to execute the request once or never."""
    assert count_runs(context, query) <= 1, count_runs(context, query)
