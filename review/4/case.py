"""An entry machine answers by an older configuration than it has shown."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import world as standins  # noqa: E402

FREEZE_S = 4.0
REVERT_SLACK_S = 0.25
# All servers of the service stand in one zone, whose servers come back cold.
ZONE = "zagazig-c"
REQUESTS = 6


async def case(world, trouble):
    # The service's requests may last as long as those of the site's streams.
    world.timeout_ms = 8000
    await world.start(servers=3, zones=[ZONE])
    await world.wait_served()
    await asyncio.sleep(4.0)
    entry, frozen = world.entries[0], world.entries[1]
    frozen_at = world.record.now()
    if trouble:
        frozen.signal(signal.SIGSTOP)
    if await world.put_config(2) is None:
        raise standins.CannotRun("version 2 was not acknowledged")
    # A route of version 2: a server sees its effect, sent on by `entry`.
    end = world.record.now() + 1.0
    while await world.request(entry, prefix="/v2/") != 200:
        if world.record.now() > end:
            raise standins.CannotRun("version 2 is not in force")
    seen_at = world.record.now()
    if trouble:
        world.record.write("the servers of %s are down" % ZONE)
        for server in world.servers:
            await server.stop()
    await asyncio.sleep(REVERT_SLACK_S + 0.05)
    sent_at = world.record.now()
    tasks = []
    for _ in range(REQUESTS):
        tasks.append(asyncio.create_task(world.request(
            entry, prefix="/v2/", deadline_ms=8000)))
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - world.record.now()))
    if trouble:
        frozen.signal(signal.SIGCONT)
        for server in world.servers:
            await server.restart()
        world.record.write("the servers of %s are back" % ZONE)
    statuses = await asyncio.gather(*tasks)
    world.record.write("answers: %s" % {
        each: statuses.count(each) for each in sorted(set(statuses))})
    if world.ended_by_themselves():
        raise standins.CannotRun("ended by itself: %s"
                                 % world.ended_by_themselves())
    late = statuses.count(404)
    if not late:
        return []
    return ["%d of %d requests on a route of version 2, sent to %s %.2f s or "
            "more after a server had run one that %s had sent on, were answered "
            "with 404 by it: only version 1 lacks the route"
            % (late, len(statuses), entry.name, sent_at - seen_at,
               entry.name)]


# TROUBLE=0 leaves the disruption out.
standins.main(HERE, case, os.environ.get("TROUBLE", "1") != "0")
