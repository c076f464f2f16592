"""Request targets: path and query string as they stand in a request line."""

import re

# Encoding that keeps all bytes of a target as it was received.
ENCODING = "latin-1"
# Spaces and control characters would end the target or the request line.
_TARGET_PATTERN = re.compile(rb"/[^\x00-\x20\x7f]*")


def encode(target: str) -> bytes:
    """Returns the bytes of a target, which curl sends without checking them.

    Raises:
        ValueError: If the target cannot be sent as part of one request line.
    """
    encoded = target.encode(ENCODING)
    if not _TARGET_PATTERN.fullmatch(encoded):
        raise ValueError("the request target is no path, or has a space or a control character")
    return encoded
