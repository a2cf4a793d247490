"""Bad clients declare huge records and never end them, and connect again when they are closed."""
import asyncio, os, random, struct, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

PIECES = int(os.environ.get('PIECES', '6'))
GAP = float(os.environ.get('GAP', '0.02'))
BAD = int(os.environ.get("BAD", "150"))

async def bad_client(address, until, ledger):
    piece = record(PARAMS, 1, b"x" * 992)
    while now_ms() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        ledger.count("bad connections")
        try:
            writer.write(record(BEGIN, 1, struct.pack(">HB5x", 1, 1)))
            reading = asyncio.ensure_future(reader.read())
            while not reading.done():
                writer.write(piece)
                await asyncio.wait([reading], timeout=GAP)
            reading.result()
        except OSError:
            pass
        writer.close()

async def play(ledger, disrupted):
    platform = Platform(ledger, settings(cores=8), memory_mb=32, sockets=384)
    runtime = Runtime(ledger, cores=8)
    runtime.work_ms = lambda request: 200.0
    try:
        await runtime.listen(platform.ports["runtime"])
        await HttpService(registry_answer).listen(platform.ports["registry"])
        await HttpService(lambda h, b: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").listen(platform.ports["records"])
        platform.start()
        await platform.wait_ready()
        edges = [Edge(ledger, platform.address("listen"), n, connections=1) for n in (1, 2, 3)]
        for edge in edges:
            edge.body_record = 256
        requests = []
        async def traffic(edge, until):
            while now_ms() < until:
                burst = random.randint(1, 3)
                for _ in range(burst):
                    request = edge.new_request("page", body=os.urandom(2000))
                    requests.append(request)
                    asyncio.ensure_future(edge.send(request, PIECES, 0.003))
                await asyncio.sleep(burst * 0.1 * random.uniform(0.5, 1.5))
        end = now_ms() + 20000
        jobs = [traffic(edge, end) for edge in edges]
        async def attack():
            await asyncio.sleep(3)
            if disrupted:
                await asyncio.gather(*(bad_client(platform.address("listen"), end - 3000, ledger) for _ in range(BAD)))
        await asyncio.gather(*jobs, attack())
        await asyncio.sleep(3)
        lost = [r for r in requests if r.lost]
        for r in requests:
            ledger.count(r.answer[0] if r.answer else "lost" if r.lost else "open")
        ledger.line(f"{len(lost)} lost of {len(requests)}")
        print(ledger.counts, len(requests))
        if len(lost) * 1000 > 3 * len(requests):
            return [f"{len(lost)} of {len(requests)} requests lost"]
        return []
    finally:
        platform.end()

main(play, os.path.dirname(os.path.abspath(__file__)))
