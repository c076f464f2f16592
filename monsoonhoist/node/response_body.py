"""End of a response's body, found in the bytes of the connection (RFC 9112, section 6)."""

import abc

from monsoonhoist.core import defects


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
