"""Steps of servers and instances that leave."""

import signal

from behave import then, when

from standins import site


@when('the server "{server}" starts draining')
def drain_server(context, server):
    """Lets a backend server refuse new work as draining."""
    context.site.behave(server, draining=True)


@when('the table marks the server "{server}" as leaving')
def mark_leaving(context, server):
    """Publishes the pool's table with the server marked."""
    pool = server.rsplit("-", 2)[0]
    text = context.site.pool_text(pool)
    header = f"[server {server}]\n"
    marked = text.replace(header, f"{header}leaving = yes\n")
    context.marked = (f"pool/{pool}", context.site.publish(f"pool/{pool}", marked))


@when("the marked table is in force at instances {first:d} to {last:d}")
def wait_marked(context, first, last):
    """Waits until the instances have the marked table."""
    key, number = context.marked
    for instance in range(first, last + 1):
        site.wait_until(
            lambda instance=instance: context.site.revision(instance, key) >= number,
            f"revision {number} is not in force",
        )


@when('{count:d} more answers have been received without a new call to "{server}"')
def check_no_work(context, count, server):
    """Checks that a leaving server is not even called while answers come."""
    before = context.site.journal(server)["calls"]
    context.callers.wait_for(count)
    assert context.site.journal(server)["calls"] == before


@when('the process "{name}" receives SIGTERM')
def tell_end(context, name):
    """Sends SIGTERM."""
    context.site.signal(name, signal.SIGTERM)


@when('the process "{name}" receives SIGHUP')
def tell_read(context, name):
    """Sends SIGHUP."""
    context.site.signal(name, signal.SIGHUP)


@then('the process "{name}" is still running')
def check_running(context, name):
    """Checks that the process has not ended."""
    assert context.site.process_by_name[name].poll() is None


@when('the process "{name}" has exited with code 0')
@then('the process "{name}" exits with code 0')
def wait_end(context, name):
    """Waits for the end and checks the exit code."""
    assert context.site.wait_exit(name) == 0


@then("instance {number:d} is no longer ready")
def check_not_ready(context, number):
    """Waits until the readiness address refuses."""
    url = f"{context.site.url(number)}/ready"
    site.wait_until(lambda: site.fetch(url) is None, "the instance stayed ready")


@then("all answers are complete")
def check_all_whole(context):
    """Checks that no caller got anything but a whole answer."""
    context.callers.stop()
    assert not context.callers.errors, context.callers.errors[:3]
    odd = [answer for answer in context.callers.answers if answer["outcome"] != "answered"]
    assert not odd, (len(odd), odd[0])
