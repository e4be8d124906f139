"""A stand-in for a collector: reads IPFIX messages (RFC 7011) from a TCP connection and adds up the counts in them."""
import struct

ENTERPRISE = 32473
COUNT = (ENTERPRISE, 7)
ATTEMPTS, REQUESTS = 256, 257


class Decoder:
    """The messages of one transport session."""

    def __init__(self):
        self.buffer = b""
        self.templates = {}
        self.counts = {ATTEMPTS: 0, REQUESTS: 0}

    def feed(self, data):
        self.buffer += data
        while len(self.buffer) >= 16:
            version, length = struct.unpack("!HH", self.buffer[:4])
            if version != 10 or length < 16:
                raise ValueError("not an IPFIX message")
            if len(self.buffer) < length:
                return
            self.message(self.buffer[16:length])
            self.buffer = self.buffer[length:]

    def message(self, rest):
        while len(rest) >= 4:
            set_id, length = struct.unpack("!HH", rest[:4])
            body, rest = rest[4:length], rest[length:]
            if set_id in (2, 3):
                self.read_templates(body, set_id == 3)
            elif set_id in self.templates:
                self.read_records(set_id, body)

    def read_templates(self, body, has_scope):
        while len(body) >= 4:
            template, count = struct.unpack("!HH", body[:4])
            body = body[6 if has_scope else 4:]
            fields = []
            for _ in range(count):
                element, length = struct.unpack("!HH", body[:4])
                body = body[4:]
                enterprise = 0
                if element & 0x8000:
                    (enterprise,) = struct.unpack("!I", body[:4])
                    body = body[4:]
                fields.append(((enterprise, element & 0x7FFF), length))
            self.templates[template] = fields

    def read_records(self, template, body):
        fields = self.templates[template]
        shortest = sum(1 if length == 65535 else length for _, length in fields)
        while len(body) >= shortest:
            for element, length in fields:
                if length == 65535:
                    length, body = body[0], body[1:]
                    if length == 255:
                        (length,) = struct.unpack("!H", body[:2])
                        body = body[2:]
                value, body = body[:length], body[length:]
                if element == COUNT and template in self.counts:
                    self.counts[template] += int.from_bytes(value, "big")
