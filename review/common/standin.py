"""Stand-ins for clients, endpoints, discovery, the rollout platform and the network, by the operators' pages.

Everything runs in one asyncio loop, on loopback addresses and free ports.
"""
import asyncio
import atexit
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """record.txt: what was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def add(self, who, text):
        self.file.write(f"{now():9.4f} {who} {text}\n")


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


async def read_head(reader):
    """A message's first line and its fields (names in lower case), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Endpoint:
    """An instance: starts on a request once its last byte has arrived, and answers after its service time."""

    def __init__(self, record, name, service=0.02):
        self.record, self.name, self.service = record, name, service
        self.arrivals = []  # (time, txn, stated ms, method, idempotency key, path)
        self.server = self.port = None
        self.behave = None  # async (txn, fields, writer) -> True if it answered itself
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, fields = head
                length = int(fields.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                method, target, _ = line.split(" ", 2)
                txn = fields.get("x-txn", "-")
                stated = int(fields.get("x-remaining-ms", "-1"))
                arrival = (now(), txn, stated, method, fields.get("idempotency-key"), target)
                self.arrivals.append(arrival)
                self.record.add(self.name, f"run {txn} {method} {target} states {stated} ms")
                if self.behave is not None and await self.behave(txn, fields, writer):
                    continue
                service = self.service() if callable(self.service) else self.service
                await asyncio.sleep(service)
                body = f"{txn} by {self.name}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.record.add(self.name, f"answered {txn} 200")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery:
    """The agent on a gateway's machine: the whole list, and watches of its changes."""

    def __init__(self, record, members=()):
        self.record = record
        self.revision = 1
        self.members = {m["id"]: m for m in members}
        self.changed_at = {m["id"]: 1 for m in members}
        self.watchers = set()
        self.told = {}  # (id, phase) -> when first written

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def listing(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def change(self, *members):
        """Tells a change to every open watch."""
        self.revision += 1
        for m in members:
            self.members[m["id"]] = m
            self.changed_at[m["id"]] = self.revision
        line = json.dumps({"revision": self.revision, "complete": False, "members": list(members)})
        for m in members:
            if m["phase"] == "gone":
                self.members.pop(m["id"])
        for queue in self.watchers:
            queue.put_nowait(line)
        self.record.add("discovery", "told " + line)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                target = head[0].split(" ")[1]
                if "stream=1" not in target:
                    body = json.dumps(self.listing()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                index = int(target.split("index=")[1].split("&")[0])
                queue = asyncio.Queue()
                self.watchers.add(queue)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if index != self.revision:
                    queue.put_nowait(json.dumps(self.listing()))
                try:
                    while True:
                        try:
                            line = await asyncio.wait_for(queue.get(), 2.0)
                        except asyncio.TimeoutError:
                            line = ""
                        data = line.encode() + b"\n"
                        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                        await writer.drain()
                finally:
                    self.watchers.discard(queue)
        except ConnectionError:
            pass
        finally:
            writer.close()


class Client:
    """One client connection: one request at a time."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, txn, lane, remaining_ms, method="GET", key=None, obj=None, body=b"", extra=""):
        if self.writer is None:
            await self.connect()
        target = "/api" + (f"?obj={obj}" if obj else "")
        head = f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n"
        head += f"X-Remaining-Ms: {remaining_ms}\r\n{extra}"
        if key:
            head += f"Idempotency-Key: {key}\r\n"
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + body)
        got = await read_head(self.reader)
        if got is None:
            self.close()
            return None, b""
        line, fields = got
        status = int(line.split(" ")[1])
        length = int(fields.get("content-length", "0"))
        content = await self.reader.readexactly(length) if length else b""
        if fields.get("connection", "").lower() == "close":
            self.close()
        return status, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def member(name, port, zone="hobart", build=41, phase="ready", up=0, cell=0):
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": zone, "flavor": "std-4", "cell": cell,
            "phase": phase, "size": 1.0, "up_since_ms": up, "revision_no": build}


def tas_settings(zone="hobart", zones=("hobart", "launceston"), ordinal=0, balancers=2):
    """The settings of tas-lodgement, as the WIRE page shows them."""
    return {
        "az": zone, "azs": list(zones), "balancers": balancers, "ordinal": ordinal, "tick": 5000,
        "classes": [
            {"name": "draft", "aim": 500000, "give_up": 1500000, "group": "all", "idempotency": "safe",
             "late_worth": 0.0, "memory_span": 5000000, "stream": False, "worth": 1.0},
            {"name": "payment", "aim": 600000, "give_up": 1500000, "group": "all", "idempotency": "keyed",
             "late_worth": 0.0, "memory_span": 1000000, "stream": False, "worth": 5.0},
            {"name": "lodge", "aim": 600000, "give_up": 1500000, "group": "all", "idempotency": "unsafe",
             "late_worth": 0.2, "memory_span": 5000000, "stream": False, "worth": 5.0}],
        "clients": {"marks_retry": False}, "discovery": "pushed", "family": "rollout",
        "family_info": {"api_rate": 600.0, "auto_after": 0, "counted_over": 2000000, "counts": "all",
                        "decided_by": "majority", "exposure_caps": [0.096, 0.3, 0.72, 1.0], "flag_share": 0.15,
                        "guarded_stages": 0, "harm_fee": 8.0, "hold_votes": 0, "least_stage": 2000000,
                        "noes_needed": 1, "one_way": True, "push": 6000000, "sample": 0.0, "spare_tries": 1.0,
                        "stale_build_price": 0.35, "steps": [0.08, 0.25, 0.6, 1.0], "swap": "rolling",
                        "tally_every": 0, "vote_life": 4000000, "vote_wait": 800000, "votes_to_go": 2,
                        "warm_keys": True},
        "layers": ["lodge-nodes"],
        "limits": {"cancel": True, "conn_idle": 30000000, "connect_timeout": 250000, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 166666, "max_attempts": 3, "max_retry_after": 1000000, "may_tell": True,
                   "open_cap": 33333, "probes": True, "retry_after": True, "second_copies": True,
                   "streams_per_conn": 32},
        "models": ["std-4", "small-3"], "over_share_worth": 0.1,
        "prices": {"connection": 0.0, "cross_zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.08,
                   "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.01, "waste": 0.08},
        "report": {"names": [], "via": "none"},
        "safety": {"answer_slack": 20000, "cold_from": 0.33, "drain_grace": 500000, "fall": 1000000,
                   "fall_multiple": 4.0, "must_ask_in": 10000000, "ramp_time": 4800000},
        "tenants": [], "tier": 0, "value_by": "request", "weight_kind": "none"}


class Gateway:
    """A gateway, started by the command `run` of the deploy file."""

    def __init__(self, record, folder, name, config, extension=None):
        self.record, self.folder, self.name = record, folder, name
        self.config, self.extension = config, extension
        self.process = None

    def start(self):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as f:
            json.dump(self.config, f)
        run = deploy_command("run")
        if self.extension is not None:
            with_path = os.path.join(self.folder, f"{self.name}.with.json")
            with open(with_path, "w") as f:
                json.dump(self.extension, f)
            run += f" --with '{with_path}'"
        env = dict(os.environ, LB_CONFIG=path, LB_NAME=self.name, LB_LISTEN=self.config["listen"],
                   LB_DISCOVERY=self.config["discovery"])
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log,
                                        preexec_fn=end_with_this_script)
        log.close()
        STARTED.append(self.process)
        self.record.add(self.name, "started")
        return self

    @property
    def port(self):
        return int(self.config["listen"].rsplit(":", 1)[1])

    async def ready(self, limit=15):
        end = now() + limit
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.log()[-600:]}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200" in head[0]:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} does not get ready: {self.log()[-600:]}")

    def log(self):
        with open(os.path.join(self.folder, f"{self.name}.log")) as f:
            return f.read()

    def signal(self, number):
        self.record.add(self.name, f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)


STARTED = []
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def end_with_this_script():
    """A gateway ends also when this script is killed outright."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def end_all():
    for process in STARTED:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
    for process in STARTED:
        process.wait()


atexit.register(end_all)


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        for line in f:
            if line.startswith(key + " "):
                return line.split("=", 1)[1].strip().strip('"')
    raise CannotRun(f"deploy/balancer.toml has no {key}")


def config(name, discovery, settings, listing, **more):
    return {"name": name, "listen": f"127.0.0.1:{free_port()}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": f"{random.getrandbits(64):016x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": listing, "settings": settings, **more}


def run_loop(main):
    """Runs the loop, and leaves open connections of stand-ins to the end of the process."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    return loop.run_until_complete(main)


def play(case_folder, main, limit=110):
    """Runs `main(record, folder)`, which returns a list of what broke the rule, and exits by the issue's codes."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))
    folder = tempfile.mkdtemp(prefix="harrierdock-review-")
    record = Record(os.path.join(case_folder, "record.txt"))
    code = 2
    try:
        if not os.path.exists(os.path.join(ROOT, "target/release/harrierdock")):
            raise CannotRun("target/release/harrierdock is missing: build first")
        broken = run_loop(asyncio.wait_for(main(record, folder), limit))
        for line in broken:
            record.add("check", "broken: " + line)
        for line in broken[:20]:
            print("broken:", line)
        print(f"{'rule broken' if broken else 'rule held'}: {len(broken)} cases")
        code = 1 if broken else 0
    except CannotRun as e:
        print(f"cannot run: {e}")
    except Exception:  # noqa: BLE001 (whatever it is, the rule was not judged)
        print("cannot run: " + traceback.format_exc())
    finally:
        end_all()
        if os.environ.get("KEEP"):
            print("kept:", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
