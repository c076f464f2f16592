"""Caller's and operator's side of the HTTP interface, for the command line."""

import datetime
import io
import time

import msgspec
import pycurl

from monsoonhoist import errors
from monsoonhoist.core import data
from monsoonhoist.node import status, web

TIMEOUT_MS = 65_000
POLL_INTERVAL_SECONDS = 0.05
STATUS_OK = 200


class ClientError(errors.MonsoonError):
    """An instance gave no usable reply."""


class Client:
    """Talks to one instance.

    Args:
        url: ``http://HOST:PORT``.
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")

    def send_query(self, route: data.RouteId, request: data.Request) -> data.Answer:
        """Returns the answer to a request.

        Raises:
            ClientError: If the instance gave no usable reply.
        """
        body = msgspec.json.encode(request)
        _, reply = self._call(f"/v1/query/{route}", body)
        return _decode(reply, data.Answer)

    def request_ticket(self, route: data.RouteId) -> data.TicketId:
        """Returns a new ticket for a non-repeatable request.

        Raises:
            ClientError: If the instance gave none.
        """
        code, reply = self._call(f"/v1/ticket/{route}", b"")
        if code != STATUS_OK:
            raise ClientError(f"no ticket: {reply.decode(errors='replace')}")
        return _decode(reply, web.TicketReply).ticket

    def status(self) -> status.Status:
        """Returns the instance's status.

        Raises:
            ClientError: If the instance gave no usable reply.
        """
        _, reply = self._call("/v1/status", None)
        return _decode(reply, status.Status)

    def _call(self, path: str, body: bytes | None) -> tuple[int, bytes]:
        """Returns the HTTP status and body of a call; POST if there is a body."""
        buffer = io.BytesIO()
        handle = pycurl.Curl()
        handle.setopt(pycurl.URL, self._url + path)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        handle.setopt(pycurl.WRITEDATA, buffer)
        if body is not None:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, body)
            handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json"])
        try:
            handle.perform()
            return handle.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue()
        except pycurl.error as error:
            raise ClientError(f"{self._url}: {error.args[1]}") from error
        finally:
            handle.close()


class StatusReport(msgspec.Struct, frozen=True):
    """Status of several instances.

    Attributes:
        statuses: One for each instance.
        agrees: Whether all have the same tables in force.
    """

    statuses: tuple[status.Status, ...]
    agrees: bool

    def json_lines(self) -> str:
        """Returns one JSON object a line."""
        return "\n".join(msgspec.json.encode(found).decode() for found in self.statuses)

    def render(self) -> str:
        """Returns text for people."""
        lines = [line for found in self.statuses for line in _render_status(found)]
        lines.append("all agree" if self.agrees else "the tables in force differ")
        return "\n".join(lines)


def wait_for_agreement(urls: list[str], wait: datetime.timedelta) -> StatusReport:
    """Returns the status of instances, waiting up to ``wait`` until they agree.

    Raises:
        ClientError: If an instance gave no usable reply.
    """
    ends = time.monotonic() + wait.total_seconds()
    while True:
        statuses = tuple(Client(url).status() for url in urls)
        agrees = len({found.tables_digest for found in statuses}) == 1
        if agrees or time.monotonic() >= ends:
            return StatusReport(statuses, agrees)
        time.sleep(POLL_INTERVAL_SECONDS)


def render_answer(answer: data.Answer) -> str:
    """Returns an answer as text for people."""
    lines = [f"outcome   {answer.outcome.value}"]
    if answer.reason is not None:
        lines.append(f"reason    {answer.reason.value}: {answer.detail}")
    if answer.coverage is not None:
        covered = len(answer.coverage.covered)
        total = covered + len(answer.coverage.missing)
        lines.append(f"snapshot  {answer.snapshot}")
        lines.append(f"coverage  {answer.coverage.share:.4f} ({covered} of {total} shards)")
        if answer.coverage.missing:
            lines.append(f"missing   {', '.join(answer.coverage.missing)}")
    lines.extend(f"{result.score:8.4f}  {result.text}" for result in answer.results)
    return "\n".join(lines)


def _render_status(found: status.Status) -> list[str]:
    lines = [f"{found.instance}  {found.phase}  active {found.active}"]
    lines.extend(f"  key   {key.key} revision {key.number}" for key in found.keys)
    lines.extend(
        f"  pool  {pool.pool}: {pool.services} services, {pool.servers} servers,"
        f" {pool.leaving} leaving"
        for pool in found.pools
    )
    lines.extend(
        f"  peer  {member.instance} {member.zone} {member.state.value}"
        f" {'connected' if member.connected else 'not connected'}"
        for member in found.members
    )
    lines.extend(f"  finding  {finding}" for finding in found.findings)
    return lines


def _decode(body: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise ClientError(f"malformed reply: {error}") from error
