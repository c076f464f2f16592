"""Decoding of JSON that other programs wrote."""

from typing import TypeVar

import msgspec

from monsoonhoist import errors

ValueT = TypeVar("ValueT")


def decode_json(encoded: str | bytes, expected_type: type[ValueT]) -> ValueT:
    """Returns the value of a JSON text, checked against a type.

    Args:
        encoded: The JSON text.
        expected_type: Type that the value must have, such as a ``msgspec.Struct``.

    Raises:
        MalformedInputError: If the text is not JSON, is nested too deeply, contains a number that
            is too large, or does not have the expected type.
    """
    try:
        return msgspec.json.decode(encoded, type=expected_type)
    except RecursionError as error:
        raise errors.MalformedInputError("nested too deeply") from error
    # Python refuses to convert very long integers with a ``ValueError``, which is also the base
    # class of the errors of encoding.
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.MalformedInputError(str(error)) from error
