"""A job that was submitted with a mistake, and cancelled by its user, keeps other accepted jobs from ever running."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))
import world as stand_ins

ZONES = ["vale-norte", "vale-sul", "serra-alta", "campanha"]
LAGAR = {"Label": "lagar", "Cpus": 32, "Gpus": 0, "MemGb": 128, "LocalGb": 70, "FetchGbPerS": 1.0, "Hourly": 2.32, "SpotPrice": 0.6,
         "ReadyS": 20, "Parcelas": ZONES}
SERVICE, MISTAKE, SOUND = "wk-000001", "wk-000002", "wk-000003"


async def case(world):
    world.cloud.boot_s = lambda kind: 12.0
    world.fails = lambda task: task.startswith(MISTAKE + "/")
    # A service of 24 CPUs. The machine that is rented for it has 32.
    service = world.job(SERVICE, Feitio="standing", Tarefas=3, Cpus=8.0, MemGb=8.0, PrevisaoS=0.0, Avulsas=False)
    if (await world.submit(service))[0] != 201:
        raise RuntimeError("the service was not accepted")
    for _ in range(30):
        await asyncio.sleep(1)
        if len(world.on_machine.get(SERVICE, ())) == 3:
            break
    else:
        raise RuntimeError("the service does not run")
    if stand_ins.trouble():
        world.record("DISRUPTION: a job with a mistake is submitted; each of its tasks fails on every machine")
        mistake = world.job(MISTAKE, Tarefas=4, Cpus=2.0, PrevisaoS=9.0)
        if (await world.submit(mistake))[0] != 201:
            raise RuntimeError("the job with a mistake was not accepted")
        await asyncio.sleep(8)
        if await world.cancel(MISTAKE) != "aborted":
            raise RuntimeError("the job with a mistake was not cancelled")
        world.record("DISRUPTION ends: its user has cancelled it")
        await asyncio.sleep(3)
    # 4 CPUs: there are 8 free on the machine, and the cloud rents as many machines as are asked for.
    status, _, _ = await world.submit(world.job(SOUND, Tarefas=1, Cpus=4.0, PrevisaoS=5.0))
    if status != 201:
        raise RuntimeError("the sound job was not accepted")
    done = await world.until_state(SOUND, "done", 62)
    world.record("result", sound_job_done=done, machines=list(world.cloud.machines), worker_leases_expired=world.lease_expired)
    return done


stand_ins.run(case, FOLDER, members=3, zones=ZONES, types=[LAGAR], teams={"cantina": (136.0, 384.0), "campo": (72.0, 192.0)},
              workers={"report_s": 3.0, "lease_s": 22.0, "cancel_s": 52.0},
              state={"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48}, cloud={"rps": 6.0, "list_lag_s": 3.0})
