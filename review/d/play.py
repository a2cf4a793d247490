import asyncio, os, random, struct, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *
async def play(ledger, disrupted):
    platform = Platform(ledger, settings(cores=8), memory_mb=192, sockets=384)
    runtime = Runtime(ledger, cores=8)
    runtime.work_ms = lambda request: 300.0
    try:
        await runtime.listen(platform.ports["runtime"])
        await HttpService(registry_answer).listen(platform.ports["registry"])
        platform.start()
        await platform.wait_ready()
        edge = Edge(ledger, platform.address("listen"), 1, connections=1)
        requests = []
        def send():
            request = edge.new_request("page", body=os.urandom(200))
            requests.append(request)
            asyncio.ensure_future(edge.send(request))
            return request
        await asyncio.sleep(1)
        for turn in range(10):
            batch = [send() for _ in range(32)]
            await asyncio.sleep(0.02)
            still = [r for r in batch if not r.is_over()]
            ledger.line(f"turn {turn}: {len(still)} open")
            if disrupted:
                for r in still[:24]:
                    edge.give_up(r)
                    for number, o in list(r.connection.open.items()):
                        if o is r: r.connection.open.pop(number)
                for r in still[:24]:
                    send()
            await asyncio.sleep(1.5)
        await asyncio.sleep(3)
        lost = [r for r in requests if r.lost]
        for r in requests:
            ledger.count(r.answer[0] if r.answer else "lost" if r.lost else "gone")
        print(ledger.counts, len(requests))
        if len(lost) * 1000 > 3 * len(requests):
            return [f"{len(lost)} of {len(requests)} requests lost"]
        return []
    finally:
        platform.end()
main(play, os.path.dirname(os.path.abspath(__file__)))
