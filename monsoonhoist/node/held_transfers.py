"""What calls to backend servers hold in memory: responses in progress, and bodies being sent."""

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from monsoonhoist.overload import held_bytes

# Bodies below this size are not counted, so that most calls cost nothing here.
COUNTED_BODY_BYTES_MIN = 4_096


class Discardable(Protocol):
    """A call in progress."""

    def discard(self) -> None:
        """Drops what was received, since the call is to be ended."""


TransferT = TypeVar("TransferT", bound=Discardable)


class HeldTransfers(Generic[TransferT]):
    """Counts what calls hold, and ends the largest holder if all together hold too much.

    A body is held as long as a call with it is in progress, so that servers that read slowly, or
    not at all, hold bodies. The calls of one request to several shards have the same body, which
    counts once; they end together.

    Args:
        bytes_max: Most bytes that all calls may hold together.
        end: Ends a call.
    """

    def __init__(self, bytes_max: int, end: Callable[[TransferT], None]):
        # Responses count for their transfer, bodies for their identity.
        self._held: held_bytes.HeldBytes[TransferT | int] = held_bytes.HeldBytes(bytes_max)
        self._end = end
        self._loop = asyncio.get_running_loop()
        # The bodies are kept here, so that their identities stay unique.
        self._body_by_transfer: dict[TransferT, bytes] = {}
        self._transfers_by_body: dict[int, set[TransferT]] = {}

    @property
    def total(self) -> int:
        """Bytes that all calls hold together."""
        return self._held.total

    def add(self, transfer: TransferT, count: int) -> None:
        """Counts bytes of a response."""
        self._end_largest(self._held.add(transfer, count))

    def add_body(self, transfer: TransferT, body: bytes) -> None:
        """Counts the body of a call that starts."""
        if len(body) < COUNTED_BODY_BYTES_MIN:
            return
        self._body_by_transfer[transfer] = body
        transfers = self._transfers_by_body.setdefault(id(body), set())
        transfers.add(transfer)
        if len(transfers) == 1:
            self._end_largest(self._held.add(id(body), len(body)))

    def release(self, transfer: TransferT) -> None:
        """Removes a call that has ended."""
        self._held.release(transfer)
        body = self._body_by_transfer.pop(transfer, None)
        if body is None:
            return
        transfers = self._transfers_by_body[id(body)]
        transfers.discard(transfer)
        if not transfers:
            del self._transfers_by_body[id(body)]
            self._held.release(id(body))

    def _end_largest(self, largest: TransferT | int | None) -> None:
        if largest is None:
            return
        if isinstance(largest, int):
            transfers = list(self._transfers_by_body[largest])
        else:
            transfers = [largest]
        for transfer in transfers:
            transfer.discard()
            self.release(transfer)
            # curl must not be called from its own callback.
            self._loop.call_soon(self._end, transfer)
