"""Stand-ins and helpers of the cases 6 to 10: discovery, platform, instances, clients, the gateway process and the record.

Everything runs on loopback addresses and the real clock, in one asyncio loop. Python's standard library is all that is used.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        at = self.now()
        self.file.write(f"{at:9.4f} {text}\n")
        return at

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads one message head. Returns its first line and its fields in lower case, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


def free_port(kind="tcp"):
    import socket

    with socket.socket(socket.AF_INET, socket.SOCK_STREAM if kind == "tcp" else socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Server:
    """A TCP server on a free loopback port. Its connections end with it."""

    # Clients take their ports from HOST, so a port here stays free while a server is away.
    host = "127.0.0.2"

    def __init__(self):
        self.server = None
        self.writers = set()
        self.port = 0

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, self.port, backlog=512, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the server as a process that dies does: new connections are refused, open ones are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Discovery(Server):
    """The agent of PROTOCOL.md: the whole list, and a watch with a line for each change and an empty line every 2 s."""

    def __init__(self, record, members):
        super().__init__()
        self.record = record
        self.revision = 1
        self.members = {m["id"]: m for m in members}
        self.changes = []
        self.watches = set()
        self.is_crowded = False
        self.sign = asyncio.Event()

    async def next_sign(self):
        """Waits for the next sign of life on a watch."""
        self.sign.clear()
        await self.sign.wait()

    def list(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def change(self, *entries):
        """Tells changed entries. An entry with the phase `gone` leaves the list."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "gone":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = entry
            self.record.line(f"discovery tells {entry['id']} {entry['phase']} build {entry['revision_no']}")
        self.changes.append((self.revision, entries))
        line = json.dumps({"revision": self.revision, "complete": False, "members": list(entries)}) + "\n"
        for writer in self.watches:
            self._chunk(writer, line.encode())

    @staticmethod
    def _chunk(writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            target = head[0].split(" ")[1]
            self.record.line(f"discovery {self.address} is asked for {target}" + (", turns it away" if self.is_crowded else ""))
            if self.is_crowded:
                writer.write(b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
                continue
            if "stream=1" not in target:
                body = json.dumps(self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                continue
            index = int(target.partition("index=")[2] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            missed = [entry for revision, entries in self.changes if revision > index for entry in entries]
            first = {"revision": self.revision, "complete": False, "members": missed}
            self._chunk(writer, (json.dumps(first) + "\n").encode())
            self.watches.add(writer)
            try:
                while True:
                    await asyncio.sleep(2.0)
                    self.record.line(f"discovery {self.address} sends a sign of life")
                    self.sign.set()
                    self._chunk(writer, b"\n")
                    await writer.drain()
            finally:
                self.watches.discard(writer)


class Platform(Server):
    """The rollout platform of PROTOCOL.md. Its state stays as it is set; votes are answered with it."""

    def __init__(self, record, news):
        super().__init__()
        self.record = record
        self.news = dict(news)
        self.since = time.monotonic() - news.get("lag_ms", 0) / 1000
        self.streams = set()

    def state(self):
        return {**self.news, "lag_ms": int((time.monotonic() - self.since) * 1000)}

    def answer(self, vote):
        if (vote.get("image"), vote.get("ring")) == (self.news["image"], self.news["ring"]):
            return "200 OK", self.state()
        return "409 Conflict", {"error": "out_of_date"}

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            first, fields = head
            if "/apis/fleet/events" in first:
                return await self._events(writer)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            self.record.line(f"platform vote {body.decode(errors='replace')}")
            status, answer = self.answer(json.loads(body))
            text = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
            if fields.get("connection", "").lower() == "close":
                return None
        return None

    async def _events(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        ticks = 0
        while True:
            event = {} if ticks % 6 else {"type": "news", "object": self.state()}
            data = (json.dumps(event) + "\n").encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            ticks += 1
            await asyncio.sleep(1.0)


class Instance(Server):
    """An instance. It starts on a request once its last byte has arrived, and records that as a run."""

    def __init__(self, record, name, zone, build, work=0.02, up_since_ms=0):
        super().__init__()
        self.record = record
        self.name, self.zone, self.build, self.work = name, zone, build, work
        self.up_since_ms = up_since_ms
        self.runs = []
        self.status = lambda run: 200

    def entry(self, phase="ready"):
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "std-4",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
            "revision_no": self.build,
        }

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            first, fields = head
            if int(fields.get("content-length", 0)):
                await reader.readexactly(int(fields["content-length"]))
            target = first.split(" ")[1]
            run = {
                "txn": fields.get("x-txn", ""),
                "key": target.partition("obj=")[2].partition("&")[0],
                "remaining_ms": int(fields.get("x-remaining-ms", "0") or 0),
                "build": self.build,
            }
            run["at"] = self.record.line(
                f"run at {self.name} build {self.build} txn {run['txn']} key {run['key']} remaining {run['remaining_ms']} ms"
            )
            self.runs.append(run)
            if self.work:
                await asyncio.sleep(self.work)
            status = self.status(run)
            body = f"{self.name} {run['txn']}".encode()
            run["status"] = status
            run["answered"] = self.record.now()
            reason = {200: "OK", 503: "Service Unavailable"}.get(status, "Internal Server Error")
            extra = "X-Turned-Away: 1\r\n" if status == 503 else ""
            writer.write(f"HTTP/1.1 {status} {reason}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()


class Client:
    """One client connection. It sends one request at a time and keeps its connection."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)

    def send(self, txn, lane, remaining_ms, key="", body=b"", idempotency_key=None):
        method = "GET" if not body and lane == "draft" else "POST"
        query = f"?obj={key}" if key else ""
        lines = [
            f"{method} /api{query} HTTP/1.1",
            "Host: app.svc",
            f"X-Txn: {txn}",
            f"X-Lane: {lane}",
            f"X-Remaining-Ms: {remaining_ms}",
        ]
        if idempotency_key:
            lines.append(f"Idempotency-Key: {idempotency_key}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return self.record.line(f"client sends txn {txn} lane {lane} key {key} remaining {remaining_ms} ms, {len(body)} bytes")

    async def answer(self, txn):
        """Waits for the answer. Returns its status and body; closes the connection if the gateway asks for that."""
        head = await read_head(self.reader)
        if head is None:
            self.record.line(f"client got a close for txn {txn}")
            self.leave()
            return None, b""
        status = int(head[0].split(" ")[1])
        body = await self.reader.readexactly(int(head[1].get("content-length", 0)))
        self.record.line(f"client got {status} for txn {txn}: {body[:80].decode(errors='replace')}")
        if head[1].get("connection", "").lower() == "close":
            self.leave()
        return status, body

    async def request(self, txn, lane, remaining_ms, **rest):
        """Sends a request on the kept connection, or on a new one, and waits for its answer for as long as it may take."""
        is_kept = self.writer is not None
        if not is_kept:
            await self.open()
        self.send(txn, lane, remaining_ms, **rest)
        try:
            answer = await asyncio.wait_for(self.answer(txn), remaining_ms / 1000 + 0.6)
            if answer[0] is not None or not is_kept:
                return answer
            # The gateway closed the connection between requests, and the close crossed this one.
            await self.open()
            self.send(txn, lane, remaining_ms, **rest)
            return await asyncio.wait_for(self.answer(txn), remaining_ms / 1000 + 0.6)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.record.line(f"client got no answer for txn {txn}")
            self.leave()
            return None, b""

    def leave(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def ready(port):
    with contextlib.suppress(OSError, ValueError, IndexError):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 2)
        writer.close()
        return head is not None and head[0].split(" ")[1] == "200"
    return False


def die_with_parent():
    """The process ends if this script is killed outright."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Lab:
    """The temporary folder, the record and the processes of a case."""

    def __init__(self, case_file):
        self.case = Path(case_file).resolve().parent
        self.folder = Path(tempfile.mkdtemp(prefix="harrierdock-review-"))
        self.record = Record(self.case / "record.txt")
        self.processes = []
        self.servers = []

    def settings(self, **family):
        """The settings of docs/small.json with the rules' figures of the Tasmanian deployment."""
        small = json.loads((ROOT / "docs" / "small.json").read_text())
        settings = small["settings"]
        settings.update({"az": "launceston", "azs": ["hobart", "launceston"]})
        settings["family_info"].update(family)
        settings["safety"]["drain_grace"] = 500000
        return settings

    def config(self, name, port, discovery, settings, **rest):
        config = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.list(),
            "settings": settings,
            **rest,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        return path

    async def gateway(self, name, port, config, extension=None):
        """Starts a gateway with the command of the deploy file, and waits until it is ready."""
        if not (ROOT / "target" / "release" / "harrierdock").exists():
            raise CannotRun("the programs are not built")
        command = re.search(r'^run = "(.*)"$', (ROOT / "deploy" / "balancer.toml").read_text(), re.MULTILINE).group(1)
        if extension is not None:
            command += f" --with {extension}"
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment.update({"LB_CONFIG": str(config), "LB_NAME": name, "LB_LISTEN": f"{HOST}:{port}"})
        environment["TMPDIR"] = str(self.folder)
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log, preexec_fn=die_with_parent
        )
        log.close()
        self.processes.append(process)
        for _ in range(100):
            if process.poll() is not None:
                raise CannotRun(f"gateway {name} ended with {process.returncode}")
            if await ready(port):
                self.record.line(f"gateway {name} is ready")
                return process
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {name} is not ready after 10 s")

    async def serve(self, server):
        self.servers.append(server)
        return await server.start()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play):
    """Plays a case. `play(lab)` returns the breaks that it saw, as lines of text."""
    lab = Lab(case_file)

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(lab), 115)
        finally:
            for server in lab.servers:
                server.stop()

    code = NOT_RUN
    try:
        breaks = asyncio.run(run())
        for text in breaks[:20]:
            lab.record.line(f"BROKEN {text}")
            print(f"broken: {text}")
        print(f"{len(breaks)} breaks; TROUBLE={int(TROUBLE)}")
        lab.record.line(f"{len(breaks)} breaks")
        code = BROKEN if breaks else HELD
    except CannotRun as error:
        print(f"cannot run: {error}")
    except asyncio.CancelledError:
        print("interrupted")
    except Exception as error:  # a fault of the case, not of the gateway
        import traceback

        traceback.print_exc()
        print(f"cannot run: {error!r}")
    finally:
        lab.close()
    sys.stdout.flush()
    os._exit(code)  # connections that are still open end with the process
