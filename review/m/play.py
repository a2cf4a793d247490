import asyncio, os, random, struct, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins
from standins import *
CONN=int(os.environ.get("CONN","244")); PER=int(os.environ.get("PER","32"))
standins.result_of = lambda request, began: os.urandom(4096)
def rss(pid):
    f = {}
    for line in open(f"/proc/{pid}/status"):
        if line.startswith(("VmHWM", "VmRSS", "RssAnon")): f[line.split(":")[0]] = int(line.split()[1])
    return f
def flood(edge, route, key):
    edge = Edge(None, None); edge.body_record = int(os.environ.get("REC", "2047"))
    out=b""
    for i in range(1, PER+1):
        r = Request("%016x" % random.getrandbits(64), route, os.urandom(2048), "%0128x"%random.getrandbits(512) if key else None, 2000, 7)
        out += edge.encode(r, i)
    return out + struct.pack(">BBHHBB", 1, PARAMS, 99, 65535, 0, 0) + b"x" * 60000
async def bad(address, edge, until, ledger, barrier):
    data = flood(edge, os.environ.get("ROUTE","bid"), True)
    while now_ms() < until:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.01); continue
        try:
            writer.write(data)
            t=now_ms()
            while now_ms()-t<3000 and await asyncio.wait_for(reader.read(65536), 3): 
                ledger.count("reads")
        except (OSError, asyncio.TimeoutError): pass
        writer.close()
async def play(ledger, disrupted):
    sec = 10**9
    classes=[{"name": "page", "deadlineNs": 7 * sec, "objectiveNs": 2 * sec, "repeat": "repeatable", "worth": 1.0, "lateShare": 0.2},
        {"name": "bid", "deadlineNs": 6 * sec, "objectiveNs": 2 * sec, "repeat": "by_key", "worth": 3.0, "lateShare": 0.0, "memorySpanNs": 17 * sec}]
    platform = Platform(ledger, settings(cores=8, classes=classes, entryKb=8.0), memory_mb=32, sockets=512)
    runtime = Runtime(ledger, cores=8)
    runtime.work_ms = lambda request: 20.0
    try:
        await runtime.listen(platform.ports["runtime"])
        await HttpService(registry_answer).listen(platform.ports["registry"])
        platform.start()
        await platform.wait_ready()
        edge = Edge(ledger, platform.address("listen"), 1, connections=4)
        t0=now_ms()
        until = t0+35000
        reqs=[]
        async def legit():
            while now_ms()<until:
                r=edge.new_request("bid", key="%032x"%random.getrandbits(128), body=os.urandom(500)); reqs.append(r)
                asyncio.ensure_future(edge.send(r))
                await asyncio.sleep(0.0075)
        async def watch():
            while now_ms()<until+1000:
                print(round(now_ms()-t0), rss(platform.process.pid)); await asyncio.sleep(2)
        async def attack():
            await asyncio.sleep(27)
            if disrupted:
                await asyncio.gather(*[bad(platform.address("listen"), edge, until, ledger, None) for _ in range(CONN)])
        await asyncio.gather(watch(), legit(), attack())
        for r in reqs: ledger.count(r.answer[0] if r.answer else "none")
        print(ledger.counts)
        return []
    finally:
        platform.end()
main(play, os.path.dirname(os.path.abspath(__file__)))
