"""Stand-ins and helpers for the cases review/6 and later. Standard library only.

A stand-in does only what the protocol page allows; where the page is silent it behaves like a sound peer. Each case
is a script of its own that imports this module. Every address is a loopback address, every port a free one.
"""

import base64
import json
import os
import queue
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "cleatpulley")
REQUEST, RESPONSE, HEALTH, HEALTH_ANSWER, GOODBYE = 0, 1, 6, 7, 9
CODES = {0: "served", 1: "refused", 2: "failed"}


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


def free_ports(count):
    """Returns ports that were free a moment ago, all different."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def listener(port=0):
    """Returns a listening socket on the loopback address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(256)
    return sock


class Case:
    """A play of a case: its temporary folder, its processes and its record."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.lock = threading.Lock()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.note("played with TROUBLE=%d" % (1 if self.trouble else 0))
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/cleatpulley is missing: run the build of the deploy file first")

    def note(self, text):
        with self.lock:
            self.record.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
            self.record.flush()

    def path(self, name):
        return os.path.join(self.temp, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as out:
            out.write(text if isinstance(text, str) else json.dumps(text))
        return self.path(name)

    def replace(self, name, text):
        """Replaces a file in one step, as a sound tool does."""
        os.replace(self.write(name + ".new", text), self.path(name))

    def start(self, name, arguments, environment=None, tmpdir=None):
        """Starts a process; its log goes to the temporary folder."""
        env = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "RUST_"))}
        scratch = tmpdir or self.path("tmp-" + name)
        os.makedirs(scratch, exist_ok=True)
        env.update(environment or {}, TMPDIR=scratch)
        log = open(self.path(name + ".log"), "ab")
        process = subprocess.Popen(arguments, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        process.name = name
        self.processes.append(process)
        self.note("started %s" % name)
        return process

    def start_matcher(self, name, config, options="", environment=None, tmpdir=None):
        """Starts a matcher with the `run` command of the deploy file, with these options added."""
        run = deploy_command("run")
        return self.start(name, ["/bin/sh", "-c", run + " " + options], dict(environment or {}, GW_CONFIG=config), tmpdir)

    def run(self, arguments):
        done = subprocess.run(arguments, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=30)
        if done.returncode != 0:
            raise CannotRun("%s: %s" % (" ".join(arguments), done.stdout))
        return done.stdout

    def log(self, name):
        with open(self.path(name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def alive(self, process):
        return process.poll() is None

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                # A stopped process has to be able to end as well.
                for number in (signal.SIGCONT, signal.SIGTERM):
                    process.send_signal(number)
        end = time.monotonic() + 5
        for process in self.processes:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for process in self.processes:
            self.note("--- log of %s, last lines" % process.name)
            for line in self.log(process.name).splitlines()[-12:]:
                self.note("    " + line.replace(self.temp, "TMP").replace(ROOT, "ROOT"))
        self.record.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.split("=")[0].strip() == key:
                return json.loads(line.split("=", 1)[1].strip())
    raise CannotRun("deploy/balancer.toml has no %s" % key)


def play(folder, body):
    """Plays a case. `body(case)` returns the list of broken rules. Exits with 0, 1 or 2."""
    case = None
    try:
        case = Case(folder)
        broken = body(case)
        for text in broken:
            case.note("BROKEN " + text)
        case.note("result: %s" % ("the rule was broken" if broken else "the rule held"))
        print("broken: %s" % broken[0] if broken else "held")
        code = 1 if broken else 0
    except Exception as error:  # a case that can't be played proves nothing
        print("could not run: %s: %s" % (type(error).__name__, error))
        if case:
            case.note("could not run: %s: %s" % (type(error).__name__, error))
        code = 2
    finally:
        if case:
            case.close()
    sys.stdout.flush()
    os._exit(code)


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun("not within %g s: %s" % (seconds, what))


# ---- frames ----------------------------------------------------------------------------------------------------------


def encode_fields(fields):
    out = bytes([len(fields)])
    for name, value in fields:
        name, value = name.encode(), value.encode()
        out += bytes([len(name)]) + name + struct.pack(">H", len(value)) + value
    return out


def decode_fields(payload):
    fields, at = {}, 1
    for _ in range(payload[0]):
        size = payload[at]
        name = payload[at + 1 : at + 1 + size].decode()
        at += 1 + size
        (size,) = struct.unpack(">H", payload[at : at + 2])
        fields[name] = payload[at + 2 : at + 2 + size].decode()
        at += 2 + size
    return fields, payload[at:]


def frame(kind, stream, payload=b""):
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def request_payload(verb, txn, body=b"", fields=(), lb=4, door=None, cpu="50.00"):
    door = int(time.time() * 1000) if door is None else door
    basic = [("verb", verb), ("txn", txn), ("door", str(door)), ("lb", str(lb)), ("cpu", cpu), ("ram", "24.5"),
             ("standing", "0.6250")]
    return encode_fields(basic + list(fields)) + body


class FrameReader:
    def __init__(self):
        self.data = b""

    def feed(self, data):
        self.data += data
        while len(self.data) >= 9:
            length, kind, stream = struct.unpack(">IBI", self.data[:9])
            if len(self.data) < 4 + length:
                return
            payload, self.data = self.data[9 : 4 + length], self.data[4 + length :]
            yield kind, stream, payload


class FrameClient:
    """A front end's connection. It keeps the connection open, and closes it after type 9 once nothing is open."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock = threading.Lock()
        self.stream = 0
        self.open = {}
        self.usable = True
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        reader = FrameReader()
        try:
            while True:
                data = self.sock.recv(65536)
                if not data:
                    break
                for kind, stream, payload in reader.feed(data):
                    if kind == GOODBYE:
                        self.usable = False
                    if kind in (RESPONSE, HEALTH_ANSWER):
                        fields, body = decode_fields(payload[1:]) if len(payload) > 1 else ({}, b"")
                        with self.lock:
                            box = self.open.pop(stream, None)
                        if box:
                            box.put((CODES.get(payload[0], "code %d" % payload[0]), fields, body))
                if not self.usable and not self.open:
                    break
        except OSError:
            pass
        self.usable = False
        with self.lock:
            for box in self.open.values():
                box.put(("lost", {}, b""))
            self.open.clear()
        self.sock.close()

    def send(self, payload, kind=REQUEST):
        """Sends a request; returns the queue on which its answer arrives."""
        box = queue.Queue()
        with self.lock:
            self.stream += 1
            self.open[self.stream] = box
            self.sock.sendall(frame(kind, self.stream, payload))
        return box

    def ask(self, payload, seconds, kind=REQUEST):
        try:
            return self.send(payload, kind).get(timeout=seconds)
        except queue.Empty:
            return ("no answer", {}, b"")

    def close(self):
        self.usable = False
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


# ---- the platform: runtime, store, directory ---------------------------------------------------------------------------


class Runtime:
    """A runtime for one matcher. `duration(route, rid)` is the time of a run in seconds; `calls` names the classes whose
    runs make one call. Each run is noted in `runs` as (rid, route, body)."""

    def __init__(self, duration, note, port=0, calls=(), name="runtime", result=None):
        self.duration, self.note, self.calls, self.name = duration, note, calls, name
        self.result = result or (lambda rid, body: b"result of " + rid.encode())
        self.born = time.monotonic()
        self.lock = threading.RLock()
        self.link, self.number, self.notices = None, 0, []
        self.runs, self.ended, self.waiting, self.active, self.gives = [], [], {}, set(), {}
        self.sock = listener(port)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            link, _ = self.sock.accept()
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _send(self, link, message):
        try:
            link.sendall(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        except OSError:
            pass

    def _notice(self, message):
        with self.lock:
            self.number += 1
            message = dict(message, no=self.number)
            self.notices = (self.notices + [message])[-4000:]
            if self.link:
                self._send(self.link, message)
            return self.number

    def _serve(self, link):
        data = b""
        try:
            while True:
                more = link.recv(65536)
                if not more:
                    return
                data += more
                while b"\n" in data:
                    line, data = data.split(b"\n", 1)
                    self._command(link, json.loads(line))
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                if self.link is link:
                    self.link = None
            link.close()

    def _command(self, link, command):
        kind, rid = command["t"], command.get("rid")
        with self.lock:
            if kind == "sync":
                # A new link replaces the one before it.
                self.link = link
                self._send(link, {"t": "ready", "status": "running", "time_ms": int((time.monotonic() - self.born) * 1000)})
                for message in self.notices:
                    if message["no"] > command["no"]:
                        self._send(link, message)
            elif kind == "gauges":
                self._send(link, {"t": "load", "mark": command["mark"], "v": [0.2, len(self.active), 0.2, 10]})
            elif kind == "start":
                if rid in self.active:
                    return
                body = base64.b64decode(command["b64"])
                self.active.add(rid)
                self.runs.append((rid, command["route"], body))
                self.note("%s runs %s %s" % (self.name, command["route"], rid))
                threading.Thread(target=self._run, args=(rid, command["route"], body), daemon=True).start()
            elif kind in ("give", "omit") and rid in self.waiting:
                if kind == "give":
                    self.gives[rid] = base64.b64decode(command["b64"])
                self.waiting.pop(rid).set()

    def _run(self, rid, route, body):
        begun = time.monotonic()
        if route in self.calls:
            event = threading.Event()
            with self.lock:
                self.waiting[rid] = event
                self._notice({"t": "wants", "rid": rid, "b64": base64.b64encode(b"call of " + rid.encode()).decode()})
            event.wait(60)
        time.sleep(self.duration(route, rid))
        with self.lock:
            self.active.discard(rid)
            self.ended.append(rid)
            self.note("%s ended %s %s, fine" % (self.name, route, rid))
            self._notice({"t": "end", "rid": rid, "status": "fine", "time_ms": int((time.monotonic() - begun) * 1000),
                          "b64": base64.b64encode(self.result(rid, body)).decode()})


class HttpStandIn:
    """Answers each HTTP request on kept connections with a status and a body."""

    def __init__(self, status, reply, port=0):
        self.status, self.reply = status, reply
        self.sock = listener(port)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            link, _ = self.sock.accept()
            threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = link.recv(65536)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                size = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                while len(data) < size:
                    more = link.recv(65536)
                    if not more:
                        return
                    data += more
                call, data = data[:size], data[size:]
                text, body = b"HTTP/1.1 %s\r\n" % self.status, self.reply(call)
                if not self.status.startswith(b"204"):
                    text += b"Content-Length: %d\r\n" % len(body)
                self.respond(link, text + b"\r\n" + body)
        except OSError:
            pass
        finally:
            link.close()

    def respond(self, link, reply):
        link.sendall(reply)


def store():
    """A store; its reply names the call, so that a reply to another call is seen."""
    return HttpStandIn(b"200 OK", lambda call: b"reply to " + call)


def directory():
    return HttpStandIn(b"204 No Content", lambda call: b"")


def settings(classes, cores=6):
    """Settings of a small deployment. `classes` are (name, effect, give_up, on_time, makes calls) with times in ms."""
    return {
        "classes": [{"name": n, "effect": e, "give_up": g * 1000, "on_time": o * 1000, "value": 4.0 if e != "idempotent" else 1.0,
                     "late_value": 0.0, "repeat_window": 5000000} for n, e, g, o, _ in classes],
        "limits": {"retry_after": True, "max_retry_after": 2000000},
        "rules": {"answer_slack": 60000, "cold_from": 0.25, "drain_grace": 2500000, "fall_multiple": 6.0, "ramp_time": 4000000},
        "servers": 1, "tick": 2000, "worth_by": "work",
        "specifics": {"advert": "allowance", "below": "one_for_all", "callers": 4, "calls_out": 40, "calls_over": 5000000,
                      "class_calls": [c for *_, c in classes], "class_skip_worth": [0.0 if e != "idempotent" else 0.5 for _, e, *_ in classes],
                      "cores": cores, "entry_kb": 10.0, "idle": 30000000, "linger": 200000, "memory_kb": cores * 1200.0,
                      "run_factor": 4.0, "own_stats": ["cpu_busy", "runnable", "mem_used", "sockets"]},
    }


def config(name, port, runtime, store_port, directory_port, site, **more):
    value = {"name": name, "listen": "127.0.0.1:%d" % port, "runtime": "127.0.0.1:%d" % runtime,
             "store": "127.0.0.1:%d" % store_port, "lookup": "127.0.0.1:%d" % directory_port, "seed": "8c1f30d27a5be964",
             "stop_ms": 6000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": site}
    value.update(more)
    return value


def listens(port):
    """Tells whether a connection to the port is accepted."""
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
        return True
    except OSError:
        return False
