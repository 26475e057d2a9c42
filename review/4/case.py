"""A replica whose machine stopped is never started again: the free room that counts for it is spread over machines."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))
import world as stand_ins

ZONES = ["central", "pacifico", "caribe"]
CISTERNA = {"Label": "cisterna", "Cpus": 16, "Gpus": 0, "MemGb": 128, "LocalGb": 40, "FetchGbPerS": 0.5, "Hourly": 1.4, "SpotPrice": 0.57,
            "ReadyS": 20, "Parcelas": ZONES}
SMALL = [f"wk-{n:06}" for n in range(1, 9)]
LARGE = "wk-000100"


def machines_of(world, ref):
    return {worker.name for (_, _, worker) in world.on_machine.get(ref, ())}


async def until(condition, seconds, what):
    for _ in range(int(seconds * 4)):
        if condition():
            return
        await asyncio.sleep(0.25)
    raise RuntimeError(what)


async def case(world):
    # At times machines are up within a second or two.
    world.cloud.boot_s = lambda kind: 2.0
    for ref in SMALL:
        service = world.job(ref, Feitio="standing", Cpus=4.0, MemGb=4.0, PullGb=0.5, PrevisaoS=0.0, Avulsas=False)
        if (await world.submit(service))[0] != 201:
            raise RuntimeError("a service was not accepted")
    await until(lambda: all(machines_of(world, ref) for ref in SMALL), 25, "the small services do not run")
    large = world.job(LARGE, Feitio="standing", Cpus=8.0, MemGb=4.0, PullGb=0.5, PrevisaoS=0.0, Avulsas=False)
    if (await world.submit(large))[0] != 201:
        raise RuntimeError("the large service was not accepted")
    await until(lambda: machines_of(world, LARGE), 25, "the large service does not run")
    (host,) = machines_of(world, LARGE)
    # Users cancel one small service on each of the other machines.
    for machine in sorted({name for ref in SMALL for name in machines_of(world, ref)} - {host}):
        ref = next(ref for ref in SMALL if machines_of(world, ref) == {machine})
        if await world.cancel(ref) != "aborted":
            raise RuntimeError("a service was not cancelled")
    await asyncio.sleep(4)
    world.record("tasks by machine", tasks={name: sorted(t for on in world.on_machine.values() for (t, _, w) in on if w.name == name)
                                            for name in world.cloud.machines})
    if stand_ins.trouble():
        world.record("DISRUPTION: a machine stops with all that is on it")
        world.cloud.machines[host].die()
    held = False
    for second in range(80):
        await asyncio.sleep(1)
        if second % 5 == 0:
            _, value = await world.poll(LARGE)
            world.record("large service", on=sorted(machines_of(world, LARGE)), poll=value, machines=list(world.cloud.machines))
        if machines_of(world, LARGE) and second > 20:
            held = True
            break
    world.record("result", large_service_runs=held, machines=list(world.cloud.machines), worker_leases_expired=world.lease_expired)
    return held


stand_ins.run(case, FOLDER, members=3, zones=ZONES, types=[CISTERNA], teams={"riesgo": (112.0, 280.0), "socios": (88.0, 280.0)},
              workers={"report_s": 1.5, "lease_s": 10.0, "cancel_s": 35.0},
              state={"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12}, cloud={"rps": 2.0, "list_lag_s": 4.0},
              limits={"core_share": 0.12, "mem_mb": 72.0, "sockets": 1200})
