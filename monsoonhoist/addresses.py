"""Addresses of HTTP interfaces, written as ``host:port``."""

import ipaddress

PORT_MAX = 65_535
_PORT_DIGITS_MAX = 5


def find_problem(text: str) -> str | None:
    """Returns what is wrong with an address, or None if it is an IPv4 address and a port."""
    host, separator, port = text.rpartition(":")
    if not separator:
        return f"{text!r} is not host:port"
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        return f"{text!r} has no valid host: {error}"
    if not (port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS_MAX):
        return f"{text!r} has no valid port"
    if not 1 <= int(port) <= PORT_MAX:
        return f"{text!r} has a port that is not from 1 to {PORT_MAX}"
    return None
