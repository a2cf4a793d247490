import asyncio, os, random, struct, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *
BAD = int(os.environ.get("BAD", "300"))
async def bad_client(address, until, ledger):
    while now_ms() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        ledger.count("bad connections")
        began = now_ms()
        try:
            writer.write(record(BEGIN, 1, struct.pack(">HB5x", 1, 1)) + struct.pack(">BBHHBB", 1, PARAMS, 1, 2000, 0, 0))
            reading = asyncio.ensure_future(reader.read())
            while not reading.done() and now_ms() < until:
                writer.write(b"x")
                await asyncio.wait([reading], timeout=0.03)
            reading.cancel()
        except OSError:
            pass
        ledger.line(f"bad connection lasted {now_ms()-began:.0f}")
        writer.close()
async def play(ledger, disrupted):
    platform = Platform(ledger, settings(cores=8), memory_mb=192, sockets=384)
    runtime = Runtime(ledger, cores=8)
    runtime.work_ms = lambda request: 100.0
    try:
        await runtime.listen(platform.ports["runtime"])
        await HttpService(registry_answer).listen(platform.ports["registry"])
        platform.start()
        await platform.wait_ready()
        edges = [Edge(ledger, platform.address("listen"), n, connections=1) for n in (1, 2, 3)]
        requests = []
        async def traffic(edge, until):
            while now_ms() < until:
                request = edge.new_request("page", body=os.urandom(200))
                requests.append(request)
                asyncio.ensure_future(edge.send(request))
                await asyncio.sleep(0.1 * random.uniform(0.5, 1.5))
                if random.random() < 0.03:
                    for c in edge.pool: c.usable_for_new = False
                    edge.pool = []
        end = now_ms() + 20000
        async def attack():
            await asyncio.sleep(3)
            if disrupted:
                await asyncio.gather(*(bad_client(platform.address("listen"), end - 3000, ledger) for _ in range(BAD)))
        await asyncio.gather(*[traffic(edge, end) for edge in edges], attack())
        await asyncio.sleep(3)
        lost = [r for r in requests if r.lost]
        for r in requests:
            ledger.count(r.answer[0] if r.answer else "lost" if r.lost else "open")
        print(ledger.counts, len(requests))
        if len(lost) * 1000 > 3 * len(requests):
            return [f"{len(lost)} of {len(requests)} requests lost"]
        return []
    finally:
        platform.end()
main(play, os.path.dirname(os.path.abspath(__file__)))
