"""A replica of an `Apart` service is never started again after its zone was cut off: the new machine is in the wrong zone."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))
import world as stand_ins

ZONES = ["vale-norte", "vale-sul", "serra-alta", "campanha"]
PARREIRA = {"Label": "parreira", "Cpus": 8, "Gpus": 0, "MemGb": 32, "LocalGb": 70, "FetchGbPerS": 1.0, "Hourly": 0.55, "SpotPrice": 0.14,
            "ReadyS": 50, "Parcelas": ZONES}
SERVICE = "wk-000001"
CUT_ZONE, CUT_S = "campanha", 45.0


async def case(world):
    # At times machines are up within a second or two.
    world.cloud.boot_s = lambda kind: 2.0
    # Two machines are up at the start, in two zones.
    for zone in ("vale-norte", CUT_ZONE):
        world.cloud.start(PARREIRA, zone, False)
    await asyncio.sleep(9)
    # A replica fills a machine. At most one of the two may be in one zone.
    service = world.job(SERVICE, Feitio="standing", Tarefas=2, Cpus=8.0, MemGb=8.0, PrevisaoS=0.0, Avulsas=False, Apart=True)
    if (await world.submit(service))[0] != 201:
        raise RuntimeError("the service was not accepted")
    for _ in range(16):
        await asyncio.sleep(1)
        if len(world.on_machine.get(SERVICE, ())) == 2:
            break
    else:
        raise RuntimeError("the service does not run")
    await asyncio.sleep(1)
    if stand_ins.trouble():
        world.record("DISRUPTION: a zone is cut off from everything", zone=CUT_ZONE)
        for machine in world.cloud.machines.values():
            machine.cut = machine.zone == CUT_ZONE
    held = False
    for second in range(82):
        await asyncio.sleep(1)
        if second == CUT_S:
            for machine in world.cloud.machines.values():
                machine.cut = False
            world.record("DISRUPTION ends", zone=CUT_ZONE)
        running = sorted((w.name, w.zone) for (_, _, w) in world.on_machine.get(SERVICE, ()))
        if second % 5 == 0:
            _, value = await world.poll(SERVICE)
            world.record("replicas", on_machines=running, poll=value, machines=[(m.name, m.zone) for m in world.cloud.machines.values()])
        if len(running) == 2 and second > CUT_S + 5:
            held = True
            break
    world.record("result", replicas_running=running, of=2, machines=[(m.name, m.zone) for m in world.cloud.machines.values()])
    return held


stand_ins.run(case, FOLDER, members=3, zones=ZONES, types=[PARREIRA], teams={"cantina": (136.0, 384.0), "campo": (72.0, 192.0)},
              workers={"report_s": 3.0, "lease_s": 22.0, "cancel_s": 52.0},
              state={"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48}, cloud={"rps": 6.0, "list_lag_s": 3.0})
