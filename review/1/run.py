"""Backend servers spoil one byte in the head of a few answers; the callers are never answered."""

import concurrent.futures
import random
import time

from review import callers, deployment
from standins import shards

SEED = 1
# Largest dose of ``garble`` in the site file: half of the servers spoil 5% of their answers.
SPOILING_SERVERS_SHARE = 0.5
SPOILED_SHARE = 0.05
# Requests for one backend server that the site's callers send per second, and for how long.
REQUESTS_PER_SECOND = 11.2
PLAY_SECONDS = 85.0
# Each entry of ``garble`` in the site file lasts 5 to 6 seconds; here they come again and again.
GARBLE_SECONDS = 5.5
PAUSE_SECONDS = 2.5
# Time limit of the site's callers for these requests. The route's timeout is shorter.
CALLER_LIMIT_MS = 4000
ROUTE_TIMEOUT_SECONDS = 2.0
LATE_SECONDS = 0.5
LATE_REQUESTS_MIN = 8

_random = random.Random(SEED)


class SpoilingServer(shards.ShardServer):
    """A backend server that may write a control character into a header of an answer."""

    spoiled_share = 0.0

    def _encode_reply(self, request: shards.ReceivedRequest, fault: str) -> bytes:
        reply = super()._encode_reply(request, fault)
        if _random.random() < self.spoiled_share:
            request.was_spoiled = True
            return reply.replace(b"X-Extra: kept", b"X-Extra: k\x01pt")
        return reply


def play(fleet_run: deployment.Deployment, record: deployment.Record) -> bool:
    """Sends requests; returns whether ``CONFIG`` was broken."""
    started_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        futures = []
        for number in range(int(REQUESTS_PER_SECOND * PLAY_SECONDS)):
            set_garble(fleet_run, time.monotonic() - started_at)
            futures.append(pool.submit(send, fleet_run, record, number))
            time.sleep(1 / REQUESTS_PER_SECOND)
        answers = [future.result() for future in futures]
    overdue = [answer for answer in answers if answer.seconds > ROUTE_TIMEOUT_SECONDS]
    late = [
        answer
        for answer in overdue
        if answer.outcome == "silent" or answer.seconds > ROUTE_TIMEOUT_SECONDS + LATE_SECONDS
    ]
    record.write(f"{len(answers)} requests, {len(overdue)} unanswered at the route's timeout")
    record.write(f"{len(late)} of these had no answer {LATE_SECONDS} s later")
    return len(late) >= LATE_REQUESTS_MIN and len(late) > len(overdue) / 2


def set_garble(fleet_run: deployment.Deployment, elapsed_seconds: float) -> None:
    """Makes half of the servers spoil answers while an entry of ``garble`` lasts."""
    is_on = elapsed_seconds % (GARBLE_SECONDS + PAUSE_SECONDS) < GARBLE_SECONDS
    servers = list(fleet_run.server_by_name.values())
    for server in servers[:: round(1 / SPOILING_SERVERS_SHARE)]:
        server.spoiled_share = SPOILED_SHARE if is_on and deployment.is_troubled() else 0.0


def send(
    fleet_run: deployment.Deployment, record: deployment.Record, number: int
) -> callers.Answer:
    """Sends one request and records what the caller and the backend servers saw."""
    target = f"/record/{number}" if number % 2 else f"/order/{number}"
    request_id = f"q-{number}"
    connection = callers.Connection(1 + number % fleet_run.instances)
    try:
        answer = connection.exchange(
            "GET", target, request_id, CALLER_LIMIT_MS, CALLER_LIMIT_MS / 1000
        )
    finally:
        connection.close()
    runs = [request for request in fleet_run.received_requests(request_id) if request.ran]
    spoiled = sum(hasattr(request, "was_spoiled") for request in runs)
    record.write(
        f"{request_id} {target}: {answer.outcome} {answer.status} after {answer.seconds:.3f} s; "
        f"ran {len(runs)} times, {spoiled} answers spoiled"
    )
    return answer


if __name__ == "__main__":
    deployment.run_case(__file__, deployment.Deployment(3, SpoilingServer), play)
