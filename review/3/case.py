"""Servers that leave are in use again after the leader has changed."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import world as standins  # noqa: E402

# The server serves on for this long after the acknowledgement.
SERVES_ON_S = 10.0


async def case(world, trouble):
    await world.start(servers=3)
    await world.wait_served()
    await asyncio.sleep(4.0)
    leader = await world.leader()
    # Nothing has disturbed the core since its start.
    leaving = world.servers[0]
    acknowledged_by = await leaving.leave(leader)
    acknowledged_at = leaving.left_at
    stable_at = 0.0
    if trouble:
        await asyncio.sleep(0.5)
        # Machines of the system are stopped and started in turn.
        leader.signal(signal.SIGTERM)
        await leader.ended()
        leader.start()
        stable_at = world.record.now() + standins.CONTACT_S
    counted_from = max(acknowledged_at + standins.DRAIN_S, stable_at)
    tasks = []
    while world.record.now() < acknowledged_at + SERVES_ON_S - 1.0:
        for entry in world.entries:
            tasks.append(asyncio.create_task(world.request(entry)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    await leaving.stop()
    if world.ended_by_themselves():
        raise standins.CannotRun("ended by itself: %s"
                                 % world.ended_by_themselves())
    breaks = []
    for at, attempt in leaving.runs:
        sent_at, entry = world.sent[attempt]
        if sent_at > counted_from + 0.5:
            breaks.append(
                "%s, sent to %s at %.3f s, reached %s at %.3f s, %.1f s after "
                "%s acknowledged that it left" % (
                    attempt, entry, sent_at, leaving.name, at,
                    at - acknowledged_at, acknowledged_by.name))
    return breaks


# TROUBLE=0 leaves the disruption out.
standins.main(HERE, case, os.environ.get("TROUBLE", "1") != "0")
