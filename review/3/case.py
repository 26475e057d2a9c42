"""An accepted job is submitted again after the controllers came back: is the answer 200, as it must be?"""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import *

# Jobs of earlier hours: more than one page of the state service (1,000 keys) holds.
EARLIER_JOBS = 1010
# Jobs that the last job of the pipeline names.
NEEDED = 17
# How long users repeat a submission, by the page.
USERS_REPEAT_S = 60.0


async def scenario(world, trouble):
    for name in world.names:
        await world.start_controller(name)
    await world.until_ready()
    # A pipeline is taken once all controllers have declared that they read it.
    await world.submit(job("wk-000001", "campo", run_s=600.0))
    await world.cancel("wk-000001", world.names[0])

    # The earlier jobs name a cancelled one: accepted as aborted, so that they fill the store in little time.
    gate = asyncio.Semaphore(30)

    async def earlier(number):
        async with gate:
            return await world.submit(job(f"wk-{100000 + number:06}", "campo", needs=["wk-000001"]))

    answers = await asyncio.gather(*[earlier(n) for n in range(EARLIER_JOBS)])
    accepted = sum(1 for status, _ in answers if status in (200, 201))
    world.record(accepted, "earlier jobs accepted,", len(world.state.data), "keys in the state service")
    if accepted < EARLIER_JOBS:
        raise CannotRun("not all earlier jobs were accepted")

    # The pipeline: jobs that run, and one that needs them all.
    needed = [f"wk-{500000 + n:06}" for n in range(NEEDED)]
    await asyncio.gather(*[world.submit(job(ref, "cantina", run_s=1.0)) for ref in needed])
    last = job("wk-600000", "cantina", needs=needed, run_s=1.0)
    status, _ = await world.submit(last)
    if status not in (200, 201) or await world.until_done("wk-600000", 40) != "done":
        raise CannotRun("the pipeline did not end")

    if trouble:
        for name in world.names:
            await world.kill_controller(name)
        await asyncio.sleep(3.0)
        for name in world.names:
            await world.start_controller(name)
        await world.until_ready()

    # The user's program repeats the submission. It is done: every poll says so.
    began = now()
    status, value = await world.submit(last, limit=USERS_REPEAT_S)
    world.record("the submission was repeated for", f"{now() - began:.1f} s, last answer", status, json.dumps(value))
    if status != 200:
        world.breaks("POST /api/jobs", "an accepted job was submitted again for 60 s and not once answered 200, but",
                     status, json.dumps(value))
    polled, value = await world.poll("wk-600000", world.names[0])
    world.record("a poll of the same job:", polled, json.dumps(value))


main(HERE, scenario, vindima_next)
