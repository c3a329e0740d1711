"""A new version of the configuration gives a queue the priority 300."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import standin  # noqa: E402

# The rule's bounds: `config_apply_ms`, and `contact_ms` without any disruption before.
CONFIG_APPLY_S = 2.0


async def case(record, deployment, trouble):
    platform = deployment.platform
    platform.configure(1, [("level", "/level/", 0), ("rain", "/rain/", 100),
                           ("old", "/old/", 200)])
    await deployment.start(hosts=3, runners_per_zone=4)
    await asyncio.sleep(4)
    draw = random.Random(7)
    # Adds a queue and removes one; without the disruption the added one has a priority below 256.
    priority = 300 if trouble else 200
    platform.configure(2, [("level", "/level/", 0), ("rain", "/rain/", 100),
                           ("bulk", "/bulk/", priority)])
    acknowledged = record.now()
    record.write("configuration", version=2, priority=priority)
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    wrong, asked = [], 0
    while record.now() < acknowledged + 15:
        for host in deployment.hosts:
            for prefix, expected in (("/bulk/", 200), ("/old/", 404), ("/level/", 200)):
                job_id = f"{draw.getrandbits(64):016x}"
                status, _ = await standin.submit(
                    record, host.callers, prefix, job_id, 2, 60)
                asked += 1
                if (status == 404) != (expected == 404):
                    wrong.append(prefix)
                    record.write("CONFIG", host=host.name, prefix=prefix, status=status,
                                 after_s=round(record.now() - acknowledged, 1))
        await asyncio.sleep(0.5)
    # Not judged: whether the hosts are of use again once all were stopped and started together.
    for host in deployment.hosts:
        host.terminate()
    await asyncio.sleep(12)
    ready = [await host.is_ready() for host in deployment.hosts]
    record.write("summary", asked=asked, wrong=len(wrong), ready_after_restart=sum(ready))
    print(f"ready after all were stopped and started: {sum(ready)} of {len(ready)}")
    print(f"{len(wrong)} of {asked} requests handled as only the older version allows")
    return not wrong


standin.main(HERE, case)
