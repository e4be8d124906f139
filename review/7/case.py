"""A zone that still runs the earlier build is lost for 20 s while a build is on trial, and returns cold.

Keys that the build on trial has answered are asked for again after the return. None of them may go to the earlier build.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lab"))
from lab import TROUBLE, CannotRun, Client, Discovery, Instance, Platform, free_port, main  # noqa: E402

EARLIER, TRIAL = 41, 42
LOST_S = 20.0  # the Tasmanian deployment: "a whole site is lost for 9.2 to 23 s"
TOLD_S = 0.3  # discovery tells of a loss and of a return so much later
KEYS = 60
RATE = 25.0


async def ask(lab, clients, keys, seconds, prefix):
    """Sends drafts at a steady rate, one key after the other."""
    end, number, open_requests = lab.record.now() + seconds, 0, []
    while lab.record.now() < end:
        client = clients[number % len(clients)]
        key = keys[number % len(keys)]
        open_requests.append(asyncio.create_task(client.request(f"{prefix}{number:06x}", "draft", 1500, key=key)))
        number += 1
        await asyncio.sleep(1 / RATE)
    return [await request for request in open_requests]


async def play(lab):
    record = lab.record
    old = [Instance(record, f"s-h{n}", "hobart", EARLIER) for n in range(2)]
    new = [Instance(record, f"s-l{n}", "launceston", TRIAL) for n in range(3)]
    for instance in old + new:
        await lab.serve(instance)
    discovery = await lab.serve(Discovery(record, [i.entry() for i in old + new]))
    # Stage 2 of 4: 60% of the fleet run the build on trial, its cap is 0.72. Two of the three gateways do not vote.
    news = {"image": TRIAL, "ring": 2, "progress": "trial", "ceiling": 0.72, "lag_ms": 4000}
    platform = await lab.serve(Platform(record, news))
    settings = lab.settings(
        one_way=True, exposure_caps=[0.096, 0.3, 0.72, 1.0], steps=[0.08, 0.25, 0.6, 1.0], counts="all", swap="rolling",
        votes_to_go=2,
    )
    settings["balancers"] = 3
    port = free_port()
    config = lab.config("n0", port, discovery, settings, rollouts={"address": platform.address, "news": platform.state()})
    await lab.gateway("n0", port, config)
    clients = [Client(record, port) for _ in range(16)]

    keys = [f"{0x7F3A9C21E0B40000 + n:016x}" for n in range(KEYS)]
    await ask(lab, clients, keys, 8.0, "a")
    kept = sorted({r["key"] for i in new for r in i.runs if r["status"] == 200})
    record.line(f"{len(kept)} keys were answered by build {TRIAL}")
    if len(kept) < 10:
        raise CannotRun("too few keys were answered by the build on trial")

    if TROUBLE:
        record.line("zone hobart is lost")
        for instance in old:
            instance.stop()
        await asyncio.sleep(TOLD_S)
        discovery.change(*[i.entry("gone") for i in old])
    await ask(lab, clients, [f"{0x1000 + n:016x}" for n in range(KEYS)], LOST_S, "b")
    if TROUBLE:
        for instance in old:
            instance.up_since_ms = int(time.time() * 1000)
            await instance.start()
        record.line("zone hobart returns cold, with the build that it ran")
        await asyncio.sleep(TOLD_S)
        discovery.change(*[i.entry() for i in old])

    asked_again = record.now()
    record.line("the keys are asked for again")
    await ask(lab, clients, kept, 8.0, "c")
    for client in clients:
        client.leave()

    # From 150 ms after a good answer the key counts as answered, and time limits are 50 ms longer.
    answered = {}
    for run in sorted((r for i in new for r in i.runs if r.get("status") == 200), key=lambda r: r["answered"]):
        answered.setdefault(run["key"], run["answered"] + 0.2)
    late = [r for i in old for r in i.runs if r["key"] in answered and r["at"] > answered[r["key"]]]
    before = sum(r["at"] < asked_again for r in late)
    record.line(f"{len(late)} runs at build {EARLIER} of keys that build {TRIAL} had answered, {before} before the return")
    return [
        f"txn {r['txn']}: key {r['key']} went to build {EARLIER} at {r['at']:.3f} s; build {TRIAL} had answered it by"
        f" {answered[r['key']]:.3f} s and is on trial all along"
        for r in late
    ]


main(__file__, play)
