"""End of a response's body, found in the bytes of the connection (RFC 9112, section 6)."""

import abc
import enum

from monsoonhoist.core import defects
from monsoonhoist.node import http_grammar

# Longest line before a chunk, and longest trailer.
LINES_BYTES_MAX = 131_072
HEXADECIMAL = 16


class Body(abc.ABC):
    """Judges the bytes after a head, with the chunks if there are any.

    Attributes:
        is_complete: Whether all bytes have arrived, so that no more may follow.
    """

    is_complete = False

    @abc.abstractmethod
    def read(self, chunk: bytes) -> defects.Defect | None:
        """Reads bytes of the connection; returns what is wrong with them."""


class SizedBody(Body):
    """Body whose length is known.

    Args:
        length: Number of its bytes.
    """

    def __init__(self, length: int):
        self._missing_bytes = length
        self.is_complete = not length

    def read(self, chunk: bytes) -> defects.Defect | None:
        """Reads bytes of the connection; returns what is wrong with them."""
        self._missing_bytes -= len(chunk)
        self.is_complete = self._missing_bytes <= 0
        return defects.Defect.AFTER_BODY if self._missing_bytes < 0 else None


class UnsizedBody(Body):
    """Body that ends with its connection."""

    def read(self, chunk: bytes) -> None:
        """Returns None, since any bytes may follow."""


class _Line(enum.Enum):
    """Kind of the next line of a body in chunks."""

    SIZE = enum.auto()
    CHUNK_END = enum.auto()
    TRAILER = enum.auto()


class ChunkedBody(Body):
    """Body in chunks, which may be followed by trailer fields."""

    def __init__(self) -> None:
        self._next_line = _Line.SIZE
        self._line = b""
        # Bytes of the line before the present chunk, or of the trailer.
        self._lines_bytes = 0
        # Bytes of the present chunk that have not arrived.
        self._missing_bytes = 0

    def read(self, chunk: bytes) -> defects.Defect | None:
        """Reads bytes of the connection; returns what is wrong with them."""
        place = 0
        defect = None
        while defect is None and place < len(chunk):
            if self.is_complete:
                return defects.Defect.AFTER_BODY
            if self._missing_bytes:
                skipped = min(self._missing_bytes, len(chunk) - place)
                self._missing_bytes -= skipped
                place += skipped
            else:
                end = chunk.find(b"\n", place) + 1 or len(chunk)
                defect = self._read_line_part(chunk[place:end])
                place = end
        return defect

    def _read_line_part(self, part: bytes) -> defects.Defect | None:
        self._line += part
        self._lines_bytes += len(part)
        if self._lines_bytes > LINES_BYTES_MAX:
            return defects.Defect.TOO_LONG
        if not part.endswith(b"\n"):
            return None
        line = self._line.decode(http_grammar.ENCODING)
        self._line = b""
        match self._next_line:
            case _Line.SIZE:
                return self._read_size(line)
            case _Line.CHUNK_END:
                self._next_line = _Line.SIZE
                return None if line == http_grammar.LINE_END else defects.Defect.CHUNK
            case _Line.TRAILER:
                return self._read_trailer_line(line)

    def _read_size(self, line: str) -> defects.Defect | None:
        match = http_grammar.CHUNK_SIZE_LINE.fullmatch(line)
        if match is None:
            return defects.Defect.CHUNK
        self._lines_bytes = 0
        self._missing_bytes = int(match[1], HEXADECIMAL)
        self._next_line = _Line.CHUNK_END if self._missing_bytes else _Line.TRAILER
        return None

    def _read_trailer_line(self, line: str) -> defects.Defect | None:
        if line == http_grammar.LINE_END:
            self.is_complete = True
            return None
        return None if http_grammar.FIELD_LINE.fullmatch(line) else defects.Defect.FIELD
