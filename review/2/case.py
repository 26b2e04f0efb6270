"""A machine of the core is replaced as planned; then another loses its disk."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import world as standins  # noqa: E402

# Three times the time that a new machine has to catch up.
SUCCESSOR_S = 12.0
DOWN_S = 3.0
# Longer than recovery_s (12) and contact_ms (3,000) together.
READS_S = 40.0


async def case(world, trouble):
    await world.start(servers=3)
    await world.wait_served()
    leader = await world.leader()
    removed = next(m for m in world.controls if m is not leader)
    successor = world.add_control(4)
    successor.zone = removed.zone
    successor.start()
    await asyncio.sleep(SUCCESSOR_S)
    if await world.leader() is not leader:
        raise standins.CannotRun("the leader has changed by itself")
    # Planned: the new machine came first, now the old one gets SIGTERM.
    removed.signal(signal.SIGTERM)
    await removed.ended()
    acknowledged_by = await world.put_config(2)
    if acknowledged_by is None:
        raise standins.CannotRun("version 2 was not acknowledged")
    if trouble:
        await acknowledged_by.lose_power()
        acknowledged_by.lose_disk()
        await asyncio.sleep(DOWN_S)
        acknowledged_by.start()
    ends_at = world.record.now() + READS_S
    versions, served = [], 0
    while world.record.now() < ends_at:
        version = await world.read_version()
        if version is not None:
            versions.append(version)
        for entry in world.entries:
            served += await world.request(entry) == 200
        if len(versions) >= 20:
            break
        await asyncio.sleep(0.5)
    expected = [removed]
    if world.ended_by_themselves(expected):
        raise standins.CannotRun("ended by itself: %s"
                                 % world.ended_by_themselves(expected))
    if not versions:
        return ["version 2 was acknowledged by %s, and no read of the "
                "configuration was answered in %d s; the last %d requests: "
                "%d served" % (acknowledged_by.name, READS_S, 3, sum(
                    [await world.request(e) == 200 for e in world.entries]))]
    if versions[-1] < 2:
        return ["version 2 was acknowledged, and %d is read back"
                % versions[-1]]
    return []


# TROUBLE=0 leaves the disruption out.
standins.main(HERE, case, os.environ.get("TROUBLE", "1") != "0")
