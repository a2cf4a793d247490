"""An issuer of tokens, and callers that hold them, for backends with a section `identity`."""

import asyncio
import hashlib
import re
import secrets
import time

import peers
from peers import HOST, unix_ms
from signing import base64url


class Issuer:
    """An issuer: publishes a signed set of keys over HTTP, with an entity tag, and answers conditional requests."""

    def __init__(self, record, name, key_set):
        self.record, self.name, self.key_set = record, name, key_set
        self.delay_s = 0.0
        self.fetches = 0
        self.asked = asyncio.Event()
        self.open = set()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def leave(self):
        """The address is given up: it takes nothing new, and what is open is closed 1.5 s later."""
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.fetches += 1
            self.asked.set()
            await asyncio.sleep(self.delay_s)
            body = self.key_set.encode()
            tag = '"%s"' % hashlib.sha256(body).hexdigest()[:16]
            known = re.search(r"(?i)if-none-match: *(\S+)", head)
            status = 304 if known and known.group(1) == tag else 200
            self.record.add(f"{self.name}: asked for the key set, answers {status} after {self.delay_s} s")
            if status == 304:
                writer.write(f"HTTP/1.1 304 Not Modified\r\nETag: {tag}\r\nConnection: close\r\n\r\n".encode())
            else:
                writer.write(f"HTTP/1.1 200 OK\r\nETag: {tag}\r\nContent-Length: {len(body)}\r\n"
                             "Connection: close\r\n\r\n".encode() + body)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


def token(key, subject):
    """A token for an hour, for a caller of the tenant `house` in the role `phone`."""
    return key.document({"iss": "office", "aud": "asterdale", "sub": subject, "tenant": "house", "roles": ["phone"],
                         "exp": time.time() + 3600, "jti": secrets.token_hex(8)})


def key_set(root, sequence, keys, revoked_subjects=()):
    """A set of keys, signed by the root key."""
    jwks = [{"kty": "OKP", "crv": "Ed25519", "kid": key.kid, "x": base64url(key.public), "from_ms": 0} for key in keys]
    return root.document({"seq": sequence, "issued_ms": int(unix_ms()), "keys": jwks,
                          "revoked": {"subjects": list(revoked_subjects)}}, "asterdale-keys+jws")


def identity(issuer_address, roots, poll_ms):
    """The section `identity` of a start file."""
    return {"issuer": "office", "audience": "asterdale", "roots": [base64url(root.public) for root in roots],
            "keys": {"fetch": {"at": issuer_address, "path": "/keys.jws", "every_ms": poll_ms}},
            "roles": [{"name": "phone", "stages": ["lot-page", "absentee-bid"]}],
            "tenants": [{"name": "house", "customer": 0, "roles": ["phone"]}]}


class Callers:
    """Callers that bid without end, each with a token of its own."""

    def __init__(self, edge):
        self.edge, self.bids, self.tasks, self.is_over = edge, {}, [], False

    def bid(self, name, text):
        attempt = self.edge.send(peers.Try("absentee-bid", secrets.token_bytes(100), 2000, secrets.token_hex(16),
                                           token=text))
        self.bids.setdefault(name, []).append(attempt)
        return attempt

    def start(self, name, text, a_second):
        async def keep_bidding():
            while not self.is_over:
                self.bid(name, text)
                await asyncio.sleep(1.0 / a_second)
        self.tasks.append(asyncio.ensure_future(keep_bidding()))

    async def stop(self):
        self.is_over = True
        await asyncio.gather(*self.tasks)
        await peers.all_answered([one for bids in self.bids.values() for one in bids], 3)

    def judge(self, runtime, revoked, granted, from_ms):
        """What is wrong with bids sent from this time on: those of the revoked caller that were run, and those of the
        other one that were not served (3 in 1,000 may be)."""
        started = {start[1] for start in runtime.starts}
        run = [one for one in self.bids[revoked] if one.start_ms > from_ms and one.rid in started]
        denied = [one for one in self.bids[granted] if one.start_ms > from_ms and not one.is_served]
        total = [one for one in self.bids[granted] if one.start_ms > from_ms]
        print(f"{len(run)} bids of the revoked caller run, {len(denied)} of {len(total)} bids under the new key not served")
        broken = []
        if run:
            broken.append(f"{len(run)} bids of a revoked caller were run, the last {run[-1]}")
        if len(denied) > 0.003 * len(total):
            broken.append(f"{len(denied)} of {len(total)} bids under the new key were denied, the last {denied[-1].status}")
        return broken
