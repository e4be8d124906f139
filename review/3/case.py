"""Two sites; site hobart is drained by its operator, so its gateway forwards. The line between the sites is cut for a moment."""
import asyncio
import os
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from link import Line  # noqa: E402
from standin import *  # noqa: E402,F403

CUT_S = float(os.environ.get("CUT", "0.45"))
LOSS = float(os.environ.get("LOSS", "0"))
SECONDS = float(os.environ.get("SECONDS", "40"))
ON_SOCKETS = 0.05  # PROTOCOL, "The rules on sockets": "every time limit is 50 ms longer"
TOLD_SLACK = 0.15 + ON_SOCKETS
AFTER_ANSWER = 0.1 + ON_SOCKETS


async def main(record, folder):
    binary = os.path.join(ROOT, "target/release/harrierdock")
    keys = os.path.join(folder, "keys")
    subprocess.run([binary, "keys", "authority", keys], check=True, stdout=subprocess.DEVNULL)
    subprocess.run([binary, "keys", "issue", keys, "hobart/h0", "launceston/l0"], check=True, stdout=subprocess.DEVNULL)
    line = await Line().start()
    gateways, endpoints, discoveries = [], {}, []
    udp = [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    names = [("hobart", "h0"), ("launceston", "l0")]
    for index, (site, name) in enumerate(names):
        here = [await Endpoint(record, f"s-{name}{k}", service=0.03).start() for k in range(3)]
        endpoints[site] = here
        discovery = await Discovery(record, [member(e.name, e.port, site) for e in here]).start()
        discoveries.append(discovery)
        settings = tas_settings(site, (site,), 0, 1)
        other_site, other_name = names[1 - index]
        extension = {"sites": {
            "site": site, "gateway": name, "listen": f"127.0.0.1:{udp[index]}",
            "reached_at": f"127.0.0.1:{line.ports[index]}",
            "other": {"site": other_site, "gateways": [
                {"gateway": other_name, "address": f"127.0.0.1:{line.ports[1 - index]}"}]},
            "keys": {"authority": f"{keys}/authority.pem", "certificate": f"{keys}/{site}-{name}.pem",
                     "key": f"{keys}/{site}-{name}.key"},
            "control": f"{folder}/{name}.sock", "groups_spanning": []}}
        line.targets[index] = udp[index]
        gateways.append(Gateway(record, folder, name, config(name, discovery, settings, discovery.listing()), extension).start())
    for g in gateways:
        await g.ready()
    sent = {}  # txn -> (lane, when, until)
    ended = {}  # txn -> (when, status)

    async def client(gateway, site, index, end):
        rng = random.Random(index + 1000 * (site == "hobart"))
        c = Client(gateway.port)
        n = 0
        while now() < end:
            n += 1
            txn = f"{site[0]}{index:02d}{n:06d}"
            lane = rng.choice(["draft", "payment", "lodge"])
            ms = rng.randrange(240, 1500)
            at = now()
            sent[txn] = (lane, at, at + ms / 1000)
            record.add("client", f"sent {txn} {lane} {ms} ms")
            kind = {"draft": dict(method="GET"), "payment": dict(method="POST", key="k" + txn, body=b"x" * 60),
                    "lodge": dict(method="POST", body=b"x" * 60)}[lane]
            try:
                status, _ = await asyncio.wait_for(c.ask(txn, lane, ms, **kind), ms / 1000 + 0.5)
            except (asyncio.TimeoutError, OSError):
                status = 0
                c.close()
            ended[txn] = (now(), status)
            record.add("client", f"got {txn} {status}")
            await asyncio.sleep(rng.uniform(0.05, 0.25))
        c.close()

    end = now() + SECONDS
    clients = [asyncio.create_task(client(g, s, i, end)) for g, (s, _) in zip(gateways, names) for i in range(12)]
    await asyncio.sleep(2)
    subprocess.run([binary, "site", "--control", f"{folder}/h0.sock", "drain"], check=True, stdout=subprocess.DEVNULL)
    record.add("operator", "drained hobart")
    await asyncio.sleep(3)
    if TROUBLE:
        line.loss = LOSS
    while now() < end - 2:
        if TROUBLE and CUT_S:
            line.cut = True
            record.add("line", f"cut for {CUT_S} s")
            await asyncio.sleep(CUT_S)
            line.cut = False
            record.add("line", "back")
        await asyncio.sleep(3)
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    line.loss = 0
    broken = []
    forwarded = 0
    from collections import Counter
    print(Counter(s for _, s in ended.values()))
    for site, here in endpoints.items():
        for e in here:
            for at, txn, stated, *_ in e.arrivals:
                lane, since, until = sent[txn]
                if txn[0] == "h" and site == "launceston":
                    forwarded += 1
                left = until - at
                if stated / 1000 > left + TOLD_SLACK:
                    broken.append(f"{txn} {lane} ran at {e.name}, told {stated} ms with {left * 1000:.0f} ms left")
                if txn in ended and at > ended[txn][0] + AFTER_ANSWER:
                    broken.append(f"{txn} {lane} ran at {e.name} {at - ended[txn][0]:.3f} s after the client had its answer {ended[txn][1]}")
    print("forwarded", forwarded, "of", len(sent), "line passed", line.passed, "dropped", line.dropped)
    return broken


play(HERE, main)
