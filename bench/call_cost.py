"""Compares the processor time of a call to a backend server between builds, in one run.

Usage: ``python -m bench.call_cost FOLDER FOLDER ...``. Each folder holds a build of the program.
The builds take turns, each in a process of its own, so that a change of the machine's speed affects
all of them. The calls carry a request id, and their replies the header fields of a usual reply.
"""

import argparse
import asyncio
import contextlib
import datetime
import importlib
import multiprocessing
import pathlib
import statistics
import sys
import time

CALLS_PER_POINT = 2_000
CONCURRENT_CALLS = 4
WARM_UP_CALLS = 500
POINTS = 5
TURNS = 6
MICROSECONDS_PER_SECOND = 1e6
REQUEST_ID = "bench-1"
BODY = b"x" * 192
REPLY = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Request-Id: bench-1\r\n"
    b"X-Server-Stamp: server-1.bench-1.7\r\n"
    b"X-Backend-Load: 1,2,3,100\r\n"
    b"Keep-Alive: timeout=5\r\n"
    b"Content-Type: application/octet-stream\r\n"
    b"Content-Length: 192\r\n"
    b"\r\n" + BODY
)
RECORDS_MODULE = "monsoonhoist.node.http_call"
TIMEOUT = datetime.timedelta(seconds=5)


def serve(ports: multiprocessing.Queue) -> None:
    """Answers each request on a free port, which is put into the queue, until terminated."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(REPLY)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        ports.put(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    asyncio.run(run())


def measure(folder: str, port: int, times_us: multiprocessing.Queue) -> None:
    """Puts the processor time of a call of a build into the queue, in microseconds."""
    sys.path.insert(0, folder)
    for name in [name for name in sys.modules if name.partition(".")[0] == "monsoonhoist"]:
        del sys.modules[name]
    build = importlib.import_module("monsoonhoist.node.curl")
    exchange = importlib.import_module("monsoonhoist.core.exchange")
    # Earlier builds have the records of calls in the module of the client.
    records = build if hasattr(build, "HttpCall") else importlib.import_module(RECORDS_MODULE)
    call = records.HttpCall(
        "GET",
        f"http://127.0.0.1:{port}/x",
        b"",
        TIMEOUT,
        TIMEOUT,
        headers=(f"X-Request-Id: {REQUEST_ID}", "Accept:", "User-Agent:"),
        expected_header=exchange.Header("X-Request-Id", REQUEST_ID),
        is_sent_once=True,
    )

    async def make_calls(driver: object, count: int) -> None:
        for _ in range(count):
            future = asyncio.get_running_loop().create_future()
            driver.start(call, future.set_result)
            reply = await future
            if reply.body != BODY:
                raise SystemExit(f"the call failed: {reply}")

    async def run() -> None:
        driver = build.CurlDriver(datetime.timedelta(seconds=30))
        await make_calls(driver, WARM_UP_CALLS)
        points = []
        for _ in range(POINTS):
            before = time.process_time()
            count = CALLS_PER_POINT // CONCURRENT_CALLS
            await asyncio.gather(*(make_calls(driver, count) for _ in range(CONCURRENT_CALLS)))
            points.append((time.process_time() - before) / CALLS_PER_POINT)
        times_us.put(statistics.median(points) * MICROSECONDS_PER_SECOND)
        driver.close()

    asyncio.run(run())


def main() -> None:
    """Measures the builds in turns, and prints the median of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", nargs="+", type=pathlib.Path)
    folders = [str(folder.resolve()) for folder in parser.parse_args().folder]
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    server = context.Process(target=serve, args=(queue,), daemon=True)
    server.start()
    port = queue.get()
    times_by_folder = {folder: [] for folder in folders}
    for _ in range(TURNS):
        for folder in folders:
            process = context.Process(target=measure, args=(folder, port, queue))
            process.start()
            process.join()
            if process.exitcode:
                raise SystemExit(f"{folder} could not be measured")
            times_by_folder[folder].append(queue.get())
    server.terminate()
    for folder, times in times_by_folder.items():
        listed = " ".join(f"{each:.0f}" for each in times)
        print(f"{pathlib.Path(folder).name}: {statistics.median(times):.1f} us a call ({listed})")


if __name__ == "__main__":
    main()
