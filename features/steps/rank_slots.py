"""Steps that test the limit of lower ranks' calls at servers that urgent work shares."""

from behave import given, then, when

from bench import scheduling_load
from features.steps import scheduling_order
from monsoonhoist.core import data, scheduling


@given('an owner that limits lower ranks and has seen calls of "{kind}" sub-requests')
def make_limiting_owner(context, kind):
    """Makes an owner that has recently had work of a kind."""
    options = scheduling.Options(rank_slots=True)
    context.goal_harness = scheduling_order.GoalHarness(options)
    context.goal_harness.observe(kind)


@given("the servers pause")
def pause_idle_servers(context):
    """Pauses the servers, so that calls do not end."""
    context.goal_harness.sent = 0
    context.goal_harness.ends.clear()
    context.goal_harness.is_paused = True


@when('{normal:d} "normal" and {urgent:d} "urgent" sub-requests arrive in this order')
def send_both(context, normal, urgent):
    """Sends sub-requests of both kinds."""
    for kind, count in (("normal", normal), ("urgent", urgent)):
        for _ in range(count):
            context.goal_harness.send(kind, 500, 9_000)


@then('{normal:d} "normal" and {urgent:d} "urgent" calls are in flight')
def check_in_flight(context, normal, urgent):
    """Checks the calls that the paused servers hold."""
    kinds = [kind for kind, _ in context.goal_harness.blocking]
    assert (kinds.count("normal"), kinds.count("urgent")) == (normal, urgent), kinds


@then("all sub-requests are called once the servers continue")
def check_all_called(context):
    """Ends the pause and checks that held sub-requests are called."""
    harness = context.goal_harness
    held = len(harness.blocking)
    harness.resume()
    assert held + len(harness.ends) == harness.sent, (held, harness.ends)


@given("seven entries that share servers of two slots, with lower ranks limited")
def set_rank_slots(context):
    """Sets the options of a run of the generated load."""
    context.scheduling_options = scheduling.Options(rank_slots=True)


@when("{seconds:d} s of the generated load of urgent and normal queries run")
def run_generated_load(context, seconds):
    """Runs the load on the kernels."""
    load = scheduling_load.Load(seconds=float(seconds))
    context.load_run = scheduling_load.Run(load, context.scheduling_options, seed=0).run()


@then('at least {percent:d}% of "{rank}" answers meet their goal at the entry')
def check_in_goal(context, percent, rank):
    """Checks the share of a rank's answers that the entry gives within the goal."""
    samples = context.load_run.of_rank(data.Rank(rank))
    in_goal = sum(
        sample.share > 0.0 and sample.entry_seconds * 1000 <= sample.kind.goal_ms
        for sample in samples
    )
    assert in_goal * 100 >= percent * len(samples), (in_goal, len(samples))
