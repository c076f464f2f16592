"""Responses with one fault, as a backend server in trouble sends them.

A fault changes one place of a sound response, whose head ends with the field ``X-Extra: kept`` and
the length, of two digits or more.
"""

import re

import msgspec

FIELD = b"X-Extra: kept"


class Fault(msgspec.Struct, frozen=True):
    """A change of a response.

    Attributes:
        place: Regular expression for the place; the first match is replaced.
        replacement: Bytes that are put there.
    """

    place: bytes
    replacement: bytes


def _replace_status(text: bytes) -> Fault:
    """Returns a fault of the status and the reason."""
    return Fault(rb"(?<=HTTP/1\.1 )[^\r]+", text)


def _replace_length(value: bytes) -> Fault:
    """Returns a fault of the value of the length."""
    return Fault(rb"(?<=Content-Length: )\d+", value)


def _replace_name(name: bytes) -> Fault:
    """Returns a fault of the name of a field."""
    return Fault(rb"X-Extra", name)


def _replace_body(lines: bytes) -> Fault:
    """Returns a fault of the length and the whole body."""
    return Fault(rb"(?s)Content-Length: \d+\r\n\r\n.*", lines)


_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"\r\n4\r\nbody\r\n0\r\n\r\n"

FAULT_BY_NAME = {
    # The length is shorter than the body.
    "length: first digit blank": Fault(rb"(?<=Content-Length: )\d", b" "),
    "length: last digit tab": Fault(rb"\d(?=\r\n\r\n)", b"\t"),
    "length: first digit 0": Fault(rb"(?<=Content-Length: )\d", b"0"),
    "length: 0": _replace_length(b"0"),
    # A line has a wrong end, so that the head may end before the length.
    "CR line before length": Fault(rb"(?=Content-Length)", b"\r\r\n"),
    "CR before length": Fault(rb"(?=Content-Length)", b"\r"),
    "LF for CR before length": Fault(rb"\r(?=\nContent-Length)", b"\n"),
    "two LF in value": Fault(rb"kept", b"ke\n\npt"),
    "LF in value": Fault(rb"kept", b"ke\npt: x"),
    "LF without CR": Fault(rb"\r(?=\nContent-Length)", b""),
    "CR twice": Fault(rb"\r(?=\nContent-Length)", b"\r\r"),
    # The first line is no status line.
    "status 2000": _replace_status(b"2000 OK"),
    "status 200xOK": _replace_status(b"200xOK"),
    "version 2.1": Fault(rb"HTTP/1\.1", b"HTTP/2.1"),
    "version 3.7": Fault(rb"HTTP/1\.1", b"HTTP/3.7"),
    "control byte in reason": _replace_status(b"200 O\x01K"),
    "LF after reason": Fault(rb"\r\n", b"\n"),
    # The status is none of a final response.
    "status 101": _replace_status(b"101 Odd"),
    "status 600": _replace_status(b"600 Odd"),
    "status 999": _replace_status(b"999 Odd"),
    # A later line begins like a status line.
    "HTTP/1.1 as a field": Fault(rb"X-Extra: kept", b"HTTP/1.1: x"),
    "second status line": Fault(rb"X-Extra: kept", b"HTTP/1.1 200 OK"),
    # The head states the length of the body in no valid way.
    "coding twice": _replace_body(_CHUNKED + _CHUNKED + _CHUNKS),
    "coding and length": _replace_body(b"Content-Length: 4\r\n" + _CHUNKED + _CHUNKS),
    "length beyond 64 bits": _replace_body(b"Content-Length: 99999999999999999999\r\n\r\nbody"),
    # The body is not in valid chunks.
    "LF after chunk size": _replace_body(_CHUNKED + b"\r\n4\nbody\r\n0\r\n\r\n"),
    "LF after chunk": _replace_body(_CHUNKED + b"\r\n4\r\nbody\n0\r\n\r\n"),
    "blank in trailer name": _replace_body(_CHUNKED + b"\r\n4\r\nbody\r\n0\r\nX End: 1\r\n\r\n"),
    # More bytes arrive than the response has.
    "bytes after body": Fault(rb"\Z", b"extra"),
    "bytes after chunks": _replace_body(_CHUNKED + _CHUNKS + b"extra"),
    "body of status 204": _replace_status(b"204 Odd"),
    # Statuses, lengths, names and codings that cannot be read.
    "status 000": _replace_status(b"000 Odd"),
    "status 00": _replace_status(b"00 Odd"),
    "status 020": _replace_status(b"020 Odd"),
    "status 099": _replace_status(b"099 Odd"),
    "status OK": _replace_status(b"OK"),
    "length with letter": _replace_length(b"19x"),
    "length with sign": _replace_length(b"+192"),
    "length hexadecimal": _replace_length(b"0xc0"),
    "length with point": _replace_length(b"192.0"),
    "length list": _replace_length(b"192, 4"),
    "length empty": _replace_length(b""),
    "two lengths": Fault(rb"(?=Content-Length)", b"Content-Length: 5\r\n"),
    "blank in name": _replace_name(b"X Extra"),
    "blank after name": _replace_name(b"X-Extra "),
    "tab in name": _replace_name(b"X-E\ttra"),
    "control byte in name": _replace_name(b"X-E\x01tra"),
    "byte above 127 in name": _replace_name(b"X-E\xe9tra"),
    "no colon": Fault(rb"X-Extra:", b"X-Extra"),
    "NUL in name": _replace_name(b"X-E\x00tra"),
    "NUL in value": Fault(rb"kept", b"ke\x00t"),
    "NUL in reason": _replace_status(b"200 O\x00K"),
    "unknown coding": _replace_body(b"Transfer-Encoding: odd\r\n\r\nbody"),
    "spoiled chunk size": _replace_body(_CHUNKED + b"\r\nz\r\nbody\r\n0\r\n\r\n"),
}


def spoil(response: bytes, name: str) -> bytes:
    """Returns a response with a fault.

    Args:
        response: The sound response, with its body.
        name: Name of the fault, a key of ``FAULT_BY_NAME``.

    Raises:
        ValueError: If the response lacks the place that the fault changes.
    """
    fault = FAULT_BY_NAME[name]
    spoiled, count = re.subn(fault.place, lambda _: fault.replacement, response, count=1)
    if not count:
        raise ValueError(f"no place for the fault {name!r} in {response!r}")
    return spoiled
