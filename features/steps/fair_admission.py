"""Steps that test the division of an entry's admission window between callers."""

import collections
import heapq
import itertools

from behave import given, then, when

from bench import scheduling_load
from monsoonhoist.core import clock, data, exchange, scheduling
from monsoonhoist.kernels import kernel
from monsoonhoist.overload import retry_after
from monsoonhoist.policy import admission, fair_admission
from monsoonhoist.protocol import events, fanout, messages
from monsoonhoist.shards import kernel_config

INSTANCE = data.InstanceId("i-0")
FLOOD = "flood"
ROUTE = data.RouteId("urgent")
SERVICE = data.ServiceId("s00")
OPTIONS = scheduling.Options(fair_admission=True)
WORK_SECONDS = 0.1
RETRY_SECONDS = 0.005
POLITE_CALLERS = 4
POLITE_RATE = 25


class EntryLoad:
    """The kernel of an entry with the window policy, and callers that act on a simulated clock.

    Attributes:
        clock: The simulated clock.
        sent: Number of queries of each caller, without retries.
        answered: Number of answered queries of each caller.
        first_refused: Number of queries that were refused at first.
        returned_answered: Number of these that were answered after a retry.
    """

    def __init__(self):
        self.clock = clock.ManualClock(100.0)
        options = kernel_config.KernelOptions(load_scheduling=OPTIONS)
        names = kernel.PolicyNames(ownership="cell", admission="window")
        self._entry = kernel.make_kernel(
            INSTANCE, data.ZoneId("z"), self.clock, names, options
        ).entry
        tables = scheduling_load.make_tables(scheduling_load.Load(shards=1))
        self._entry.handle(events.ViewChanged(tables, (INSTANCE,), (INSTANCE,), 1))
        self._actions = []
        self._sequence = itertools.count()
        self._query_by_id = {}
        self.sent = collections.Counter()
        self.answered = collections.Counter()
        self.first_refused = 0
        self.returned_answered = 0

    def active_queries(self):
        """Returns the number of queries in progress."""
        return self._entry.active_queries

    def at(self, seconds, action):
        """Schedules an action."""
        heapq.heappush(self._actions, (seconds, next(self._sequence), action))

    def run(self):
        """Runs all actions."""
        while self._actions:
            seconds, _, action = heapq.heappop(self._actions)
            self.clock.now_seconds = max(self.clock.now_seconds, seconds)
            action()

    def send(self, caller, tries, retry_seconds, until=float("inf")):
        """Sends a query, and sends it again if it is refused.

        Args:
            caller: Name of the caller.
            tries: Number of tries that are left, this one included.
            retry_seconds: Delay of a retry; None for the time that the answer states.
            until: No retry is sent after this time.
        """
        query_id = data.QueryId(f"q{next(self._sequence)}")
        content = exchange.HttpRequest("GET", "/", (), b"")
        request = exchange.CallerRequest(query_id, content, 1000, is_clamped=True, caller=caller)
        self._query_by_id[query_id] = (caller, tries, retry_seconds, until)
        self._execute(self._entry.handle(events.QueryArrived(query_id, ROUTE, request)))

    def _execute(self, commands):
        for command in commands:
            if isinstance(command, events.SendMessage):
                query_id = command.message.query.query_id
                self.at(self.clock.now_seconds + WORK_SECONDS, lambda q=query_id: self._reply(q))
            elif isinstance(command, events.Respond):
                self._handle_answer(command)

    def _reply(self, query_id):
        part = fanout.Part(SERVICE, 1, scheduling_load.SNAPSHOT, data.KeyRange(0, 1), ())
        reply = messages.SubReply(query_id, (part,), (), {}, 0, 1)
        self._execute(self._entry.handle(events.ReplyArrived(INSTANCE, reply)))

    def _handle_answer(self, command):
        caller, tries, retry_seconds, until = self._query_by_id.pop(command.query_id)
        if command.answer.outcome is data.Outcome.ANSWERED:
            self.answered[caller] += 1
            self.returned_answered += tries == 1
            if caller == FLOOD and self.clock.now_seconds < until:
                self.send(caller, tries, retry_seconds, until)
            return
        self.first_refused += tries == 2
        wait = retry_seconds or command.answer.wait_ms / 1000 or 0.3
        if tries > 1 and self.clock.now_seconds + wait < until:
            again = self.clock.now_seconds + wait
            self.at(again, lambda: self.send(caller, tries - 1, retry_seconds, until))


def start_flood(entry_load, size, seconds):
    """Lets a caller keep queries in progress, each sent again soon if it is refused."""
    start = entry_load.clock.now_seconds
    for number in range(size):
        entry_load.at(
            start + number * 1e-4,
            lambda: entry_load.send(FLOOD, 10**9, RETRY_SECONDS, start + seconds),
        )


@given("an entry that divides its window between callers")
def make_fair_entry(context):
    """Makes an entry."""
    context.entry_load = EntryLoad()


@when("the four callers and one that keeps {size:d} queries run for {seconds:d} s")
def run_all(context, size, seconds):
    """Runs four callers that return when told to, and one that retries immediately."""
    entry_load = context.entry_load
    start_flood(entry_load, size, seconds)
    for caller, number in itertools.product(range(POLITE_CALLERS), range(POLITE_RATE * seconds)):
        at = entry_load.clock.now_seconds + (number + caller / POLITE_CALLERS) / POLITE_RATE
        name = f"polite-{caller}"
        entry_load.sent[name] += 1
        entry_load.at(at, lambda name=name: entry_load.send(name, 2, None))
    context.seconds = seconds
    entry_load.run()


@when("only the caller that keeps {size:d} queries runs for {seconds:d} s")
def run_flood(context, size, seconds):
    """Runs the caller that retries immediately alone."""
    start_flood(context.entry_load, size, seconds)
    context.seconds = seconds
    context.entry_load.run()


@when("{callers:d} callers send {count:d} queries each at once while queries end at the usual rate")
def run_burst(context, callers, count):
    """Runs a steady load for a second, so that the rate is known, and then a burst."""
    entry_load = context.entry_load
    start = entry_load.clock.now_seconds
    for number in range(300):
        entry_load.at(start + number / 300, lambda: entry_load.send("steady", 1, None))
    for caller in range(callers):
        name = f"burst-{caller}"
        for _ in range(count):
            entry_load.at(start + 1.2, lambda name=name: entry_load.send(name, 2, None))
    entry_load.returned_answered = 0
    entry_load.at(start + 1.19, lambda: setattr(entry_load, "returned_answered", 0))
    entry_load.run()


@then("at least {percent:d}% of the queries of the four callers are answered")
def check_polite(context, percent):
    """Checks the share of answered queries of the callers that return when told to."""
    entry_load = context.entry_load
    answered = sum(entry_load.answered[name] for name in entry_load.sent)
    sent = sum(entry_load.sent.values())
    assert answered * 100 >= percent * sent, (answered, sent, entry_load.answered)


@then("the other caller gets at least {rate:d} answers a second")
def check_flood(context, rate):
    """Checks that the caller that retries immediately is served with what is left."""
    answered = context.entry_load.answered[FLOOD]
    assert answered >= rate * context.seconds, answered


@then("at least {percent:d}% of those that return when told to are admitted")
def check_returned(context, percent):
    """Checks the share of refused queries that are answered after a retry."""
    entry_load = context.entry_load
    assert entry_load.first_refused > 0
    assert entry_load.returned_answered * 100 >= percent * entry_load.first_refused, (
        entry_load.returned_answered,
        entry_load.first_refused,
    )


@then("at most {most:d} callers are remembered and all admitted queries have ended")
def check_remembered(context, most):
    """Checks the bound of the state for each caller, by the policy alone."""
    window = admission.WindowAdmission()
    policy = fair_admission.FairAdmission(window)
    verdicts = [
        policy.admit(data.Rank.URGENT, f"c{number}", str(number), 1.0) for number in range(3 * most)
    ]
    assert policy.caller_count <= most + 1, policy.caller_count
    for verdict in verdicts:
        if verdict.is_admitted:
            policy.finish(data.Rank.URGENT, verdict.account, 0.0, 2.0)
    assert window.places(data.Rank.URGENT)[0] == 0
    assert context.entry_load.active_queries() == 0


@when("a request is refused because of overload with {ms:d} ms to return")
def refuse_with_wait(context, ms):
    """Derives the delay from an answer with a wait."""
    context.delay = retry_after.delay_seconds(data.Refusal.OVERLOAD, "key", ms / 1000)


@then("its retry delay is {ms:d} ms")
def check_delay(context, ms):
    """Checks that nothing is added to the wait, which has its jitter already."""
    assert context.delay == ms / 1000, context.delay
