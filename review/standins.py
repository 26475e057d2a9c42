"""Stand-ins for the state service, the cloud, the workers and the users, after the operators' protocol page.

All of them run in one process on loopback, by the real clock. The controllers are separate processes, started with
the command of the deploy file. Every message that matters for a rule is written to the record.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        self.file.write(f"{now():9.3f} " + " ".join(str(w) for w in words) + "\n")
        self.file.flush()


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, so that none takes one meanwhile."""
    sockets = []
    for port in random.SystemRandom().sample(range(12_000, 32_000), 2_000):
        if len(sockets) == count:
            break
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", port))
            sockets.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Returns the start line, the headers and the body; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        head = (await reader.readline()).decode("latin1").strip()
        if not head:
            break
        name, _, value = head.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin1").split(None, 2), headers, body


class Server:
    """An HTTP server; `handle(who, method, path, body)` returns a status and a value."""

    def __init__(self, handle, who):
        self.handle, self.who, self.writers = handle, who, set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=2**22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, path, _), _, body = message
                answer = await self.handle(self.who, method, path, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """A connection that stays open between requests."""

    def __init__(self, port):
        self.port, self.stream = port, None

    def close(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None

    async def call(self, method, path, value=None, timeout=5.0):
        """Returns (status, value, headers); status 0 if there was no response."""
        try:
            return await asyncio.wait_for(self._call(method, path, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None, {}

    async def _call(self, method, path, value):
        if self.stream is None:
            self.stream = await asyncio.open_connection("127.0.0.1", self.port, limit=2**20)
        reader, writer = self.stream
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise OSError("closed")
        start, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            parsed = json.loads(body) if body else None
        except ValueError:
            parsed = body
        return int(start[1]), parsed, headers


# ---------------------------------------------------------------- state service

class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, now()

    def take(self, amount):
        self.level = min(self.rate, self.level + (now() - self.at) * self.rate)
        self.at = now()
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    def __init__(self, limits):
        self.data, self.revision, self.log = {}, 0, []
        self.leases, self.next_lease = {}, 0
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.changed = asyncio.Event()
        # "ok", "refuse" (503 for one node alone or for all) or "cut" (no response), by controller
        self.mode = {}
        # extra latency in seconds, by controller
        self.delay = {}
        self.rejected = []
        # when the last lease of a controller ended, by controller; None while it has one
        self.lease_owner, self.without_lease_since = {}, {}

    def apply(self, changes):
        self.revision += 1
        for kind, key, value, lease in changes:
            old = self.data.pop(key, None)
            if old and old[2]:
                self.leases.get(old[2], [0, 0, set()])[2].discard(key)
            if kind == "put":
                self.data[key] = (value, self.revision, lease)
                if lease:
                    self.leases[lease][2].add(key)
                self.log.append((self.revision, {"Write": key, "Value": value, "Colheita": self.revision}))
            elif old:
                self.log.append((self.revision, {"Delete": key, "Colheita": self.revision}))
        del self.log[:-10000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until, keys) in list(self.leases.items()):
                if until < now():
                    self.end_lease(lease)

    def end_lease(self, lease):
        _, _, keys = self.leases.pop(lease)
        who = self.lease_owner.pop(lease)
        if who not in self.lease_owner.values():
            self.without_lease_since[who] = now()
        keys = [k for k in keys if k in self.data and self.data[k][2] == lease]
        if keys:
            self.apply([("delete", k, None, None) for k in keys])

    def outage_ends(self):
        for lease in self.leases.values():
            lease[1] = now() + lease[0]

    async def handle(self, who, method, path, body):
        mode = self.mode.get(who, "ok")
        if mode == "cut":
            return None
        await asyncio.sleep(0.002 + self.delay.get(who, 0))
        if mode == "refuse":
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        path, _, query = path.partition("?")
        query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/txn":
            return self.txn(json.loads(body))
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            entry = self.data.get(path[4:])
            if entry is None:
                return 404, {"Safra": self.revision}
            return 200, {"Path": path[4:], "Value": entry[0], "Colheita": entry[1], "Arrendo": entry[2]}
        if path == "/changes":
            return await self.changes(who, query)
        if path == "/leases":
            ttl = json.loads(body)["TtlMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, now() + ttl, set()]
            self.lease_owner[self.next_lease] = who
            self.without_lease_since.pop(who, None)
            return 200, {"Arrendo": self.next_lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, {"Arrendo": lease}
        return 400, {"error": "malformed"}

    def list(self, query):
        prefix, after, limit = query.get("Starts", ""), query.get("After", ""), min(int(query.get("Limit", 1000)), 1000)
        keys = sorted(k for k in self.data if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys[:limit]:
            value, version, lease = self.data[key]
            item = {"Path": key, "Value": value, "Colheita": version, "Arrendo": lease}
            size += len(json.dumps(item))
            if size > 512 * 1024:
                break
            items.append(item)
        return 200, {"Items": items, "More": len(items) < len(keys), "Safra": self.revision}

    async def changes(self, who, query):
        prefix, after, wait = query.get("Starts", ""), int(query["After"]), int(query.get("WaitMs", 0)) / 1000
        until = now() + wait
        while True:
            if self.mode.get(who, "ok") == "ok":
                if after < self.revision and (not self.log or self.log[0][0] > after + 1) and len(self.log) >= 10000:
                    return 410, {"error": "too old"}
                log = []
                for revision, entry in reversed(self.log):
                    if revision <= after:
                        break
                    if (entry.get("Write") or entry.get("Delete")).startswith(prefix):
                        log.append(entry)
                if log or now() >= until:
                    return 200, {"Safra": self.revision, "Log": log[::-1]}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), max(0.01, min(until - now(), 0.5)))
            except asyncio.TimeoutError:
                pass

    def txn(self, txn):
        ops = txn.get("Apply", [])
        if len(ops) > self.limits["txn_ops"] or len(txn.get("If", [])) > 4 * self.limits["txn_ops"]:
            self.rejected.append("ops")
            return 400, {"error": "too many operations"}
        for op in ops:
            if len(json.dumps(op.get("Value"), separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                self.rejected.append("value")
                return 400, {"error": "value too large"}
        if ops and not self.writes.take(len(ops)):
            return 429, {"error": "rate"}
        if any(op.get("Arrendo") and op["Arrendo"] not in self.leases for op in ops):
            return 400, {"error": "no such lease"}
        failed = [c["Path"] for c in txn.get("If", []) if self.data.get(c["Path"], (0, 0))[1] != c["Colheita"]]
        if failed:
            return 409, {"failed": failed, "Safra": self.revision}
        if ops:
            self.apply([("put", o["Write"], o["Value"], o.get("Arrendo")) if "Write" in o
                        else ("delete", o["Delete"], None, None) for o in ops])
        return 200, {"Safra": self.revision}


# ---------------------------------------------------------------- cloud and workers

class Cloud:
    def __init__(self, world, types, capacity):
        self.world, self.types, self.capacity = world, types, capacity
        self.machines, self.answers, self.count, self.requests = {}, {}, 230, []
        self.mode = "ok"

    def rent(self, model, zone, spot, boot_s):
        self.count += 1
        name = f"n-{self.count:06}"
        self.machines[name] = {"model": model, "zone": zone, "spot": spot, "rented": now(), "up": now() + boot_s,
                               "gone": None, "worker": None}
        self.world.spawn(self.boot(name, boot_s))
        return name

    async def boot(self, name, boot_s):
        await asyncio.sleep(boot_s)
        machine = self.machines[name]
        if machine["gone"] is None:
            machine["worker"] = Worker(self.world, name, machine)
            self.world.spawn(machine["worker"].run())

    async def handle(self, who, method, path, body):
        await asyncio.sleep(0.05)
        if self.mode != "ok":
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        if path == "/machine_types":
            return 200, {"Modelos": self.types}
        if path == "/hosts" and method == "GET":
            return self.list(dict(p.split("=", 1) for p in query.split("&") if "=" in p))
        value = json.loads(body)
        if path == "/hosts/release":
            for name in value["Prensas"]:
                machine = self.machines.get(name)
                if machine and machine["gone"] is None:
                    machine["gone"] = now()
                    self.world.record("cloud released", name, "for", who)
                    if machine["worker"]:
                        self.world.released(name, machine["worker"], who)
                        machine["worker"].kill("released")
            return 200, {}
        if value["Pedido"] in self.answers:
            return 200, self.answers[value["Pedido"]]
        pool = (value["Modelo"], value["Parcela"], value["Avulsas"])
        used = sum(1 for m in self.machines.values() if m["gone"] is None and (m["model"], m["zone"], m["spot"]) == pool)
        count = min(value["Number"], self.capacity.get(pool, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        boot_s = next(t["ReadyS"] for t in self.types if t["Label"] == value["Modelo"])
        names = [self.rent(*pool, boot_s) for _ in range(count)]
        self.answers[value["Pedido"]] = {"Prensas": names}
        self.world.record("cloud rented", value["Pedido"], pool, names, "for", who)
        return 200, self.answers[value["Pedido"]]

    def list(self, query):
        at = now() - self.world.settings["deployment"]["cloud"]["list_lag_s"]
        names = sorted(n for n, m in self.machines.items()
                       if m["rented"] <= at and (m["gone"] is None or m["gone"] > at) and n > query.get("After", ""))
        limit = int(query.get("Limit", 500))
        items = []
        for name in names[:limit]:
            m = self.machines[name]
            items.append({"Ref": name, "Address": "127.0.0.1:9", "Modelo": m["model"], "Parcela": m["zone"],
                          "Avulsas": m["spot"], "Estado": "running" if m["up"] <= at else "booting",
                          "AgeS": round(at - m["rented"], 1)})
        return 200, {"Prensas": items, "More": len(names) > limit}


class Worker:
    """A worker after the protocol page: one report in flight, tokens, a lease, sessions."""

    def __init__(self, world, name, machine):
        self.world, self.name, self.machine = world, name, machine
        self.session, self.sequence, self.token, self.tasks = 1, 0, 0, {}
        self.alive, self.hung = True, False
        self.images, self.fetching = set(), {}
        self.answered = now()
        self.changed = asyncio.Event()
        self.node = random.choice(world.names)
        self.timing = world.settings["deployment"]["workers"]

    def kill(self, why):
        self.alive = False
        self.drop_tasks(why)

    def drop_tasks(self, why):
        for task, entry in list(self.tasks.items()):
            self.leave(task, entry, why)
        self.tasks.clear()

    def leave(self, task, entry, why):
        if entry["on"]:
            entry["on"] = False
            self.world.left(self, task, entry["attempt"], why)
        entry["timer"] and entry["timer"].cancel()

    def report(self):
        self.sequence += 1
        tasks = []
        for task, e in self.tasks.items():
            item = {"Tarefa": task, "Tentativa": e["attempt"], "Estado": e["state"]}
            if e["why"]:
                item["Motivo"] = e["why"]
            tasks.append(item)
        return {"Prensa": self.name, "Address": "127.0.0.1:9", "Modelo": self.machine["model"],
                "Parcela": self.machine["zone"], "Avulsas": self.machine["spot"], "Jornada": self.session,
                "Contagem": self.sequence, "Selo": self.token, "AvisoS": None, "Tarefas": tasks}

    async def lease(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if not self.hung and now() - self.answered > self.timing["lease_s"]:
                self.world.record("worker", self.name, "lease expired, session", self.session)
                self.drop_tasks("lease")
                self.session += 1
                self.answered = now()
                self.change()

    def change(self):
        self.changed.set()

    async def run(self):
        self.world.record("worker", self.name, "up", self.machine["model"], self.machine["zone"])
        self.world.spawn(self.lease())
        clients = {}
        while self.alive:
            while self.hung and self.alive:
                await asyncio.sleep(0.05)
            self.changed.clear()
            client = clients.setdefault(self.node, Client(self.world.ports[self.node]["serve"]))
            sent, session = now(), self.session
            report = self.report()
            if (self.name, self.node) in self.world.worker_cut:
                await asyncio.sleep(4.0)
                status, value = 0, None
            else:
                status, value, _ = await client.call("POST", "/checkin", report, timeout=4.0)
            if not self.alive:
                break
            while self.hung and self.alive:
                await asyncio.sleep(0.05)
            if now() - sent > 4.0:
                status = 0
            self.world.record("worker", self.name, "reports to", self.node, f"Selo {report['Selo']},", len(report["Tarefas"]),
                              "tasks ->", status or "no answer", json.dumps(value)[:300] if value else "")
            if status == 200:
                token = value.get("Selo")
                if session == self.session and token is not None and token >= self.token:
                    if token > self.token:
                        self.token = token
                        self.change()
                    self.answered = max(self.answered, sent)
                    self.world.answered(self, self.node, token, value.get("Ordens", []))
                    for order in value.get("Ordens", []):
                        self.obey(order)
            elif status == 421 and (value or {}).get("RespondeA") in self.world.names and value["RespondeA"] != self.node:
                client.close()
                self.node = value["RespondeA"]
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            else:
                client.close()
                self.node = self.world.names[(self.world.names.index(self.node) + 1) % len(self.world.names)]
                await asyncio.sleep(1.0)
                continue
            pause = self.timing["report_s"] * random.uniform(0.75, 1.25) - (now() - sent)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, pause))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, 0.5 - (now() - sent)))
        for client in clients.values():
            client.close()

    def obey(self, order):
        task, attempt = order["Tarefa"], order["Tentativa"]
        entry = self.tasks.get(task)
        self.world.record("worker", self.name, "ordered", json.dumps(order))
        if order["Ordem"] == "run":
            if entry and entry["attempt"] == attempt:
                return
            if entry and entry["state"] != "exited":
                self.world.record("worker", self.name, "refuses: in use", task, attempt)
                return
            entry = {"attempt": attempt, "state": "pulling", "why": None, "on": False, "timer": None}
            self.tasks[task] = entry
            entry["timer"] = self.world.spawn(self.execute(task, entry))
            self.change()
        elif order["Ordem"] == "halt":
            if entry and entry["attempt"] == attempt and entry["state"] != "exited":
                self.leave(task, entry, "halt")
                entry["state"], entry["why"] = "exited", "stopped"
                self.change()
        elif order["Ordem"] == "reap":
            if entry and entry["attempt"] == attempt and entry["state"] == "exited":
                del self.tasks[task]
                self.change()

    async def pause(self, seconds):
        """Waits for this time, in which the machine does not hang."""
        while seconds > 0:
            step = min(0.1, seconds)
            await asyncio.sleep(step)
            if not self.hung:
                seconds -= step

    async def execute(self, task, entry):
        job = self.world.jobs[task.split("/")[0]]
        if job["Matriz"] not in self.images:
            await self.pause(self.world.fetch_s)
            self.images.add(job["Matriz"])
        entry["state"], entry["on"] = "running", True
        self.world.started(self, task, entry["attempt"])
        self.change()
        if job.get("fails"):
            await self.pause(0.5)
            entry["timer"] = None
            self.leave(task, entry, "error")
            entry["state"], entry["why"] = "exited", "error"
            self.change()
            return
        if job["Feitio"] == "standing":
            return
        await self.pause(job["run_s"])
        entry["timer"] = None
        self.leave(task, entry, "done")
        entry["state"], entry["why"] = "exited", "done"
        self.world.done.add(task)
        self.change()


# ---------------------------------------------------------------- the deployment

class World:
    """Three controllers, and all that is around them. Keeps account of the rules that workers can see."""

    def __init__(self, folder, settings, types, capacity, fetch_s=0.5):
        self.record = Record(folder)
        self.settings, self.fetch_s = settings, fetch_s
        self.names = [p for p in settings["members"]]
        self.temp = tempfile.mkdtemp(prefix="snowshelf-review-")
        self.processes, self.tasks, self.jobs = {}, set(), {}
        self.on, self.done, self.broken = {}, set(), []
        # controllers that ended without being told to
        self.ended = []
        self.cancel_told, self.worker_cut = {}, set()
        self.cloud = Cloud(self, types, capacity)
        self.state = StateService(settings["deployment"]["state"])
        self.log_level = os.environ.get("LOG_LEVEL", "error")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def breaks(self, rule, *words):
        self.broken.append((rule, " ".join(str(w) for w in words)))
        self.record("RULE BROKEN", rule, *words)

    def started(self, worker, task, attempt):
        job_id = task.split("/")[0]
        self.record("started", task, "attempt", attempt, "on", worker.name)
        elsewhere = self.on.get(task)
        if elsewhere and elsewhere != worker.name:
            self.breaks("ran_twice", task, "starts on", worker.name, "while on", elsewhere)
        self.on[task] = worker.name
        told = self.cancel_told.get(job_id)
        if told is not None and now() - told > self.settings["deployment"]["workers"]["cancel_s"]:
            self.breaks("ran_cancelled", task, "starts on", worker.name)
        used = {}
        for t in self.on:
            job = self.jobs[t.split("/")[0]]
            used[job["Cuadrilla"]] = used.get(job["Cuadrilla"], 0) + job["Cpus"]
        for team in self.settings["deployment"]["teams"]:
            if used.get(team["name"], 0) > team["cpus_max"] + 1e-6:
                self.breaks("quota", team["name"], "uses", used[team["name"]])

    def left(self, worker, task, attempt, why):
        self.record("left", task, "attempt", attempt, "on", worker.name, why)
        if self.on.get(task) == worker.name:
            del self.on[task]

    def answered(self, worker, node, token, orders):
        """A worker has accepted the answer to its report. Cases that judge answers replace this."""

    def released(self, name, worker, node):
        """The cloud deletes a machine for a controller. Cases that judge deletions replace this."""

    async def watch_cancelled(self):
        limit = self.settings["deployment"]["workers"]["cancel_s"]
        while True:
            await asyncio.sleep(0.1)
            for task, machine in list(self.on.items()):
                told = self.cancel_told.get(task.split("/")[0])
                if told is not None and now() - told > limit and ("rc", task) not in self.cancel_told:
                    self.cancel_told[("rc", task)] = now()
                    self.breaks("ran_cancelled", task, "is on", machine, f"{now() - told:.1f} s after its user was told")

    # -- processes

    def write_settings(self):
        ports = iter(free_ports(4 * len(self.names)))
        self.ports = {name: {use: next(ports) for use in ("serve", "peer", "state", "cloud")} for name in self.names}
        for name in self.names:
            p = self.ports[name]
            lines = [f'member = "{name}"', 'site = "central"', f'serve_on = "127.0.0.1:{p["serve"]}"',
                     f'peer_listen = "127.0.0.1:{p["peer"]}"']
            for other in self.names:
                if other != name:
                    lines += ["[[peers]]", f'member = "{other}"', 'site = "central"',
                              f'address = "127.0.0.1:{self.ports[other]["peer"]}"']
            lines += ["[outside]", f'cloud = "127.0.0.1:{p["cloud"]}"', f'state = "127.0.0.1:{p["state"]}"']
            d = self.settings["deployment"]
            lines += ["[deployment]", f"nodes = {len(self.names)}", f"zones = {json.dumps(d['zones'])}",
                      f"skew_ms = {d['skew_ms']}"]
            for team in d["teams"]:
                lines += ["[[deployment.teams]]"] + [f"{k} = {json.dumps(v)}" for k, v in team.items()]
            for table in ("workers", "state", "cloud", "limits"):
                lines += [f"[deployment.{table}]"] + [f"{k} = {json.dumps(v)}" for k, v in d[table].items()]
            with open(os.path.join(self.temp, name + ".toml"), "w", encoding="utf-8") as file:
                file.write("\n".join(lines) + "\n")

    async def start_outside(self):
        self.write_settings()
        for name in self.names:
            await Server(self.state.handle, name).start(self.ports[name]["state"])
            await Server(self.cloud.handle, name).start(self.ports[name]["cloud"])
        self.spawn(self.state.expire())
        self.spawn(self.watch_cancelled())

    async def start_controller(self, name):
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as file:
            command = next(line.split('"')[1] for line in file if line.startswith("run")).split()
        log = open(os.path.join(self.temp, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            *command, os.path.join(self.temp, name + ".toml"), cwd=ROOT, stderr=log, stdout=log,
            env={**os.environ, "LOG_LEVEL": self.log_level})
        self.processes[name] = process
        self.record("controller", name, "started, process", process.pid)
        self.spawn(self.watch_process(name, process))

    async def watch_process(self, name, process):
        code = await process.wait()
        if self.processes.get(name) is process:
            self.processes.pop(name)
            self.ended.append(f"controller {name} ended by itself with {code}")
            self.record(self.ended[-1])

    async def kill_controller(self, name):
        process = self.processes.pop(name)
        process.kill()
        await process.wait()
        self.record("controller", name, "killed")

    def signal_controller(self, name, number):
        self.processes[name].send_signal(number)
        self.record("controller", name, signal.Signals(number).name)

    async def ready(self, name):
        client = Client(self.ports[name]["serve"])
        status, _, _ = await client.call("GET", "/ready", timeout=1.0)
        client.close()
        return status == 200

    async def until_ready(self, names=None, limit=30):
        end = now() + limit
        for name in names or self.names:
            while not await self.ready(name):
                if self.ended or now() > end:
                    raise CannotRun(f"{name} is not ready")
                await asyncio.sleep(0.2)

    # -- users

    async def submit(self, body, node=None, limit=60.0, quiet=False):
        """Submits a job as users do: repeated for up to 60 s in all. Returns the last status and answer."""
        self.jobs.setdefault(body["Ref"], {"run_s": 2.0, **body})
        end, turn = now() + limit, random.randrange(len(self.names))
        wire = {k: v for k, v in body.items() if k not in ("run_s", "fails")}
        while True:
            name = node or self.names[turn % len(self.names)]
            client = Client(self.ports[name]["serve"])
            status, value, headers = await client.call("POST", "/api/jobs", wire, timeout=5.0)
            client.close()
            if not quiet:
                self.record("user submits", body["Ref"], "to", name, "->", status, json.dumps(value))
            if status in (200, 201, 400, 422):
                return status, value
            pause = min(30.0, max(1.0, float(headers.get("retry-after", 1))))
            if now() + pause > end:
                return status, value
            await asyncio.sleep(pause)
            turn += 1

    async def poll(self, job, node):
        client = Client(self.ports[node]["serve"])
        status, value, _ = await client.call("GET", f"/api/jobs/{job}", timeout=2.0)
        client.close()
        self.record("user polls", job, "at", node, "->", status, json.dumps(value))
        return status, value

    async def until_done(self, job, limit=60):
        end = now() + limit
        while now() < end:
            for name in self.names:
                status, value = await self.poll(job, name)
                if status == 200 and value["Estado"] in ("done", "aborted"):
                    return value["Estado"]
            await asyncio.sleep(1.0)
        return None

    async def cancel(self, job, node, limit=60):
        end = now() + limit
        while now() < end:
            client = Client(self.ports[node]["serve"])
            status, value, _ = await client.call("POST", f"/api/jobs/{job}/cancel", timeout=5.0)
            client.close()
            self.record("user cancels", job, "at", node, "->", status, json.dumps(value))
            if status == 200:
                if value["Estado"] == "aborted":
                    self.cancel_told.setdefault(job, now())
                return value["Estado"]
            await asyncio.sleep(1.0)
        return None

    def clean_up(self):
        for name in list(self.processes):
            process = self.processes.pop(name)
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
            except ProcessLookupError:
                pass
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temp, ignore_errors=True)
        else:
            print("kept", self.temp, file=sys.stderr)


class CannotRun(Exception):
    pass


def job(ref, team, tasks=1, cpus=2.0, mem=2.0, run_s=2.0, needs=None, **more):
    body = {"Ref": ref, "Lote": "bin-weigh", "Cuadrilla": team, "Feitio": "batch", "Precedencia": "high",
            "Tarefas": tasks, "Cpus": cpus, "Gpus": 0.0, "MemGb": mem, "Matriz": "img-01", "PullGb": 0.1,
            "Modelos": None, "Parcela": None, "Together": False, "Apart": False, "Avulsas": True,
            "PrevisaoS": run_s, "MarcoS": 0.0, "GuardaS": 0.0, "PrazoS": None, "run_s": run_s}
    if needs:
        body["Aguarda"] = needs
    return {**body, **more}


# Like the small deployment of `vindima-registro`, with its figures.
def vindima():
    settings = {
        "members": ["cepa-0", "cepa-1", "cepa-2"],
        "deployment": {
            "zones": ["campanha", "serra-alta", "vale-norte", "vale-sul"], "skew_ms": 1000.0,
            "teams": [{"name": "campo", "cpus": 72.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "cantina", "cpus": 136.0, "cpus_max": 384.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "acerto", "cpus": 56.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0},
                      {"name": "serra-dados", "cpus": 112.0, "cpus_max": 232.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 3.0, "lease_s": 22.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0, "cancel_s": 52.0},
            "state": {"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48},
            "cloud": {"rps": 6.0, "list_lag_s": 3.0},
            "limits": {"core_share": 0.2, "mem_mb": 136.0, "sockets": 2500}}}
    types = [{"Label": "parreira", "Cpus": 8, "Gpus": 0, "MemGb": 32, "LocalGb": 30, "FetchGbPerS": 0.12,
              "Hourly": 0.55, "SpotPrice": 0.14, "ReadyS": 5, "Parcelas": settings["deployment"]["zones"]},
             {"Label": "lagar", "Cpus": 32, "Gpus": 0, "MemGb": 128, "LocalGb": 40, "FetchGbPerS": 0.15,
              "Hourly": 2.32, "SpotPrice": 0.6, "ReadyS": 3, "Parcelas": ["serra-alta", "campanha"]}]
    capacity = {}
    for zone, count in (("vale-norte", 5), ("vale-sul", 4), ("serra-alta", 5), ("campanha", 3)):
        capacity[("parreira", zone, True)] = capacity[("parreira", zone, False)] = count
    for zone in ("serra-alta", "campanha"):
        capacity[("lagar", zone, True)], capacity[("lagar", zone, False)] = 2, 1
    machines = [("parreira", z) for z in ("vale-norte", "vale-sul", "serra-alta", "campanha")]
    machines += [("lagar", "serra-alta"), ("lagar", "campanha")]
    return settings, types, capacity, machines


# Like the small deployment of `pura-vida-tarjetas`, with its figures.
def pura_vida():
    settings, _, _, _ = vindima()
    deployment = settings["deployment"]
    settings["members"] = ["nodo-0", "nodo-1", "nodo-2"]
    deployment["zones"] = ["central", "pacifico", "caribe"]
    deployment["teams"] = [
        {"name": "liquidacion", "cpus": 136.0, "cpus_max": 280.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "riesgo", "cpus": 112.0, "cpus_max": 280.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "socios", "cpus": 88.0, "cpus_max": 280.0, "gpus": 0.0, "gpus_max": 0.0}]
    deployment["workers"] = {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 35.0}
    deployment["state"] = {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12}
    deployment["cloud"] = {"rps": 2.0, "list_lag_s": 4.0}
    deployment["limits"] = {"core_share": 0.12, "mem_mb": 72.0, "sockets": 1200}
    types = [{"Label": "surtidor", "Cpus": 8, "Gpus": 0, "MemGb": 16, "LocalGb": 30, "FetchGbPerS": 0.12,
              "Hourly": 0.54, "SpotPrice": 0.23, "ReadyS": 5, "Parcelas": deployment["zones"]},
             {"Label": "cisterna", "Cpus": 16, "Gpus": 0, "MemGb": 128, "LocalGb": 40, "FetchGbPerS": 0.15,
              "Hourly": 1.4, "SpotPrice": 0.57, "ReadyS": 3, "Parcelas": deployment["zones"]}]
    capacity = {(t["Label"], z, spot): 5 for t in types for z in deployment["zones"] for spot in (True, False)}
    return settings, types, capacity, []


# Like `pura-vida-tarjetas-next`, the deployment with pipelines, at a small size.
def pura_vida_next():
    settings, types, capacity, machines = pura_vida()
    limits = {"liquidacion": (1200.0, 6000.0), "riesgo": (1000.0, 2500.0), "socios": (800.0, 2500.0)}
    for team in settings["deployment"]["teams"]:
        team["cpus"], team["cpus_max"] = limits[team["name"]]
    return settings, types, capacity, [("cisterna", z) for z in settings["deployment"]["zones"]]


# Like `vindima-registro-next`, the deployment with pipelines, at a small size.
def vindima_next():
    settings, types, capacity, machines = vindima()
    settings["members"] = [f"cepa-{n}" for n in range(5)]
    settings["deployment"]["workers"]["report_s"] = 5.0
    limits = {"campo": (1800.0, 5000.0), "cantina": (3500.0, 12000.0), "acerto": (1500.0, 5000.0),
              "serra-dados": (3000.0, 6000.0)}
    for team in settings["deployment"]["teams"]:
        team["cpus"], team["cpus_max"] = limits[team["name"]]
    return settings, types, capacity, machines


def main(folder, scenario, site):
    """Runs a scenario: exits with 1 if a rule was broken, 0 if not, 2 if the case could not run."""
    settings, types, capacity, machines = site()

    async def run():
        world = World(folder, settings, types, capacity)
        # `timeout` ends a run that takes too long: its processes end with it.
        running = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
        try:
            await world.start_outside()
            for model, zone in machines:
                # Up since long before.
                name = world.cloud.rent(model, zone, False, 0.1)
                world.cloud.machines[name].update(rented=-300.0, up=-250.0)
            await asyncio.wait_for(scenario(world, os.environ.get("TROUBLE", "1") != "0"), 115)
        except (Exception, asyncio.CancelledError) as error:
            world.record("cannot run:", repr(error))
            print("cannot run:", repr(error))
            if not isinstance(error, CannotRun):
                traceback.print_exc()
            if not world.broken:
                return 2
        finally:
            world.clean_up()
        if world.ended and not world.broken:
            print("cannot run:", *world.ended)
            return 2
        for rule, words in world.broken:
            print("broken:", rule, words)
        world.record("end:", "broken" if world.broken else "held")
        return 1 if world.broken else 0

    try:
        code = asyncio.run(run())
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)
