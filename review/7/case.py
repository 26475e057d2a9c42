"""After all controllers have crashed, the retry of an accepted job that names over 16 ended jobs is never answered."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))
import world as stand_ins

ZONES = ["vale-norte", "vale-sul", "serra-alta", "campanha"]
LAGAR = {"Label": "lagar", "Cpus": 32, "Gpus": 0, "MemGb": 128, "LocalGb": 70, "FetchGbPerS": 2.0, "Hourly": 2.32, "SpotPrice": 0.6,
         "ReadyS": 20, "Parcelas": ZONES}
EARLIER, NEEDED = 1100, 20
LAST = "wk-900100"


async def history(world):
    """Accepts jobs that have ended before the day of the case begins: a cancelled one, and many that name it."""
    if (await world.submit(world.job("wk-000000", Tarefas=1)))[0] != 201 or await world.cancel("wk-000000") != "aborted":
        raise RuntimeError("no history")
    left = iter(range(1, EARLIER + 1))

    async def user():
        for n in left:
            status, _, _ = await world.submit(world.job(f"wk-{n:06}", Aguarda=["wk-000000"]))
            if status not in (200, 201):
                raise RuntimeError("no history")

    await asyncio.gather(*[user() for _ in range(24)])
    world.record("earlier jobs have ended", jobs=EARLIER)


async def case(world):
    world.cloud.boot_s = lambda kind: 2.0
    world.run_s = lambda task, spec: spec["PrevisaoS"]
    needed = [f"wk-{900000 + n}" for n in range(1, NEEDED + 1)]
    for ref in needed:
        if (await world.submit(world.job(ref, Lote="picker-tally", Cpus=4.0, PullGb=0.5, PrevisaoS=1.0)))[0] != 201:
            raise RuntimeError("a job was not accepted")
    await history(world)
    if not all(await asyncio.gather(*[world.until_state(ref, "done", 20) for ref in needed])):
        raise RuntimeError("the needed jobs do not end")
    last = world.job(LAST, Lote="crush-release", PullGb=0.5, PrevisaoS=1.0, Aguarda=needed)
    if (await world.submit(last))[0] != 201 or not await world.until_state(LAST, "done", 15):
        raise RuntimeError("the last job does not end")
    if stand_ins.trouble():
        world.record("DISRUPTION: all controllers crash, and are back after 3 s")
        for member in world.members:
            world.kill_controller(member)
        await asyncio.sleep(3)
        for member in world.members:
            world.start_controller(member)
    for member in world.members:
        if not await world.ready(member):
            raise RuntimeError(f"{member} does not get ready")
    world.record("all controllers ready; the submission of the last job is repeated")
    status, tries, value = await world.submit(last, for_s=45.0)
    poll = await world.poll(LAST)
    world.record("result", status=status, tries=tries, value=value, poll=poll)
    return status == 200 and value.get("Estado") == "done"


stand_ins.run(case, FOLDER, members=3, zones=ZONES, types=[LAGAR], teams={"campo": (72.0, 192.0), "cantina": (136.0, 384.0)},
              workers={"report_s": 3.0, "lease_s": 22.0, "cancel_s": 52.0},
              state={"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48}, cloud={"rps": 6.0, "list_lag_s": 3.0})
