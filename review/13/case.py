"""Rule LOST: streams whose ids increase by more than one, around the stop of an
entry host. Exits with 10 if the rule was broken, 0 if it held, another code if
the case could not run; run.sh turns these into 1, 0 and 2."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join("review", "standins-3"))
from fleet import (FRONT, Engine, Fleet, Record, bring_up, configuration,
                   message, now, route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PIECES = 8
FIRST_PIECE_AFTER = 0.3
PIECE_INTERVAL = 0.25
# How much the id grows from a piece to the next: by one, or by the tokens of a
# piece (7 on the sheets of both small deployments).
STEPS = {"by-one": 1, "by-seven": 7}
STREAMS_PER_SECOND = 100.0
STOP_AT = 6.0
LENGTH = 12.0
GRACE_TIME = 8.0
STOP_SLACK = 1.0
# The platform gives a machine no new connections after two missed checks.
TAKEN_OUT_AFTER = 2.0
DEADLINE = 8.0


def piece(step, number):
    return f"id: {number * step}\ndata: piece {number}\n\n".encode()


class StreamEngine(Engine):
    """Answers /stream/NAME/... with whole pieces, in order, and never breaks
    off by itself."""

    async def answer(self, first, fields, writer):
        path = first.split(" ")[1]
        if not path.startswith("/stream/"):
            return await super().answer(first, fields, writer)
        attempt = fields.get("x-carobhinge-attempt-id", "")
        head = {"X-Carobhinge-Attempt-Id": attempt}
        if fields.get("x-carobhinge-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected", {
                **head, "X-Carobhinge-Not-Executed": "1",
                "Content-Length": 0}))
            return True
        self.arrivals.append((now(), attempt, "POST", path))
        writer.write(message("HTTP/1.1 200 OK", {
            **head, "X-Carobhinge-Server-Stamp": f"{self.id}.{attempt}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        step = STEPS[path.split("/")[2]]
        for number in range(1, PIECES + 1):
            await asyncio.sleep(PIECE_INTERVAL if number > 1
                                else FIRST_PIECE_AFTER)
            if writer.is_closing():  # The other side has closed.
                return False
            event = piece(step, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        return True


class Stream:
    """A client's stream on a connection of its own, read to its end."""

    def __init__(self, name, attempt, ip):
        self.name, self.attempt, self.ip = name, attempt, ip
        self.sent = self.ended = None
        self.status = ""
        self.pieces = 0
        self.is_whole = False

    async def run(self):
        try:
            await asyncio.wait_for(self.exchange(), DEADLINE + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pass
        self.ended = now()

    async def exchange(self):
        reader, writer = await asyncio.open_connection(self.ip, FRONT)
        try:
            writer.write(message(f"POST /stream/{self.name}/x HTTP/1.1", {
                "Host": "svc.example", "X-Carobhinge-Attempt-Id": self.attempt,
                "X-Carobhinge-Deadline-Ms": int(DEADLINE * 1000),
                "Content-Length": 0}))
            self.sent = now()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            self.status = head.splitlines()[0]
            if "text/event-stream" not in head:
                return
            text = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                text += await reader.readexactly(size)
                await reader.readexactly(2)
                self.pieces = text.count(b"\n\n")
            step = STEPS[self.name]
            self.is_whole = text == b"".join(
                piece(step, number) for number in range(1, PIECES + 1))
        finally:
            writer.close()

    def __str__(self):
        end = "whole" if self.is_whole else "connection ended, not whole"
        return (f"{self.attempt} {self.name} at {self.ip}: {self.status}, "
                f"{self.pieces} pieces of {PIECES}, {end}")


async def send_streams(fleet, end, stopped, streams, tasks):
    while now() < end:
        ip = random.choice(fleet.entry_ips)
        name = random.choice(sorted(STEPS))
        is_out = (stopped and ip == stopped[0] and
                  now() > stopped[1] + TAKEN_OUT_AFTER)
        if not is_out:
            streams.append(Stream(name, f"{len(streams) + 1:016x}", ip))
            tasks.append(asyncio.ensure_future(streams[-1].run()))
        await asyncio.sleep(random.expovariate(STREAMS_PER_SECOND))


async def stop_one(fleet, begin, stopped):
    """Stops an entry host and starts it again once it has ended."""
    await asyncio.sleep(begin + STOP_AT - now())
    name = "edge-0"
    fleet.send(name, 15)
    stopped.extend((fleet.entry_ips[0], now()))
    while fleet.processes[name].poll() is None:
        await asyncio.sleep(0.05)
    fleet.record.line(f"{name} has ended")
    fleet.restart(name)


def judge(record, engines, streams, stopped):
    ran = {attempt for engine in engines
           for _, attempt, _, _ in engine.arrivals}
    lost = {name: 0 for name in STEPS}
    for stream in streams:
        if stream.sent is None:
            continue
        is_lost = (bool(stopped) and stream.ip == stopped[0] and
                   stopped[1] <= stream.ended
                   <= stopped[1] + GRACE_TIME + STOP_SLACK and
                   stream.attempt in ran and not stream.is_whole and
                   stream.status.startswith("HTTP/1.1 200") and
                   stream.ended - stream.sent < DEADLINE / 2)
        lost[stream.name] += is_lost
        record.line(f"{stream}{'; LOST' if is_lost else ''}", stream.sent)
    for name in sorted(STEPS):
        mine = [each for each in streams if each.name == name]
        whole = sum(each.is_whole for each in mine)
        record.line(f"ids {name}: {len(mine)} streams, {whole} whole; at the "
                    f"host that is stopped, read, passed on to an engine and "
                    f"ended without a complete answer: {lost[name]}")
    return 1 if sum(lost.values()) > 0 else 0


async def main(record):
    fleet = Fleet(record)
    engines = [StreamEngine(fleet, index) for index in range(8)]
    streams, tasks, stopped = [], [], []
    try:
        await bring_up(fleet, engines, configuration(1, [
            route("stream", "/stream/", "streaming", timeout_ms=8000,
                  itl_target_ms=300)]))
        begin = now()
        work = [send_streams(fleet, begin + LENGTH, stopped, streams, tasks)]
        if TROUBLE:
            work.append(stop_one(fleet, begin, stopped))
        await asyncio.gather(*work)
        await asyncio.gather(*tasks)
        return judge(record, engines, streams, stopped)
    finally:
        fleet.stop()


if __name__ == "__main__":
    RECORD = Record(os.path.join("review", "13", "record.txt"))
    try:
        CODE = asyncio.run(main(RECORD))
    except Exception as failure:  # The case could not run.
        RECORD.line(f"could not run: {failure!r}")
        CODE = 2
    RECORD.line(f"exit {CODE}")
    RECORD.close()
    sys.exit(10 if CODE == 1 else CODE)
