"""The link between two sites is cut for 0.9 s and then passes only short datagrams until 5 s after the cut began.

Hobart is drained, so its gateway forwards its clients' requests. No `lodge` may run twice.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lab"))
from lab import TROUBLE, Client, Instance, main  # noqa: E402
from sites import program, two_sites  # noqa: E402

CUT_S = 0.9  # the path counts as unusable after 0.7 s without a heartbeat
LONG_UNTIL_S = 5.0  # from the beginning of the cut
LONG_OCTETS = 1000  # heartbeats and queries are shorter
ROUNDS, ROUND_S = 3, 9.0
RATE = 20.0
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

    async def ask(txn, site, lane, body=b""):
        client = Client(record, ports[site])
        with contextlib.suppress(asyncio.TimeoutError, ConnectionError):
            await client.request(txn, lane, 1500, body=body)
        client.leave()

    cut_at = None

    def drops(towards, data):
        if cut_at is None or not TROUBLE:
            return False
        since = record.now() - cut_at
        return since < CUT_S or (since < LONG_UNTIL_S and len(data) > LONG_OCTETS)

    link.drops = drops
    tasks, number = [], 0

    async def steady(seconds):
        nonlocal number
        end = record.now() + seconds
        while record.now() < end:
            tasks.append(asyncio.create_task(ask(f"b{number:07x}", "launceston", "draft")))
            tasks.append(asyncio.create_task(ask(f"c{number:07x}", "hobart", "draft")))
            number += 1
            await asyncio.sleep(1 / RATE)

    await steady(2.0)
    program("site", "--control", str(controls["hobart"]), "drain")
    record.line("hobart is drained")
    await steady(2.0)
    for turn in range(ROUNDS):
        cut_at = record.now()
        record.line("the link is cut" if TROUBLE else "the link stays as it is")
        for step in range(6):
            tasks.append(asyncio.create_task(ask(f"a{turn:03x}{step:04x}", "hobart", "lodge", BODY)))
            await asyncio.sleep(0.02)
        await steady(ROUND_S - 0.12)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    record.line(f"link: {link.passed} datagrams passed, {link.lost} lost")
    record.line("status " + program("site", "--control", str(controls["hobart"]), "status"))
    link.close()
    runs = {}
    for instance in instances:
        for run in instance.runs:
            if run["txn"].startswith("a"):
                runs.setdefault(run["txn"], []).append((run["at"], instance.name))
    record.line(f"{len(runs)} lodges ran, {sum(len(r) > 1 for r in runs.values())} of them more than once")
    return [
        f"lodge {txn} ran {len(r)} times: " + ", ".join(f"at {name} at {at:.3f} s" for at, name in sorted(r))
        for txn, r in sorted(runs.items())
        if len(r) > 1
    ]


main(__file__, play)
