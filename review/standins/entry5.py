"""A trial for entry 5 of KNOWN-RED.txt, no case of the review: a sound part of
prompts is refused, because its requests were at servers that crashed for no
reason of theirs. Exits as run.sh of a case does; TROUBLE=0 leaves the crashes out.
"""

import asyncio
import os
import random
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import world as standins  # noqa: E402

# Shared by the requests of one session; the last part is each request's own.
PART = "5c1e07a2"
LONG_S = 7.5
CRASHES = 10
EVERY_S = 3.0
DOWN_S = 2.2


class Server(standins.Server):
    async def answer(self, writer, first, headers, body):
        self.work_s = LONG_S if headers.get(
            "x-carobhinge-prefix-hash", "").startswith(PART) else 0.02
        await super().answer(writer, first, headers, body)


async def case(world, trouble):
    standins.Server = Server
    # As the largest kind of requests of the site.
    world.timeout_ms = 8000
    await world.start(servers=3)
    await world.wait_served()
    await asyncio.sleep(4.0)
    ends = []
    stopped = asyncio.Event()

    async def short_requests():
        while not stopped.is_set():
            await asyncio.gather(*[world.request(e) for e in world.entries])
            ends.extend([0] * len(world.entries))
            await asyncio.sleep(0.1)

    async def session():
        while not stopped.is_set():
            prefix = "%s:800,%x:250" % (PART, random.getrandbits(32))
            status = await world.request(
                world.entries[0], deadline_ms=8000,
                headers={"X-Carobhinge-Prefix-Hash": prefix})
            ends.append(status)
            await asyncio.sleep(1.0 if status == 400 else 0.2)

    tasks = [asyncio.create_task(short_requests()),
             asyncio.create_task(session())]
    # One server at a time, by turns.
    for i in range(CRASHES if trouble else 3):
        server = world.servers[i % 3]
        if trouble:
            world.record.write("server %s crashes" % server.name)
            await server.stop()
        await asyncio.sleep(DOWN_S)
        if trouble:
            await server.restart()
        await asyncio.sleep(EVERY_S - DOWN_S)
    refused_before = ends.count(400)
    await asyncio.sleep(25.0)
    stopped.set()
    await asyncio.gather(*tasks)
    allowed = 5 + len(ends) / 500
    if ends.count(400) <= allowed:
        return []
    return ["%d requests (%d of them after the last crash) were refused with 400; "
            "of %d in all, %d may be" % (
                ends.count(400), ends.count(400) - refused_before, len(ends),
                allowed)]


standins.main(tempfile.mkdtemp(prefix="carobhinge-review-"), case,
              os.environ.get("TROUBLE", "1") != "0")
