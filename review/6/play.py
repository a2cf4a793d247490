"""Retries of keyed requests that have run, while a bad client sends hundreds of requests at once."""

import asyncio
import os
import secrets
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from peers import *  # noqa: E402,F403

RUN_MS = 300  # of a bid
PAGE_MS = 740  # of a page: 370 ms of work on a core of speed 0.5
BIDS = 3
ROUNDS = 6  # of retries
FLOOD_CONNECTIONS = 13
REQUESTS_A_CONNECTION = 32


def plan(route, _):
    return [RUN_MS] if route == "absentee-bid" else [PAGE_MS]


async def flood(record, address):
    """A bad client: hundreds of requests at once, with ids that the runtime does not know."""
    connections = [await Edge(record, f"bad client {i}").connect(address) for i in range(FLOOD_CONNECTIONS)]
    for connection in connections:
        for _ in range(REQUESTS_A_CONNECTION):
            connection.send(Try("lot-page", secrets.token_bytes(2048), 2000, caller=99))
    return connections


async def start(record, temporary, backends, name):
    """A backend with a runtime, a records service and a registry of its own."""
    runtime, records, registry = Runtime(record, plan, name=f"runtime of {name}"), Records(record), Registry()
    runtime.on_cores = 2.0  # the pages wait for the disk most of their time
    peers = [await runtime.listen(), await records.listen(), await registry.listen()]
    classes = [lane("lot-page", "repeatable", deadline_ms=7000), lane("absentee-bid", "by_key", worth=3.0)]
    backend = Backend(record, temporary, name, config(peers, settings(classes)))
    backends.append(backend)
    await backend.start()
    return backend, runtime


async def case(record, temporary, backends):
    backend, runtime = await start(record, temporary, backends, "n1")
    other_backend, other_runtime = await start(record, temporary, backends, "n2")
    edge = await Edge(record, "edge to n1", runtime).connect(backend.address)
    other_edge = await Edge(record, "edge to n2", other_runtime).connect(other_backend.address)

    # The edge node waits briefly: its first tries end before their runs do.
    bids = [(secrets.token_hex(16), secrets.token_bytes(2048)) for _ in range(BIDS)]
    first = [edge.send(Try("absentee-bid", body, RUN_MS - 50, key)) for key, body in bids]
    await all_answered(first, 3)
    await asyncio.sleep(0.3)
    if any(runtime.ended.get(attempt.rid) != "PASS" for attempt in first):
        raise CannotRun("a first try did not run to its end")
    # Ordinary work of the same edge node.
    pages = [edge.send(Try("lot-page", secrets.token_bytes(2048), 5000)) for _ in range(20)]
    await asyncio.sleep(0.05)
    bad = await flood(record, backend.address) if TROUBLE else []
    retries, elsewhere = [], []
    for _ in range(ROUNDS):
        await asyncio.sleep(0.1)
        again = [edge.send(Try("absentee-bid", body, 2000, key)) for key, body in bids]
        retries.extend(again)
        await all_answered(again, 3)
        # What is refused goes on to the next backend of the list.
        refused = [one for one in again if one.is_refused and one.key not in [other.key for other in elsewhere]]
        elsewhere.extend(other_edge.send(Try("absentee-bid", one.body, 2000, one.key)) for one in refused)
    await all_answered(pages + elsewhere, 6)
    for connection in bad:
        connection.close()

    broken = []
    for attempt in retries:
        if attempt.is_refused:
            broken.append(f"{attempt}: answered {attempt.status} ('refused: this try never ran') although the"
                          " request of this key had run on this backend")
        elif attempt.is_served and attempt.result not in [result_of(one.rid) for one in first + retries]:
            broken.append(f"{attempt}: served with a foreign result")
    for key, _ in bids:
        runs = runtime.times_run([one.rid for one in first + retries if one.key == key])
        if runs != 1:
            broken.append(f"key {key[:8]}: run {runs} times on n1")
    print(f"{len(retries)} retries of {BIDS} bids that had run: {len([one for one in retries if one.is_served])}"
          f" served, {len([one for one in retries if one.is_refused])} refused; refused bids that the edge node took to"
          f" another backend, where they ran a second time: {other_runtime.times_run([o.rid for o in elsewhere])}")
    return broken


play(__file__, case)
