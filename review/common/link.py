"""A UDP relay: the line between two gateways. It can drop or hold back datagrams."""
import asyncio
import random


class Line(asyncio.DatagramProtocol):
    """Relays datagrams between two gateways. Each end is reached at a port of the relay of its own."""

    def __init__(self):
        self.loss = 0.0  # share of datagrams that is lost
        self.cut = False  # all datagrams are lost
        self.hold = None  # a list while datagrams are held back
        self.rng = random.Random(1)
        self.dropped = self.passed = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.sides = []
        for index in range(2):
            transport, _ = await loop.create_datagram_endpoint(
                lambda index=index: Side(self, index), local_addr=("127.0.0.1", 0))
            self.sides.append(transport)
        self.ports = [side.get_extra_info("sockname")[1] for side in self.sides]
        self.targets = [None, None]  # the gateway behind each side
        return self

    def arrived(self, index, data):
        """A datagram sent to the address that stands for gateway `index`."""
        if self.cut or self.rng.random() < self.loss:
            self.dropped += 1
            return
        self.passed += 1
        if self.hold is not None:
            self.hold.append((index, data))
            return
        self.deliver(index, data)

    def deliver(self, index, data):
        # It comes from the address that stands for the other gateway.
        if self.targets[index]:
            self.sides[1 - index].sendto(data, ("127.0.0.1", self.targets[index]))

    def release(self):
        held, self.hold = self.hold, None
        for index, data in held:
            self.deliver(index, data)


class Side(asyncio.DatagramProtocol):
    def __init__(self, line, index):
        self.line, self.index = line, index

    def connection_made(self, transport):
        pass

    def datagram_received(self, data, address):
        self.line.arrived(self.index, data)

    def error_received(self, error):
        pass
