"""Replicas of a service that failed on a machine that was faulty for a while are never started again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))
import world as stand_ins

ZONES = ["vale-norte", "vale-sul", "serra-alta", "campanha"]
LAGAR = {"Label": "lagar", "Cpus": 32, "Gpus": 0, "MemGb": 128, "LocalGb": 70, "FetchGbPerS": 1.0, "Hourly": 2.32, "SpotPrice": 0.6,
         "ReadyS": 20, "Parcelas": ZONES}
SERVICE, REPLICAS = "wk-000001", 6
SICK_S = 12.0


async def case(world):
    # At times machines are up within a second or two.
    world.cloud.boot_s = lambda kind: 2.0
    rent = world.cloud.start

    def start(kind, zone, spot):
        machine = rent(kind, zone, spot)
        if len(world.cloud.machines) == 1 and stand_ins.trouble():
            machine.sick = True
            world.record("DISRUPTION: this machine fails every task that it starts", machine=machine.name)
            world.spawn(heal(machine))
        return machine

    async def heal(machine):
        await asyncio.sleep(SICK_S)
        machine.sick = False
        world.record("DISRUPTION ends: the machine is well", machine=machine.name)

    world.cloud.start = start
    # Two replicas fit on a machine.
    service = world.job(SERVICE, Feitio="standing", Tarefas=REPLICAS, Cpus=16.0, MemGb=16.0, PrevisaoS=0.0, Avulsas=False)
    if (await world.submit(service))[0] != 201:
        raise RuntimeError("the service was not accepted")
    held = False
    for second in range(98):
        await asyncio.sleep(1)
        running = len(world.on_machine.get(SERVICE, ()))
        if second % 5 == 0:
            _, value = await world.poll(SERVICE)
            world.record("replicas", on_machines=running, poll=value, machines=list(world.cloud.machines))
        # Once all replicas run, and the machine is well again, the rule has held.
        if running == REPLICAS and second > SICK_S + 10:
            held = True
            break
    world.record("result", replicas_running=running, of=REPLICAS, worker_leases_expired=world.lease_expired)
    return held


stand_ins.run(case, FOLDER, members=3, zones=ZONES, types=[LAGAR], teams={"cantina": (136.0, 384.0), "campo": (72.0, 192.0)},
              workers={"report_s": 3.0, "lease_s": 22.0, "cancel_s": 52.0},
              state={"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48}, cloud={"rps": 6.0, "list_lag_s": 3.0})
