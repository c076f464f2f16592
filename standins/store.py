"""Stand-in for the users' store: items, ranges and watches, with faults.

It runs on an event loop in a thread of the test's own process.
"""

import asyncio
import base64
import contextlib
import json
import urllib.parse

from tornado import httpserver, httputil

PAGE_ITEMS = 50
MS_PER_SECOND = 1000
SLOW_SECONDS = 0.4


class StoreStandIn:
    """Keeps items with revisions and answers watches.

    Attributes:
        item_by_key: Items in force.
        events: History, oldest first.
        revision: Newest revision.
        reads: Number of calls.
        fault: ``""``, ``refuse`` (503), ``reset``, ``silent`` or ``slow``.
    """

    def __init__(self) -> None:
        self.item_by_key: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 100
        self.reads = 0
        self.fault = ""
        self._kept_after = 0
        self._changed = asyncio.Event()
        self._server = httpserver.HTTPServer(self._handle)

    def listen(self, host: str, port: int) -> None:
        """Starts answering."""
        self._server.listen(port, address=host)

    def close(self) -> None:
        """Stops listening."""
        self._server.stop()

    def put(self, key: str, value: bytes) -> int:
        """Writes an item and returns its revision."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {"Key": key, "Value": text, "Rev": self.revision, "Created": self.revision}
        self.item_by_key[key] = item
        self._note(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.item_by_key.pop(key, None)
        self._note({"Key": key, "Rev": self.revision, "Removed": True})

    def forget(self) -> None:
        """Drops the history; watches from before it get 410."""
        self._kept_after = self.revision
        self.events.clear()
        self._wake()

    def _note(self, event: dict) -> None:
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        self.reads += 1
        if self.fault == "silent":
            return
        if self.fault == "reset":
            request.connection.stream.close()
            return
        if self.fault == "refuse":
            _reply(request, 503, {})
            return
        if self.fault == "slow":
            asyncio.get_running_loop().call_later(SLOW_SECONDS, self._answer, request)
        else:
            self._answer(request)

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        query = {key: values[0] for key, values in urllib.parse.parse_qs(request.query).items()}
        if request.path == "/api/kv-range":
            _reply(request, 200, self._range(query))
        elif request.path == "/api/kv-watch":
            asyncio.ensure_future(self._watch(request, query))
        else:
            _reply(request, 404, {})

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.item_by_key if key.startswith(prefix) and key > after)
        page = [self.item_by_key[key] for key in keys[:PAGE_ITEMS]]
        return {
            "items": page,
            "HasMore": len(keys) > PAGE_ITEMS,
            "CurrentRev": self.revision,
        }

    async def _watch(self, request: httputil.HTTPServerRequest, query: dict[str, str]) -> None:
        after, prefix = int(query["after"]), query.get("Prefix", "")
        if not found_since(self.events, prefix, after) and after >= self._kept_after:
            wait = int(query["WaitMs"]) / MS_PER_SECOND
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait)
        if after < self._kept_after:
            _reply(request, 410, {})
            return
        found = found_since(self.events, prefix, after)
        _reply(request, 200, {"events": found, "CurrentRev": self.revision})


def found_since(events: list[dict], prefix: str, after: int) -> list[dict]:
    """Returns the events below a prefix after a revision."""
    return [event for event in events if event["Rev"] > after and event["Key"].startswith(prefix)]


def _reply(request: httputil.HTTPServerRequest, status: int, body: dict) -> None:
    """Sends JSON, unless the caller has gone."""
    payload = json.dumps(body).encode()
    headers = httputil.HTTPHeaders(
        {"Content-Type": "application/json", "Content-Length": str(len(payload))}
    )
    start_line = httputil.ResponseStartLine("HTTP/1.1", status, "Reply")
    request.connection.write_headers(start_line, headers, payload)
    request.connection.finish()
