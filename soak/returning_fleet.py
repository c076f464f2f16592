"""A deployment of the soak whose store comes back from older copies."""

import asyncio
import random
import time

from soak import plan, proxied_fleet
from standins import fleet, store

# Target of the disturbances in which the store is away and comes back from an older copy.
RETURN = "return of the store"
# Longest time from the return until the operator and each server have written again.
REWRITE_MAX_SECONDS = 1.9
# Share of the servers that write again what was lost as it was, instead of a newer item.
UNCHANGED_SHARE = 0.5
POLL_SECONDS = 0.02


class ReturningFleet(proxied_fleet.ProxiedFleet):
    """A deployment in which the operator and the servers write again what the store has lost."""

    async def inject_fault(self, fault: plan.Fault) -> None:
        """Injects a fault, waits for its end and removes it."""
        if fault.kind is plan.FaultKind.STORE_RETURN:
            await self._return_store(fault)
        else:
            await super().inject_fault(fault)

    async def _return_store(self, fault: plan.Fault) -> None:
        """Lets the store return, and writes again what it has lost.

        A second return begins at the earliest when the first one has ended.
        """
        await self._wait_until_back()
        disturbance = self.record_disturbance(RETURN)
        copied_at = disturbance.start - fault.copy_age_s
        copied_revision = self.call_in_thread(lambda: self._leave(copied_at, fault))
        lost_item_by_key = {
            key: item
            for key, item in self.written_by_key.items()
            if item.revision > copied_revision
        }
        self._record_losses(copied_revision, lost_item_by_key)
        await self._wait_until_back()
        disturbance.end = time.monotonic()
        rng = random.Random(f"{fault.place}/{fault.at}")
        await asyncio.gather(
            *(
                self._rewrite(key, item, rng.uniform(0.0, REWRITE_MAX_SECONDS), rng.random())
                for key, item in sorted(lost_item_by_key.items())
            )
        )

    async def _wait_until_back(self) -> None:
        while self.store.is_away:
            await asyncio.sleep(POLL_SECONDS)

    def _leave(self, copied_at: float, fault: plan.Fault) -> int:
        """Lets the store leave, and returns the revision of the copy from which it will return."""
        revision = self.store.revision_at(copied_at)
        self.store.return_from_copy(revision, fault.for_s, store.Absence(fault.how))
        return revision

    def _record_losses(
        self, copied_revision: int, lost_item_by_key: dict[str, fleet.WrittenItem]
    ) -> None:
        """Ends the periods in which the store has the lost versions and drains."""
        now = time.monotonic()
        for version in self.versions:
            acknowledgement = version.acknowledgements[-1]
            if version.revision > copied_revision:
                acknowledgement.end = min(acknowledgement.end, now)
        for name, drained in self.drain_by_server.items():
            if server_key(name) in lost_item_by_key:
                drained.end = min(drained.end, now)

    async def _rewrite(
        self, key: str, item: fleet.WrittenItem, delay_seconds: float, draw: float
    ) -> None:
        """Writes a lost item again after a delay, unless its key was written meanwhile.

        Args:
            key: Key of the store.
            item: The lost item.
            delay_seconds: Time until the item is written.
            draw: Random number that chooses whether a server writes a newer item, from 0 to 1.
        """
        await asyncio.sleep(delay_seconds)
        await self.write(lambda: self._write_again(key, item, draw))

    def _write_again(self, key: str, item: fleet.WrittenItem, draw: float) -> None:
        if self.written_by_key[key] is not item:
            return
        name = key.removeprefix(server_key(""))
        if key == fleet.CONFIG_KEY or draw < UNCHANGED_SHARE or item.value is None:
            self.call_in_thread(lambda: self.write_item(key, item.value))
        else:
            self.set_state(name, "draining" if name in self.drain_by_server else "ready")
        if key == fleet.CONFIG_KEY:
            acknowledgement = proxied_fleet.Acknowledgement(time.monotonic())
            self.versions[-1].acknowledgements.append(acknowledgement)
            self.versions[-1].revision = self.written_by_key[key].revision
        elif name in self.drain_by_server:
            self.drain_by_server[name] = self.record_drain(name)


def server_key(name: str) -> str:
    """Returns the key of a server's item."""
    return f"servers/{name}"
