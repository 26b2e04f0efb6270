"""A client that keeps its connection open for many requests."""

import asyncio
import random

import world as standins


class KeptClient:
    def __init__(self, world, entry):
        self.world, self.entry = world, entry
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.ip, standins.FRONT)

    def head(self, method, attempt, fields):
        self.world.number += 1
        prefix = "/puxa403/" if method == "POST" else "/lohu930/"
        return ("%s %s%x HTTP/1.1\r\nHost: %s\r\n"
                "X-Carobhinge-Attempt-Id: %s\r\n"
                "X-Carobhinge-Deadline-Ms: 1500\r\nX-Carobhinge-Key: %s\r\n"
                "%s\r\n" % (method, prefix, self.world.number, standins.HOST,
                            attempt, standins.KEY, fields)).encode()

    async def request(self, method="GET"):
        """Returns the status, 0 if the connection ended without an answer."""
        attempt = "%016x" % random.getrandbits(64)
        body = b"" if method == "GET" else b"sheet=1"
        fields = "Content-Length: %d\r\n" % len(body) if body else ""
        self.world.sent[attempt] = (self.world.record.now(), self.entry.name)
        self.world.record.write("client: %s %s on a kept connection to %s" % (
            attempt, method, self.entry.name))
        status = 0
        try:
            self.writer.write(self.head(method, attempt, fields) + body)
            async with asyncio.timeout(3.0):
                first, _, _ = await standins.read_message(self.reader)
            status = int(first.split()[1])
        except (OSError, EOFError):
            pass
        except asyncio.TimeoutError:
            status = -1
        self.world.record.write("client: %s gets %s" % (
            attempt, {0: "a closed connection", -1: "nothing"}.get(
                status, status)))
        return attempt, status
