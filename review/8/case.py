"""A link between two sites drops only the long datagrams, for 0.4 s at a time, while clients leave early.

Hobart is drained, so its gateway forwards its clients' requests. Some clients leave 60 ms after they have asked. No attempt
of their requests may begin more than 0.1 s later.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lab"))
from lab import TROUBLE, Client, Instance, main  # noqa: E402
from sites import program, two_sites  # noqa: E402

LONG_OCTETS = 1000  # heartbeats and cancellations are shorter, so the path stays usable
DROPS_FOR_S, EVERY_S = 0.4, 2.0
SECONDS = 20.0
RATE = 30.0
LEAVES_AFTER_S = 0.06
GRACE_S = 0.1 + 0.05  # STANDING: 0.1 s after the close; PROTOCOL: every time limit is 50 ms longer
BODY = bytes(1500)


async def play(lab):
    record = lab.record
    instances = [Instance(record, f"s-{z[0]}{n}", z, 41, work=0.08) for z in ("hobart", "launceston") for n in range(3)]
    for instance in instances:
        await lab.serve(instance)

    def settings(site):
        made = lab.settings()
        made["az"] = site
        return made

    ports, link, controls = await two_sites(lab, instances, settings)
    left = {}

    async def stay(number):
        client = Client(record, ports["launceston"])
        await client.request(f"b{number:07x}", "draft", 1500)
        client.leave()

    async def ask(txn, leaves):
        client = Client(record, ports["hobart"])
        await client.open()
        client.send(txn, "lodge", 1500, body=BODY)
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
            client.leave()
            left[txn] = record.line(f"client leaves, txn {txn}")
        else:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(client.answer(txn), 2.2)
            client.leave()

    # Both sites serve for 2 s, so that launceston offers capacity; then hobart is drained.
    tasks = []
    for number in range(80):
        tasks.append(asyncio.create_task(stay(number)))
        await asyncio.sleep(1 / RATE)
    program("site", "--control", str(controls["hobart"]), "drain")
    record.line("hobart is drained")
    await asyncio.sleep(1.0)
    begin = record.now()

    def phase():
        return (record.now() - begin) % EVERY_S

    def drops(towards, data):
        return TROUBLE and towards == "launceston" and phase() >= EVERY_S - DROPS_FOR_S and len(data) > LONG_OCTETS

    link.drops = drops
    number = 0
    while record.now() < begin + SECONDS:
        in_burst = EVERY_S - DROPS_FOR_S + 0.02 < phase() < EVERY_S - DROPS_FOR_S + 0.1
        tasks.append(asyncio.create_task(ask(f"a{number:07x}", leaves=in_burst)))
        if number % 2 == 0:
            tasks.append(asyncio.create_task(stay(1000 + number)))
        number += 1
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(2.5)
    await asyncio.gather(*tasks, return_exceptions=True)
    record.line(f"link: {link.passed} datagrams passed, {link.lost} lost")
    record.line("status " + program("site", "--control", str(controls["hobart"]), "status"))
    link.close()
    late = [
        (run, run["at"] - left[run["txn"]], instance)
        for instance in instances
        for run in instance.runs
        if run["txn"] in left and run["at"] > left[run["txn"]] + GRACE_S
    ]
    record.line(f"{len(left)} clients left, {len(late)} attempts began more than {GRACE_S} s later")
    return [f"txn {r['txn']}: an attempt began at {i.name} {gap:.3f} s after its client had left" for r, gap, i in late]


main(__file__, play)
