"""Stand-in for the users' key-value store: items with revisions, range reads, watches and faults.

It runs on an event loop in a thread of the process of the test.
"""

import asyncio
import base64
import contextlib
import json
import urllib.parse

from tornado import httpserver, httputil

PAGE_ITEMS = 50
PAGE_BYTES = 1_000_000
MS_PER_SECOND = 1000
SLOW_REPLY_SECONDS = 0.4


class StoreStandIn:
    """Key-value store with revisions, served over HTTP.

    Attributes:
        item_by_key: Current items.
        events: History of writes and removals, oldest first.
        revision: Revision of the latest write or removal.
        request_count: Number of HTTP requests received.
        fault: Fault of the replies, or ``""`` for none: ``refuse`` replies with status 503,
            ``reset`` closes the connection, ``silent`` sends no reply and ``slow`` delays the reply
            by ``SLOW_REPLY_SECONDS``.
    """

    def __init__(self) -> None:
        self.item_by_key: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self.request_count = 0
        self.fault = ""
        self._discarded_revision = 0
        self._changed = asyncio.Event()
        self._server = httpserver.HTTPServer(self._handle_request)

    def listen(self, host: str, port: int) -> None:
        """Starts accepting connections."""
        self._server.listen(port, address=host)

    def close(self) -> None:
        """Closes the listening socket."""
        self._server.stop()

    def put(self, key: str, value: bytes) -> int:
        """Writes an item and returns its revision."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {"Key": key, "Value": text, "Rev": self.revision, "Created": self.revision}
        self.item_by_key[key] = item
        self._append_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.item_by_key.pop(key, None)
        self._append_event({"Key": key, "Rev": self.revision, "Removed": True})

    def discard_history(self) -> None:
        """Discards the history; watches from an earlier revision receive status 410."""
        self._discarded_revision = self.revision
        self.events.clear()
        self._notify_watches()

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
        if self.fault == "reset":
            request.connection.stream.close()
            return
        if self.fault == "refuse":
            _respond(request, 503, {})
            return
        if self.fault == "slow":
            asyncio.get_running_loop().call_later(
                SLOW_REPLY_SECONDS, self._process_request, request
            )
        else:
            self._process_request(request)

    def _process_request(self, request: httputil.HTTPServerRequest) -> None:
        parameters = {
            key: values[0] for key, values in urllib.parse.parse_qs(request.query).items()
        }
        if request.path == "/api/kv-range":
            _respond(request, 200, self._read_page(parameters))
        elif request.path == "/api/kv-watch":
            asyncio.ensure_future(self._handle_watch(request, parameters))
        else:
            _respond(request, 404, {})

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
        passed.
        """
        after, prefix = int(parameters["after"]), parameters.get("Prefix", "")
        if not find_events(self.events, prefix, after) and after >= self._discarded_revision:
            wait_seconds = int(parameters["WaitMs"]) / MS_PER_SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_seconds)
        if after < self._discarded_revision:
            _respond(request, 410, {})
            return
        matching_events = find_events(self.events, prefix, after)
        _respond(request, 200, {"events": matching_events, "CurrentRev": self.revision})


def find_events(events: list[dict], prefix: str, after: int) -> list[dict]:
    """Returns the events that have a key prefix and follow the revision ``after``."""
    return [event for event in events if event["Rev"] > after and event["Key"].startswith(prefix)]


def _respond(request: httputil.HTTPServerRequest, status: int, body: dict) -> None:
    """Sends a JSON response, which is dropped if the client has closed the connection."""
    payload = json.dumps(body).encode()
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(payload))}
    )
    start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Reply")
    request.connection.write_headers(start_line, headers, payload)
    request.connection.finish()
