"""Stand-ins for everything that a backend talks to, written from the users' protocol page.

One asyncio process holds the platform (starts the backend with the command of the deploy file), the runtime, the
records service, the registry, sound edge nodes, and a ledger of what was sent, answered and run.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
KEEP_CONN = 1
OVERLOADED = 2
MAX_PLAY_S = 110


def now_ms():
    """Unix time in milliseconds."""
    return time.time() * 1000.0


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def record(kind, request_id, content=b""):
    return struct.pack(">BBHHBB", 1, kind, request_id, len(content), 0, 0) + content


def pair(name, value):
    name, value = name.encode(), value.encode()

    def size(n):
        return bytes([n]) if n < 128 else struct.pack(">I", n | 0x80000000)

    return size(len(name)) + size(len(value)) + name + value


def params(fields):
    return b"".join(pair(name, str(value)) for name, value in fields.items())


class Request:
    """One try of a request, and what became of it."""

    def __init__(self, rid, route, body, key, timeout_ms, edge):
        self.rid, self.route, self.body, self.key = rid, route, body, key
        self.timeout_ms, self.edge = timeout_ms, edge
        self.start_ms = None  # X-Request-Start
        self.written_ms = None  # when its last byte was written
        self.answered_ms = None
        self.answer = None  # (kind, status, body): kind is served, refused or failed
        self.gave_up_ms = None
        self.lost = None  # why it can get no answer any more
        self.resent = False
        self.on_new_connection = False
        self.runs = []  # start times of its runs
        self.run_ends = []
        self.done = asyncio.get_running_loop().create_future()

    def is_over(self):
        return self.answer is not None or self.gave_up_ms is not None or self.lost is not None

    def finish(self):
        if not self.done.done():
            self.done.set_result(None)


class Ledger:
    """Everything that was sent, answered and run, in the order in which it happened."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = now_ms()
        self.requests = {}
        self.counts = {}

    def line(self, text):
        self.file.write(f"{now_ms() - self.began:10.1f} {text}\n")

    def count(self, name, by=1):
        self.counts[name] = self.counts.get(name, 0) + by

    def close(self):
        self.file.flush()
        self.file.close()


class Runtime:
    """The runtime: one link, numbered notices, runs that take their time and may need a call."""

    def __init__(self, ledger, cores=6):
        self.ledger, self.cores = ledger, cores
        self.began = now_ms()
        self.up = True
        self.notices = []  # (number, line)
        self.link = None
        self.running = {}  # rid -> asyncio task
        self.waiting = {}  # rid -> future of the reply to its call
        self.work_ms = lambda request: 20.0
        self.calls = lambda request: 0
        self.servers = []
        self.links = set()

    async def listen(self, port):
        server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.servers.append(server)
        return server

    def send(self, line):
        if self.link is not None:
            self.link.write((json.dumps(line) + "\n").encode())

    def notice(self, line):
        line["no"] = len(self.notices) + 1
        self.notices.append(line)
        self.send(line)

    async def serve(self, reader, writer):
        self.links.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    break
                command = json.loads(line)
                if command["t"] == "sync":
                    if self.link is not None and self.link is not writer:
                        self.link.close()
                    self.link = writer
                    uptime = now_ms() - self.began
                    self.send({"t": "ready", "status": "LOADED", "time_ms": round(uptime)})
                    for notice in self.notices[command["no"] :]:
                        self.send(notice)
                else:
                    self.handle(command)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if self.link is writer:
                self.link = None
            self.links.discard(writer)
            writer.close()

    def handle(self, command):
        kind = command["t"]
        if kind == "gauges":
            busy = len(self.running) - len(self.waiting)
            values = [min(1.0, busy / self.cores), float(busy), 0.1, 1.0]
            return self.send({"t": "load", "mark": command["mark"], "v": values})
        if kind == "selftest":
            return self.send({"t": "verdict", "mark": command["mark"], "status": "PASS"})
        rid = command["rid"]
        request = self.ledger.requests.get(rid)
        if kind == "start":
            if request is None or request.route != command["route"] \
                    or request.body != base64.b64decode(command["b64"]):
                self.ledger.count("nack")
                return self.send({"t": "nack", "status": "start", "rid": rid})
            if rid in self.running:
                return None
            if request.is_over():
                self.ledger.line(f"noop {rid}")
                return self.notice({"t": "end", "rid": rid, "status": "NOOP", "time_ms": 0})
            request.runs.append(now_ms())
            self.ledger.line(f"run {rid} key={request.key}")
            self.running[rid] = asyncio.ensure_future(self.run(request))
        elif kind == "give" and rid in self.waiting:
            self.waiting.pop(rid).set_result(base64.b64decode(command["b64"]))
        elif kind == "omit" and rid in self.waiting:
            self.waiting.pop(rid).set_result(None)
        return None

    async def run(self, request):
        began, status, body = now_ms(), "PASS", b""
        steps = self.calls(request) + 1
        for step in range(steps):
            await asyncio.sleep(self.work_ms(request) / steps / 1000.0)
            if step + 1 < steps:
                if request.is_over():
                    status = "KILLED"
                    break
                future = asyncio.get_running_loop().create_future()
                self.waiting[request.rid] = future
                call = f"call {step} of {request.rid}".encode()
                self.notice({"t": "wants", "rid": request.rid, "b64": base64.b64encode(call).decode()})
                while not future.done() and not request.is_over():
                    await asyncio.wait([future], timeout=0.02)
                self.waiting.pop(request.rid, None)
                if not future.done():
                    status = "KILLED"
                    break
        if status == "PASS":
            body = result_of(request, began)
        del self.running[request.rid]
        request.run_ends.append(now_ms())
        self.ledger.line(f"end {request.rid} {status}")
        self.notice({"t": "end", "rid": request.rid, "status": status, "time_ms": round(now_ms() - began),
                     "b64": base64.b64encode(body).decode()})


def result_of(request, began):
    request.result = f"result of {request.rid} at {began:.3f} for ".encode() + request.body[:64]
    return request.result


class HttpService:
    """Answers each HTTP/1.1 request by `answer(head, body)`, which returns bytes or None (close without a reply)."""

    def __init__(self, answer):
        self.answer = answer

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        return self.server

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = 0
                for line in head.split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                reply = self.answer(head, body)
                if asyncio.iscoroutine(reply):
                    reply = await reply
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


def registry_answer(_head, _body):
    return b"HTTP/1.1 204 No Content\r\n\r\n"


class EdgeConnection(asyncio.Protocol):
    """A connection of a sound edge node: up to 32 open requests, answers in any order."""

    def __init__(self, edge):
        self.edge = edge
        self.buffer = b""
        self.open = {}  # FastCGI request id -> Request
        self.out = {}  # FastCGI request id -> bytes of STDOUT
        self.last_id = 0
        self.usable = True
        self.served = 0
        self.transport = None
        self.idle_since = now_ms()
        self.writing = asyncio.Lock()

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def next_id(self):
        while True:
            self.last_id = self.last_id % 60000 + 1
            if self.last_id not in self.open:
                return self.last_id

    def send(self, request, pieces=1, pause_s=0.0):
        """Writes a request; in several pieces if asked, which another request never interrupts."""
        number = self.next_id()
        self.open[number] = request
        request.connection, request.number = self, number
        request.on_new_connection = self.served == 0
        data = self.edge.encode(request, number)
        if pieces <= 1 and not self.writing.locked():
            self.transport.write(data)
            request.written_ms = now_ms()
            return None
        return self.send_pieces(request, data, pieces, pause_s)

    async def send_pieces(self, request, data, pieces, pause_s):
        step = len(data) // pieces + 1
        async with self.writing:
            for at in range(0, len(data), step):
                if at:
                    await asyncio.sleep(pause_s)
                if not self.usable or request.is_over():
                    return
                self.transport.write(data[at : at + step])
            request.written_ms = now_ms()

    def abort(self, request):
        self.transport.write(record(ABORT, request.number))

    def data_received(self, data):
        self.buffer += data
        while len(self.buffer) >= 8:
            _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", self.buffer[:8])
            if len(self.buffer) < 8 + length + padding:
                return
            content = self.buffer[8 : 8 + length]
            self.buffer = self.buffer[8 + length + padding :]
            if kind == STDOUT:
                self.out[number] = self.out.get(number, b"") + content
            elif kind == END:
                self.end(number, content[4], self.out.pop(number, b""))

    def end(self, number, protocol_status, out):
        request = self.open.pop(number, None)
        if request is None:
            self.edge.ledger.count("answers to no open request")
            return
        self.served += 1
        self.idle_since = now_ms()
        head, _, body = out.partition(b"\r\n\r\n")
        status = 0
        for line in head.decode("latin1").split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "status":
                status = int(value.split()[0])
        if protocol_status == OVERLOADED or status in (429, 503):
            kind = "refused"
        elif status == 200:
            kind = "served"
        else:
            kind = "failed"
        self.edge.answered(request, kind, status, body)

    def eof_received(self):
        self.ended("end of stream")
        return False

    def connection_lost(self, error):
        self.ended("reset" if error else "closed")

    def ended(self, why):
        if not self.usable:
            return
        self.usable = False
        self.edge.connection_ended(self, why)


class Edge:
    """A sound edge node: keeps connections, gives up at its timeout, sends again what crossed a close."""

    def __init__(self, ledger, address, number=1, connections=2):
        self.ledger, self.address, self.number = ledger, address, number
        self.pool, self.wanted = [], connections
        self.body_record = 65535  # bytes of body that one STDIN record carries at most

    def encode(self, request, number):
        if request.start_ms is None:
            request.start_ms = int(now_ms())
        fields = {
            "REQUEST_METHOD": "POST", "SCRIPT_NAME": f"/v1/{request.route}",
            "HTTP_X_REQUEST_ID": request.rid, "HTTP_X_REQUEST_START": request.start_ms,
            "HTTP_X_CALLER": self.number, "HTTP_X_COST_MS": "20.00",
            "HTTP_X_MEMORY_KB": "20.0", "HTTP_X_RANK": "0.5000",
        }
        if request.timeout_ms is not None:
            fields["HTTP_X_TIMEOUT_MS"] = request.timeout_ms
        if request.key:
            fields["HTTP_IDEMPOTENCY_KEY"] = request.key
        data = record(BEGIN, number, struct.pack(">HB5x", 1, KEEP_CONN))
        data += record(PARAMS, number, params(fields)) + record(PARAMS, number)
        for at in range(0, len(request.body), self.body_record):
            data += record(STDIN, number, request.body[at : at + self.body_record])
        return data + record(STDIN, number)

    async def connection(self):
        usable = [c for c in self.pool if c.usable and len(c.open) < 32]
        if len(usable) < self.wanted:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: EdgeConnection(self), *self.address)
            self.pool = [c for c in self.pool if c.usable] + [connection]
            return connection
        return min(usable, key=lambda c: len(c.open))

    def close_idle(self):
        """Closes the connections on which no request is open."""
        for connection in self.pool:
            if connection.usable and not connection.open:
                connection.usable = False
                connection.transport.close()
        self.pool = [c for c in self.pool if c.usable]

    def new_request(self, route, key=None, body=None, timeout_ms=2000):
        rid = "%016x" % random.getrandbits(64)
        body = os.urandom(64) if body is None else body
        request = Request(rid, route, body, key, timeout_ms, self.number)
        self.ledger.requests[rid] = request
        return request

    async def send(self, request, pieces=1, pause_s=0.0):
        """Sends a request and waits until it is over. Returns the request."""
        try:
            connection = await self.connection()
        except OSError as error:
            request.lost = None
            request.answer = ("refused", 0, b"")  # a refused connection proves that nothing ran
            self.ledger.count("connections refused")
            self.ledger.line(f"refused connection {request.rid}: {error}")
            return request
        request.start_ms = int(now_ms())
        self.ledger.line(f"send {request.rid} {request.route} key={request.key} timeout={request.timeout_ms}")
        writing = connection.send(request, pieces, pause_s)
        if writing is not None:
            await writing
        patience = (request.timeout_ms or 6000) / 1000.0 - (now_ms() - request.start_ms) / 1000.0
        try:
            await asyncio.wait_for(asyncio.shield(request.done), max(patience, 0) + 1.0)
        except asyncio.TimeoutError:
            if request.answer is None and request.lost is None:
                request.lost = "no answer within its time"
                self.ledger.line(f"lost {request.rid}: {request.lost}")
        return request

    def answered(self, request, kind, status, body):
        if request.answer is not None:
            self.ledger.count("second answers")
            self.ledger.line(f"second answer {request.rid} {kind} {status}")
            return
        request.answer, request.answered_ms = (kind, status, body), now_ms()
        self.ledger.line(f"answer {request.rid} {kind} {status} after {now_ms() - request.start_ms:.0f} ms")
        request.finish()

    def give_up(self, request):
        """The client has gone: an abort is sent, and no answer is owed any more."""
        if not request.is_over():
            request.gave_up_ms = now_ms()
            self.ledger.line(f"abort {request.rid}")
            request.connection.abort(request)
            request.finish()

    def connection_ended(self, connection, why):
        left, connection.open = connection.open, {}
        for request in left.values():
            if request.is_over():
                continue
            crossed = request.written_ms is not None and now_ms() - request.written_ms <= 50.0
            if request.written_ms is None:
                request.lost = None
                request.answer = ("failed", 0, b"not written whole")
                self.ledger.line(f"not written whole {request.rid}: {why}")
                request.finish()
            elif crossed and not request.resent:
                request.resent = True
                self.ledger.line(f"resend {request.rid}: crossed a close ({why})")
                asyncio.ensure_future(self.resend(request))
            elif connection.served == 0 and not request.runs:
                request.answer = ("failed", 0, b"new connection closed, nothing run")
                self.ledger.count("failed on a new connection")
                request.finish()
            else:
                request.lost = f"connection ended: {why}"
                self.ledger.line(f"lost {request.rid}: {request.lost}, written {now_ms() - request.written_ms:.0f} ms ago")
                request.finish()
        connection.transport.close()

    async def resend(self, request):
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(lambda: EdgeConnection(self), *self.address)
            self.pool.append(connection)
            connection.send(request)
        except OSError:
            request.answer = ("refused", 0, b"")
            request.finish()


class Platform:
    """Lays the configuration, starts the backend with the deploy file's command, and ends it."""

    def __init__(self, ledger, settings, memory_mb=32, sockets=384, stop_ms=3200, extra=None):
        self.ledger, self.settings = ledger, settings
        self.memory_mb, self.sockets, self.stop_ms = memory_mb, sockets, stop_ms
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tmp = os.path.join(self.folder, "tmp")
        os.mkdir(self.tmp)
        self.config = os.path.join(self.folder, "config.json")
        self.ports = {name: free_port() for name in ("listen", "runtime", "registry", "records")}
        self.extra = extra or {}
        self.process = None

    def address(self, name):
        return ("127.0.0.1", self.ports[name])

    def write_config(self):
        text = {
            "name": "n1", "stop_ms": self.stop_ms, "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": self.settings,
        }
        for name, port in self.ports.items():
            text[name] = f"127.0.0.1:{port}"
        text.update(self.extra)
        part = self.config + ".new"
        with open(part, "w") as file:
            json.dump(text, file)
        os.replace(part, self.config)

    def start(self):
        self.write_config()
        run = None
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            for line in file:
                if line.startswith("run = "):
                    run = json.loads(line.partition("=")[2].strip())
        environment = dict(os.environ, ROUTER_NAME="n1", ROUTER_CONFIG=self.config, TMPDIR=self.tmp,
                           ROUTER_LISTEN="127.0.0.1:%d" % self.ports["listen"])
        self.log = open(os.path.join(self.folder, "backend.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)
        self.ledger.line(f"backend started: {run}")

    def signal(self, number):
        self.ledger.line(f"signal {number}")
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s=20.0):
        """Waits until a health check succeeds."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the backend ended with {self.process.returncode}: {self.tail()}")
            if await health_check(self.address("listen")):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the backend is not ready: " + self.tail())

    def tail(self, lines=20):
        with open(os.path.join(self.folder, "backend.log"), errors="replace") as file:
            return "".join(file.readlines()[-lines:])

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGUSR1)
            time.sleep(0.2)
            self.process.kill()
            self.process.wait()
        if self.process is not None:
            for line in self.tail(12).splitlines():
                self.ledger.line("backend log: " + line)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run: exit code 2."""


async def health_check(address, timeout_s=1.0):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return False
    fields = {"REQUEST_METHOD": "GET", "SCRIPT_NAME": "/healthz"}
    writer.write(record(BEGIN, 1, struct.pack(">HB5x", 1, 0)) + record(PARAMS, 1, params(fields))
                 + record(PARAMS, 1) + record(STDIN, 1))
    try:
        data = await asyncio.wait_for(reader.read(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()
    return b"Status: 200" in data


def settings(cores=6, **extra):
    """The settings of a small deployment, with two classes, times and windows of auction-south; in nanoseconds."""
    ms = 1_000_000
    lanes = [
        {"name": "lot-page", "deadlineNs": 7000 * ms, "objectiveNs": 1900 * ms, "repeat": "repeatable",
         "worth": 1.0, "lateShare": 0.2},
        {"name": "absentee-bid", "deadlineNs": 5800 * ms, "objectiveNs": 1900 * ms, "repeat": "by_key",
         "worth": 3.0, "lateShare": 0.0, "memorySpanNs": 17457 * ms},
    ]
    facts = {
        "below": "shared", "blowup": 16.0, "callsOut": 10.0, "classCalls": [True, True], "cold": False,
        "cores": cores, "depWindowNs": 5000 * ms, "entryKb": 8.0, "freshForNs": 0, "halt": "silent",
        "idleNs": 30000 * ms, "lingersNs": 200 * ms, "memoryKb": 90000.0,
        "ownStats": ["core_use", "on_cores", "heap_share", "links"], "passesDeadline": True, "say": "silent",
        "upstreams": 3, "worthWithout": [0.6, 0.0],
    }
    facts.update(extra)
    return {
        "extra": facts,
        "guarantees": {"coldNs": 18000 * ms, "drainGraceNs": 2500 * ms, "graceToAnswerNs": 100 * ms,
                       "overloadFactor": 5.0, "overloadForNs": 3000 * ms, "startCapacity": 0.25},
        "lanes": lanes, "limits": {"maxRetryAfterNs": 1000 * ms, "retryAfter": True}, "overShareWorth": 0.1,
        "servers": 11, "tickNs": 5 * ms, "worthBy": "work",
    }


def main(play, folder):
    """Runs `play(ledger, disrupted)`, which returns a list of violations, and exits with the case's code.

    1: the rule was broken, 0: it held, 2: the case could not run, whatever the reason.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    code, ledger = 2, None
    try:
        ledger = Ledger(os.path.join(folder, "record.txt"))
        violations = asyncio.run(asyncio.wait_for(play(ledger, disrupted), MAX_PLAY_S))
        for text in violations:
            ledger.line("violation: " + text)
        code = 1 if violations else 0
        print("broken: " + violations[0] if violations else "held")
    except Exception as error:  # anything unexpected says nothing about the rule
        print(f"could not run: {error!r}")
        if ledger is not None:
            ledger.line(f"could not run: {error!r}")
    finally:
        if ledger is not None:
            ledger.line(f"counts {ledger.counts}")
            ledger.close()
    sys.exit(code)
