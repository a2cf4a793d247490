"""Bad clients send hundreds of requests at once; the backend goes over its memory limit and is killed."""

import asyncio
import os
import random
import struct
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins
from standins import (PARAMS, Edge, HttpService, Platform, Request, Runtime, main, now_ms, record, registry_answer,
                      settings)

MEMORY_MB = 32
LIMIT_KIB = MEMORY_MB * 1024
CALM_S, TROUBLE_S = 27, 8
TRIES_PER_S = 100
BAD_CLIENTS, BAD_PROCESSES = 240, 4
REQUESTS_AT_ONCE = 32


def resident_kib(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def requests_at_once(edge):
    """32 keyed requests with bodies of 2 KiB, none of them known to the runtime, and a message that never ends."""
    out = b""
    for number in range(1, REQUESTS_AT_ONCE + 1):
        key = "%0128x" % random.getrandbits(512)
        request = Request("%016x" % random.getrandbits(64), "absentee-bid", os.urandom(2048), key, 2000, 99)
        out += edge.encode(request, number)
    return out + struct.pack(">BBHHBB", 1, PARAMS, 99, 65535, 0, 0) + b"x" * 60000


async def bad_client(address, until):
    """Sends everything at full speed, reads whatever it is sent, and does the same again when it is turned away."""
    edge = Edge(None, address)
    edge.body_record = 1500
    while now_ms() < until:
        data = requests_at_once(edge)
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        try:
            writer.write(data)
            give_up = now_ms() + 3000
            while now_ms() < give_up and await asyncio.wait_for(reader.read(65536), 3):
                pass
        except (OSError, asyncio.TimeoutError):
            pass
        writer.close()


async def bad_clients(port, count, seconds):
    until = now_ms() + seconds * 1000
    await asyncio.gather(*(bad_client(("127.0.0.1", port), until) for _ in range(count)))


async def play(ledger, disrupted):
    standins.result_of = lambda request, began: os.urandom(4096)
    platform = Platform(ledger, settings(), memory_mb=MEMORY_MB, sockets=512)
    runtime = Runtime(ledger)
    runtime.work_ms = lambda request: 20.0
    requests, violations, bad = [], [], []
    try:
        await runtime.listen(platform.ports["runtime"])
        await HttpService(registry_answer).listen(platform.ports["registry"])
        platform.start()
        await platform.wait_ready()
        edges = [Edge(ledger, platform.address("listen"), number, connections=2) for number in (1, 2, 3)]
        began, until = now_ms(), now_ms() + (CALM_S + TROUBLE_S) * 1000

        async def traffic():
            while now_ms() < until and not violations:
                due = (now_ms() - began) / 1000 * TRIES_PER_S
                while len(requests) < due:
                    request = edges[len(requests) % 3].new_request(
                        "absentee-bid", key="%032x" % random.getrandbits(128), body=os.urandom(500))
                    requests.append(request)
                    asyncio.ensure_future(edges[len(requests) % 3].send(request))
                await asyncio.sleep(0.005)

        async def memory_limit():
            """The platform kills a backend that goes over its memory."""
            highest, said = 0, 0
            while now_ms() < until + 500:
                if platform.process.poll() is not None:
                    violations.append(f"the backend ended with {platform.process.returncode}")
                    return
                resident = resident_kib(platform.process.pid)
                highest = max(highest, resident)
                if now_ms() - said > 1000:
                    said = now_ms()
                    ledger.line(f"memory of the backend: {resident} KiB, highest {highest} KiB, limit {LIMIT_KIB} KiB")
                if resident > LIMIT_KIB:
                    ledger.line(f"memory of the backend: {resident} KiB, over the limit of {LIMIT_KIB} KiB: killed")
                    platform.process.kill()
                    violations.append(f"killed for memory: {resident} KiB of {LIMIT_KIB} KiB")
                    return
                await asyncio.sleep(0.02)

        async def trouble():
            await asyncio.sleep(CALM_S)
            if disrupted:
                ledger.line(f"{BAD_CLIENTS} bad clients begin")
                bad.extend(
                    subprocess.Popen([sys.executable, os.path.abspath(__file__), "bad", str(platform.ports["listen"]),
                                      str(BAD_CLIENTS // BAD_PROCESSES), str(TROUBLE_S)])
                    for _ in range(BAD_PROCESSES))

        await asyncio.gather(traffic(), memory_limit(), trouble())
        for request in requests:
            ledger.count(request.answer[0] if request.answer else "unanswered")
        return violations
    finally:
        for process in bad:
            process.kill()
            process.wait()
        platform.end()


if sys.argv[1:2] == ["bad"]:
    asyncio.run(bad_clients(*map(int, sys.argv[2:])))
else:
    main(play, HERE)
