"""Measures what one unit of each role's work costs and writes ``bench/slopes.ini``.

Each slope is a least-squares line through the medians of several points; its error is
the largest deviation of a point from the line, as a share of the point. Times are
processor time of this process.

Usage: ``python -m bench.slopes [--part NAME]``; without a part, all are measured.
"""

import argparse
import asyncio
import configparser
import datetime
import gc
import pathlib
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from bench import scenes
from monsoonhoist.core import data, messages
from monsoonhoist.node import curl
from monsoonhoist.policy import ownership
from monsoonhoist.tables import native, store
from standins import site

PATH = pathlib.Path(__file__).with_name("slopes.ini")
MICROSECONDS = 1e6
REPEATS = 5
FRAME_ROUNDS = 2000


class Slope(msgspec.Struct, frozen=True):
    """A measured line.

    Attributes:
        name: Name of the section in the file.
        unit: Unit of the slope.
        per: What one step of x is.
        slope: Change for each step.
        intercept: Value at zero.
        error: Largest deviation of a point as a share of the point.
        points: The points, as ``x:y``.
    """

    name: str
    unit: str
    per: str
    slope: float
    intercept: float
    error: float
    points: str


def fit(name: str, unit: str, per: str, value_by_x: dict[int, float]) -> Slope:
    """Fits a line through the points."""
    line = statistics.linear_regression(list(value_by_x), list(value_by_x.values()))
    deviations = [
        abs(line.slope * x + line.intercept - y) / abs(y) for x, y in value_by_x.items() if y
    ]
    points = " ".join(f"{x}:{y:.4g}" for x, y in value_by_x.items())
    return Slope(name, unit, per, line.slope, line.intercept, max(deviations), points)


def processor_us(action: Callable[[], None], repeats: int = REPEATS) -> float:
    """Returns the median processor time of an action, in microseconds."""
    times = []
    for _ in range(repeats):
        gc.collect()
        before = time.process_time()
        action()
        times.append((time.process_time() - before) * MICROSECONDS)
    return statistics.median(times)


def measure_entry() -> list[Slope]:
    """Entry kernel: one query against its fan-out, replies of 24 owners included."""
    value_by_x: dict[int, float] = {}
    for services in (20, 50, 200, 850):
        scene = scenes.EntryScene(services, owners=24)
        rounds = max(5, 2000 // services)
        scene.run(3)
        value_by_x[services] = processor_us(lambda s=scene, n=rounds: s.run(n)) / rounds
    return [fit("entry-query", "us", "sub-request of a query", value_by_x)]


def measure_owner() -> list[Slope]:
    """Owner kernel: a batch of sub-requests, their calls and replies included."""
    value_by_x: dict[int, float] = {}
    for services in (1, 5, 20, 36):
        scene = scenes.OwnerScene(services)
        rounds = max(20, 2000 // services)
        scene.run(50)
        value_by_x[services] = processor_us(lambda s=scene, n=rounds: s.run(n)) / rounds
    return [fit("owner-batch", "us", "sub-request of a batch", value_by_x)]


def measure_frames() -> list[Slope]:
    """Frames between entry and owner: both ends' codec time, and bytes."""
    cpu_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for services in (1, 5, 20, 36):
        batch, reply = scenes.frames(services)

        def round_trips(batch=batch, reply=reply) -> None:
            for _ in range(FRAME_ROUNDS):
                messages.decode(messages.encode(batch))
                messages.decode(messages.encode(reply))

        cpu_by_x[services] = processor_us(round_trips) / FRAME_ROUNDS
        bytes_by_x[services] = float(len(messages.encode(batch)) + len(messages.encode(reply)) + 8)
    return [
        fit("frame-codec", "us", "sub-request of a frame", cpu_by_x),
        fit("frame-bytes", "bytes", "sub-request of a frame", bytes_by_x),
    ]


def measure_calls() -> list[Slope]:
    """Calls to backend servers through the curl driver, JSON included."""
    options = site.SiteOptions(instances=0, pools=("kiln-archive",), example="tasmania-south")
    deployment = site.Site(msgspec.structs.replace(options, median_ms=0.1))
    try:
        deployment.start_backends()
        address = deployment.pool_text("kiln-archive").split("address = ")[1].split()[0]
        value_by_x = {
            count: asyncio.run(_call_us(address, count)) for count in (500, 1000, 2000, 4000)
        }
    finally:
        deployment.stop()
    return [fit("backend-call", "us", "call", value_by_x)]


async def _call_us(address: str, count: int) -> float:
    """Returns the processor time of ``count`` calls, four at a time."""
    driver = curl.CurlDriver(datetime.timedelta(seconds=30))
    before = time.process_time()
    await asyncio.gather(*(_caller(driver, address, count // 4) for _ in range(4)))
    used = (time.process_time() - before) * MICROSECONDS
    driver.close()
    return used


async def _caller(driver: curl.CurlDriver, address: str, count: int) -> None:
    for number in range(count):
        ended = asyncio.get_running_loop().create_future()
        call = scenes.backend_call(address, number)
        driver.start(call, ended.set_result)
        scenes.read_backend_reply(await ended)


def measure_tables() -> list[Slope]:
    """Table values: parsing, memory, and bytes deflated, against servers."""
    cpu_by_x: dict[int, float] = {}
    memory_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for servers in (200, 425, 850, 1275):
        value = scenes.pool_value("p", servers)
        cpu_by_x[servers] = processor_us(lambda v=value: _accept([v]), 3)
        packed = messages.encode(messages.pack_table(value))
        bytes_by_x[servers] = float(len(packed))
    _accept([scenes.pool_value("warm", 10)])
    for servers in (3300, 8250, 33_000):
        values = [scenes.pool_value(f"p{n}", 825) for n in range(servers // 825)]
        gc.collect()
        tracemalloc.start()
        kept = _accept(values)
        memory_by_x[servers] = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return [
        fit("table-accept", "us", "server in the value", cpu_by_x),
        fit("table-bytes", "bytes", "server in the value, deflated", bytes_by_x),
        fit("table-memory", "bytes", "server in all tables", memory_by_x),
    ]


def _accept(values: list[messages.TableValue]) -> store.TableStore:
    table_store = store.TableStore(native.NativeFormat())
    for value in values:
        verdict = table_store.offer(value)
        if verdict.acceptance is not store.Acceptance.ACCEPTED:
            raise SystemExit(f"{value.key} was not accepted")
        table_store.apply_accepted()
    return table_store


def measure_members() -> list[Slope]:
    """Membership: one statement's handling, its bytes and memory, against instances."""
    cpu_by_x: dict[int, float] = {}
    memory_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for instances in (500, 2000, 7500):
        gc.collect()
        tracemalloc.start()
        view = scenes.membership_of(instances)
        memory_by_x[instances] = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        cpu_by_x[instances] = processor_us(lambda v=view: scenes.change_member(v))
        body = messages.encode(messages.Members(view.other_members()))
        bytes_by_x[instances] = float(len(body))
    return [
        fit("member-change", "us", "instance", cpu_by_x),
        fit("member-memory", "bytes", "instance", memory_by_x),
        fit("member-bytes", "bytes", "statement", bytes_by_x),
    ]


def measure_ownership() -> list[Slope]:
    """Owners of a pool's shards after a change of instances, against shards."""
    cpu_by_x: dict[int, float] = {}
    names = tuple(sorted(data.InstanceId(f"node-{n}") for n in range(7500)))
    for shards in (100, 400, 850):
        policy = ownership.RendezvousOwnership(names[0])

        def assign(shards=shards, policy=policy) -> None:
            fresh = tuple(list(names))
            policy.__init__(names[0])
            for number in range(shards):
                policy.owners(data.PoolId("p"), data.ServiceId(f"s{number}"), fresh)

        cpu_by_x[shards] = processor_us(assign)
    return [fit("owner-map", "us", "shard of a pool, 7500 instances", cpu_by_x)]


def measure_control() -> list[Slope]:
    """Heartbeats: codec time of both ends and bytes of both directions, against beats."""
    cpu_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for beats in (1000, 2000, 4000):

        def exchange(beats=beats) -> None:
            for number in range(beats):
                messages.decode(messages.encode(messages.Heartbeat(number, b"0" * 16)))
                messages.decode(messages.encode(messages.HeartbeatReply(number)))

        cpu_by_x[beats] = processor_us(exchange)
        one = len(messages.encode(messages.Heartbeat(100_000, b"0" * 16)))
        both = one + len(messages.encode(messages.HeartbeatReply(100_000))) + 8
        bytes_by_x[beats] = float(both * beats)
    return [
        fit("beat", "us", "heartbeat and reply", cpu_by_x),
        fit("beat-bytes", "bytes", "heartbeat and reply", bytes_by_x),
    ]


PARTS: dict[str, Callable[[], list[Slope]]] = {
    "entry": measure_entry,
    "owner": measure_owner,
    "frames": measure_frames,
    "calls": measure_calls,
    "tables": measure_tables,
    "members": measure_members,
    "ownership": measure_ownership,
    "control": measure_control,
}


def main() -> None:
    """Measures and writes the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=sorted(PARTS), default="")
    options = parser.parse_args()
    written = configparser.ConfigParser(interpolation=None)
    written.read(PATH, encoding="utf-8")
    for name, part in PARTS.items():
        if options.part in ("", name):
            for slope in part():
                written[slope.name] = {
                    "unit": slope.unit,
                    "per": slope.per,
                    "slope": f"{slope.slope:.4g}",
                    "intercept": f"{slope.intercept:.4g}",
                    "error": f"{slope.error:.3f}",
                    "points": slope.points,
                    "part": name,
                }
                print(f"{slope.name}: {slope.slope:.4g} {slope.unit} per {slope.per}")
    with PATH.open("w", encoding="utf-8") as target:
        written.write(target)


if __name__ == "__main__":
    main()
