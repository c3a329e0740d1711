"""Entries of another writer whose keys hold a blank, and a restart of the hosts.

FORM=kill (the default): all hosts are killed at once, as at the end of a day; the rule is RECOVER.
FORM=roll: they are stopped and started in turn; the rule is Fault.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import standin  # noqa: E402

# Entries that can't be read, of at most `row_bytes` (65,536): together over one page (1 MB).
ENTRIES = 20
ENTRY_BYTES = 60_000
# Fault: processes end on their own three times in the day on at least two machines.
OWN_ENDS, MACHINES = 3, 2
# RECOVER: `recovery_s`, and the share that has to be served before and after.
RECOVERY_S, SHARE = 12.0, 0.25
FORM = os.environ.get("FORM", "kill")


async def clients(record, deployment, counts, stop):
    draw = random.Random(7)
    while not stop.is_set():
        host = draw.choice(deployment.hosts)
        job_id = f"{draw.getrandbits(64):016x}"

        async def one(port=host.callers, job_id=job_id):
            status, _ = await standin.submit(record, port, "/level/", job_id, 2, 100)
            counts.append((record.now(), status))

        asyncio.create_task(one())
        await asyncio.sleep(0.1)


def served(counts, since):
    after = [status for at, status in counts if at >= since]
    return sum(status == 200 for status in after), len(after)


async def case(record, deployment, trouble):
    platform = deployment.platform
    platform.configure(1, [("level", "/level/", 0)])
    await deployment.start(hosts=3, runners_per_zone=4)
    counts, stop = [], asyncio.Event()
    load = asyncio.create_task(clients(record, deployment, counts, stop))
    await asyncio.sleep(5)
    if trouble:
        for number in range(ENTRIES):
            platform.store.put("servers", f"rack {number:02}", os.urandom(ENTRY_BYTES))
        record.write("foreign-entries", count=ENTRIES, bytes=ENTRY_BYTES)
    await asyncio.sleep(3)
    before = served(counts, record.now() - 3)
    if FORM == "kill":
        for host in deployment.hosts:
            host.kill()
        # The processes are started again after 0.5 s.
        await asyncio.sleep(1 + RECOVERY_S)
    else:
        for host in deployment.hosts:
            host.terminate()
            await asyncio.sleep(8)
    since = record.now()
    await asyncio.sleep(8)
    stop.set()
    await load
    after = served(counts, since)
    own_ends = {host.name: len(host.own_ends) for host in deployment.hosts}
    record.write("own-ends", **own_ends)
    record.write("served", before=before, after=after)
    print(f"own ends: {own_ends}; answered with success: {before} before, {after} after")
    if FORM == "kill":
        return not (before[0] >= SHARE * before[1] and after[0] < SHARE * after[1])
    return sum(ends >= OWN_ENDS for ends in own_ends.values()) < MACHINES


standin.main(HERE, case)
