"""Open-loop load on instances over HTTP, and statistics of the answers."""

import asyncio
import datetime
import random
import time

import msgspec

from monsoonhoist.core import data
from monsoonhoist.node import curl, http_call

TIMEOUT = datetime.timedelta(seconds=10)
CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
IDLE_TIMEOUT = datetime.timedelta(seconds=30)
LAST_REPLY_WAIT_SECONDS = 12.0


class RequestStream(msgspec.Struct, frozen=True):
    """Requests for one route, sent as a Poisson process.

    Attributes:
        route: Route.
        requests_per_second: Mean rate.
    """

    route: str
    requests_per_second: float


class Sample(msgspec.Struct, frozen=True):
    """The result of one request.

    Attributes:
        route: Route.
        sent_at_seconds: Time at which it was sent, from the start of the run.
        latency_seconds: Time from the request to the reply.
        outcome: Outcome of the answer, or ``no reply``.
        coverage_share: Share of the keys that the answer covers.
        reason: Reason of the outcome; empty if none is given.
    """

    route: str
    sent_at_seconds: float
    latency_seconds: float
    outcome: str
    coverage_share: float
    reason: str


class Summary(msgspec.Struct, frozen=True):
    """Statistics of the samples of one route.

    Attributes:
        sent: Number of requests sent.
        answered: Number of complete answers.
        useful: Number of complete and partial answers.
        p50_ms: Median latency of the useful answers.
        p99_ms: 99th percentile of the latency of the useful answers.
    """

    sent: int
    answered: int
    useful: int
    p50_ms: float
    p99_ms: float


def run(urls: list[str], streams: list[RequestStream], seconds: float, seed: int) -> list[Sample]:
    """Sends all streams for a number of seconds; returns the samples in the order of sending."""
    return asyncio.run(_send_streams(urls, streams, seconds, seed))


def summarise(samples: list[Sample], route: str) -> Summary:
    """Returns the statistics of the samples of one route."""
    route_samples = [sample for sample in samples if sample.route == route]
    useful = [sample for sample in route_samples if sample.outcome in ("answered", "partial")]
    latencies = sorted(sample.latency_seconds for sample in useful)
    return Summary(
        sent=len(route_samples),
        answered=sum(sample.outcome == "answered" for sample in route_samples),
        useful=len(useful),
        p50_ms=quantile(latencies, 0.50) * 1000,
        p99_ms=quantile(latencies, 0.99) * 1000,
    )


def quantile(ordered: list[float], share: float) -> float:
    """Returns a quantile of sorted values; infinity if there are none."""
    if not ordered:
        return float("inf")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _send_streams(
    urls: list[str], streams: list[RequestStream], seconds: float, seed: int
) -> list[Sample]:
    driver = curl.CurlDriver(IDLE_TIMEOUT)
    samples: list[Sample] = []
    started_at = time.monotonic()
    stream_tasks = [
        _send_stream(driver, urls, stream, seconds, random.Random(f"{seed}/{number}"), started_at)
        for number, stream in enumerate(streams)
    ]
    for stream_samples in await asyncio.gather(*stream_tasks):
        samples.extend(stream_samples)
    driver.close()
    return sorted(samples, key=lambda sample: sample.sent_at_seconds)


async def _send_stream(
    driver: curl.CurlDriver,
    urls: list[str],
    stream: RequestStream,
    seconds: float,
    rng: random.Random,
    started_at: float,
) -> list[Sample]:
    samples: list[Sample] = []
    send_at = 0.0
    sent = 0
    while True:
        send_at += rng.expovariate(stream.requests_per_second)
        if send_at >= seconds:
            break
        await asyncio.sleep(max(0.0, started_at + send_at - time.monotonic()))
        _send(
            driver,
            urls[sent % len(urls)],
            stream.route,
            f"{stream.route} {sent}",
            started_at,
            samples,
        )
        sent += 1
    wait_ends_at = time.monotonic() + LAST_REPLY_WAIT_SECONDS
    while len(samples) < sent and time.monotonic() < wait_ends_at:
        await asyncio.sleep(0.02)
    return samples


def _send(
    driver: curl.CurlDriver,
    url: str,
    route: str,
    query: str,
    started_at: float,
    samples: list[Sample],
) -> None:
    sent_at = time.monotonic()
    call = http_call.HttpCall(
        "POST",
        f"{url}/v1/query/{route}",
        msgspec.json.encode(data.Request(query=query)),
        TIMEOUT,
        CONNECT_TIMEOUT,
    )

    def finish(reply: http_call.HttpReply) -> None:
        latency = time.monotonic() - sent_at
        samples.append(_make_sample(route, sent_at - started_at, latency, reply))

    driver.start(call, finish)


def _make_sample(
    route: str, sent_at_seconds: float, latency_seconds: float, reply: http_call.HttpReply
) -> Sample:
    try:
        answer = msgspec.json.decode(reply.body, type=data.Answer)
    except msgspec.MsgspecError:
        return Sample(route, sent_at_seconds, latency_seconds, "no reply", 0.0, reply.error)
    coverage_share = answer.coverage.share if answer.coverage else 0.0
    reason = answer.reason.value if answer.reason else ""
    return Sample(
        route, sent_at_seconds, latency_seconds, answer.outcome.value, coverage_share, reason
    )
