"""A fleet of hundreds of instances. A gateway is killed and started again with its last list, which is some seconds old."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import *  # noqa: E402,F403

INSTANCES = int(os.environ.get("INSTANCES", "480"))
BATCH = 40  # entries that change at once
GRACE = 0.5 + 0.05  # safety.drain_grace, and 50 ms on sockets
TOLD_AT_THE_LATEST = 6.0


async def main(record, folder):
    old = [await Endpoint(record, f"s-{k:08x}").start() for k in range(INSTANCES // 2)]
    new = [await Endpoint(record, f"s-{k + 0x8000:08x}").start() for k in range(INSTANCES // 2)]
    discovery = await Discovery(record, [member(e.name, e.port) for e in old]).start()
    settings = tas_settings("hobart", ("hobart",), 0, 1)
    cfg = config("n0", discovery, settings, discovery.listing())
    gateway = Gateway(record, folder, "n0", cfg).start()
    await gateway.ready()
    end = now() + 22
    answers = {}

    async def client(index):
        rng = random.Random(index)
        c = Client(gateway.port)
        n = 0
        while now() < end:
            n += 1
            txn = f"c{index:02d}{n:06d}"
            record.add("client", f"sent {txn}")
            try:
                status, _ = await asyncio.wait_for(c.ask(txn, "draft", 1200), 2)
            except (OSError, asyncio.TimeoutError, ValueError):
                status = None
                c.close()
            answers[txn] = status
            record.add("client", f"got {txn} {status}")
            await asyncio.sleep(rng.uniform(0.1, 0.3))
        c.close()

    clients = [asyncio.create_task(client(i)) for i in range(12)]
    await asyncio.sleep(2)
    if TROUBLE:
        gateway.signal(signal.SIGKILL)
        gateway.process.wait()
    # Meanwhile the instances are replaced: each earlier one is drained once its successor runs.
    drained_at = {}

    async def turn_away(txn, fields, writer):
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
        record.add("instance", f"turned away {txn}")
        return True

    for at in range(0, len(old), BATCH):
        discovery.change(*[member(e.name, e.port) for e in new[at:at + BATCH]])
        discovery.change(*[member(e.name, e.port, phase="draining") for e in old[at:at + BATCH]])
        for e in old[at:at + BATCH]:
            drained_at[e.name] = now()
            e.behave = turn_away
        await asyncio.sleep(0.25)
    started_at = 0.0
    if TROUBLE:
        await asyncio.sleep(0.5)
        gateway.start()  # its configuration holds its last list
        started_at = now()
    await asyncio.gather(*clients)
    broken = []
    for e in old:
        told = max(drained_at[e.name], started_at) + (TOLD_AT_THE_LATEST if TROUBLE else 0)
        for at, txn, *_ in e.arrivals:
            if at > told + GRACE:
                broken.append(f"{txn} ran at {e.name} {at - drained_at[e.name]:.1f} s after discovery said that it drains, "
                              f"{at - started_at:.1f} s after the gateway's start")
    from collections import Counter
    print("descriptors of this script:", len(os.listdir("/proc/self/fd")))
    print("answers:", dict(Counter(answers.values())), "list of", len(json.dumps(discovery.listing())), "octets")
    print("at new instances:", sum(len(e.arrivals) for e in new), "at old ones:", sum(len(e.arrivals) for e in old))
    return broken


play(HERE, main)
