"""Reads IPFIX messages (RFC 7011), with the elements of docs/flows.md."""

ENTERPRISE = 32473
HD_BUILD, HD_STAGE, HD_COUNT, HD_CAP = 1, 2, 7, 13
ATTEMPTS, REQUESTS, SHARES = 256, 257, 258


class Messages:
    """Reads messages. `on_record(template, numbers)` gets the project's own elements of each record, as numbers."""

    def __init__(self, on_record):
        self.on_record = on_record
        self.templates = {}
        self.rest = b""

    def stream(self, data):
        """Reads what has arrived on a stream."""
        self.rest += data
        while len(self.rest) >= 16 and len(self.rest) >= int.from_bytes(self.rest[2:4], "big"):
            self.rest = self.rest[self.message(self.rest) :]

    def message(self, data):
        """Reads one message. Returns how many octets it has."""
        length = int.from_bytes(data[2:4], "big")
        at = 16
        while at + 4 <= length:
            set_id = int.from_bytes(data[at : at + 2], "big")
            set_length = int.from_bytes(data[at + 2 : at + 4], "big")
            body = data[at + 4 : at + set_length]
            if set_id == 2:
                self._templates(body)
            elif set_id >= 256:
                self._records(set_id, body)
            at += max(set_length, 4)
        return length

    def _templates(self, body):
        at = 0
        while at + 4 <= len(body):
            template = int.from_bytes(body[at : at + 2], "big")
            count = int.from_bytes(body[at + 2 : at + 4], "big")
            if template == 0:
                return
            at += 4
            fields = []
            for _ in range(count):
                element = int.from_bytes(body[at : at + 2], "big")
                size = int.from_bytes(body[at + 2 : at + 4], "big")
                at += 4
                enterprise = 0
                if element & 0x8000:
                    enterprise = int.from_bytes(body[at : at + 4], "big")
                    at += 4
                fields.append((enterprise, element & 0x7FFF, size))
            self.templates[template] = fields

    def _records(self, template, body):
        fields = self.templates.get(template)
        if not fields:
            return
        shortest = sum(1 if size == 65535 else size for _, _, size in fields)
        at = 0
        while at + shortest <= len(body):
            numbers = {}
            for enterprise, element, size in fields:
                if size == 65535:
                    size = body[at]
                    at += 1
                    if size == 255:
                        size = int.from_bytes(body[at : at + 2], "big")
                        at += 2
                if enterprise == ENTERPRISE:
                    numbers[element] = int.from_bytes(body[at : at + size], "big")
                at += size
            self.on_record(template, numbers)
