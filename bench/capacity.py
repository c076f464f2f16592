"""Works out the figures of ``docs/CAPACITY.md`` from the slopes in ``slopes.ini``.

Usage: ``python -m bench.capacity`` prints the figures, ``--write`` puts them on the page.
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
BEGIN = "<!-- figures: begin -->"
END = "<!-- figures: end -->"

NODES = 7_500
SERVERS = 33_000
QUERIES_PER_SECOND = 1_100_000
FAN_OUT = 850
REGIONS = 4
ZONES = 14
CHANGES_PER_DAY = 15_000
REPLACED_PER_DAY = 2_286
SECONDS_PER_DAY = 86_400
CONTROL_CPU_SHARE = 0.05
CONTROL_BYTES_PER_SECOND = 7_000
SERVICE_READS_PER_SECOND = 2_000
IN_FORCE_SECONDS = 9.0
ANSWERED_SHARE = 0.99

NEIGHBOURS = settings.SpreadSection().neighbours
WATCHERS_PER_ZONE = settings.SpreadSection().watchers_per_zone
CELL_SIZE = ownership.RendezvousOwnership.pool_owners_max
WATCH_SECONDS = 10.0
HEARTBEAT_SECONDS = 1.0
# Headers of TCP over IPv4 with time stamps, for each of a message and its acknowledgement.
HEADER_BYTES = 52
INSTANCE_ROW_BYTES = 95
INSTANCES_POLL_SECONDS = 1.0
# Round trip between the regions that lie farthest apart.
REGION_ROUND_TRIP_SECONDS = 0.25
ROUND_TRIPS_PER_HOP = 1.5
CORES_PER_NODE = 2
MICROSECONDS = 1e6


class Line(msgspec.Struct, frozen=True):
    """A measured line."""

    slope: float
    intercept: float
    error: float
    unit: str
    per: str
    points: str
    part: str

    def at(self, x: float) -> float:
        """Returns the line's value; not less than 0."""
        return max(0.0, self.slope * x + self.intercept)


def read_slopes() -> dict[str, Line]:
    """Returns the measured lines by name."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(SLOPES_PATH, encoding="utf-8")
    return {
        name: Line(
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
    """Returns the page's figures as Markdown."""
    line_by_name = read_slopes()
    blocks = [
        slopes_table(line_by_name),
        data_path(line_by_name),
        control(line_by_name),
        configuration(line_by_name),
        tails(),
    ]
    return "\n\n".join(blocks)


def slopes_table(line_by_name: dict[str, Line]) -> str:
    """Returns the table of slopes."""
    rows = ["### Slopes", "", "| slope | value | for each | at zero | error | points | part |"]
    rows.append("|---|---|---|---|---|---|---|")
    for name, line in line_by_name.items():
        rows.append(
            f"| {name} | {line.slope:.4g} {line.unit} | {line.per} | {line.intercept:.4g} |"
            f" {line.error:.0%} | {line.points} | `{line.part}` |"
        )
    return "\n".join(rows)


def data_path(line_by_name: dict[str, Line]) -> str:
    """Returns the data path's figures for one node."""
    queries = QUERIES_PER_SECOND / NODES
    subs = queries * FAN_OUT
    pools = SERVERS / FAN_OUT
    cell = round(NODES / pools)
    subs_per_frame = FAN_OUT / cell
    frames = queries * cell
    entry = queries * line_by_name["entry-query"].at(FAN_OUT) / MICROSECONDS
    codec = frames * line_by_name["frame-codec"].at(subs_per_frame) / MICROSECONDS
    owner = frames * line_by_name["owner-batch"].at(subs_per_frame) / MICROSECONDS
    calls = subs * line_by_name["backend-call"].slope / MICROSECONDS
    size = frames * line_by_name["frame-bytes"].at(subs_per_frame)
    total = entry + codec + owner + calls
    rows = [
        "### Data path, one node",
        "",
        "| quantity | figure | mechanism |",
        "|---|---|---|",
        f"| queries taken in | {queries:.0f}/s | entry |",
        f"| sub-requests sent and received | {subs:,.0f}/s each | one batch for each owner |",
        f"| pools of {FAN_OUT} servers | {pools:.1f} | |",
        f"| instances in a pool's cell | {cell} | `RendezvousOwnership.pool_owners_max`, now"
        f" {CELL_SIZE} |",
        f"| frames of requests, and as many of replies | {frames:,.0f}/s | cells |",
        f"| sub-requests in a frame | {subs_per_frame:.1f} | cells |",
        f"| bytes between instances | {size / 1e6:.0f} MB/s | merging at owners |",
        f"| sub-requests at one backend server | {QUERIES_PER_SECOND * FAN_OUT / SERVERS:,.0f}/s"
        " | |",
        f"| entry decisions | {entry:.2f} cores | `core.entry` |",
        f"| frames, both ends | {codec:.2f} cores | `core.messages` |",
        f"| owner decisions | {owner:.2f} cores | `core.owner` |",
        f"| calls to backend servers | {calls:.2f} cores | `node.curl` |",
        f"| all | {total:.1f} cores | |",
        f"| over {CORES_PER_NODE} cores of a small instance | {total / CORES_PER_NODE:.0f} times"
        " too much | see below |",
    ]
    return "\n".join(rows + ["", batching(line_by_name, subs)])


def batching(line_by_name: dict[str, Line], subs: float) -> str:
    """Returns what batching of backend calls would leave of their cost."""
    call = line_by_name["backend-call"].slope
    rows = [
        "| sub-requests in one backend call | calls | cores for calls alone |",
        "|---|---|---|",
    ]
    for batch in (1, 8, 32, 128):
        calls = subs / batch
        rows.append(f"| {batch} | {calls:,.0f}/s | {calls * call / MICROSECONDS:.1f} |")
    return "\n".join(rows)


def control(line_by_name: dict[str, Line]) -> str:
    """Returns the control figures for one node."""
    beats = NEIGHBOURS / HEARTBEAT_SECONDS
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    statements = 2 * REPLACED_PER_DAY / SECONDS_PER_DAY
    value_bytes = line_by_name["table-bytes"].at(FAN_OUT)
    refresh = line_by_name["member-change"].at(NODES) / MICROSECONDS
    polls = 1 / INSTANCES_POLL_SECONDS
    cpu = {
        "heartbeats": beats * line_by_name["beat"].slope / MICROSECONDS,
        "table values": changes * line_by_name["table-accept"].at(FAN_OUT) / MICROSECONDS,
        "views after a change": (changes + statements) * refresh,
        "instance list": polls * refresh,
        "owner map": statements * line_by_name["owner-map"].at(FAN_OUT) / MICROSECONDS,
    }
    beat_bytes = line_by_name["beat-bytes"].slope + 4 * HEADER_BYTES
    statement_bytes = line_by_name["member-bytes"].slope + 2 * HEADER_BYTES
    size = {
        "heartbeats": beats * beat_bytes,
        "table values": changes * (value_bytes + NEIGHBOURS * 3 * HEADER_BYTES),
        "views after a change": statements * NEIGHBOURS * statement_bytes,
        "instance list": polls * NODES * INSTANCE_ROW_BYTES,
        "owner map": 0.0,
    }
    mechanism = {
        "heartbeats": f"`node.peers`, {NEIGHBOURS} neighbours, every {HEARTBEAT_SECONDS:.0f} s",
        "table values": "`node.tables`, announced and fetched once, deflated",
        "views after a change": "`core.membership`",
        "instance list": "`Node._poll_instances`, every instance, every second",
        "owner map": "`policy.ownership`, only the pools concerned",
    }
    rows = [
        "### Control, one node",
        "",
        "| role | core | bytes/s | mechanism |",
        "|---|---|---|---|",
    ]
    for name, share in cpu.items():
        rows.append(f"| {name} | {share:.3%} | {size[name]:,.0f} | {mechanism[name]} |")
    kept = [name for name in cpu if name != "instance list"]
    cpu_kept = sum(cpu[name] for name in kept)
    size_kept = sum(size[name] for name in kept)
    rows.append(f"| all but the instance list | {cpu_kept:.2%} | {size_kept:,.0f} | |")
    rows.append(f"| limit | {CONTROL_CPU_SHARE:.0%} | {CONTROL_BYTES_PER_SECOND:,} | |")
    over = size["instance list"] / CONTROL_BYTES_PER_SECOND
    memory = line_by_name["table-memory"].at(SERVERS) + line_by_name["member-memory"].at(NODES)
    rows += [
        "",
        f"The instance list alone is {over:.0f} times over the limit of bytes: it must be read by"
        " watchers only.",
        f"Tables and instances take {memory / 1e6:.0f} MB of 256 MB.",
    ]
    return "\n".join(rows)


def configuration(line_by_name: dict[str, Line]) -> str:
    """Returns the configuration's figures."""
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    watchers = ZONES * WATCHERS_PER_ZONE
    keys = math.ceil(SERVERS / FAN_OUT) + 1
    reads = watchers / WATCH_SECONDS + changes * watchers * 2
    restarts = REPLACED_PER_DAY / SECONDS_PER_DAY * (keys + 1)
    hops = math.ceil(math.log(NODES) / math.log(NEIGHBOURS - 1)) + 1
    accept = line_by_name["table-accept"].at(FAN_OUT) / MICROSECONDS
    hop = accept + ROUND_TRIPS_PER_HOP * REGION_ROUND_TRIP_SECONDS
    fleet = NODES * (keys + 1) / SERVICE_READS_PER_SECOND
    zone = NODES / ZONES * (keys + 1) / 60
    rows = [
        "### Configuration",
        "",
        "| quantity | figure | limit |",
        "|---|---|---|",
        f"| table keys | {keys} | |",
        f"| a pool's value, deflated | {line_by_name['table-bytes'].at(FAN_OUT) / 1e3:.1f} KB |"
        " 1 MB as published |",
        f"| waiting watches | {watchers} | |",
        f"| reads, steady | {reads:.1f}/s | {SERVICE_READS_PER_SECOND:,}/s |",
        f"| reads of replaced instances | {restarts:.1f}/s | {SERVICE_READS_PER_SECOND:,}/s |",
        f"| reads when a zone restarts within a minute | {zone:.0f}/s |"
        f" {SERVICE_READS_PER_SECOND:,}/s |",
        f"| time to restart all instances at the limit of reads | {fleet:.0f} s | |",
        f"| reads when the service is back after an hour | {watchers * keys:,} in all | |",
        f"| hops | {hops} | |",
        f"| time in force everywhere | {hops * hop:.1f} s | {IN_FORCE_SECONDS:.0f} s |",
    ]
    return "\n".join(rows)


def tails() -> str:
    """Returns what the target asks of each shard, and what hedging costs."""
    late = 1 - ANSWERED_SHARE ** (1 / FAN_OUT)
    rows = [
        "### Tails",
        "",
        f"{ANSWERED_SHARE:.0%} of queries over {FAN_OUT} shards leave each sub-request"
        f" {late:.3g} to be late, or 1 in {1 / late:,.0f}.",
        "",
        "| tries | straggling replies that this allows | extra calls |",
        "|---|---|---|",
    ]
    for tries in (1, 2, 3):
        share = late ** (1 / tries)
        extra = sum(share**number for number in range(1, tries))
        rows.append(f"| {tries} | {share:.3%} | {extra:.2%} |")
    return "\n".join(rows)


def page_with(text: str, page: str) -> str:
    """Returns the page with its figures replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{text}\n\n{END}{after}"


def main() -> None:
    """Prints the figures or writes them to the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args()
    text = figures()
    if options.write:
        page = PAGE_PATH.read_text(encoding="utf-8")
        PAGE_PATH.write_text(page_with(text, page), encoding="utf-8")
    else:
        print(text)


if __name__ == "__main__":
    main()
