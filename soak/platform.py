"""Soak of the dialect of the users' platform: load, fault injection, recovery and checks."""

import asyncio
import collections
import random
import time

from soak import checks, clients, plan, proxied_fleet, returning_fleet

CLIENTS_PER_INSTANCE = 3
# Mean pause of a client between requests, and pause between probes of the version in force, for up
# to REFERENCE_INSTANCES. More instances have more clients, so the pauses grow in proportion to keep
# the servers' load the same.
PAUSE_SECONDS = 0.12
PROBE_PAUSE_SECONDS = 0.25
REFERENCE_INSTANCES = 5
# Longest time after the end of the plan until all instances are ready.
RECOVERY_MAX_SECONDS = 12.0
RECOVERY_LOAD_SECONDS = 2.0
# Smallest share of the requests sent after the recovery that must be served.
SERVED_SHARE_MIN = 0.5
READY_POLL_SECONDS = 0.1


def run(fault_plan: plan.Plan) -> list[checks.Violation]:
    """Runs a plan and returns the violations that were found."""
    deployment = returning_fleet.ReturningFleet(fault_plan)
    try:
        deployment.start()
        deployment.publish_next()
        requests, violations = asyncio.run(_run_plan(deployment, fault_plan))
        violations += checks.check_all(deployment, requests)
        counts = collections.Counter(f"{request.kind} {request.status}" for request in requests)
        print(f"seed {fault_plan.seed}: {len(requests)} requests {dict(sorted(counts.items()))}")
        stall_count = sum(
            disturbance.target == proxied_fleet.STALL for disturbance in deployment.disturbances
        )
        print(f"seed {fault_plan.seed}: the soak itself was stalled {stall_count} times")
    finally:
        deployment.stop()
    if violations:
        print(f"logs in {deployment.folder}")
    return violations


async def _run_plan(
    deployment: proxied_fleet.ProxiedFleet, fault_plan: plan.Plan
) -> tuple[list[clients.RequestRecord], list[checks.Violation]]:
    """Injects all faults under load; returns all requests and violations during recovery."""
    requests: list[clients.RequestRecord] = []
    stopping = asyncio.Event()
    tasks = _start_load(deployment, fault_plan, requests, stopping)
    tasks.append(asyncio.create_task(deployment.record_stalls(stopping)))
    try:
        await _inject_faults(deployment, fault_plan)
        violations = await _check_recovery(deployment, requests)
    finally:
        # A client whose cancellation is lost ends by this alone.
        stopping.set()
    await asyncio.gather(*tasks)
    return requests, violations


async def _inject_faults(deployment: proxied_fleet.ProxiedFleet, fault_plan: plan.Plan) -> None:
    """Injects all faults, and waits until the load has had its length and all faults have ended."""
    start = time.monotonic()
    fault_tasks: list[asyncio.Task[None]] = []
    for fault in fault_plan.faults:
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        fault_tasks.append(asyncio.create_task(deployment.inject_fault(fault)))
    await asyncio.sleep(max(0.0, start + fault_plan.seconds - time.monotonic()))
    await asyncio.gather(*fault_tasks)


def _start_load(
    deployment: proxied_fleet.ProxiedFleet,
    fault_plan: plan.Plan,
    requests: list[clients.RequestRecord],
    stopping: asyncio.Event,
) -> list[asyncio.Task[None]]:
    """Starts the clients of each instance, and one that probes which version is in force."""
    tasks: list[asyncio.Task[None]] = []
    pause_factor = max(1.0, fault_plan.instances / REFERENCE_INSTANCES)
    for number in range(1, fault_plan.instances + 1):
        for index in range(CLIENTS_PER_INSTANCE):
            name = f"c{number}-{index}"
            rng = random.Random(f"{fault_plan.seed}/{name}")
            client = clients.Client(name, number, rng, requests)
            tasks.append(asyncio.create_task(client.run(PAUSE_SECONDS * pause_factor, stopping)))
        rng = random.Random(f"{fault_plan.seed}/probe {number}")
        prober = clients.Client(f"p{number}", number, rng, requests)
        pause = PROBE_PAUSE_SECONDS * pause_factor
        tasks.append(asyncio.create_task(_send_probes(deployment, prober, rng, pause, stopping)))
    return tasks


async def _send_probes(
    deployment: proxied_fleet.ProxiedFleet,
    prober: clients.Client,
    rng: random.Random,
    pause_seconds: float,
    stopping: asyncio.Event,
) -> None:
    """Requests the routes of recent versions, some of which are no longer in force."""
    try:
        while not stopping.is_set():
            newest = len(deployment.versions) - 1
            number = max(0, newest - rng.randrange(proxied_fleet.ROUTE_LIFETIME_VERSIONS + 1))
            await prober.send("probe", "GET", f"/v{number}/x")
            await asyncio.sleep(pause_seconds)
    finally:
        prober.close()


async def _check_recovery(
    deployment: proxied_fleet.ProxiedFleet, requests: list[clients.RequestRecord]
) -> list[checks.Violation]:
    """Checks that all instances become ready in time and serve requests."""
    recovery_start = time.monotonic()
    numbers = range(1, deployment.instances + 1)
    while not all([await asyncio.to_thread(deployment.is_ready, number) for number in numbers]):
        if time.monotonic() > recovery_start + RECOVERY_MAX_SECONDS:
            stalled_seconds = deployment.stalled_seconds(recovery_start)
            unready = [number for number in numbers if not deployment.is_ready(number)]
            detail = (
                f"instances {unready} are not ready {RECOVERY_MAX_SECONDS:g} s after the faults,"
                f" and {stalled_seconds:.1f} s in which the soak was stalled"
            )
            return [checks.Violation("RECOVER", detail)]
        await asyncio.sleep(READY_POLL_SECONDS)
    start = time.monotonic()
    await asyncio.sleep(RECOVERY_LOAD_SECONDS)
    completed = [
        request
        for request in requests
        if request.sent_at >= start and request.ended_at and not request.abandoned_at
    ]
    completed = [request for request in completed if request.kind != "probe"]
    served = sum(request.status == 200 for request in completed)
    if served < SERVED_SHARE_MIN * len(completed):
        return [
            checks.Violation(
                "RECOVER", f"{served} of {len(completed)} requests served after recovery"
            )
        ]
    return []
