"""Steps that test what follows from the reports of backend servers."""

import msgspec
from behave import given, then, when

from features.steps import server_choice
from monsoonhoist import settings
from monsoonhoist.core import data, exchange, limits
from monsoonhoist.node import http_call
from monsoonhoist.overload import budget
from monsoonhoist.platform import backend_protocol
from monsoonhoist.policy import balance, hedge, order, ownership
from monsoonhoist.protocol import events, messages
from monsoonhoist.shards import kernel_config, shard_table

LEAVING = exchange.ServerReport(is_leaving=True)
CELL = tuple(data.InstanceId(f"instance-{number}") for number in (1, 2, 3))
SERVICE_COUNT = 40


class ReportingSimulation(server_choice.Simulation):
    """Simulation of an instance whose servers report about themselves.

    Attributes:
        incarnation: Incarnation that the table lists for all servers.
        cell: Instances of the cell; empty for none.
        calls_by_server: Number of calls to each server.
        announcements: Messages about leaving servers, each with its receiver.
        answers: Answers with their response times, in seconds.
    """

    def __init__(self, behaviour_by_server, cell=()):
        super().__init__(behaviour_by_server)
        self.incarnation = 1
        self.cell = cell
        self.calls_by_server = dict.fromkeys(behaviour_by_server, 0)
        self.announcements = []
        self.answers = []
        self._started_at = 0.0

    def handle(self, event_kernel, event):
        """Passes an event to a kernel; adds the incarnation to the servers of a view."""
        if isinstance(event, events.ViewChanged):
            event = msgspec.structs.replace(
                event, tables=self._with_incarnation(event.tables), cell=self.cell
            )
        if isinstance(event, events.QueryArrived):
            self._started_at = self.clock.now_seconds
        super().handle(event_kernel, event)

    def _with_incarnation(self, tables):
        def change(pool):
            servers_by_service = {
                service: tuple(
                    msgspec.structs.replace(listed, incarnation=self.incarnation)
                    for listed in servers
                )
                for service, servers in pool.servers_by_service.items()
            }
            return msgspec.structs.replace(pool, servers_by_service=servers_by_service)

        pool_by_id = {pool_id: change(pool) for pool_id, pool in tables.pool_by_id.items()}
        return msgspec.structs.replace(tables, pool_by_id=pool_by_id)

    def execute_other(self, command):
        """Records answers."""
        if isinstance(command, events.Respond):
            self.answers.append((command.answer, self.clock.now_seconds - self._started_at))

    def deliver(self, message, instance=server_choice.LOCAL_INSTANCE):
        """Delivers a message to this instance; records one about leaving servers."""
        if isinstance(message, messages.ServersLeaving):
            self.announcements.append((instance, message))
        else:
            super().deliver(message, instance)

    def start_call(self, command):
        """Counts the call."""
        self.calls_by_server[command.server.server_id] += 1
        super().start_call(command)


def make_simulation(context, behaviour, other=None, cell=()):
    """Makes the simulation; server "a" works normally unless it has a behaviour of its own."""
    context.simulation = ReportingSimulation(
        {"a": other or server_choice.Behaviour(), "b": behaviour}
    )
    context.simulation.cell = cell


@given('a shard of two servers, of which "b" says in {responses} that it is leaving')
def make_leaving(context, responses):
    """Makes a shard with a server that says in one kind of response that it is leaving."""
    make_simulation(
        context,
        server_choice.Behaviour(
            refused_share=float(responses == "refusals"),
            failed_share=float(responses == "failures"),
            report=LEAVING,
        ),
    )


@given(
    "a cell of {count:d} instances and a shard of two servers,"
    ' of which "b" says in answers that it is leaving'
)
def make_cell(context, count):
    """Makes the simulation of one instance of a cell."""
    make_simulation(context, server_choice.Behaviour(report=LEAVING), cell=CELL[:count])


@given('a shard of two servers, of which "b" refuses calls and asks to wait for {ms:d} ms')
def make_waiting(context, ms):
    """Makes a shard with a server that asks to wait."""
    report = exchange.ServerReport(wait_seconds=ms / 1000)
    make_simulation(context, server_choice.Behaviour(refused_share=1.0, report=report))


@given("a shard of two servers, which refuse calls and ask to wait for {ms:d} ms")
def make_both_waiting(context, ms):
    """Makes a shard whose servers ask to wait."""
    report = exchange.ServerReport(wait_seconds=ms / 1000)
    behaviour = server_choice.Behaviour(refused_share=1.0, report=report)
    make_simulation(context, behaviour, behaviour)


def publish_and_run(context, count, interval_ms):
    """Passes the tables to the kernels, forgets earlier calls and sends more queries."""
    simulation = context.simulation
    simulation.publish(leaving=False)
    simulation.calls_by_server = dict.fromkeys(simulation.behaviour_by_server, 0)
    simulation.run(count, interval_ms / 1000)


@when(
    "the table lists both servers again and {count:d} sub-requests arrive,"
    " one every {interval_ms:d} ms"
)
def list_again(context, count, interval_ms):
    """Passes tables with both servers to the kernels and sends more queries."""
    context.simulation.absent_servers = set()
    publish_and_run(context, count, interval_ms)


@when(
    'the table lists server "a" only and {count:d} sub-requests arrive,'
    " one every {interval_ms:d} ms"
)
def list_one(context, count, interval_ms):
    """Passes tables with one server to the kernels and sends more queries."""
    context.simulation.absent_servers = {"b"}
    publish_and_run(context, count, interval_ms)


@when(
    "the table lists a later start of both servers and {count:d} sub-requests arrive,"
    " one every {interval_ms:d} ms"
)
def list_later_start(context, count, interval_ms):
    """Passes tables with the next incarnation of both servers, which then work normally."""
    context.simulation.incarnation += 1
    context.simulation.behaviour_by_server["b"] = server_choice.Behaviour()
    publish_and_run(context, count, interval_ms)


@when('server "{name}" answers a health check')
def answer_health_check(context, name):
    """Passes the report of a health check to the owner."""
    simulation = context.simulation
    simulation.start()
    server = data.Server(
        data.ServerId(name),
        server_choice.SERVICE,
        f"{name}:1",
        server_choice.ZONE,
        4,
        100,
        False,
        incarnation=simulation.incarnation,
    )
    report = simulation.behaviour_by_server[name].report
    simulation.handle(simulation.owner, events.ServerReported(server, report))


@then('server "{name}" has received at most {most:d} calls')
def check_calls_max(context, name, most):
    """Checks the number of calls to a server."""
    assert context.simulation.calls_by_server[name] <= most, context.simulation.calls_by_server


@then('server "{name}" has received 0 calls')
def check_no_calls(context, name):
    """Checks that a server received no call."""
    check_calls_max(context, name, 0)


@then('server "{name}" has received at least {least:d} calls')
def check_calls_min(context, name, least):
    """Checks the number of calls to a server."""
    assert context.simulation.calls_by_server[name] >= least, context.simulation.calls_by_server


@then("each server has received at most {most:d} calls")
def check_all_calls(context, most):
    """Checks the number of calls to each server."""
    assert max(context.simulation.calls_by_server.values()) <= most


@then('the {count:d} other instances are told that "{name}" is leaving')
def check_told(context, count, name):
    """Checks the receivers and the content of the announcements."""
    announcements = context.simulation.announcements
    assert [instance for instance, _ in announcements] == list(CELL[1 : count + 1])
    leaving = messages.ServersLeaving((messages.LeavingServer(data.ServerId(name), 1),))
    assert all(message == leaving for _, message in announcements), announcements


@then('an instance that was told calls server "{name}" {calls:d} times in {count:d} sub-requests')
def check_told_instance(context, name, calls, count):
    """Passes an announcement to another instance's owner and sends queries there."""
    message = context.simulation.announcements[0][1]
    make_simulation(context, server_choice.Behaviour())
    context.simulation.start()
    context.simulation.handle(context.simulation.owner, events.ServersLeaving(message))
    context.simulation.run(count, 0.02)
    assert context.simulation.calls_by_server[name] == calls


@then("the last answer came within {ms:d} ms and names a wait of {least:d} ms to {most:d} ms")
def check_refused_at_once(context, ms, least, most):
    """Checks the response time of the last answer and the wait that it names."""
    answer, seconds = context.simulation.answers[-1]
    assert answer.outcome is data.Outcome.NOT_RUN, answer
    assert seconds <= ms / 1000, seconds
    assert least <= answer.wait_ms <= most, answer


@when('a response with status {status:d} has the header "{name}" with the value "{value}"')
def read_response(context, status, name, value):
    """Reads what the headers of a response say about the server."""
    protocol = backend_protocol.ServerProtocol(settings.TimingSection().backend_connect_ms)
    headers = (exchange.Header(name, value),)
    context.report = protocol.read_report(
        http_call.HttpReply(status, b"", True, False, "", headers)
    )


@then("the report has {field} {expected}")
def check_report(context, field, expected):
    """Compares a field of the report, or of its load."""
    source = context.report if hasattr(context.report, field) else context.report.load
    assert str(getattr(source, field)) == expected, context.report


@given("the shards of an owner and their budgets, after work for {count:d} services in turn")
def make_shards(context, count):
    """Makes the shards of many services, of which the tables define one after the other."""
    policies = kernel_config.OwnerPolicies(
        ownership.CellOwnership(CELL[0]),
        balance.ExpectedLatencyBalance(),
        order.RankedOrder,
        hedge.NoHedge,
    )
    context.shards = shard_table.ShardTable(policies, kernel_config.KernelOptions())
    context.budgets = budget.ShardBudgets(budget.BudgetOptions())
    context.budgets.set_share(1.0, 0.0)
    for number in range(count):
        publish_service(context, number, 0.0)


def publish_service(context, number, now):
    """Passes tables with one service to the shards and uses the service."""
    service = data.ServiceId(f"s{number}")
    pool_id = data.PoolId(f"p{number}")
    server = data.Server(data.ServerId(f"x{number}"), service, "10.0.0.1:1", "z", 2, 10, False)
    pool = data.Pool(pool_id, 1, {service: (server,)}, data.Snapshot(1))
    tables = data.Tables({}, {pool_id: pool})
    context.shards.update(tables, limits.LimitShare(1.0, 1.0), now)
    context.shards.find_or_create(pool_id, service)
    context.shards.prune((), now)
    context.budgets.try_spend(service, data.QueryId("q"), False, now)
    context.budgets.prune({service}, now)


@when("the tables define only the last of the services and {seconds:d} s pass")
def publish_last(context, seconds):
    """Publishes the last service once more, later."""
    publish_service(context, SERVICE_COUNT - 1, float(seconds))


@then("there is state for at most {most:d} service")
def check_state(context, most):
    """Checks the number of shards and budgets."""
    assert len(context.shards) <= most, len(context.shards)
    assert len(context.budgets) <= most, len(context.budgets)
