"""Open-loop load from many callers, and what it yields."""

import asyncio
import datetime
import random
import time

import msgspec

from monsoonhoist.core import data
from monsoonhoist.node import curl

TIMEOUT = datetime.timedelta(seconds=10)
CONNECT_TIMEOUT = datetime.timedelta(seconds=2)
IDLE_TIMEOUT = datetime.timedelta(seconds=30)
DRAIN_SECONDS = 12.0


class Stream(msgspec.Struct, frozen=True):
    """One kind of callers.

    Attributes:
        route: Route asked.
        rate: Requests a second, as a Poisson process.
    """

    route: str
    rate: float


class Sample(msgspec.Struct, frozen=True):
    """One request's end.

    Attributes:
        route: Route asked.
        sent_seconds: When it was sent, within the run.
        latency_seconds: How long it took.
        outcome: Outcome, or ``no reply``.
        share: Share of the keys covered.
        reason: Reason given, if any.
    """

    route: str
    sent_seconds: float
    latency_seconds: float
    outcome: str
    share: float
    reason: str


class Summary(msgspec.Struct, frozen=True):
    """Samples of one route put together.

    Attributes:
        sent: Requests sent.
        answered: Requests answered whole.
        useful: Requests answered whole or in part.
        p50_ms: Median latency of the useful ones.
        p99_ms: 99th percentile of the same.
    """

    sent: int
    answered: int
    useful: int
    p50_ms: float
    p99_ms: float


def run(urls: list[str], streams: list[Stream], seconds: float, seed: int) -> list[Sample]:
    """Sends the load and returns all samples, in the order of sending."""
    return asyncio.run(_run(urls, streams, seconds, seed))


def summarise(samples: list[Sample], route: str) -> Summary:
    """Returns the summary of one route's samples."""
    mine = [sample for sample in samples if sample.route == route]
    useful = [sample for sample in mine if sample.outcome in ("answered", "partial")]
    latencies = sorted(sample.latency_seconds for sample in useful)
    return Summary(
        sent=len(mine),
        answered=sum(sample.outcome == "answered" for sample in mine),
        useful=len(useful),
        p50_ms=quantile(latencies, 0.50) * 1000,
        p99_ms=quantile(latencies, 0.99) * 1000,
    )


def quantile(ordered: list[float], share: float) -> float:
    """Returns a quantile of sorted values; infinity of none."""
    if not ordered:
        return float("inf")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def _run(urls: list[str], streams: list[Stream], seconds: float, seed: int) -> list[Sample]:
    driver = curl.CurlDriver(IDLE_TIMEOUT)
    samples: list[Sample] = []
    started = time.monotonic()
    callers = [
        _send_stream(driver, urls, stream, seconds, random.Random(f"{seed}/{number}"), started)
        for number, stream in enumerate(streams)
    ]
    for found in await asyncio.gather(*callers):
        samples.extend(found)
    driver.close()
    return sorted(samples, key=lambda sample: sample.sent_seconds)


async def _send_stream(
    driver: curl.CurlDriver,
    urls: list[str],
    stream: Stream,
    seconds: float,
    chance: random.Random,
    started: float,
) -> list[Sample]:
    samples: list[Sample] = []
    at = 0.0
    sent = 0
    while True:
        at += chance.expovariate(stream.rate)
        if at >= seconds:
            break
        await asyncio.sleep(max(0.0, started + at - time.monotonic()))
        _send(
            driver, urls[sent % len(urls)], stream.route, f"{stream.route} {sent}", started, samples
        )
        sent += 1
    drained = time.monotonic() + DRAIN_SECONDS
    while len(samples) < sent and time.monotonic() < drained:
        await asyncio.sleep(0.02)
    return samples


def _send(
    driver: curl.CurlDriver,
    url: str,
    route: str,
    query: str,
    started: float,
    samples: list[Sample],
) -> None:
    sent = time.monotonic()
    call = curl.HttpCall(
        "POST",
        f"{url}/v1/query/{route}",
        msgspec.json.encode(data.Request(query=query)),
        TIMEOUT,
        CONNECT_TIMEOUT,
    )

    def finish(reply: curl.HttpReply) -> None:
        latency = time.monotonic() - sent
        samples.append(_sample(route, sent - started, latency, reply))

    driver.start(call, finish)


def _sample(route: str, sent: float, latency: float, reply: curl.HttpReply) -> Sample:
    try:
        answer = msgspec.json.decode(reply.body, type=data.Answer)
    except msgspec.MsgspecError:
        return Sample(route, sent, latency, "no reply", 0.0, reply.error)
    share = answer.coverage.share if answer.coverage else 0.0
    reason = answer.reason.value if answer.reason else ""
    return Sample(route, sent, latency, answer.outcome.value, share, reason)
