"""Flow export over TCP. The collector's machine vanishes for some seconds, says nothing meanwhile, and comes back."""
import os
import re
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from ipfix import ATTEMPTS, REQUESTS, Decoder  # noqa: E402
from standin import *  # noqa: E402,F403

GONE_S = float(os.environ.get("GONE", "60"))


class Collector:
    """While its machine is gone, open connections stay open and silent, and new ones are not answered; they are reset once it is back."""

    def __init__(self, record):
        self.record = record
        self.decoders = []
        self.connections = {}
        self.is_gone = False

    async def start(self):
        self.socket = socket.socket()
        # A vanished machine takes in nothing: what is not read stays at the sender but for a few kilobytes.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(8)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.socket, self.accept)
        return self

    def accept(self):
        connection, _ = self.socket.accept()
        connection.setblocking(False)
        decoder = Decoder()
        self.connections[connection] = decoder
        self.decoders.append(decoder)
        self.record.add("collector", "accepted a connection")
        if not self.is_gone:
            asyncio.get_running_loop().add_reader(connection, self.read, connection)

    def read(self, connection):
        try:
            data = connection.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            asyncio.get_running_loop().remove_reader(connection)
            self.connections.pop(connection)
            connection.close()
            return
        before = self.totals()
        self.connections[connection].feed(data)
        if self.totals() != before:
            self.record.add("collector", f"counted {self.totals()}")

    def totals(self):
        return [sum(d.counts[kind] for d in self.decoders) for kind in (ATTEMPTS, REQUESTS)]

    def vanish(self):
        self.record.add("collector", "gone")
        self.is_gone = True
        for connection in self.connections:
            asyncio.get_running_loop().remove_reader(connection)

    def come_back(self):
        self.record.add("collector", "back; resets the connections from before")
        self.is_gone = False
        for connection in list(self.connections):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        self.connections.clear()


import struct  # noqa: E402


async def main(record, folder):
    here = [await Endpoint(record, f"s-{k}", service=0.02).start() for k in range(4)]
    discovery = await Discovery(record, [member(e.name, e.port) for e in here]).start()
    collector = await Collector(record).start()
    extension = {"flows": {"active_ms": 1000, "domain": 1, "collectors": [
        {"name": "main", "address": f"127.0.0.1:{collector.port}", "road": "tcp"}]}}
    cfg = config("n0", discovery, tas_settings("hobart", ("hobart",), 0, 1), discovery.listing())
    gateway = Gateway(record, folder, "n0", cfg, extension).start()
    await gateway.ready()
    end = now() + GONE_S + 15
    answered = 0

    async def client(index):
        nonlocal answered
        rng = random.Random(index)
        c = Client(gateway.port)
        n = 0
        while now() < end:
            n += 1
            txn = f"c{index:02d}{n:06d}"
            record.add("client", f"sent {txn}")
            status, _ = await c.ask(txn, "draft", 1200)
            answered += 1
            record.add("client", f"got {txn} {status}")
            await asyncio.sleep(rng.uniform(0.05, 0.25))
        c.close()

    clients = [asyncio.create_task(client(i)) for i in range(12)]
    await asyncio.sleep(5)
    if TROUBLE:
        collector.vanish()
    await asyncio.sleep(GONE_S)
    if TROUBLE:
        collector.come_back()
    await asyncio.gather(*clients)
    # Time for what is left: the active time-out, and the back-off of 8 s at most with its jitter.
    await asyncio.sleep(14)
    gateway.signal(signal.SIGTERM)
    for _ in range(100):
        if gateway.process.poll() is not None:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    reported = re.findall(r"flows: to main: recorded \[(\d+), (\d+)\] dropped \[(\d+), (\d+)\] in-doubt (\d+)", gateway.log())
    if not reported:
        raise CannotRun("the gateway's last lines are missing: " + gateway.log()[-800:])
    recorded = [int(n) for n in reported[-1][:2]]
    dropped = [int(n) for n in reported[-1][2:4]]
    in_doubt = int(reported[-1][4])
    got = collector.totals()
    print("requests answered to clients:", answered, "run at instances:", sum(len(e.arrivals) for e in here))
    print("gateway: recorded", recorded, "dropped", dropped, "in doubt", in_doubt, "collector counted", got)
    record.add("check", f"recorded {recorded} dropped {dropped} in doubt {in_doubt} counted {got}")
    missing = sum(recorded) - sum(got)
    excused = sum(dropped) + in_doubt
    if missing > excused:
        return [f"{missing} attempts and requests are missing at the collector, {excused} were reported as dropped or in doubt"]
    return []


play(HERE, main, 118)
