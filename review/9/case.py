"""A new configuration moves discovery, and the new discovery is crowded: it turns all calls away for 8 s.

An instance drains 0.5 s after SIGHUP. Where the list is asked for, that counts as told 4 s after SIGHUP, whatever became of the
calls, and 2 s later nothing new may go to the instance.
"""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lab"))
from lab import TROUBLE, Client, Discovery, Instance, free_port, main  # noqa: E402

GRACE_S = 2.0  # safety.drain_grace
TOLD_S = 4.0  # LATER: 4 s after SIGHUP
SLACK_S = 0.05
DRAINS_S, CROWDED_S, CLOSES_S, END_S = 0.5, 8.0, 1.5, 11.0
RATE = 40.0


async def play(lab):
    record = lab.record
    instances = [Instance(record, f"s-{n}", "launceston", 41) for n in range(4)]
    for instance in instances:
        await lab.serve(instance)
    entries = [i.entry() for i in instances]
    before = await lab.serve(Discovery(record, entries))
    after = await lab.serve(Discovery(record, entries))
    settings = lab.settings()
    settings["discovery"] = "on_request"
    settings["safety"].update({"drain_grace": int(GRACE_S * 1e6), "must_ask_in": 6_000_000})
    port = free_port()
    path = lab.config("n0", port, before, settings)
    gateway = await lab.gateway("n0", port, path)
    clients = [Client(record, port) for _ in range(16)]
    tasks = []

    async def traffic():
        number = 0
        while True:
            client = clients[number % len(clients)]
            tasks.append(asyncio.create_task(client.request(f"a{number:06x}", "draft", 1500)))
            number += 1
            await asyncio.sleep(1 / RATE)

    sending = asyncio.create_task(traffic())
    # The gateway opens its watch within 3 s. SIGHUP comes shortly after a sign of life, as it may.
    await asyncio.sleep(6.0)
    await asyncio.wait_for(before.next_sign(), 5.0)
    await asyncio.sleep(0.1)
    after.is_crowded = TROUBLE
    config = json.loads(path.read_text())
    config["discovery"] = after.address
    path.with_suffix(".new").write_text(json.dumps(config))
    path.with_suffix(".new").replace(path)
    hung_up = record.line("SIGHUP")
    gateway.send_signal(signal.SIGHUP)
    before.server.close()  # the old address accepts no new connection
    await asyncio.sleep(DRAINS_S)
    drained = instances[0]
    drained.status = lambda run: 503  # it drains and turns new work away
    after.change(drained.entry("draining"))
    await asyncio.sleep(CLOSES_S - DRAINS_S)
    before.stop()  # the old address closes the open connections
    await asyncio.sleep(CROWDED_S - CLOSES_S)
    after.is_crowded = False
    record.line("the new discovery answers")
    await asyncio.sleep(END_S - CROWDED_S)
    sending.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        client.leave()
    latest = hung_up + TOLD_S + GRACE_S + SLACK_S
    late = [run for run in drained.runs if run["at"] > latest]
    record.line(f"{len(late)} requests went to {drained.name} more than {latest - hung_up:.2f} s after SIGHUP")
    return [f"txn {r['txn']} was sent to {drained.name} {r['at'] - hung_up:.3f} s after SIGHUP" for r in late]


main(__file__, play)
