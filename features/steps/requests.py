"""Steps that send requests as callers do, and check the answers."""

import json

from behave import given, then, when

from standins import site


@when('the caller queries route "{route}" at instance {number:d} for "{query}"')
def send_query(context, route, number, query):
    """Sends a query to one instance."""
    context.answer = context.site.send_query(number, route, query)


@when('the caller queries route "{route}" at instances {first:d} to {last:d} for "{query}"')
def send_query_to_each(context, route, first, last, query):
    """Sends the same query to several instances."""
    numbers = range(first, last + 1)
    context.answers = [context.site.send_query(number, route, query) for number in numbers]


@when('the caller sends {body} to route "{route}" at instance {number:d}')
def send_body(context, body, route, number):
    """Sends a request with the given body."""
    url = f"{context.site.url(number)}/v1/query/{route}"
    context.answer = json.loads(site.send("POST", url, body))


@given('a ticket for route "{route}" from instance {number:d}')
def request_ticket(context, route, number):
    """Requests a ticket."""
    context.ticket = context.site.request_ticket(number, route)


@then('the outcome is "{outcome}"')
def check_outcome(context, outcome):
    """Checks the last answer's outcome."""
    assert context.answer["outcome"] == outcome, context.answer


@then('the reason is "{reason}" and the outcome "{outcome}"')
def check_reason(context, reason, outcome):
    """Checks the last answer's outcome and reason."""
    received = (context.answer["outcome"], context.answer["reason"])
    assert received == (outcome, reason), context.answer


@then("all {count:d} shards are covered from one snapshot")
def check_coverage(context, count):
    """Checks that the coverage is complete and that each result is from the answer's snapshot."""
    coverage = context.answer["coverage"]
    assert coverage["complete"], context.answer
    assert len(coverage["covered"]) == count, coverage
    for _, _, text in context.answer["results"]:
        assert f"snapshot {context.answer['snapshot']} " in text, context.answer


@then("{count:d} results are sorted by descending score")
def check_results(context, count):
    """Checks the number of results and their order."""
    scores = [score for _, score, _ in context.answer["results"]]
    assert len(scores) == count, scores
    assert scores == sorted(scores, reverse=True), scores


@then("all answers have the same results")
def check_equal(context):
    """Checks that the results of several answers are equal."""
    results_by_answer = [answer["results"] for answer in context.answers]
    assert all(results == results_by_answer[0] for results in results_by_answer), results_by_answer


@then('the instance {number:d} has counted a refusal "{reason}"')
def check_counter(context, number, reason):
    """Checks that the refusal's counter is above zero."""
    text = site.fetch(f"{context.site.url(number)}/metrics")
    lines = [line for line in text.splitlines() if f'reason="{reason}"' in line]
    values = [float(line.rsplit(" ", 1)[1]) for line in lines if "refusals" in line]
    assert values and max(values) > 0, lines
