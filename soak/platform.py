"""Soak on the users' platform: load, faults, recovery and checks."""

import asyncio
import collections
import random
import time

from soak import checks, clients, plan, world

CLIENTS_PER_INSTANCE = 3
# Pause of a client between requests, and of the look at the version in force, with
# USUAL_INSTANCES; with more instances the load on the servers stays the same.
PAUSE_SECONDS = 0.12
PROBE_SECONDS = 0.25
USUAL_INSTANCES = 5
RECOVER_SECONDS = 12.0
RECOVERY_LOAD_SECONDS = 2.0
SERVED_SHARE_MIN = 0.5
READY_POLL_SECONDS = 0.1


def run(chosen: plan.Plan) -> list[checks.Broken]:
    """Plays a plan and returns the rules that were broken."""
    deployment = world.World(chosen)
    try:
        deployment.start()
        deployment.publish_next()
        asked, broken = asyncio.run(_play(deployment, chosen))
        broken += checks.run_all(deployment, asked)
        counts = collections.Counter(f"{seen.kind} {seen.status}" for seen in asked)
        print(f"seed {chosen.seed}: {len(asked)} requests {dict(sorted(counts.items()))}")
        stalls = sum(span.what == world.STALL for span in deployment.spans)
        print(f"seed {chosen.seed}: the soak stood still {stalls} times")
    finally:
        deployment.stop()
    if broken:
        print(f"logs in {deployment.folder}")
    return broken


async def _play(
    deployment: world.World, chosen: plan.Plan
) -> tuple[list[clients.Seen], list[checks.Broken]]:
    """Plays all faults under load; returns all requests and what recovery broke."""
    asked: list[clients.Seen] = []
    stopping = asyncio.Event()
    load = _start_load(deployment, chosen, asked, stopping)
    load.append(asyncio.create_task(deployment.watch_stalls(stopping)))
    start = time.monotonic()
    striking: list[asyncio.Task[None]] = []
    for fault in chosen.faults:
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        striking.append(asyncio.create_task(deployment.play(fault)))
    await asyncio.sleep(max(0.0, start + chosen.seconds - time.monotonic()))
    await asyncio.gather(*striking)
    broken = await _check_recovery(deployment, asked)
    stopping.set()
    await asyncio.gather(*load)
    return asked, broken


def _start_load(
    deployment: world.World,
    chosen: plan.Plan,
    asked: list[clients.Seen],
    stopping: asyncio.Event,
) -> list[asyncio.Task[None]]:
    """Starts the clients, and one that looks which version is in force, at each instance."""
    load: list[asyncio.Task[None]] = []
    stretch = max(1.0, chosen.instances / USUAL_INSTANCES)
    for number in range(1, chosen.instances + 1):
        for place in range(CLIENTS_PER_INSTANCE):
            name = f"c{number}-{place}"
            chance = random.Random(f"{chosen.seed}/{name}")
            client = clients.Client(name, number, chance, asked)
            load.append(asyncio.create_task(client.run(PAUSE_SECONDS * stretch, stopping)))
        chance = random.Random(f"{chosen.seed}/probe {number}")
        prober = clients.Client(f"p{number}", number, chance, asked)
        pause = PROBE_SECONDS * stretch
        load.append(asyncio.create_task(_probe(deployment, prober, chance, pause, stopping)))
    return load


async def _probe(
    deployment: world.World,
    prober: clients.Client,
    chance: random.Random,
    pause_seconds: float,
    stopping: asyncio.Event,
) -> None:
    """Asks again and again for a route of one of the newest versions."""
    try:
        while not stopping.is_set():
            newest = len(deployment.versions) - 1
            number = max(0, newest - chance.randrange(world.ROUTE_VERSIONS + 1))
            await prober.ask("probe", "GET", f"/v{number}/x")
            await asyncio.sleep(pause_seconds)
    finally:
        prober.close()


async def _check_recovery(
    deployment: world.World, asked: list[clients.Seen]
) -> list[checks.Broken]:
    """Checks that all instances are ready in time and requests are served again."""
    ends = time.monotonic() + RECOVER_SECONDS
    numbers = range(1, deployment.instances + 1)
    while not all([await asyncio.to_thread(deployment.is_ready, number) for number in numbers]):
        if time.monotonic() > ends:
            return [checks.Broken("RECOVER", f"not ready after {RECOVER_SECONDS:g} s")]
        await asyncio.sleep(READY_POLL_SECONDS)
    start = time.monotonic()
    await asyncio.sleep(RECOVERY_LOAD_SECONDS)
    late = [seen for seen in asked if seen.sent >= start and seen.ended and not seen.left]
    late = [seen for seen in late if seen.kind != "probe"]
    served = sum(seen.status == 200 for seen in late)
    if served < SERVED_SHARE_MIN * len(late):
        return [checks.Broken("RECOVER", f"{served} of {len(late)} requests served")]
    return []
