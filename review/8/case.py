"""Runners crash and start again under their former id, as runners of another kind."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import standin  # noqa: E402

DOWN_S = 2.0


async def clients(record, deployment, needs, counts, stop):
    draw = random.Random(7)
    while not stop.is_set():
        host = draw.choice(deployment.hosts)
        job_id = f"{draw.getrandbits(64):016x}"
        needs[job_id] = "b"

        async def one(port=host.callers, job_id=job_id):
            status, _ = await standin.submit(
                record, port, "/level/", job_id, 4, 200, requirements="b"
            )
            counts.append(status)

        asyncio.create_task(one())
        await asyncio.sleep(0.03)


async def case(record, deployment, trouble):
    platform = deployment.platform
    needs, counts, wrong = {}, [], []

    def check(runner, run):
        need = needs.get(run.task.split(".")[0])
        if need is not None and need not in runner.labels:
            wrong.append(run.task)
            record.write("ROUTE", task=run.task, runner=runner.id, life=runner.life,
                         labels=",".join(runner.labels), requirement=need)

    platform.on_start = check
    platform.configure(1, [("level", "/level/", 0)])
    # As on the sheet: two runners of kind a for each of kind b, and three halls; 16 a hall.
    await deployment.start(hosts=3, runners_per_zone=16,
                           labels=lambda number: ["b" if number % 2 else "a", f"r{number % 6}"])
    stop = asyncio.Event()
    load = asyncio.create_task(clients(record, deployment, needs, counts, stop))
    await asyncio.sleep(5)
    # 15 % of the servers crash.
    crashing = [runner for runner in platform.runners if "b" in runner.labels][:7]
    for runner in crashing:
        await runner.crash()
    await asyncio.sleep(DOWN_S)
    for runner in crashing:
        if trouble:
            runner.labels = ["a", runner.labels[1]]
        await runner.start()
    await asyncio.sleep(6)
    stop.set()
    await load
    await asyncio.sleep(2)
    record.write("summary", answered=len(counts), success=counts.count(200), wrong=len(wrong))
    print(f"{counts.count(200)} of {len(counts)} jobs with success; "
          f"{len(wrong)} starts on a runner without the label")
    return not wrong


standin.main(HERE, case)
