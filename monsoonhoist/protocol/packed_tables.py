"""Compression of table values in messages between instances."""

import zlib

from monsoonhoist import errors
from monsoonhoist.protocol import messages


def pack(value: messages.TableValue) -> messages.PackedTable:
    """Returns a table value with its text compressed, as it is sent."""
    deflated = zlib.compress(value.text.encode())
    return messages.PackedTable(value.key, value.number, deflated, value.era, value.progress)


def unpack(packed: messages.PackedTable, bytes_max: int) -> messages.TableValue:
    """Returns a received table value with its text decompressed.

    Raises:
        ProtocolError: If the text is malformed or longer than ``bytes_max`` bytes.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(packed.deflated, bytes_max + 1)
        if not inflater.eof or len(text) > bytes_max:
            raise errors.ProtocolError(
                f"the value of {packed.key!r} is truncated or longer than {bytes_max} bytes"
            )
        return messages.TableValue(
            packed.key, packed.number, text.decode(), packed.era, packed.progress
        )
    except (zlib.error, UnicodeDecodeError) as error:
        raise errors.ProtocolError(f"malformed value of {packed.key!r}: {error}") from error
