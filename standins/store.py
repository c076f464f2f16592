"""Stand-in for the users' key-value store: items with revisions, range reads, watches and faults.

It runs on an event loop in a thread of the process of the test. The store can be away for a while
and come back from a copy of an earlier moment: what was written since is gone, and the revisions
are given out again, in a new era.
"""

import asyncio
import base64
import collections
import contextlib
import enum
import json
import time
import urllib.parse

import msgspec
from tornado import httpserver, httputil

PAGE_ITEMS = 50
PAGE_BYTES = 1_000_000
MS_PER_SECOND = 1000
SLOW_REPLY_SECONDS = 0.4
# Time that a write can be undone by coming back from a copy.
COPY_SECONDS_MAX = 60.0
ERA_HEADER = "Store-Era"
FIRST_ERA = 1


class Absence(enum.Enum):
    """How the store treats requests while it is away: status 503, or a closed connection."""

    REFUSE = "refuse"
    RESET = "reset"


class StoreAwayError(Exception):
    """A write was refused because the store is away."""


class UndoRecord(msgspec.Struct, frozen=True):
    """What a write or removal replaced.

    Attributes:
        written_at: Moment of the write, of the monotonic clock in seconds.
        revision: Revision before the write.
        key: Key of the item.
        item: The item before the write; None if there was none.
    """

    written_at: float
    revision: int
    key: str
    item: dict | None


class StoreStandIn:
    """Key-value store with revisions, served over HTTP.

    Attributes:
        item_by_key: Current items.
        events: History of writes and removals, oldest first.
        revision: Revision of the latest write or removal.
        request_count: Number of HTTP requests received.
        fault: Fault of the replies, or ``""`` for none: ``refuse`` replies with status 503,
            ``reset`` closes the connection, ``silent`` sends no reply, ``slow`` delays the reply
            by ``SLOW_REPLY_SECONDS``, and ``late`` delays it after it was made.
        era: Number of the store's life, which rises by one when it comes back from a copy.
        is_era_stated: Whether the replies state the era.
    """

    def __init__(self) -> None:
        self.item_by_key: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self.request_count = 0
        self.fault = ""
        self.era = FIRST_ERA
        self.is_era_stated = True
        self._absence: Absence | None = None
        self._undo_records: collections.deque[UndoRecord] = collections.deque()
        self._waiting_watches: set[httputil.HTTPServerRequest] = set()
        self._discarded_revision = 0
        self._changed = asyncio.Event()
        self._server = httpserver.HTTPServer(self._handle_request)

    def listen(self, host: str, port: int) -> None:
        """Starts accepting connections."""
        self._server.listen(port, address=host)

    def close(self) -> None:
        """Closes the listening socket."""
        self._server.stop()

    @property
    def is_away(self) -> bool:
        """Whether the store is away."""
        return self._absence is not None

    def put(self, key: str, value: bytes) -> int:
        """Writes an item and returns its revision.

        Raises:
            StoreAwayError: If the store is away.
        """
        self._begin_write(key)
        text = base64.b64encode(value).decode()
        item = {"Key": key, "Value": text, "Rev": self.revision, "Created": self.revision}
        self.item_by_key[key] = item
        self._append_event(item)
        return self.revision

    def remove(self, key: str) -> int:
        """Removes an item and returns the revision of its removal.

        Raises:
            StoreAwayError: If the store is away.
        """
        self._begin_write(key)
        self.item_by_key.pop(key, None)
        self._append_event({"Key": key, "Rev": self.revision, "Removed": True})
        return self.revision

    def discard_history(self) -> None:
        """Discards the history; watches from an earlier revision receive status 410."""
        self._discarded_revision = self.revision
        self.events.clear()
        self._notify_watches()

    def return_from_copy(
        self, revision: int, away_seconds: float, absence: Absence = Absence.REFUSE
    ) -> None:
        """Leaves now, and comes back later with the state as of an earlier revision.

        It must be called in the thread of the event loop, and not while the store is away.

        Args:
            revision: Revision of the copy, at most ``COPY_SECONDS_MAX`` old; see ``revision_at``.
            away_seconds: Time until the store is back.
            absence: How requests are treated until then.
        """
        self._leave(absence)
        asyncio.get_running_loop().call_later(away_seconds, self._come_back, revision)

    def _leave(self, absence: Absence) -> None:
        """Refuses requests from now on, and cuts the watches that wait."""
        self._absence = absence
        for request in self._waiting_watches:
            request.connection.stream.close()
        self._waiting_watches.clear()
        self._notify_watches()

    def _come_back(self, revision: int) -> None:
        """Serves the state as of an earlier revision from now on, in a new era."""
        while self._undo_records and self.revision > revision:
            undone = self._undo_records.pop()
            self.revision = undone.revision
            if undone.item is None:
                self.item_by_key.pop(undone.key, None)
            else:
                self.item_by_key[undone.key] = undone.item
        self.events = [event for event in self.events if event["Rev"] <= self.revision]
        self._discarded_revision = min(self._discarded_revision, self.revision)
        self.era += 1
        self._absence = None

    def revision_at(self, moment: float) -> int:
        """Returns the revision at a moment of the monotonic clock."""
        later = (record for record in self._undo_records if record.written_at > moment)
        first_later = next(later, None)
        return self.revision if first_later is None else first_later.revision

    def _begin_write(self, key: str) -> None:
        """Counts a write up, and notes what it replaces."""
        if self.is_away:
            raise StoreAwayError(key)
        now = time.monotonic()
        item = self.item_by_key.get(key)
        self._undo_records.append(UndoRecord(now, self.revision, key, item))
        while self._undo_records[0].written_at < now - COPY_SECONDS_MAX:
            self._undo_records.popleft()
        self.revision += 1

    def _append_event(self, event: dict) -> None:
        self.events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        self.request_count += 1
        if self.fault == "silent":
            return
        if self.fault == "reset" or self._absence is Absence.RESET:
            request.connection.stream.close()
            return
        if self.fault == "refuse" or self._absence is Absence.REFUSE:
            self._respond(request, 503, {})
            return
        if self.fault == "slow":
            asyncio.get_running_loop().call_later(
                SLOW_REPLY_SECONDS, self._process_request, request
            )
        else:
            self._process_request(request)

    def _process_request(self, request: httputil.HTTPServerRequest) -> None:
        if self._absence is not None:
            request.connection.stream.close()
            return
        parameters = {
            key: values[0] for key, values in urllib.parse.parse_qs(request.query).items()
        }
        if request.path == "/api/kv-range":
            self._respond(request, 200, self._read_page(parameters))
        elif request.path == "/api/kv-watch":
            asyncio.ensure_future(self._handle_watch(request, parameters))
        else:
            self._respond(request, 404, {})

    def _read_page(self, parameters: dict[str, str]) -> dict:
        """Returns a page of the items with a key prefix that follow the key ``after``."""
        prefix, after = parameters.get("Prefix", ""), parameters.get("after", "")
        keys = sorted(key for key in self.item_by_key if key.startswith(prefix) and key > after)
        page: list[dict] = []
        page_bytes = 0
        for key in keys[:PAGE_ITEMS]:
            item = self.item_by_key[key]
            page_bytes += len(item["Value"])
            if page and page_bytes > PAGE_BYTES:
                break
            page.append(item)
        return {
            "items": page,
            "HasMore": len(keys) > len(page),
            "CurrentRev": self.revision,
        }

    async def _handle_watch(
        self, request: httputil.HTTPServerRequest, parameters: dict[str, str]
    ) -> None:
        """Replies with the events that have a key prefix and follow the revision ``after``.

        If there are none yet, the reply is delayed until the next change or until ``WaitMs`` has
        passed. A watch that waits while the store leaves gets no reply.
        """
        after, prefix = int(parameters["after"]), parameters.get("Prefix", "")
        if self._has_history(after) and not find_events(self.events, prefix, after):
            self._waiting_watches.add(request)
            wait_seconds = int(parameters["WaitMs"]) / MS_PER_SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_seconds)
            if request not in self._waiting_watches:
                return
            self._waiting_watches.remove(request)
        if not self._has_history(after):
            self._respond(request, 410, {})
            return
        matching_events = find_events(self.events, prefix, after)
        self._respond(request, 200, {"events": matching_events, "CurrentRev": self.revision})

    def _has_history(self, after: int) -> bool:
        """Returns whether the store has the revision ``after`` and all changes that follow it."""
        return self._discarded_revision <= after <= self.revision

    def _respond(self, request: httputil.HTTPServerRequest, status: int, body: dict) -> None:
        """Makes a response with the current era, and sends it now or, if it is late, later."""
        headers = httputil.HTTPHeaders({"Content-Type": "application/json"})
        if self.is_era_stated:
            headers[ERA_HEADER] = str(self.era)
        payload = json.dumps(body).encode()
        if self.fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(SLOW_REPLY_SECONDS, _send, request, status, headers, payload)
        else:
            _send(request, status, headers, payload)


def find_events(events: list[dict], prefix: str, after: int) -> list[dict]:
    """Returns the events that have a key prefix and follow the revision ``after``."""
    return [event for event in events if event["Rev"] > after and event["Key"].startswith(prefix)]


def _send(
    request: httputil.HTTPServerRequest, status: int, headers: httputil.HTTPHeaders, payload: bytes
) -> None:
    """Sends a response, which is dropped if the client has closed the connection."""
    headers["Content-Length"] = str(len(payload))
    start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Reply")
    request.connection.write_headers(start_line, headers, payload)
    request.connection.finish()
