"""A store that can come back from an older copy, and the links by which instances reach it."""

import asyncio
import base64
import json
import urllib.parse

import msgspec

from monsoonhoist.core import exchange
from monsoonhoist.node import http_call
from monsoonhoist.platform import wire_names

PAGE_ITEMS = 3
ROUND_TRIP_SECONDS = 0.01
CONNECT_TIMEOUT_SECONDS = 1.0
FIRST_REVISION = 100


class Change(msgspec.Struct, frozen=True):
    """A change that the store has acknowledged.

    Attributes:
        at: When it was made, in seconds.
        revision: Its revision.
        key: The changed key.
        text: The new value; None if the key was removed.
    """

    at: float
    revision: int
    key: str
    text: str | None

    def to_item(self):
        """Returns the change as the store's replies state it."""
        if self.text is None:
            return {"Key": self.key, "Rev": self.revision, "Removed": True}
        value = base64.b64encode(self.text.encode()).decode()
        return {"Key": self.key, "Rev": self.revision, "Value": value}


class ReturningStore:
    """Store with one counter of revisions, which goes back when the store comes back.

    Args:
        first_era: Era at the start; None if the replies state none.

    Attributes:
        revision: Revision of the latest change.
        era: Current era.
        is_away: Whether the store refuses all requests and changes.
    """

    def __init__(self, first_era=1):
        self.revision = FIRST_REVISION
        self.era = first_era
        self.is_away = False
        self.refuses_lists = False
        self._left_at = 0.0
        self._changes = []
        self._has_changed = asyncio.Event()
        self._watches = set()

    def write(self, key, text):
        """Writes a value, or removes a key if the text is None; returns the revision."""
        assert not self.is_away
        self.revision += 1
        now = asyncio.get_running_loop().time()
        self._changes.append(Change(now, self.revision, key, text))
        self._wake_watches()
        return self.revision

    def latest_changes(self):
        """Returns the change of each present key, by key."""
        change_by_key = {change.key: change for change in self._changes}
        return {key: each for key, each in change_by_key.items() if each.text is not None}

    def leave(self, cuts_watches):
        """Makes the store refuse all requests.

        Args:
            cuts_watches: Whether the watches that wait are reset. If not, they go on waiting.
        """
        self.is_away = True
        self._left_at = asyncio.get_running_loop().time()
        if cuts_watches:
            for task in self._watches:
                task.cancel()

    def come_back(self, lost_seconds):
        """Answers again, without the changes of a time before the store left."""
        copied_at = self._left_at - lost_seconds
        self._changes = [change for change in self._changes if change.at <= copied_at]
        self.revision = max((change.revision for change in self._changes), default=FIRST_REVISION)
        self.era = None if self.era is None else self.era + 1
        self.is_away = False

    def make_page(self, prefix, after):
        """Returns a page of the items with a prefix."""
        changes = sorted(self.latest_changes().values(), key=lambda change: change.key)
        found = [each for each in changes if each.key.startswith(prefix) and each.key > after]
        return {
            "items": [change.to_item() for change in found[:PAGE_ITEMS]],
            "HasMore": len(found) > PAGE_ITEMS,
            "CurrentRev": self.revision,
        }

    async def watch(self, prefix, after, seconds):
        """Returns the status and the reply to a watch."""
        if after > self.revision:
            return 410, {}
        task = asyncio.current_task()
        self._watches.add(task)
        try:
            async with asyncio.timeout(seconds):
                while not self._events(prefix, after):
                    await self._has_changed.wait()
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            if not self.is_away:
                raise
            return 0, {}
        finally:
            self._watches.discard(task)
        events = [change.to_item() for change in self._events(prefix, after)]
        return 200, {"events": events, "CurrentRev": self.revision}

    def _events(self, prefix, after):
        """Returns the latest change of each key after a revision."""
        change_by_key = {change.key: change for change in self._changes}
        return [
            change
            for change in change_by_key.values()
            if change.revision > after and change.key.startswith(prefix)
        ]

    def _wake_watches(self):
        self._has_changed.set()
        self._has_changed = asyncio.Event()


class StoreTransfer:
    """A request in progress.

    Attributes:
        received_bytes: Bytes of the reply that have arrived, all at once with its end.
        task: Makes the reply.
    """

    def __init__(self):
        self.received_bytes = 0
        self.task = None


class StoreLink:
    """Link of one instance to the store, in place of the HTTP client.

    Args:
        store: The store.

    Attributes:
        store: The store.
        is_cut: Whether the instance does not reach the store, and gets no more replies.
        reply_delay_seconds: Time that a reply takes on its way.
        requests: Number of requests.
    """

    def __init__(self, store):
        self.store = store
        self.is_cut = False
        self.reply_delay_seconds = 0.0
        self.requests = 0
        self._tasks = set()

    def start(self, call, on_done):
        """Starts a request, as the HTTP client does."""
        self.requests += 1
        transfer = StoreTransfer()
        transfer.task = asyncio.get_running_loop().create_task(self._run(call.url, on_done))
        self._tasks.add(transfer.task)
        transfer.task.add_done_callback(self._tasks.discard)
        return transfer

    def abort(self, transfer):
        """Ends a request without a reply."""
        transfer.task.cancel()

    async def _run(self, url, on_done):
        await asyncio.sleep(ROUND_TRIP_SECONDS / 2)
        if self.is_cut:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            on_done(http_call.HttpReply(0, b"", False, True, "no connection"))
            return
        status, reply = await self._answer(urllib.parse.urlsplit(url))
        headers = self._make_headers()
        await asyncio.sleep(self.reply_delay_seconds + ROUND_TRIP_SECONDS / 2)
        if self.is_cut:
            await asyncio.sleep(1e6)
        error = "" if status else "connection reset"
        body = json.dumps(reply).encode() if status else b""
        on_done(http_call.HttpReply(status, body, True, False, error, headers))

    async def _answer(self, url):
        """Returns the status and the reply to a request; status 0 for a reset connection."""
        if self.store.is_away:
            return 503, {}
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if url.path == wire_names.RANGE_PATH:
            if self.store.refuses_lists:
                return 503, {}
            return 200, self.store.make_page(query["Prefix"], query.get("after", ""))
        seconds = int(query["WaitMs"]) / 1000
        return await self.store.watch(query["Prefix"], int(query["after"]), seconds)

    def _make_headers(self):
        if self.store.era is None:
            return ()
        return (exchange.Header(wire_names.ERA_HEADER, str(self.store.era)),)
