"""Replicas that a wave took with their cheap machine are not started again on ordinary machines, which are to be had."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))
import world as stand_ins

ZONES = ["central", "pacifico", "caribe"]
CISTERNA = {"Label": "cisterna", "Cpus": 16, "Gpus": 0, "MemGb": 128, "LocalGb": 40, "FetchGbPerS": 0.5, "Hourly": 1.4, "SpotPrice": 0.57,
            "ReadyS": 20, "Parcelas": ZONES}
ORDINARY = {"central": 2, "pacifico": 2, "caribe": 3}
SERVICE, REPLICAS = "wk-000001", 6


async def case(world):
    # At times machines are up within a second or two.
    world.cloud.boot_s = lambda kind: 2.0
    cheap = {"central": 0, "pacifico": 0, "caribe": 3}
    world.cloud.capacity = lambda kind, zone, spot: (cheap if spot else ORDINARY)[zone]
    # Two replicas fit on a machine; they may use cheap machines.
    service = world.job(SERVICE, Feitio="standing", Tarefas=REPLICAS, Cpus=8.0, MemGb=8.0, PullGb=0.5, PrevisaoS=0.0, Avulsas=True)
    if (await world.submit(service))[0] != 201:
        raise RuntimeError("the service was not accepted")
    for _ in range(30):
        await asyncio.sleep(1)
        if len(world.on_machine.get(SERVICE, ())) == REPLICAS:
            break
    else:
        raise RuntimeError("the service does not run")
    await asyncio.sleep(3)
    if stand_ins.trouble():
        taken = next(m.name for m in world.cloud.machines.values() if m.spot)
        cheap["caribe"] = 2
        world.record("DISRUPTION: one of three cheap machines is taken back, and the cloud has no other to give", machine=taken)
        world.cloud.remove(taken)
    held = False
    for second in range(80):
        await asyncio.sleep(1)
        running = len(world.on_machine.get(SERVICE, ()))
        if second % 5 == 0:
            _, value = await world.poll(SERVICE)
            world.record("replicas", on_machines=running, poll=value,
                         machines=[(m.name, m.zone, "cheap" if m.spot else "ordinary") for m in world.cloud.machines.values()])
        if running == REPLICAS and second > 20:
            held = True
            break
    world.record("result", replicas_running=running, of=REPLICAS, machines=list(world.cloud.machines))
    return held


stand_ins.run(case, FOLDER, members=3, zones=ZONES, types=[CISTERNA], teams={"riesgo": (112.0, 280.0), "socios": (88.0, 280.0)},
              workers={"report_s": 1.5, "lease_s": 10.0, "cancel_s": 35.0},
              state={"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12}, cloud={"rps": 2.0, "list_lag_s": 4.0},
              limits={"core_share": 0.12, "mem_mb": 72.0, "sockets": 1200})
