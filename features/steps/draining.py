"""Steps that drain backend servers and shut down or reload instances."""

import signal

from behave import then, when

from standins import site


@when('the server "{server}" starts draining')
def drain_server(context, server):
    """Makes a backend server refuse new requests as draining."""
    context.site.set_behaviour(server, draining=True)


@when('the table marks the server "{server}" as leaving')
def mark_leaving(context, server):
    """Publishes the pool's table with the server marked as leaving."""
    pool = server.rsplit("-", 2)[0]
    text = context.site.pool_text(pool)
    header = f"[server {server}]\n"
    marked = text.replace(header, f"{header}leaving = yes\n")
    context.marked_revision = (f"pool/{pool}", context.site.publish(f"pool/{pool}", marked))


@when("the marked table is in force at instances {first:d} to {last:d}")
def wait_for_marked_table(context, first, last):
    """Waits until the table that marks the server is in force at the instances."""
    key, revision_number = context.marked_revision
    for instance in range(first, last + 1):
        site.wait_until(
            lambda instance=instance: context.site.revision(instance, key) >= revision_number,
            f"revision {revision_number} of {key} is not in force at instance {instance}",
        )


@when('{count:d} more answers have been received without a new call to "{server}"')
def check_no_calls(context, count, server):
    """Waits for more answers and checks that the server has received no call meanwhile."""
    calls_before = context.site.server_statistics(server)["calls"]
    context.callers.wait_for(count)
    calls_after = context.site.server_statistics(server)["calls"]
    assert calls_after == calls_before, (calls_before, calls_after)


@when('the process "{name}" receives SIGTERM')
def terminate_process(context, name):
    """Sends SIGTERM to a process."""
    context.site.signal(name, signal.SIGTERM)


@when('the process "{name}" receives SIGHUP')
def reload_settings(context, name):
    """Sends SIGHUP to a process, which makes an instance reload its settings."""
    context.site.signal(name, signal.SIGHUP)


@then('the process "{name}" is still running')
def check_running(context, name):
    """Checks that the process has not exited."""
    assert context.site.process_by_name[name].poll() is None


@when('the process "{name}" has exited with code 0')
@then('the process "{name}" exits with code 0')
def wait_for_exit(context, name):
    """Waits until a process has exited and checks its exit code."""
    exit_code = context.site.wait_exit(name)
    assert exit_code == 0, exit_code


@then("instance {number:d} is no longer ready")
def check_not_ready(context, number):
    """Waits until the readiness probe fails."""
    url = f"{context.site.url(number)}/ready"
    site.wait_until(lambda: site.fetch(url) is None, f"instance {number} is still ready")


@then("all answers are complete")
def check_all_complete(context):
    """Checks that all requests of the background callers had complete answers."""
    context.callers.stop()
    assert not context.callers.errors, context.callers.errors[:3]
    answers = context.callers.accepted_answers()
    incomplete = [answer for answer in answers if answer["outcome"] != "answered"]
    assert not incomplete, (len(incomplete), incomplete[0])
