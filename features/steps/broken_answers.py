"""Steps with servers that send broken answers."""

from behave import given, then, when

# Statuses of answers that an instance gives in place of a server's.
STATUS_NOT_RUN = 503
OWN_STATUSES = {502, STATUS_NOT_RUN, 504}


def servers_of(context, services):
    """Returns the servers of some services."""
    return [
        server
        for name, server in context.fleet.server_by_name.items()
        if name.rpartition("-")[0] in services
    ]


@given('the servers of "{first}" and "{second}" send answers with the fault "{fault}"')
def set_faults(context, first, second, fault):
    """Sets the fault of all servers of two services."""
    context.broken_servers = servers_of(context, (first, second))
    for server in context.broken_servers:
        server.behaviour.fault = fault


@given("they {end} each connection after an answer")
def set_end(context, end):
    """Sets whether the servers close their connections."""
    for server in context.broken_servers:
        server.behaviour.closes_connection = end == "close"


@given("they say of each request that it has not run")
def set_denial(context):
    """Makes the servers deny that requests have run."""
    for server in context.broken_servers:
        server.behaviour.denies_run = True


@given('the servers "{first}" and "{second}" send replies with the fault "{fault}"')
def set_native_faults(context, first, second, fault):
    """Sets the fault of two servers of the native dialect until the scenario ends."""
    for name in (first, second):
        context.site.set_behaviour(name, fault=fault)
        context.add_cleanup(context.site.set_behaviour, name, fault="")


@when('the server "{name}" answers as usual')
def reset_server(context, name):
    """Ends the fault of a server, and what it says of itself."""
    server = context.fleet.server_by_name[name]
    server.behaviour.fault = ""
    server.behaviour.is_leaving = False


@then("no answer is a server's")
def check_own(context):
    """Checks that the instances have answered by themselves."""
    for reply in context.replies:
        assert reply.status in OWN_STATUSES, (reply.status, reply.body)
        assert "X-Server-Stamp" not in reply.headers, reply.headers.items()


@then("no answer is a server's, and what is refused has not run")
def check_promises(context):
    """Checks the instances' own answers, and what they promise."""
    check_own(context)
    for request_id, reply in zip(context.request_ids, context.replies, strict=True):
        if reply.status == STATUS_NOT_RUN:
            assert count_runs(context, request_id) == 0, request_id


@then("none of them has run twice")
def check_runs(context):
    """Checks in the servers' records how often each request ran."""
    for request_id in context.request_ids:
        assert count_runs(context, request_id) <= 1, request_id


def count_runs(context, request_id):
    """Returns how often a request ran."""
    return sum(request.ran for request in context.fleet.received_requests(request_id))


@then('the log names the defect "{defect}" of the server "{name}" and one of the requests')
def check_log(context, defect, name):
    """Checks the log lines of responses that were not accepted."""
    lines = [
        line
        for number in context.fleet.process_by_number
        for line in context.fleet.log(number)
        if line["message"] == "response not accepted" and line.get("server") == name
    ]
    requests = {line.get("request_id") for line in lines if line["defect"] == defect}
    assert requests & set(context.request_ids), lines
