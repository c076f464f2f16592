"""Why a response is not accepted."""

import enum


class Defect(enum.Enum):
    """Why a response was not accepted, although the connection worked.

    Attributes:
        FOREIGN: It belongs to another request, according to ``HttpCall.expected_header``.
        MALFORMED: Its head has a line that is no header field.
        TOO_LONG: It is longer than one response may be, or it or the body of its request is the
            longest while all in progress together are too long.
    """

    FOREIGN = "foreign"
    MALFORMED = "malformed"
    TOO_LONG = "too long"
