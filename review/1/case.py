"""A job with a mistake fails on the machines until its user cancels it. Do other jobs still start there afterwards?"""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import *

# "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
WAITING_S = 90.0


async def scenario(world, trouble):
    for name in world.names:
        await world.start_controller(name)
    await world.until_ready()

    # Each machine has one replica of a service: jobs bound to its zone and type.
    machines = {n: m for n, m in world.cloud.machines.items()}
    for number, (name, machine) in enumerate(sorted(machines.items())):
        await world.submit(job(f"wk-{100 + number:06}", "acerto", cpus=1.0, mem=1.0, Feitio="standing", PrevisaoS=0.0,
                               Modelos=[machine["model"]], Parcela=machine["zone"]))
    end = now() + 20
    while set(world.on.values()) != set(machines):
        if now() > end:
            raise CannotRun("the services do not run on each machine")
        await asyncio.sleep(0.1)

    if trouble:
        # Submitted with a mistake: fails wherever it runs. Its user cancels it after some seconds.
        failed = set()
        left = world.left

        def leaves(worker, task, attempt, why):
            left(worker, task, attempt, why)
            if why == "error":
                failed.add(worker.name)

        world.left = leaves
        await world.submit(job("wk-000200", "cantina", tasks=42, run_s=9.0, fails=True))
        end = now() + 15
        while now() < end and failed != set(machines):
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        world.record("the faulty job has failed on", json.dumps(sorted(failed)))
        if await world.cancel("wk-000200", world.names[0]) != "aborted":
            raise CannotRun("the job was not cancelled")
        end = now() + 10
        while any(t.startswith("wk-000200/") for m in world.cloud.machines.values() if m["worker"]
                  for t in m["worker"].tasks):
            if now() > end:
                raise CannotRun("tasks of the cancelled job are left")
            await asyncio.sleep(0.1)
        world.record("the cancelled job is gone from all machines: the trouble is over")

    # Another team's job, well inside its guarantee.
    good = job("wk-000300", "campo", tasks=4, run_s=5.0)
    await world.submit(good)
    began = now()
    room_since = {}
    while now() - began < WAITING_S + 2.0 and not any(t.startswith("wk-000300/") for t in world.on) \
            and "wk-000300/0" not in world.done:
        # Which machines that fit have had room all the while: up, reporting, and their tasks leave enough.
        for name, machine in world.cloud.machines.items():
            worker = machine["worker"]
            kind = next(t for t in world.cloud.types if t["Label"] == machine["model"])
            used = [world.jobs[t.split("/")[0]] for t, e in (worker.tasks.items() if worker else ()) if e["state"] != "exited"]
            fits = (worker is not None and worker.alive and now() - worker.answered < 2 * worker.timing["report_s"]
                    and sum(j["Cpus"] for j in used) + good["Cpus"] <= kind["Cpus"]
                    and sum(j["MemGb"] for j in used) + good["MemGb"] <= kind["MemGb"])
            if fits:
                room_since.setdefault(name, now())
            else:
                room_since.pop(name, None)
        await asyncio.sleep(0.2)
    waited = now() - began
    room = sorted(n for n, at in room_since.items() if now() - at >= WAITING_S)
    world.record("wk-000300 waited", f"{waited:.1f} s; machines that fit and had room all the while:", json.dumps(room))
    if waited >= WAITING_S and room:
        await world.poll("wk-000300", world.names[0])
        world.breaks("left waiting", f"wk-000300 (4 tasks of 2 CPUs; its team uses nothing else) has waited {waited:.1f} s "
                     f"without a start, while {len(room)} machines that fit had room: {' '.join(room)}")


main(HERE, scenario, vindima)
