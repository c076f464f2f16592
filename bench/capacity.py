"""Computes the figures of ``docs/CAPACITY.md`` from the lines in ``slopes.ini``.

Usage: ``python -m bench.capacity`` prints the figures, ``--write`` writes them to the page.
"""

import argparse
import configparser
import math
import pathlib

import msgspec

from monsoonhoist import settings
from monsoonhoist.policy import ownership

SLOPES_PATH = pathlib.Path(__file__).with_name("slopes.ini")
PAGE_PATH = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BEGIN_MARKER = "<!-- figures: begin -->"
END_MARKER = "<!-- figures: end -->"

# Size and load of the deployment for which the figures are computed. A query has FAN_OUT
# sub-requests, one for each shard of its pool.
INSTANCES = 7_500
SERVERS = 33_000
QUERIES_PER_SECOND = 1_100_000
FAN_OUT = 850
REGIONS = 4
ZONES = 14
TABLE_CHANGES_PER_DAY = 15_000
INSTANCES_REPLACED_PER_DAY = 2_286
SECONDS_PER_DAY = 86_400
# Limits of the work of one instance on heartbeats, tables and membership; the first is a share of a
# core.
CONTROL_CPU_SHARE_MAX = 0.05
CONTROL_BYTES_PER_SECOND_MAX = 7_000
SERVICE_READS_PER_SECOND_MAX = 2_000
PROPAGATION_MAX_SECONDS = 9.0
# Share of the queries whose replies must all be in time.
ON_TIME_SHARE = 0.99

NEIGHBOURS = settings.SpreadSection().neighbours
WATCHERS_PER_ZONE = settings.SpreadSection().watchers_per_zone
CELL_SIZE = ownership.RendezvousOwnership.pool_owners_max
WATCH_SECONDS = 10.0
HEARTBEAT_SECONDS = 1.0
# Headers of a packet of TCP over IPv4 with time stamps. Both a message and its acknowledgement have
# them.
PACKET_HEADER_BYTES = 52
# Length of a row of the instance list, as JSON.
INSTANCE_ROW_BYTES = 95
INSTANCES_POLL_SECONDS = 1.0
# Round trip between the two most distant regions.
REGION_ROUND_TRIP_SECONDS = 0.25
# Half a round trip announces a value; a whole one, for a request and its reply, fetches it.
ROUND_TRIPS_PER_HOP = 1.5
CORES_PER_INSTANCE = 2
MICROSECONDS_PER_SECOND = 1e6


class FittedLine(msgspec.Struct, frozen=True):
    """A line fitted through measured points.

    Attributes:
        slope: Change of the value for each step of x.
        intercept: Value at zero.
        error: Largest deviation of a point as a share of the point.
        unit: Unit of the values.
        per: What x counts.
        points: The points, as ``x:y``.
        part: Part of ``bench.slopes`` that measures the line.
    """

    slope: float
    intercept: float
    error: float
    unit: str
    per: str
    points: str
    part: str

    def at(self, x: float) -> float:
        """Returns the value of the line at x, at least 0."""
        return max(0.0, self.slope * x + self.intercept)


def read_slopes() -> dict[str, FittedLine]:
    """Returns the fitted lines by name."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(SLOPES_PATH, encoding="utf-8")
    return {
        name: FittedLine(
            float(section["slope"]),
            float(section["intercept"]),
            float(section["error"]),
            section["unit"],
            section["per"],
            section["points"],
            section["part"],
        )
        for name, section in parser.items()
        if name != configparser.DEFAULTSECT
    }


def figures() -> str:
    """Returns the figures of the page as Markdown."""
    line_by_name = read_slopes()
    sections = [
        format_slopes(line_by_name),
        format_data_path(line_by_name),
        format_control(line_by_name),
        format_configuration(line_by_name),
        format_tails(),
    ]
    return "\n\n".join(sections)


def format_slopes(line_by_name: dict[str, FittedLine]) -> str:
    """Returns the table of fitted lines."""
    rows = ["### Slopes", "", "| slope | value | for each | at zero | error | points | part |"]
    rows.append("|---|---|---|---|---|---|---|")
    for name, line in line_by_name.items():
        rows.append(
            f"| {name} | {line.slope:.4g} {line.unit} | {line.per} | {line.intercept:.4g} |"
            f" {line.error:.0%} | {line.points} | `{line.part}` |"
        )
    return "\n".join(rows)


def format_data_path(line_by_name: dict[str, FittedLine]) -> str:
    """Returns the figures of the data path, for one instance."""
    queries = QUERIES_PER_SECOND / INSTANCES
    sub_requests = queries * FAN_OUT
    pools = SERVERS / FAN_OUT
    cell_size = round(INSTANCES / pools)
    sub_requests_per_frame = FAN_OUT / cell_size
    frames = queries * cell_size
    entry_cores = queries * line_by_name["entry-query"].at(FAN_OUT) / MICROSECONDS_PER_SECOND
    codec_cores = (
        frames * line_by_name["frame-codec"].at(sub_requests_per_frame) / MICROSECONDS_PER_SECOND
    )
    owner_cores = (
        frames * line_by_name["owner-batch"].at(sub_requests_per_frame) / MICROSECONDS_PER_SECOND
    )
    call_cores = sub_requests * line_by_name["backend-call"].slope / MICROSECONDS_PER_SECOND
    stream_bytes = frames * line_by_name["frame-bytes"].at(sub_requests_per_frame)
    total_cores = entry_cores + codec_cores + owner_cores + call_cores
    rows = [
        "### Data path, one node",
        "",
        "| quantity | figure | mechanism |",
        "|---|---|---|",
        f"| queries taken in | {queries:.0f}/s | entry |",
        f"| sub-requests sent and received | {sub_requests:,.0f}/s each |"
        " one batch for each owner |",
        f"| pools of {FAN_OUT} servers | {pools:.1f} | |",
        f"| instances in a pool's cell | {cell_size} | `RendezvousOwnership.pool_owners_max`, now"
        f" {CELL_SIZE} |",
        f"| frames of requests, and as many of replies | {frames:,.0f}/s | cells |",
        f"| sub-requests in a frame | {sub_requests_per_frame:.1f} | cells |",
        f"| bytes between instances | {stream_bytes / 1e6:.0f} MB/s | merging at owners |",
        f"| sub-requests at one backend server | {QUERIES_PER_SECOND * FAN_OUT / SERVERS:,.0f}/s"
        " | |",
        f"| entry decisions | {entry_cores:.2f} cores | `queries.entry` |",
        f"| frames, both ends | {codec_cores:.2f} cores | `protocol.messages` |",
        f"| owner decisions | {owner_cores:.2f} cores | `shards.owner` |",
        f"| calls to backend servers | {call_cores:.2f} cores | `node.curl` |",
        f"| all | {total_cores:.1f} cores | |",
        f"| over {CORES_PER_INSTANCE} cores of a small instance |"
        f" {total_cores / CORES_PER_INSTANCE:.0f} times too much | see below |",
    ]
    return "\n".join(rows + ["", format_batching(line_by_name, sub_requests)])


def format_batching(line_by_name: dict[str, FittedLine], sub_requests: float) -> str:
    """Returns what backend calls would cost if they were batched."""
    call_us = line_by_name["backend-call"].slope
    rows = [
        "| sub-requests in one backend call | calls | cores for calls alone |",
        "|---|---|---|",
    ]
    for batch_size in (1, 8, 32, 128):
        calls = sub_requests / batch_size
        rows.append(
            f"| {batch_size} | {calls:,.0f}/s | {calls * call_us / MICROSECONDS_PER_SECOND:.1f} |"
        )
    return "\n".join(rows)


def format_control(line_by_name: dict[str, FittedLine]) -> str:
    """Returns the figures of heartbeats, tables and membership, for one instance."""
    heartbeats = NEIGHBOURS / HEARTBEAT_SECONDS
    changes = TABLE_CHANGES_PER_DAY / SECONDS_PER_DAY
    member_changes = 2 * INSTANCES_REPLACED_PER_DAY / SECONDS_PER_DAY
    value_bytes = line_by_name["table-bytes"].at(FAN_OUT)
    refresh_seconds = line_by_name["member-change"].at(INSTANCES) / MICROSECONDS_PER_SECOND
    list_reads = 1 / INSTANCES_POLL_SECONDS
    cpu_share_by_role = {
        "heartbeats": heartbeats * line_by_name["beat"].slope / MICROSECONDS_PER_SECOND,
        "table values": changes
        * line_by_name["table-accept"].at(FAN_OUT)
        / MICROSECONDS_PER_SECOND,
        "views after a change": (changes + member_changes) * refresh_seconds,
        "instance list": list_reads * refresh_seconds,
        "owner map": member_changes
        * line_by_name["owner-map"].at(FAN_OUT)
        / MICROSECONDS_PER_SECOND,
    }
    heartbeat_bytes = line_by_name["beat-bytes"].slope + 4 * PACKET_HEADER_BYTES
    member_bytes = line_by_name["member-bytes"].slope + 2 * PACKET_HEADER_BYTES
    bytes_by_role = {
        "heartbeats": heartbeats * heartbeat_bytes,
        "table values": changes * (value_bytes + NEIGHBOURS * 3 * PACKET_HEADER_BYTES),
        "views after a change": member_changes * NEIGHBOURS * member_bytes,
        "instance list": list_reads * INSTANCES * INSTANCE_ROW_BYTES,
        "owner map": 0.0,
    }
    mechanism_by_role = {
        "heartbeats": f"`node.peers`, {NEIGHBOURS} neighbours, every {HEARTBEAT_SECONDS:.0f} s",
        "table values": "`node.replication`, announced and fetched once, deflated",
        "views after a change": "`fleet.membership`",
        "instance list": "`node.config_service.InstancePoller`, every instance, every second",
        "owner map": "`policy.ownership`, only the pools concerned",
    }
    rows = [
        "### Control, one node",
        "",
        "| role | core | bytes/s | mechanism |",
        "|---|---|---|---|",
    ]
    for name, share in cpu_share_by_role.items():
        rows.append(
            f"| {name} | {share:.3%} | {bytes_by_role[name]:,.0f} | {mechanism_by_role[name]} |"
        )
    other_roles = [name for name in cpu_share_by_role if name != "instance list"]
    other_cpu_share = sum(cpu_share_by_role[name] for name in other_roles)
    other_bytes = sum(bytes_by_role[name] for name in other_roles)
    rows.append(f"| all but the instance list | {other_cpu_share:.2%} | {other_bytes:,.0f} | |")
    rows.append(f"| limit | {CONTROL_CPU_SHARE_MAX:.0%} | {CONTROL_BYTES_PER_SECOND_MAX:,} | |")
    excess_factor = bytes_by_role["instance list"] / CONTROL_BYTES_PER_SECOND_MAX
    memory = line_by_name["table-memory"].at(SERVERS) + line_by_name["member-memory"].at(INSTANCES)
    rows += [
        "",
        f"The instance list alone is {excess_factor:.0f} times over the limit of bytes:"
        " it must be read by watchers only.",
        f"Tables and instances take {memory / 1e6:.0f} MB of 256 MB.",
    ]
    return "\n".join(rows)


def format_configuration(line_by_name: dict[str, FittedLine]) -> str:
    """Returns the figures of the distribution of table values."""
    changes = TABLE_CHANGES_PER_DAY / SECONDS_PER_DAY
    watchers = ZONES * WATCHERS_PER_ZONE
    keys = math.ceil(SERVERS / FAN_OUT) + 1
    reads = watchers / WATCH_SECONDS + changes * watchers * 2
    replacement_reads = INSTANCES_REPLACED_PER_DAY / SECONDS_PER_DAY * (keys + 1)
    hops = math.ceil(math.log(INSTANCES) / math.log(NEIGHBOURS - 1)) + 1
    accept_seconds = line_by_name["table-accept"].at(FAN_OUT) / MICROSECONDS_PER_SECOND
    hop_seconds = accept_seconds + ROUND_TRIPS_PER_HOP * REGION_ROUND_TRIP_SECONDS
    restart_all_seconds = INSTANCES * (keys + 1) / SERVICE_READS_PER_SECOND_MAX
    zone_restart_reads = INSTANCES / ZONES * (keys + 1) / 60
    rows = [
        "### Configuration",
        "",
        "| quantity | figure | limit |",
        "|---|---|---|",
        f"| table keys | {keys} | |",
        f"| a pool's value, deflated | {line_by_name['table-bytes'].at(FAN_OUT) / 1e3:.1f} KB |"
        " 1 MB as published |",
        f"| waiting watches | {watchers} | |",
        f"| reads, steady | {reads:.1f}/s | {SERVICE_READS_PER_SECOND_MAX:,}/s |",
        f"| reads of replaced instances | {replacement_reads:.1f}/s |"
        f" {SERVICE_READS_PER_SECOND_MAX:,}/s |",
        f"| reads when a zone restarts within a minute | {zone_restart_reads:.0f}/s |"
        f" {SERVICE_READS_PER_SECOND_MAX:,}/s |",
        f"| time to restart all instances at the limit of reads | {restart_all_seconds:.0f} s | |",
        f"| reads when the service is back after an hour | {watchers * keys:,} in all | |",
        f"| hops | {hops} | |",
        f"| time in force everywhere | {hops * hop_seconds:.1f} s |"
        f" {PROPAGATION_MAX_SECONDS:.0f} s |",
    ]
    return "\n".join(rows)


def format_tails() -> str:
    """Returns the share of late replies that the target allows, and the cost of hedging."""
    late_share = 1 - ON_TIME_SHARE ** (1 / FAN_OUT)
    rows = [
        "### Tails",
        "",
        f"{ON_TIME_SHARE:.0%} of queries over {FAN_OUT} shards leave each sub-request"
        f" {late_share:.3g} to be late, or 1 in {1 / late_share:,.0f}.",
        "",
        "| tries | straggling replies that this allows | extra calls |",
        "|---|---|---|",
    ]
    for tries in (1, 2, 3):
        share = late_share ** (1 / tries)
        extra = sum(share**number for number in range(1, tries))
        rows.append(f"| {tries} | {share:.3%} | {extra:.2%} |")
    return "\n".join(rows)


def replace_figures(text: str, page: str) -> str:
    """Returns the page with the text between the markers replaced by new figures."""
    before, _, rest = page.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n\n{text}\n\n{END_MARKER}{after}"


def main() -> None:
    """Prints the figures, or writes them to the page with ``--write``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    text = figures()
    if options.write:
        page = PAGE_PATH.read_text(encoding="utf-8")
        PAGE_PATH.write_text(replace_figures(text, page), encoding="utf-8")
    else:
        print(text)


if __name__ == "__main__":
    main()
