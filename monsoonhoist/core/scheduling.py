"""Options and names of the decisions that schedule work under load."""

import enum

import msgspec


class Options(msgspec.Struct, frozen=True):
    """Mechanisms that are enabled; all are off by default.

    Attributes:
        goal_order: Owners serve their queues by the time left to the goal, and start no work
            whose result cannot arrive before the deadline.
        rank_slots: Ranks below the urgent one use at most half of a server's slots while urgent
            work shares it.
        answer_timing: Entries answer partly as late as the goal allows, and after the goal wait
            for as long as the missing parts are worth it.
        delivery_ms: Time that an answer takes from its entry to the caller, in milliseconds, with
            ``answer_timing``.
        fair_admission: Entries divide their admission windows between callers, and tell refused
            ones when to return by the rate at which queries end.
    """

    goal_order: bool = False
    rank_slots: bool = False
    answer_timing: bool = False
    delivery_ms: int = 12
    fair_admission: bool = False


DEFAULT_OPTIONS = Options()


class Decision(enum.Enum):
    """Decision that differs from the one made with all mechanisms disabled.

    Attributes:
        NOT_STARTED: A call was not made, because its result would arrive after the deadline.
        STARTED_LATE: A call was made although its result is expected only after the goal.
        RANK_HELD: A part waits although a server has a free slot, which is kept for urgent work.
        ANSWERED_PARTLY: A query was answered within its goal without all parts.
        ANSWERED_LATE: A query was answered after its goal.
        OVER_SHARE: A query was refused because its caller has its share of the window.
        TOLD_TO_RETURN: A query was refused for other reasons; its caller has a time to return.
    """

    NOT_STARTED = "not_started"
    STARTED_LATE = "started_late"
    RANK_HELD = "rank_held"
    ANSWERED_PARTLY = "answered_partly"
    ANSWERED_LATE = "answered_late"
    OVER_SHARE = "over_share"
    TOLD_TO_RETURN = "told_to_return"
