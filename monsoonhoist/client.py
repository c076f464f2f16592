"""HTTP client for callers and operators, used by the command line."""

import datetime
import io
import time

import msgspec
import pycurl

from monsoonhoist import errors
from monsoonhoist.core import data
from monsoonhoist.node import service_belief, status, web

# Longer than the longest deadline that a route may have, which is 60 s.
TIMEOUT_MS = 65_000
POLL_INTERVAL_SECONDS = 0.05
STATUS_OK = 200


class ClientError(errors.MonsoonError):
    """An instance cannot be reached or returned no usable reply."""


class Client:
    """HTTP client of one instance.

    Args:
        url: Address of the instance, ``http://HOST:PORT``.
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")

    def send_query(self, route: data.RouteId, request: data.Request) -> data.Answer:
        """Sends a request and returns the answer.

        Raises:
            ClientError: If the instance returned no usable reply.
        """
        body = msgspec.json.encode(request)
        _, reply = self._call(f"/v1/query/{route}", body)
        return _decode(reply, data.Answer)

    def request_ticket(self, route: data.RouteId) -> data.TicketId:
        """Requests a ticket for a non-repeatable request and returns it.

        Raises:
            ClientError: If the instance returned no ticket.
        """
        code, reply = self._call(f"/v1/ticket/{route}", b"")
        if code != STATUS_OK:
            raise ClientError(f"no ticket issued: {reply.decode(errors='replace')}")
        return _decode(reply, web.TicketReply).ticket

    def status(self) -> status.Status:
        """Returns the instance's status.

        Raises:
            ClientError: If the instance returned no usable reply.
        """
        _, reply = self._call("/v1/status", None)
        return _decode(reply, status.Status)

    def _call(self, path: str, body: bytes | None) -> tuple[int, bytes]:
        """Sends a request, a POST if there is a body, and returns the HTTP status and the body."""
        buffer = io.BytesIO()
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, self._url + path)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.WRITEDATA, buffer)
        if body is not None:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, body)
            curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json"])
        try:
            curl.perform()
            return curl.getinfo(pycurl.RESPONSE_CODE), buffer.getvalue()
        except pycurl.error as error:
            raise ClientError(f"{self._url}: {error.args[1]}") from error
        finally:
            curl.close()


class StatusReport(msgspec.Struct, frozen=True):
    """Status of several instances.

    Attributes:
        statuses: Status of each instance.
        agrees: Whether all instances have the same tables in force.
    """

    statuses: tuple[status.Status, ...]
    agrees: bool

    def json_lines(self) -> str:
        """Returns the statuses as JSON, one object per line."""
        return "\n".join(
            msgspec.json.encode(instance_status).decode() for instance_status in self.statuses
        )

    def render(self) -> str:
        """Returns the report as human-readable text."""
        lines = [
            line for instance_status in self.statuses for line in _render_status(instance_status)
        ]
        lines.append("all agree" if self.agrees else "the tables in force differ")
        return "\n".join(lines)


def wait_for_agreement(urls: list[str], wait: datetime.timedelta) -> StatusReport:
    """Waits until the instances agree on the tables, at most for ``wait``.

    Returns:
        The latest status of the instances, even if they do not agree by then.

    Raises:
        ClientError: If an instance returned no usable reply.
    """
    deadline = time.monotonic() + wait.total_seconds()
    while True:
        statuses = tuple(Client(url).status() for url in urls)
        agrees = len({instance_status.tables_digest for instance_status in statuses}) == 1
        if agrees or time.monotonic() >= deadline:
            return StatusReport(statuses, agrees)
        time.sleep(POLL_INTERVAL_SECONDS)


def render_answer(answer: data.Answer) -> str:
    """Returns an answer as human-readable text."""
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


def _render_status(instance_status: status.Status) -> list[str]:
    lines = [
        f"{instance_status.instance}  {instance_status.phase}  active {instance_status.active}"
    ]
    lines.append(_render_service(instance_status.service))
    lines.extend(f"  key   {key.key} revision {key.number}" for key in instance_status.keys)
    lines.extend(
        f"  pool  {pool.pool}: {pool.services} services, {pool.servers} servers,"
        f" {pool.leaving} leaving"
        for pool in instance_status.pools
    )
    lines.extend(
        f"  peer  {member.instance} {member.zone} {member.state.value}"
        f" {'connected' if member.connected else 'not connected'}"
        for member in instance_status.members
    )
    lines.extend(f"  zone  {zone} evacuated" for zone in instance_status.evacuated_zones)
    lines.extend(f"  finding  {finding}" for finding in instance_status.findings)
    return lines


def _render_service(service: service_belief.ServiceStatus) -> str:
    era = f"era {service.era}{'' if service.settled else ' not settled'}"
    if service.age_ms is None:
        return f"  service  no answer known, {era}"
    watched = "watched here" if service.watching else "not watched here"
    return f"  service  answered {service.reader} {service.age_ms} ms ago, {era}, {watched}"


def _decode(body: bytes, reply_type: type) -> object:
    try:
        return msgspec.json.decode(body, type=reply_type)
    except msgspec.MsgspecError as error:
        raise ClientError(f"malformed reply: {error}") from error
