"""Measures the cost of a unit of work of each role and writes ``bench/slopes.ini``.

Each cost is the slope of a least-squares line through several points, which are medians of
repeated measurements. Its error is the largest deviation of a point from the line, as a share
of the point. Times are CPU time of this process.

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

from bench import workloads
from monsoonhoist.core import data
from monsoonhoist.node import curl
from monsoonhoist.policy import ownership
from monsoonhoist.protocol import messages, packed_tables
from monsoonhoist.tables import native, store
from standins import site

SLOPES_PATH = pathlib.Path(__file__).with_name("slopes.ini")
MICROSECONDS_PER_SECOND = 1e6
REPEATS = 5
FRAME_ROUNDS = 2000


class FittedLine(msgspec.Struct, frozen=True):
    """A line fitted through measured points.

    Attributes:
        name: Name of the section in the file.
        unit: Unit of the values.
        per: What x counts.
        slope: Change of the value for each step of x.
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


def fit_line(name: str, unit: str, per: str, value_by_x: dict[int, float]) -> FittedLine:
    """Returns the least-squares line through the points."""
    line = statistics.linear_regression(list(value_by_x), list(value_by_x.values()))
    deviations = [
        abs(line.slope * x + line.intercept - y) / abs(y) for x, y in value_by_x.items() if y
    ]
    points = " ".join(f"{x}:{y:.4g}" for x, y in value_by_x.items())
    return FittedLine(name, unit, per, line.slope, line.intercept, max(deviations), points)


def measure_cpu_us(action: Callable[[], None], repeats: int = REPEATS) -> float:
    """Returns the median CPU time of an action, in microseconds."""
    times = []
    for _ in range(repeats):
        gc.collect()
        before = time.process_time()
        action()
        times.append((time.process_time() - before) * MICROSECONDS_PER_SECOND)
    return statistics.median(times)


def measure_entry() -> list[FittedLine]:
    """Measures the entry kernel: a query with replies of 24 owners, by its fan-out."""
    value_by_x: dict[int, float] = {}
    for shard_count in (20, 50, 200, 850):
        workload = workloads.EntryWorkload(shard_count, owner_count=24)
        rounds = max(5, 2000 // shard_count)
        workload.run(3)
        value_by_x[shard_count] = measure_cpu_us(lambda s=workload, n=rounds: s.run(n)) / rounds
    return [fit_line("entry-query", "us", "sub-request of a query", value_by_x)]


def measure_owner() -> list[FittedLine]:
    """Measures the owner kernel: a batch with its calls and replies, by its sub-requests."""
    value_by_x: dict[int, float] = {}
    for shard_count in (1, 5, 20, 36):
        workload = workloads.OwnerWorkload(shard_count)
        rounds = max(20, 2000 // shard_count)
        workload.run(50)
        value_by_x[shard_count] = measure_cpu_us(lambda s=workload, n=rounds: s.run(n)) / rounds
    return [fit_line("owner-batch", "us", "sub-request of a batch", value_by_x)]


def measure_frames() -> list[FittedLine]:
    """Measures frames between entry and owner: codec time of both ends, and bytes."""
    cpu_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for shard_count in (1, 5, 20, 36):
        batch, reply = workloads.make_frames(shard_count)

        def round_trips(batch=batch, reply=reply) -> None:
            for _ in range(FRAME_ROUNDS):
                messages.decode(messages.encode(batch))
                messages.decode(messages.encode(reply))

        cpu_by_x[shard_count] = measure_cpu_us(round_trips) / FRAME_ROUNDS
        # The length of each frame takes four bytes in addition.
        bytes_by_x[shard_count] = float(
            len(messages.encode(batch)) + len(messages.encode(reply)) + 8
        )
    return [
        fit_line("frame-codec", "us", "sub-request of a frame", cpu_by_x),
        fit_line("frame-bytes", "bytes", "sub-request of a frame", bytes_by_x),
    ]


def measure_calls() -> list[FittedLine]:
    """Measures calls to backend servers through the curl driver, including JSON."""
    options = site.SiteOptions(instances=0, pools=("kiln-archive",), example="tasmania-south")
    deployment = site.Site(msgspec.structs.replace(options, median_ms=0.1))
    try:
        deployment.start_backends()
        address = deployment.pool_text("kiln-archive").split("address = ")[1].split()[0]
        value_by_x = {
            count: asyncio.run(_measure_calls_us(address, count))
            for count in (500, 1000, 2000, 4000)
        }
    finally:
        deployment.stop()
    return [fit_line("backend-call", "us", "call", value_by_x)]


async def _measure_calls_us(address: str, count: int) -> float:
    """Returns the CPU time of ``count`` calls, four at a time, in microseconds."""
    driver = curl.CurlDriver(datetime.timedelta(seconds=30))
    before = time.process_time()
    await asyncio.gather(*(_make_calls(driver, address, count // 4) for _ in range(4)))
    cpu_us = (time.process_time() - before) * MICROSECONDS_PER_SECOND
    driver.close()
    return cpu_us


async def _make_calls(driver: curl.CurlDriver, address: str, count: int) -> None:
    for number in range(count):
        reply_future = asyncio.get_running_loop().create_future()
        call = workloads.make_backend_call(address, number)
        driver.start(call, reply_future.set_result)
        workloads.check_backend_reply(await reply_future)


def measure_tables() -> list[FittedLine]:
    """Measures table values: parsing, memory and deflated bytes, by the number of servers."""
    cpu_by_x: dict[int, float] = {}
    memory_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for server_count in (200, 425, 850, 1275):
        value = workloads.make_pool_value("p", server_count)
        cpu_by_x[server_count] = measure_cpu_us(lambda v=value: _build_store([v]), 3)
        packed = messages.encode(packed_tables.pack(value))
        bytes_by_x[server_count] = float(len(packed))
    # Allocations that only a first store causes are not part of the measured memory.
    _build_store([workloads.make_pool_value("warm", 10)])
    for server_count in (3300, 8250, 33_000):
        values = [workloads.make_pool_value(f"p{n}", 825) for n in range(server_count // 825)]
        gc.collect()
        tracemalloc.start()
        kept = _build_store(values)
        memory_by_x[server_count] = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return [
        fit_line("table-accept", "us", "server in the value", cpu_by_x),
        fit_line("table-bytes", "bytes", "server in the value, deflated", bytes_by_x),
        fit_line("table-memory", "bytes", "server in all tables", memory_by_x),
    ]


def _build_store(values: list[messages.TableValue]) -> store.TableStore:
    table_store = store.TableStore(native.NativeFormat())
    for value in values:
        result = table_store.offer(value)
        if result.acceptance is not store.Acceptance.ACCEPTED:
            raise SystemExit(f"{value.key} was not accepted")
        table_store.apply_accepted()
    return table_store


def measure_members() -> list[FittedLine]:
    """Measures membership: handling, bytes and memory of a record, by the number of instances."""
    cpu_by_x: dict[int, float] = {}
    memory_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for instance_count in (500, 2000, 7500):
        gc.collect()
        tracemalloc.start()
        view = workloads.make_membership(instance_count)
        memory_by_x[instance_count] = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        cpu_by_x[instance_count] = measure_cpu_us(lambda v=view: workloads.update_member(v))
        body = messages.encode(messages.Members(view.other_members()))
        bytes_by_x[instance_count] = float(len(body))
    return [
        fit_line("member-change", "us", "instance", cpu_by_x),
        fit_line("member-memory", "bytes", "instance", memory_by_x),
        fit_line("member-bytes", "bytes", "statement", bytes_by_x),
    ]


def measure_ownership() -> list[FittedLine]:
    """Measures the assignment of a pool's shards after a change of instances, by shards."""
    cpu_by_x: dict[int, float] = {}
    names = tuple(sorted(data.InstanceId(f"node-{n}") for n in range(7500)))
    for shard_count in (100, 400, 850):
        policy = ownership.RendezvousOwnership(names[0])

        def assign(shard_count=shard_count, policy=policy) -> None:
            # A new tuple and the initialisation discard the owners that the policy has cached.
            copied_names = tuple(list(names))
            policy.__init__(names[0])
            for number in range(shard_count):
                policy.owners(data.PoolId("p"), data.ServiceId(f"s{number}"), copied_names)

        cpu_by_x[shard_count] = measure_cpu_us(assign)
    return [fit_line("owner-map", "us", "shard of a pool, 7500 instances", cpu_by_x)]


def measure_control() -> list[FittedLine]:
    """Measures heartbeats: codec time of both ends and bytes of both directions."""
    cpu_by_x: dict[int, float] = {}
    bytes_by_x: dict[int, float] = {}
    for count in (1000, 2000, 4000):

        def exchange(count=count) -> None:
            for number in range(count):
                messages.decode(messages.encode(messages.Heartbeat(number, b"0" * 16)))
                messages.decode(messages.encode(messages.HeartbeatReply(number)))

        cpu_by_x[count] = measure_cpu_us(exchange)
        heartbeat_bytes = len(messages.encode(messages.Heartbeat(100_000, b"0" * 16)))
        # The length of each of the two frames takes four bytes in addition.
        pair_bytes = heartbeat_bytes + len(messages.encode(messages.HeartbeatReply(100_000))) + 8
        bytes_by_x[count] = float(pair_bytes * count)
    return [
        fit_line("beat", "us", "heartbeat and reply", cpu_by_x),
        fit_line("beat-bytes", "bytes", "heartbeat and reply", bytes_by_x),
    ]


MEASUREMENT_BY_PART: dict[str, Callable[[], list[FittedLine]]] = {
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
    """Measures the selected parts and updates the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=sorted(MEASUREMENT_BY_PART), default="")
    options = parser.parse_args()
    sections = configparser.ConfigParser(interpolation=None)
    sections.read(SLOPES_PATH, encoding="utf-8")
    for name, measure in MEASUREMENT_BY_PART.items():
        if options.part in ("", name):
            for line in measure():
                sections[line.name] = {
                    "unit": line.unit,
                    "per": line.per,
                    "slope": f"{line.slope:.4g}",
                    "intercept": f"{line.intercept:.4g}",
                    "error": f"{line.error:.3f}",
                    "points": line.points,
                    "part": name,
                }
                print(f"{line.name}: {line.slope:.4g} {line.unit} per {line.per}")
    with SLOPES_PATH.open("w", encoding="utf-8") as target:
        sections.write(target)


if __name__ == "__main__":
    main()
