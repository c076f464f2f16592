"""Step that runs the state machine of instances and a store that comes back from an older copy."""

import logging

import hypothesis
from behave import then
from hypothesis import stateful

from features import value_order_model

EXAMPLES_MAX = 120
STEPS_MAX = 25


@then("generated changes, returns, cuts and restarts break no rule")
def check_generated(context):
    """Runs the examples of CI, or by ``-D examples=N`` that many new ones."""
    long_run = context.config.userdata.get("examples")
    settings = hypothesis.settings(
        max_examples=int(long_run or EXAMPLES_MAX),
        stateful_step_count=STEPS_MAX,
        derandomize=long_run is None,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    logging.disable(logging.ERROR)
    try:
        stateful.run_state_machine_as_test(value_order_model.Machine, settings=settings)
    finally:
        logging.disable(logging.NOTSET)
