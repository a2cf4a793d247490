"""Stand-ins for the peers of a backend, and a way to start the backend itself.

Written from the operators' protocol pages. Everything runs in one asyncio loop; only the backend is a process of its
own. All addresses are loopback addresses, and no port is fixed.
"""

import asyncio
import base64
import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def unix_ms():
    """Unix time in milliseconds."""
    return time.time() * 1000.0


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.time()

    def add(self, text):
        self.file.write(f"{(time.time() - self.start) * 1000.0:9.1f} ms  {text}\n")

    def close(self):
        self.file.close()


def free_port():
    """A port that nothing listens on now, for a program that binds it itself. It is none of those that the system gives
    to the connections of clients, so nobody takes it in between."""
    while True:
        port = 15000 + secrets.randbelow(15000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                pass


# ---------------------------------------------------------------------------------------------------------------------
# The runtime


class Run:
    def __init__(self, rid, route, body):
        self.rid, self.route, self.body = rid, route, body
        self.task = None
        self.resume = None  # a future while the run waits for a call
        self.call_notice = 0


class Runtime:
    """The runtime of one backend: executes requests that the edge nodes have announced to it (`expect`).

    `plan(route, body)` gives a list of steps: a number is work in milliseconds, bytes are the body of a call, and
    `None` means that the run never ends by itself.
    """

    def __init__(self, record, plan, cores=4, name="runtime"):
        self.record, self.plan, self.cores, self.name = record, plan, cores, name
        self.known = {}  # request id -> (class, body)
        self.over = set()  # requests that are answered or given up
        self.starts = []  # (Unix ms, request id, class, body)
        self.ended = {}  # request id -> end state
        self.running = {}
        self.notices = []
        self.link = None
        self.started = time.time()
        self.servers = []
        self.nacks = 0
        self.noops = 0
        self.cpu = 0.2  # what the gauge core_use shows
        self.on_cores = None

    async def listen(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def expect(self, rid, route, body):
        self.known[rid] = (route, body)

    def is_over(self, rid):
        """The edge node has the answer, or waits no longer."""
        self.over.add(rid)
        run = self.running.get(rid)
        if run and run.resume and not run.resume.done():
            run.resume.set_result(None)

    def say(self, message):
        if self.link and not self.link.is_closing():
            self.link.write((json.dumps(message) + "\n").encode())

    def notice(self, message):
        message["no"] = len(self.notices) + 1
        self.notices.append(message)
        self.say(message)

    def break_link(self):
        if self.link:
            self.link.transport.abort()
            self.link = None

    async def _serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    break
                command = json.loads(line)
                if command["t"] == "sync":
                    if self.link and self.link is not writer:
                        self.link.close()
                    self.link = writer
                    self.say({"t": "ready", "status": "LOADED", "time_ms": (time.time() - self.started) * 1000.0})
                    for missed in self.notices[command["no"]:]:
                        self.say(missed)
                elif writer is self.link:
                    self._command(command)
        except (ConnectionError, ValueError, OSError):
            pass
        finally:
            writer.close()

    def _command(self, command):
        kind, rid = command["t"], command.get("rid", "")
        if kind == "gauges":
            busy = len([run for run in self.running.values() if not run.resume])
            demand = busy if self.on_cores is None else self.on_cores
            values = {"core_use": self.cpu, "on_cores": demand, "heap_share": 0.1, "links": 1}
            self.say({"t": "load", "mark": command["mark"], "v": list(values.values())})
        elif kind == "selftest":
            self.say({"t": "verdict", "mark": command["mark"], "status": "PASS"})
        elif kind == "start":
            body = base64.b64decode(command["b64"])
            if self.known.get(rid) != (command["route"], body):
                self.nacks += 1
                self.say({"t": "nack", "status": "start", "rid": rid})
            elif rid in self.running:
                pass
            elif rid in self.over:
                self.noops += 1
                self.record.add(f"{self.name}: NOOP {rid}")
                self.notice({"t": "end", "rid": rid, "status": "NOOP", "time_ms": 0, "b64": ""})
            else:
                self.starts.append((unix_ms(), rid, command["route"], body))
                self.record.add(f"{self.name}: run {rid} {command['route']} {body[:24]!r}")
                run = self.running[rid] = Run(rid, command["route"], body)
                run.task = asyncio.ensure_future(self._run(run))
        elif kind in ("give", "omit"):
            run = self.running.get(rid)
            if run and run.resume and not run.resume.done():
                if kind == "give":
                    run.resume.set_result(base64.b64decode(command["b64"]))
                elif command["no"] == run.call_notice:
                    run.resume.set_result(b"")
        else:
            self.link.close()

    async def _run(self, run):
        begun = time.time()
        status = "PASS"
        for step in self.plan(run.route, run.body):
            if step is None:
                await asyncio.Event().wait()
            elif isinstance(step, bytes):
                if run.rid in self.over:
                    status = "KILLED"
                    break
                run.resume = asyncio.get_running_loop().create_future()
                run.call_notice = len(self.notices) + 1
                self.notice({"t": "wants", "rid": run.rid, "b64": base64.b64encode(step).decode()})
                given = await run.resume
                run.resume = None
                if given is None:
                    status = "KILLED"
                    break
            else:
                await asyncio.sleep(step / 1000.0)
        del self.running[run.rid]
        self.ended[run.rid] = status
        result = result_of(run.rid) if status == "PASS" else b""
        self.record.add(f"{self.name}: end {run.rid} {status}")
        self.notice({"t": "end", "rid": run.rid, "status": status, "time_ms": (time.time() - begun) * 1000.0,
                     "b64": base64.b64encode(result).decode()})

    def times_run(self, rids):
        """How often any of these requests was run."""
        return len([start for start in self.starts if start[1] in rids])


def result_of(rid):
    """The result of the run of this request: it names the request, so that a foreign one shows."""
    return b"result of " + rid.encode()


# ---------------------------------------------------------------------------------------------------------------------
# The records service and the registry


class Records:
    """The records service. `delay_ms` may be changed while it serves; `None` means that replies never come."""

    def __init__(self, record, delay_ms=5.0):
        self.record, self.delay_ms = record, delay_ms
        self.calls = []

    async def listen(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(re.search(r"(?i)content-length: *(\d+)", head).group(1))
                rid = re.search(r"(?i)op-of: *(\w+)", head).group(1)
                body = await reader.readexactly(length)
                self.calls.append((unix_ms(), rid, body))
                self.record.add(f"records: call of {rid}")
                delay_ms = self.delay_ms
                if delay_ms is None:
                    await reader.read()  # until the backend gives the call up
                    break
                await asyncio.sleep(delay_ms / 1000.0)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Registry:
    """The registry: takes every report."""

    def __init__(self):
        self.reports = []

    async def listen(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(re.search(r"(?i)content-length: *(\d+)", head).group(1))
                body = json.loads(await reader.readexactly(length))
                self.reports.append((unix_ms(), body["state"]))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------------------------------
# Edge nodes


def fcgi(kind, number, content=b""):
    """One FastCGI record."""
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def pair(name, value):
    def length(n):
        return struct.pack(">B", n) if n < 128 else struct.pack(">I", n | 0x80000000)
    name, value = name.encode(), str(value).encode()
    return length(len(name)) + length(len(value)) + name + value


class Try:
    """One try of a request, and its answer."""

    def __init__(self, route, body, timeout_ms, key=None, rid=None, caller=1, cost_ms=10.0, memory_kb=10.0,
                 token=None):
        self.rid = rid or secrets.token_hex(8)
        self.route, self.body, self.timeout_ms, self.key = route, body, timeout_ms, key
        self.caller, self.cost_ms, self.memory_kb = caller, cost_ms, memory_kb
        self.token = token
        self.start_ms = self.written_ms = None
        self.answered = asyncio.get_running_loop().create_future()
        self.answer_ms = self.status = None
        self.fields, self.result, self.out = {}, b"", b""
        self.ended = None  # how it ended without an answer

    def bytes(self, number, stamp_ms=None):
        self.start_ms = int(unix_ms() if stamp_ms is None else stamp_ms)
        params = b"".join([
            pair("REQUEST_METHOD", "POST"), pair("SCRIPT_NAME", f"/v1/{self.route}"),
            pair("HTTP_X_REQUEST_ID", self.rid), pair("HTTP_X_REQUEST_START", self.start_ms),
            pair("HTTP_X_CALLER", self.caller), pair("HTTP_X_TIMEOUT_MS", int(self.timeout_ms)),
            pair("HTTP_X_COST_MS", f"{self.cost_ms:.2f}"), pair("HTTP_X_MEMORY_KB", f"{self.memory_kb:.1f}"),
            pair("HTTP_X_RANK", "0.5000"),
        ] + ([pair("HTTP_IDEMPOTENCY_KEY", self.key)] if self.key else [])
          + ([pair("HTTP_AUTHORIZATION", "Bearer " + self.token)] if self.token else []))
        stdin = fcgi(5, number, self.body) if self.body else b""
        return (fcgi(1, number, struct.pack(">HB5x", 1, 1)) + fcgi(4, number, params) + fcgi(4, number)
                + stdin + fcgi(5, number))

    @property
    def due_ms(self):
        return self.start_ms + self.timeout_ms

    @property
    def is_refused(self):
        return self.status in (429, 503) or self.status == "OVERLOADED"

    @property
    def is_served(self):
        return self.status == 200

    def __str__(self):
        return f"{self.rid} {self.route}" + (f" key {self.key[:8]}" if self.key else "")


class SocketWriter:
    """Writes to a socket without blocking. A write that fails does not end the reading: what the backend has sent
    before it closed the connection is still read."""

    def __init__(self, sock):
        self.socket, self.unsent, self.has_failed = sock, bytearray(), False
        self.loop = asyncio.get_running_loop()

    def write(self, data):
        if not self.has_failed:
            is_waiting = bool(self.unsent)
            self.unsent += data
            if not is_waiting:
                self._flush()

    def _flush(self):
        try:
            while self.unsent:
                del self.unsent[:self.socket.send(self.unsent)]
        except BlockingIOError:
            self.loop.add_writer(self.socket, self._flush)
            return
        except OSError:
            self.has_failed = True
            self.unsent.clear()
        if self.socket.fileno() >= 0:
            self.loop.remove_writer(self.socket)

    def write_eof(self):
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self):
        if self.socket.fileno() >= 0:
            self.loop.remove_writer(self.socket)
            self.loop.remove_reader(self.socket)
            self.socket.close()


class Edge:
    """One connection of an edge node, with up to 32 open requests."""

    def __init__(self, record, name="edge", runtime=None):
        self.record, self.name, self.runtime = record, name, runtime
        self.open = {}
        self.socket = self.writer = None
        self.received = bytearray()
        self.is_closed = False
        self.last_number = 0

    async def connect(self, address):
        host, port = address.rsplit(":", 1)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.socket, (host, int(port)))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer = SocketWriter(self.socket)
        self.reading = asyncio.ensure_future(self._read())
        return self

    async def _exactly(self, length):
        while len(self.received) < length:
            data = await asyncio.get_running_loop().sock_recv(self.socket, 65536)
            if not data:
                raise EOFError
            self.received += data
        data = bytes(self.received[:length])
        del self.received[:length]
        return data

    def number(self):
        while True:
            self.last_number = self.last_number % 60000 + 1
            if self.last_number not in self.open:
                return self.last_number

    def send(self, attempt, stamp_ms=None, announce=True):
        """Writes a whole request."""
        number = self.number()
        if announce and self.runtime:
            self.runtime.expect(attempt.rid, attempt.route, attempt.body)
        self.open[number] = attempt
        self.writer.write(attempt.bytes(number, stamp_ms))
        attempt.written_ms = unix_ms()
        self.record.add(f"{self.name}: send {attempt}, waits {attempt.timeout_ms:.0f} ms")
        return attempt

    def abort(self, attempt):
        for number, other in self.open.items():
            if other is attempt:
                self.writer.write(fcgi(2, number))
                if self.runtime:
                    self.runtime.is_over(attempt.rid)
                self.record.add(f"{self.name}: abort {attempt}")

    async def _read(self):
        reason = "closed"
        try:
            while True:
                _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", await self._exactly(8))
                content = (await self._exactly(length + padding))[:length]
                attempt = self.open.get(number)
                if not attempt:
                    continue
                if kind == 6:
                    attempt.out += content
                elif kind == 3:
                    del self.open[number]
                    self._answered(attempt, content[4])
        except EOFError:
            pass
        except OSError as error:
            reason = type(error).__name__
        self.is_closed = True
        self.closed_ms = unix_ms()
        for attempt in self.open.values():
            attempt.ended = reason
            self.record.add(f"{self.name}: connection {reason} without an answer to {attempt}")
            if not attempt.answered.done():
                attempt.answered.set_result(None)
        self.open.clear()
        self.writer.close()

    def _answered(self, attempt, protocol_status):
        attempt.answer_ms = unix_ms()
        if protocol_status:
            attempt.status = "OVERLOADED" if protocol_status == 2 else f"protocol status {protocol_status}"
        else:
            head, _, attempt.result = attempt.out.partition(b"\r\n\r\n")
            for line in head.decode("latin-1").split("\r\n"):
                name, _, value = line.partition(":")
                attempt.fields[name.lower()] = value.strip()
            attempt.status = int(attempt.fields.get("status", "200").split()[0])
        if self.runtime:
            self.runtime.is_over(attempt.rid)
        self.record.add(f"{self.name}: answer {attempt.status} to {attempt}"
                        f" after {attempt.answer_ms - attempt.start_ms:.0f} ms")
        if not attempt.answered.done():
            attempt.answered.set_result(attempt.status)

    def reset(self):
        """Resets the connection."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self):
        """Closes the connection; what is open on it is given up."""
        self.is_closed = True
        self.reading.cancel()
        self.writer.close()


async def all_answered(attempts, seconds):
    """Waits until all of these have an answer or have ended, or the time is over."""
    pending = [attempt.answered for attempt in attempts if not attempt.answered.done()]
    if pending:
        await asyncio.wait(pending, timeout=seconds)


# ---------------------------------------------------------------------------------------------------------------------
# The backend


class Backend:
    """The program that the deploy file's `run` starts."""

    def __init__(self, record, folder, name, config):
        self.record, self.name = record, name
        self.address = f"{HOST}:{free_port()}"
        self.config = dict(config, name=name, listen=self.address, seed=secrets.token_hex(8))
        self.config_path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.folder = folder
        self.process = None

    def write_config(self):
        temporary = self.config_path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(temporary, self.config_path)

    async def start(self):
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run *= *"(.*)"', file.read(), re.MULTILINE).group(1)
        program = command.split()[-1]
        if not os.access(os.path.join(ROOT, program), os.X_OK):
            raise CannotRun(f"{program} is not built")
        env = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.address, ROUTER_CONFIG=self.config_path,
                   TMPDIR=self.folder)
        self.log = open(self.log_path, "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.record.add(f"{self.name}: started")
        deadline = time.time() + 10
        while time.time() < deadline:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_healthy():
                return self
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} does not serve")

    async def is_healthy(self):
        try:
            host, port = self.address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            params = pair("REQUEST_METHOD", "GET") + pair("SCRIPT_NAME", "/healthz")
            writer.write(fcgi(1, 1, struct.pack(">HB5x", 1, 0)) + fcgi(4, 1, params) + fcgi(4, 1) + fcgi(5, 1))
            return b"Status: 200" in await asyncio.wait_for(reader.read(200), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


def settings(classes, cores=4, **changes):
    """Settings of a small deployment. `classes` are dictionaries in the form of `lanes`."""
    extra = {"below": "shared", "blowup": 16.0, "callsOut": 40.0, "classCalls": [True] * len(classes), "cold": False,
             "cores": cores, "depWindowNs": 5_000_000_000, "entryKb": 20.0, "freshForNs": 0, "halt": "silent",
             "idleNs": 30_000_000_000, "lingersNs": 200_000_000, "memoryKb": 90000.0,
             "ownStats": ["core_use", "on_cores", "heap_share", "links"], "passesDeadline": True, "say": "silent",
             "upstreams": 3, "worthWithout": [0.0] * len(classes)}
    extra.update(changes.pop("extra", {}))
    result = {"extra": extra,
              "guarantees": {"coldNs": 10_000_000_000, "drainGraceNs": 2_500_000_000, "overloadFactor": 5.0,
                             "startCapacity": 0.25},
              "lanes": classes, "limits": {"maxRetryAfterNs": 1_000_000_000, "retryAfter": True},
              "overShareWorth": 0.1, "servers": 4, "tickNs": 5_000_000, "worthBy": "request"}
    result.update(changes)
    return result


def lane(name, repeat, objective_ms=1900, deadline_ms=5800, worth=1.0, window_ms=17457):
    """A request class."""
    return {"name": name, "repeat": repeat, "objectiveNs": int(objective_ms * 1e6),
            "deadlineNs": int(deadline_ms * 1e6), "worth": worth, "lateShare": 0.2,
            "memorySpanNs": int(window_ms * 1e6)}


def config(peers, settings, memory_mb=32, sockets=512, stop_ms=4500):
    """A start file. `peers` are the addresses of runtime, records service and registry."""
    runtime, records, registry = peers
    return {"runtime": runtime, "records": records, "registry": registry, "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "settings": settings}


def play(folder, case, seconds=110):
    """Plays a case: `case(record, temporary folder, backends)` returns the list of what broke the rule. Ends the
    program with 0, 1 or 2. Every backend that the case starts must be added to `backends`."""
    folder = os.path.dirname(os.path.abspath(folder))
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="asterdale-review-")
    code = 2

    async def main():
        backends = []
        # A script that is told to end leaves no process behind.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, temporary, backends), seconds)
        finally:
            for backend in backends:
                await backend.stop()

    broken = []
    try:
        broken = asyncio.run(main())
        for line in broken:
            record.add(f"BROKEN: {line}")
            print(f"broken: {line}")
        code = 1 if broken else 0
        print("the rule was broken" if broken else "the rule held")
    except CannotRun as error:
        record.add(f"could not run: {error}")
        print(f"could not run: {error}")
    except (OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            for name in os.listdir(temporary):
                shutil.copy(os.path.join(temporary, name), os.environ["KEEP_LOGS"])
        shutil.rmtree(temporary, ignore_errors=True)
        record.add(f"exit code {code}")
        record.close()
    sys.exit(code)
