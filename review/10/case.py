"""Votes end in errors for 10 s while a build is on trial in stage 2. The flow records meanwhile must still carry that stage.

The collector reads all that comes; nothing is lost between the gateway and it.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lab"))
from ipfix import ATTEMPTS, HD_BUILD, HD_CAP, HD_COUNT, HD_STAGE, SHARES, Messages  # noqa: E402
from lab import TROUBLE, CannotRun, Client, Discovery, Instance, Platform, Server, free_port, main  # noqa: E402

TRIAL, STAGE, CAP = 42, 2, 0.8
UP_S, ERRORS_S = 6.0, 10.0
RATE = 30.0


class Collector(Server):
    """A collector over TCP that reads at once."""

    def __init__(self, record):
        super().__init__()
        self.record, self.records = record, []

    async def serve(self, reader, writer):
        messages = Messages(self.keep)
        while data := await reader.read(65536):
            messages.stream(data)

    def keep(self, template, numbers):
        if template in (ATTEMPTS, SHARES) and numbers.get(HD_BUILD) == TRIAL:
            what = "attempts" if template == ATTEMPTS else "share"
            at = self.record.line(f"collector got {what} of build {TRIAL}: stage {numbers[HD_STAGE]} " + (
                f"count {numbers[HD_COUNT]}" if template == ATTEMPTS else f"cap {numbers[HD_CAP] / 1e6}"
            ))
            self.records.append((at, template, numbers))


class FailingPlatform(Platform):
    """Answers votes with 500 while it is failing. They are not carried out."""

    failing = False

    def answer(self, vote):
        if self.failing:
            return "500 Internal Server Error", {"error": "unavailable"}
        return super().answer(vote)


async def play(lab):
    record = lab.record
    old = [Instance(record, f"s-h{n}", "hobart", 41) for n in range(3)]
    new = [Instance(record, f"s-l{n}", "launceston", TRIAL) for n in range(2)]
    for instance in old + new:
        await lab.serve(instance)
    discovery = await lab.serve(Discovery(record, [i.entry() for i in old + new]))
    collector = await lab.serve(Collector(record))
    news = {"image": TRIAL, "ring": STAGE, "progress": "trial", "ceiling": CAP, "lag_ms": 4000}
    platform = await lab.serve(FailingPlatform(record, news))
    # The figures of port-louis-scan: stage 2 of 4 is 40% of the fleet under a cap of 0.8. Two of the three gateways do not vote.
    settings = lab.settings(
        exposure_caps=[0.06, 0.24, 0.8, 1.0], steps=[0.03, 0.12, 0.4, 1.0], spare_tries=2.0, votes_to_go=2
    )
    settings["balancers"] = 3
    settings["discovery"] = "on_request"
    settings["safety"]["drain_grace"] = 2000000
    extension = lab.folder / "with.json"
    flows = {
        "active_ms": 1000,
        "domain": 1,
        "collectors": [{"name": "main", "address": collector.address, "road": "tcp"}],
    }
    extension.write_text(json.dumps({"flows": flows}))
    port = free_port()
    config = lab.config("n0", port, discovery, settings, rollouts={"address": platform.address, "news": platform.state()})
    await lab.gateway("n0", port, config, extension)
    clients = [Client(record, port) for _ in range(16)]

    async def traffic(seconds, prefix):
        end, number, tasks = record.now() + seconds, 0, []
        while record.now() < end:
            client = clients[number % len(clients)]
            tasks.append(asyncio.create_task(client.request(f"{prefix}{number:06x}", "draft", 1500)))
            number += 1
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    await traffic(UP_S, "a")
    if TROUBLE:
        platform.failing = True
        record.line("votes end in errors")
    await traffic(ERRORS_S, "b")
    platform.failing = False
    record.line("votes are answered")
    await traffic(6.0, "c")
    for client in clients:
        client.leave()
    await asyncio.sleep(1.5)
    attempts = sum(n[HD_COUNT] for _, t, n in collector.records if t == ATTEMPTS)
    if not attempts:
        raise CannotRun("the collector got no record of the build on trial")
    wrong = [r for r in collector.records if r[2][HD_STAGE] != STAGE or (r[1] == SHARES and r[2][HD_CAP] != CAP * 1e6)]
    return [
        f"a record of {'attempts' if t == ATTEMPTS else 'the share'} of build {TRIAL}, got at {at:.3f} s, has stage {n[HD_STAGE]}"
        + (f" and counts {n[HD_COUNT]}" if t == ATTEMPTS else f" and cap {n[HD_CAP] / 1e6}")
        for at, t, n in wrong
    ]


main(__file__, play)
