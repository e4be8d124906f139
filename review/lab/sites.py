"""Two sites with one gateway each, and the link between them, a pair of UDP sockets that may drop datagrams."""

import asyncio
import json
import subprocess

from lab import HOST, ROOT, CannotRun, Discovery, free_port

PROGRAM = ROOT / "target" / "release" / "harrierdock"


class Front(asyncio.DatagramProtocol):
    """The address under which a gateway is reached from the other site."""

    def __init__(self, link, behind):
        self.link, self.behind = link, behind

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.link.pass_on(self, data)


class Link:
    """The link between the sites. `drops(towards, data)` says whether a datagram towards a site is lost."""

    def __init__(self, record):
        self.record = record
        self.fronts = {}
        self.drops = lambda towards, data: False
        self.delay = 0.001
        self.lost = self.passed = 0

    async def open(self, addresses):
        loop = asyncio.get_running_loop()
        for site, behind in addresses.items():
            transport, front = await loop.create_datagram_endpoint(
                lambda behind=behind: Front(self, behind), local_addr=(HOST, 0)
            )
            front.site = site
            self.fronts[site] = front
        return {site: f"{HOST}:{f.transport.get_extra_info('sockname')[1]}" for site, f in self.fronts.items()}

    def pass_on(self, front, data):
        """A datagram that arrives at a site's front goes to the gateway there, and comes from the other front."""
        if self.drops(front.site, data):
            self.lost += 1
            return
        self.passed += 1
        other = next(f for f in self.fronts.values() if f is not front)
        asyncio.get_running_loop().call_later(self.delay, other.transport.sendto, data, (HOST, front.behind))

    def close(self):
        for front in self.fronts.values():
            front.transport.close()


def program(*arguments):
    result = subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, cwd=ROOT, timeout=20)
    if result.returncode:
        raise CannotRun(f"harrierdock {arguments[0]}: {result.stderr.strip()}")
    return result.stdout


async def two_sites(lab, instances, settings, extension=None):
    """Starts the gateways h0 and l0 and waits until each has a usable path. Returns their ports, the link and the control paths."""
    names = {"hobart": "h0", "launceston": "l0"}
    keys = lab.folder / "keys"
    program("keys", "authority", str(keys))
    program("keys", "issue", str(keys), *[f"{site}/{name}" for site, name in names.items()])
    listens = {site: free_port("udp") for site in names}
    link = Link(lab.record)
    reached = await link.open(listens)
    ports, controls = {}, {}
    for site, name in names.items():
        other = next(s for s in names if s != site)
        controls[site] = lab.folder / f"{name}.sock"
        sites = {
            "site": site,
            "gateway": name,
            "listen": f"{HOST}:{listens[site]}",
            "reached_at": reached[site],
            "other": {"site": other, "gateways": [{"gateway": names[other], "address": reached[other]}]},
            "keys": {
                "authority": str(keys / "authority.pem"),
                "certificate": str(keys / f"{site}-{name}.pem"),
                "key": str(keys / f"{site}-{name}.key"),
            },
            "control": str(controls[site]),
            "groups_spanning": [],
            **(extension or {}),
        }
        path = lab.folder / f"{name}-with.json"
        path.write_text(json.dumps({"sites": sites}))
        discovery = await lab.serve(Discovery(lab.record, [i.entry() for i in instances if i.zone == site]))
        ports[site] = free_port()
        config = lab.config(name, ports[site], discovery, settings(site))
        await lab.gateway(name, ports[site], config, path)
    for _ in range(100):
        states = [json.loads(program("site", "--control", str(c), "status")) for c in controls.values()]
        if all('"road": true' in json.dumps(s) for s in states):
            lab.record.line("both gateways have a usable path")
            return ports, link, controls
        await asyncio.sleep(0.1)
    raise CannotRun("no path between the sites after 10 s")
