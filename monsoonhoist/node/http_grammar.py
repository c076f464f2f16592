"""Grammar of HTTP/1 responses (RFC 9112; fields and tokens: RFC 9110, section 5.6).

Bytes are matched as Latin-1, which keeps all of them, and lines with their ends. A line that ends
with LF alone does not match, although a recipient may accept it (RFC 9112, section 2.2): in the
head of a faulty server it hides a changed byte, and with it the end of the head or the length of
the body.
"""

import re

ENCODING = "latin-1"
LINE_END = "\r\n"
_TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_TEXT = r"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = rf"HTTP/1\.([0-9]) ([0-9]{{3}}) {_TEXT}\r\n"
_FIELD_LINE = rf"{_TOKEN}:{_TEXT}\r\n"
_QUOTED_STRING = r'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
_CHUNK_EXTENSION = rf"[ \t]*;[ \t]*{_TOKEN}(?:[ \t]*=[ \t]*(?:{_TOKEN}|{_QUOTED_STRING}))?"

# Groups: the minor version, the status, and the lines of all fields.
HEAD = re.compile(rf"{_STATUS_LINE}((?:{_FIELD_LINE})*)\r\n")
STATUS_LINE = re.compile(_STATUS_LINE)
FIELD_LINE = re.compile(_FIELD_LINE)
# Groups: the name, and the value with the blanks around it.
FIELD = re.compile(rf"({_TOKEN}):({_TEXT})\r\n")
# Group: the size in hexadecimal digits, at most 60 bits (RFC 9112, section 7.1).
CHUNK_SIZE_LINE = re.compile(rf"([0-9A-Fa-f]{{1,15}})(?:{_CHUNK_EXTENSION})*\r\n")
# Value of ``Content-Length`` (RFC 9110, section 8.6), with digits for less than 64 bits.
LENGTH = re.compile(r"[0-9]{1,18}")


def has_odd_end(line: str) -> bool:
    """Returns whether a line does not end with CR and LF, or has a CR elsewhere."""
    return not line.endswith(LINE_END) or "\r" in line[: -len(LINE_END)]
