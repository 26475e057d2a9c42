"""Stand-ins for a review of snowshelf: state service, cloud, workers, users and a checker of the rules.

Everything is on loopback and the real clock. The controllers are separate processes, started with the commands of
deploy/service.toml. Each controller has an address of its own for the state service, the cloud and each peer, so that
a script can refuse, hold or reset what one of them sends. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EPSILON = 1e-6
USED_PORTS = set()
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


def compact(value):
    return json.dumps(value, separators=(",", ":")).encode()


def port_range():
    """The larger of the ranges below and above the ports that the system takes for outgoing connections."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as f:
            low, high = map(int, f.read().split())
    except (OSError, ValueError):
        low, high = 32_768, 60_999
    below, above = (10_000, low), (high + 1, 65_536)
    widest = max(below, above, key=lambda r: r[1] - r[0])
    return widest if widest[1] - widest[0] > 2_000 else (low, high)


def free_port():
    """A free port outside of the range from which the system takes ports for outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(*port_range())
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


async def read_message(reader):
    """Reads one HTTP message: (start line, headers, body); None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def response_bytes(status, body):
    data = body if isinstance(body, bytes) else compact(body)
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


class Client:
    """A keep-alive HTTP client with one connection."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def call(self, method, path, body=None, timeout=5.0):
        """Returns (status, headers, body as JSON or None); status 0: no response."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (asyncio.TimeoutError, OSError, ConnectionError):
            self.close()
            return 0, {}, None

    async def _call(self, method, path, body):
        data = b"" if body is None else (body if isinstance(body, bytes) else compact(body))
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
        if method == "POST":
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        for attempt in range(2):
            fresh = self.writer is None
            if fresh:
                self.reader, self.writer = await asyncio.open_connection(*self.address, limit=1 << 22)
            try:
                self.writer.write(head.encode() + b"\r\n" + data)
                await self.writer.drain()
                message = await read_message(self.reader)
            except ConnectionError:
                message = None
            if message is not None:
                break
            self.close()
            if fresh:
                return 0, {}, None
        if message is None:
            return 0, {}, None
        start, headers, payload = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(payload) if payload else None
        except ValueError:
            value = None
        return int(start.split()[1]), headers, value


class Bucket:
    def __init__(self, rate, burst_s=1.0):
        self.rate, self.burst = rate, rate * burst_s
        self.level, self.at = self.burst, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        if n > self.level:
            return False
        self.level -= n
        return True


class StateService:
    """The key-value store of PROTOCOL, with its limits."""

    def __init__(self, limits):
        self.limits = dict(limits)
        self.keys = {}
        self.revision = 0
        self.log = []
        self.leases = {}
        self.next_lease = 0
        self.outage = False
        self.changed = asyncio.Event()
        self.requests = Bucket(self.limits["rps"])
        self.writes = Bucket(self.limits["write_rps"])
        self.mode = {}       # by member: "ok", "refuse", "hold", "reset"
        self.delay_s = 0.003
        self.release = {}    # by member: event that is set when a hold ends
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def set_outage(self, on):
        self.outage = on
        if not on:
            now = time.monotonic()
            for lease in self.leases.values():
                lease["until"] = now + lease["ttl"]

    def set_mode(self, member, mode):
        previous = self.mode.get(member, "ok")
        self.mode[member] = mode
        if mode == "hold":
            self.release[member] = asyncio.Event()
        elif previous == "hold":
            self.release[member].set()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        if self.outage:
            return
        now = time.monotonic()
        for lease_id in [i for i, l in self.leases.items() if l["until"] + 0.05 < now]:
            self.end_lease(lease_id)

    def end_lease(self, lease_id):
        if self.leases.pop(lease_id, None) is None:
            return
        gone = [k for k, e in self.keys.items() if e["lease"] == lease_id]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.append({"Delete": key, "Colheita": self.revision})
            self.wake()

    def append(self, entry):
        self.log.append(entry)
        if len(self.log) > 10_000:
            del self.log[: len(self.log) - 10_000]

    async def tick(self):
        while True:
            await asyncio.sleep(0.05)
            self.expire()

    async def serve(self, member, port):
        async def connection(reader, writer):
            try:
                while (message := await read_message(reader)) is not None:
                    start, _, body = message
                    method, path, _ = start.split(" ", 2)
                    mode = self.mode.get(member, "ok")
                    if mode == "reset":
                        writer.transport.abort()
                        return
                    if mode == "hold":
                        await self.release[member].wait()
                    await asyncio.sleep(self.delay_s)
                    status, value = await self.handle(member, method, path, body)
                    while self.mode.get(member, "ok") == "hold":
                        await self.release[member].wait()
                    if self.mode.get(member, "ok") == "reset":
                        writer.transport.abort()
                        return
                    writer.write(response_bytes(status, value))
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 22)

    def refuses(self, member):
        return self.outage or self.mode.get(member, "ok") == "refuse"

    async def handle(self, member, method, path, body):
        self.expire()
        if self.refuses(member):
            self.count("503")
            return 503, {"error": "unavailable"}
        if not self.requests.take(1):
            self.count("429")
            return 429, {"error": "slow down"}
        self.count("requests")
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "GET" and url.path == "/changes":
            return await self.changes(member, query)
        if method == "GET" and url.path == "/kv":
            return self.list(query)
        if method == "GET" and url.path.startswith("/kv/"):
            entry = self.keys.get(url.path[4:])
            if entry is None:
                return 404, {"Safra": self.revision}
            return 200, {"Path": url.path[4:], "Value": entry["value"], "Colheita": entry["version"], "Arrendo": entry["lease"]}
        if method == "POST" and url.path == "/txn":
            return self.txn(body)
        if method == "POST" and url.path == "/leases":
            ttl = json.loads(body)["TtlMs"]
            if not 100 <= ttl <= 600_000:
                return 400, {"error": "ttl"}
            self.next_lease += 1
            self.leases[self.next_lease] = {"ttl": ttl / 1000, "until": time.monotonic() + ttl / 1000}
            return 200, {"Arrendo": self.next_lease}
        parts = url.path.split("/")
        if len(parts) >= 3 and parts[1] == "leases":
            lease = self.leases.get(int(parts[2]))
            if lease is None:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(int(parts[2]))
            else:
                lease["until"] = time.monotonic() + lease["ttl"]
            return 200, {"Arrendo": int(parts[2])}
        return 400, {"error": "malformed"}

    def list(self, query):
        starts, after = query.get("Starts", ""), query.get("After", "")
        limit = min(int(query.get("Limit", 1000)), 1000)
        items, size, more = [], 0, False
        for key in sorted(k for k in self.keys if k.startswith(starts) and k > after):
            entry = self.keys[key]
            item = {"Path": key, "Value": entry["value"], "Colheita": entry["version"], "Arrendo": entry["lease"]}
            size += len(json.dumps(item))
            if len(items) >= limit or (items and size > 512 * 1024):
                more = True
                break
            items.append(item)
        return 200, {"Items": items, "More": more, "Safra": self.revision}

    def txn(self, body):
        if len(body) > 64 * 1024:
            return 400, {"error": "too large"}
        try:
            txn = json.loads(body)
        except ValueError:
            return 400, {"error": "malformed"}
        conditions, changes = txn.get("If") or [], txn.get("Apply") or []
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many"}
        for change in changes:
            key = change.get("Write") or change.get("Delete")
            if not key or len(key) > 200 or " " in key:
                return 400, {"error": "malformed key"}
            if "Write" in change and len(json.dumps(change["Value"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if changes and not self.writes.take(len(changes)):
            self.count("429 writes")
            return 429, {"error": "slow down"}
        for change in changes:
            if change.get("Arrendo") is not None and change["Arrendo"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["Path"] for c in conditions if self.version(c["Path"]) != c["Colheita"]]
        if failed:
            return 409, {"failed": failed, "Safra": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "Write" in change:
                    self.keys[change["Write"]] = {"value": change["Value"], "version": self.revision, "lease": change.get("Arrendo")}
                    self.append({"Write": change["Write"], "Value": change["Value"], "Colheita": self.revision})
                elif self.keys.pop(change["Delete"], None) is not None:
                    self.append({"Delete": change["Delete"], "Colheita": self.revision})
            self.wake()
        return 200, {"Safra": self.revision}

    def version(self, key):
        entry = self.keys.get(key)
        return entry["version"] if entry else 0

    async def changes(self, member, query):
        starts, after = query.get("Starts", ""), int(query.get("After", 0))
        until = time.monotonic() + min(int(query.get("WaitMs", 0)), 60_000) / 1000
        while True:
            if self.refuses(member):
                await asyncio.sleep(0.05)
                continue
            if self.log and len(self.log) >= 10_000 and self.log[0]["Colheita"] > after + 1:
                return 410, {"error": "too old"}
            found = [e for e in self.log if e["Colheita"] > after and (e.get("Write") or e.get("Delete")).startswith(starts)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"Safra": self.revision, "Log": found}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))


class Cloud:
    """Rents machines; a machine that is up starts a worker."""

    def __init__(self, world, types, rps, lag_s):
        self.world, self.types, self.lag_s = world, types, lag_s
        self.bucket = Bucket(rps, 2.0)
        self.orders = {}
        self.machines = {}
        self.next_machine = 0
        self.lists = []
        self.boot_s = lambda kind: 1.5
        self.capacity = lambda kind, zone, spot: 50
        self.outage = False
        self.member_mode = {}

    async def serve(self, member, port):
        async def connection(reader, writer):
            try:
                while (message := await read_message(reader)) is not None:
                    start, _, body = message
                    method, path, _ = start.split(" ", 2)
                    if self.member_mode.get(member) == "reset":
                        writer.transport.abort()
                        return
                    await asyncio.sleep(0.05)
                    status, value = self.handle(method, path, body)
                    writer.write(response_bytes(status, value))
                    await writer.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        return await asyncio.start_server(connection, "127.0.0.1", port)

    def handle(self, method, path, body):
        if self.outage:
            return 503, {"error": "trouble"}
        if not self.bucket.take(1):
            return 429, {"error": "slow down"}
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/machine_types":
            return 200, {"Modelos": self.types}
        if method == "GET" and url.path == "/hosts":
            return self.list(query)
        if method == "POST" and url.path == "/hosts":
            return self.rent(json.loads(body))
        if method == "POST" and url.path == "/hosts/release":
            names = json.loads(body)["Prensas"]
            self.world.record("released", machines=names)
            for name in names:
                self.remove(name)
            return 200, {}
        return 400, {"error": "malformed"}

    def rent(self, order):
        if order["Pedido"] in self.orders:
            return 200, {"Prensas": self.orders[order["Pedido"]]}
        kind = next((t for t in self.types if t["Label"] == order["Modelo"]), None)
        if kind is None or order["Parcela"] not in kind["Parcelas"] or not 1 <= order["Number"] <= 50:
            return 400, {"error": "malformed"}
        used = sum(1 for m in self.machines.values() if (m.kind["Label"], m.zone, m.spot) == (kind["Label"], order["Parcela"], order["Avulsas"]))
        count = min(order["Number"], self.capacity(kind["Label"], order["Parcela"], order["Avulsas"]) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.start(kind, order["Parcela"], order["Avulsas"]).name for _ in range(count)]
        self.orders[order["Pedido"]] = names
        self.world.record("rented", order=order["Pedido"], machines=names, type=kind["Label"], zone=order["Parcela"], spot=order["Avulsas"])
        return 200, {"Prensas": names}

    def start(self, kind, zone, spot):
        self.next_machine += 1
        worker = Worker(self.world, f"n-{self.next_machine:06}", kind, zone, spot)
        self.machines[worker.name] = worker
        self.world.spawn(worker.boot(self.boot_s(kind["Label"])))
        return worker

    def remove(self, name):
        worker = self.machines.pop(name, None)
        if worker:
            worker.end()

    async def tick(self):
        while True:
            now = time.monotonic()
            self.lists.append((now, [(m.name, m.listing(now)) for m in self.machines.values() if not m.vanished]))
            self.lists = [l for l in self.lists if now - l[0] < 2 * self.lag_s + 2]
            await asyncio.sleep(0.25)

    def list(self, query):
        now = time.monotonic()
        old = [l for l in self.lists if now - l[0] >= self.lag_s]
        listed = sorted((old[-1] if old else (now, []))[1])
        after, limit = query.get("After", ""), min(int(query.get("Limit", 500)), 500)
        listed = [entry for name, entry in listed if name > after]
        return 200, {"Prensas": listed[:limit], "More": len(listed) > limit}


class Worker:
    """A machine and its worker."""

    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        # Bound now, so that nobody takes the port while the machine boots.
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.rented_at = time.monotonic()
        self.up = self.gone = self.vanished = False
        self.hung = False        # the machine stands still
        self.cut = False         # the machine has lost the network
        self.sick = False        # every task that it starts fails
        self.notice_at = self.died_at = None
        self.session, self.count, self.token = 1, 0, 0
        self.tasks = {}          # (task, attempt) -> dict
        self.images = set()
        self.fetching = {}
        self.lease_from = None
        self.last_sent = 0.0
        self.dirty = asyncio.Event()
        self.clients = {}
        self.node = random.choice(world.members)

    def listing(self, now):
        # A machine that dies keeps being listed as running for about 30 s.
        if self.died_at is not None and now - self.died_at > 30:
            state = "failed"
        else:
            state = "running" if self.up else "booting"
        return {"Ref": self.name, "Address": f"127.0.0.1:{self.port}", "Modelo": self.kind["Label"], "Parcela": self.zone,
                "Avulsas": self.spot, "Estado": state, "AgeS": round(now - self.rented_at, 1)}

    async def boot(self, boot_s):
        await asyncio.sleep(boot_s)
        if self.gone:
            return
        self.up = True
        self.lease_from = time.monotonic()
        self.world.record("machine up", machine=self.name, type=self.kind["Label"], zone=self.zone)
        server = await asyncio.start_server(self.direct, sock=self.socket)
        try:
            await asyncio.gather(self.report_loop(), self.task_loop())
        finally:
            server.close()

    def end(self):
        if not self.gone:
            self.gone = True
            for key in list(self.tasks):
                self.leave(key)
            self.tasks.clear()
            self.dirty.set()
            for client in self.clients.values():
                client.close()
            if not self.up:
                self.socket.close()

    def die(self):
        """The machine stops with all that is on it, and stays listed until it is deleted."""
        self.world.record("machine stops", machine=self.name)
        self.died_at = time.monotonic()
        self.end()

    async def direct(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                while (self.hung or self.cut) and not self.gone:
                    await asyncio.sleep(0.05)
                if self.gone:
                    break
                start, _, body = message
                method, path, _ = start.split(" ", 2)
                status = 200
                if method == "POST" and path == "/orders":
                    orders = json.loads(body)
                    if orders.get("Selo") is None or orders.get("Jornada") is None:
                        status = 400
                    elif orders["Selo"] < self.token or orders["Jornada"] != self.session:
                        status = 409
                    else:
                        self.token = orders["Selo"]
                        self.execute(orders["Ordens"])
                writer.write(response_bytes(status, self.report()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def report(self):
        self.count += 1
        tasks = []
        for (task, attempt), t in self.tasks.items():
            entry = {"Tarefa": task, "Tentativa": attempt, "Estado": t["state"]}
            if t["state"] == "exited":
                entry["Motivo"] = t["why"]
                if t["why"] == "stopped":
                    entry["Stored"] = t.get("saved", False)
            tasks.append(entry)
        notice = None if self.notice_at is None else max(0.0, round(self.notice_at - time.monotonic(), 1))
        return {"Prensa": self.name, "Address": f"127.0.0.1:{self.port}", "Modelo": self.kind["Label"], "Parcela": self.zone,
                "Avulsas": self.spot, "Jornada": self.session, "Contagem": self.count, "Selo": self.token, "AvisoS": notice,
                "Tarefas": tasks}

    def client(self, member):
        if member not in self.clients:
            self.clients[member] = Client(("127.0.0.1", self.world.serve_ports[member]))
        return self.clients[member]

    def next_node(self):
        members = self.world.members
        self.node = members[(members.index(self.node) + 1) % len(members)]

    async def report_loop(self):
        report_s = self.world.workers["report_s"]
        token_change_at = 0.0
        while not self.gone:
            if self.hung:
                await asyncio.sleep(0.05)
                continue
            self.dirty.clear()
            sent_at = time.monotonic()
            self.last_sent = sent_at
            session, node = self.session, self.node
            report = self.report()
            if self.cut or node in self.world.worker_cut:
                await asyncio.sleep(4.0)
                status, value = 0, None
            else:
                status, _, value = await self.client(node).call("POST", "/checkin", report, timeout=4.0)
            while (self.hung) and not self.gone:
                await asyncio.sleep(0.05)
                if time.monotonic() - sent_at > 4.0:
                    status, value = 0, None
            if self.gone:
                return
            if (self.cut) and status:
                status, value = 0, None
            self.world.count_report(self.name, node, status, len(compact(report)))
            if status == 200 and value is not None:
                token = value.get("Selo")
                if token is not None and token >= self.token and session == self.session:
                    if token > self.token:
                        self.token = token
                        if sent_at - token_change_at > self.world.workers["lease_s"] / 2:
                            token_change_at = sent_at
                            self.dirty.set()
                    self.lease_from = max(self.lease_from, sent_at)
                    self.execute(value.get("Ordens") or [])
            elif status == 421 and (value or {}).get("RespondeA") in self.world.members and value["RespondeA"] != node:
                self.client(node).close()
                self.node = value["RespondeA"]
                await asyncio.sleep(random.uniform(0.0, 0.5))
                continue
            else:
                self.client(node).close()
                self.next_node()
                await asyncio.sleep(1.0)
                continue
            wait = report_s * random.uniform(0.75, 1.25)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.dirty.wait(), wait)
            least = self.last_sent + 0.5 - time.monotonic()
            if least > 0:
                await asyncio.sleep(least)

    def execute(self, orders):
        for order in orders:
            key = (order["Tarefa"], order["Tentativa"])
            self.world.record("order", machine=self.name, **order)
            t = self.tasks.get(key)
            if order["Ordem"] == "run" and t is None:
                self.start_task(key)
            elif order["Ordem"] == "halt" and t is not None and t["state"] != "exited":
                spec = self.world.specs[key[0].split("/")[0]]
                if t["state"] == "running" and spec["MarcoS"] > 0 and order["FolgaS"] >= spec["GuardaS"] > 0:
                    t["state"], t["until"] = "saving", time.monotonic() + spec["GuardaS"]
                elif not (t["state"] == "saving" and order["FolgaS"] > 0):
                    self.exit_task(key, "stopped")
            elif order["Ordem"] == "reap" and t is not None and t["state"] == "exited":
                del self.tasks[key]

    def start_task(self, key):
        task = key[0]
        job = task.split("/")[0]
        spec = self.world.specs.get(job)
        self.dirty.set()
        now = time.monotonic()
        entry = {"state": "exited", "why": "unknown", "left": 0.0}
        self.tasks[key] = entry
        self.world.commands += 1
        if spec is None:
            return
        if any(k[0] == task and k != key and t["state"] != "exited" for k, t in self.tasks.items()):
            entry["why"] = "in_use"
            return
        live = [self.world.specs[k[0].split("/")[0]] for k, t in self.tasks.items() if t["state"] != "exited"] + [spec]
        if sum(s["Cpus"] for s in live) > self.kind["Cpus"] + EPSILON or sum(s["MemGb"] for s in live) > self.kind["MemGb"] + EPSILON:
            entry["why"] = "full"
            return
        entry["state"] = "pulling"
        entry["left"] = self.world.run_s(task, spec)
        if spec["Matriz"] not in self.images and spec["Matriz"] not in self.fetching:
            self.fetching[spec["Matriz"]] = now + spec["PullGb"] / self.kind["FetchGbPerS"]

    def exit_task(self, key, why):
        t = self.tasks[key]
        self.leave(key)
        t["state"], t["why"] = "exited", why
        if why == "done":
            self.world.task_done(key[0], self.name)
        self.dirty.set()

    def leave(self, key):
        t = self.tasks[key]
        if t["state"] in ("running", "saving"):
            self.world.left(key[0], key[1], self)

    async def task_loop(self):
        lease_s = self.world.workers["lease_s"]
        at = time.monotonic()
        while not self.gone:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            elapsed, at = now - at, now
            if self.hung:
                continue
            if now - self.lease_from > lease_s:
                lost = [k for k, t in self.tasks.items() if t["state"] != "exited"]
                self.world.record("worker lease expired", machine=self.name, tasks=len(lost))
                self.world.lease_expired += 1
                for key in list(self.tasks):
                    self.leave(key)
                self.tasks.clear()
                self.fetching.clear()
                self.session += 1
                self.lease_from = now
                self.dirty.set()
                continue
            for image in [i for i, until in self.fetching.items() if until <= now]:
                del self.fetching[image]
                self.images.add(image)
            for key, t in list(self.tasks.items()):
                spec = self.world.specs.get(key[0].split("/")[0])
                if t["state"] == "pulling" and spec["Matriz"] in self.images:
                    t["state"] = "running"
                    self.dirty.set()
                    self.world.started(key[0], key[1], self)
                    if key[0] in self.world.done_tasks and spec["Feitio"] == "batch":
                        self.exit_task(key, "done")
                    elif self.sick or self.world.fails(key[0]):
                        self.exit_task(key, "error")
                elif t["state"] == "running":
                    t["left"] -= elapsed
                    if t["left"] <= 0 and spec["Feitio"] == "batch":
                        self.exit_task(key, "done")
                elif t["state"] == "saving" and now >= t["until"]:
                    t["saved"] = True
                    self.exit_task(key, "stopped")


class PeerProxy:
    """Forwards one controller's connections to one peer."""

    def __init__(self, target_port):
        self.target_port, self.port, self.mode, self.writers = target_port, free_port(), "ok", []

    async def serve(self):
        async def connection(reader, writer):
            if self.mode != "ok":
                writer.transport.abort()
                return
            try:
                up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            except OSError:
                writer.transport.abort()
                return
            self.writers += [writer, up_writer]
            await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))

        return await asyncio.start_server(connection, "127.0.0.1", self.port)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def set_mode(self, mode):
        self.mode = mode
        if mode != "ok":
            for writer in self.writers:
                writer.transport.abort()
            self.writers.clear()


class World:
    """A deployment: controllers as processes, stand-ins for all else, and the checker."""

    def __init__(self, record_path, members=3, zones=("a", "b"), types=None, teams=None, workers=None, state=None, cloud=None,
                 limits=None, next_state=None, log_level="info"):
        self.members = [f"cepa-{n}" for n in range(members)]
        self.zones = list(zones)
        self.teams = teams or {"campo": (72.0, 192.0)}
        self.workers = workers or {"report_s": 1.5, "lease_s": 10.0, "cancel_s": 35.0}
        self.state_limits = state or {"rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 12}
        self.next_state = next_state
        self.cloud_limits = cloud or {"rps": 2.0, "list_lag_s": 4.0}
        self.limits = limits or {"core_share": 0.2, "mem_mb": 136.0, "sockets": 2500}
        self.types = types or [{"Label": "parreira", "Cpus": 8, "Gpus": 0, "MemGb": 32, "LocalGb": 70, "FetchGbPerS": 2.0, "Hourly": 0.55,
                                "SpotPrice": 0.14, "ReadyS": 10, "Parcelas": self.zones}]
        self.log_level = log_level
        self.began = time.monotonic()
        self.file = open(record_path, "w", buffering=1)
        self.specs, self.done_tasks, self.on_machine = {}, set(), {}
        self.run_s = lambda task, spec: spec["PrevisaoS"]
        self.fails = lambda task: False
        self.broken = []
        self.cancel_told = {}
        self.starts = self.commands = self.lease_expired = 0
        self.report_status, self.largest_report = {}, 0
        self.worker_cut = set()
        self.tasks_running = set()
        self.processes = {}
        self.dir = tempfile.TemporaryDirectory(prefix="snowshelf-review-")
        self.serve_ports = {m: free_port() for m in self.members}
        self.peer_ports = {m: free_port() for m in self.members}
        self.state_ports = {m: free_port() for m in self.members}
        self.cloud_ports = {m: free_port() for m in self.members}
        self.proxies = {(a, b): PeerProxy(self.peer_ports[b]) for a in self.members for b in self.members if a != b}
        self.coroutines = set()
        self.servers = []

    def record(self, what, **fields):
        at = time.monotonic() - self.began
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self.file.write(f"{at:8.2f} {what} {text}\n")

    def breach(self, rule, **fields):
        self.broken.append((rule, fields))
        self.record("RULE BROKEN " + rule, **fields)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.coroutines.add(task)

        def ended(t):
            self.coroutines.discard(t)
            if not t.cancelled() and t.exception() is not None:
                self.record("stand-in failed", error=repr(t.exception()))
                sys.stderr.write(f"stand-in failed: {t.exception()!r}\n")

        task.add_done_callback(ended)
        return task

    # Controllers.

    def settings(self, member):
        text = [f'member = "{member}"', f'site = "{self.zones[0]}"', f'serve_on = "127.0.0.1:{self.serve_ports[member]}"',
                f'peer_listen = "127.0.0.1:{self.peer_ports[member]}"']
        for other in self.members:
            if other != member:
                text += ["[[peers]]", f'member = "{other}"', f'site = "{self.zones[0]}"',
                         f'address = "127.0.0.1:{self.proxies[(member, other)].port}"']
        text += ["[outside]", f'cloud = "127.0.0.1:{self.cloud_ports[member]}"', f'state = "127.0.0.1:{self.state_ports[member]}"',
                 "[deployment]", f"nodes = {len(self.members)}", f"zones = {json.dumps(self.zones)}", "skew_ms = 100.0"]
        for name, (cpus, most) in self.teams.items():
            text += ["[[deployment.teams]]", f'name = "{name}"', f"cpus = {cpus}", f"cpus_max = {most}", "gpus = 0.0", "gpus_max = 0.0"]
        for table, values in [("workers", self.workers), ("state", self.state_limits), ("cloud", self.cloud_limits), ("limits", self.limits)]:
            text.append(f"[deployment.{table}]")
            text += [f"{k} = {v}" for k, v in values.items()]
            if table == "state" and self.next_state:
                text.append("[deployment.state.next]")
                text += [f"{k} = {v}" for k, v in self.next_state.items()]
        return "\n".join(text) + "\n"

    def start_controller(self, member):
        path = os.path.join(self.dir.name, member + ".toml")
        with open(path, "w") as f:
            f.write(self.settings(member))
        with open(os.path.join(ROOT, "deploy", "service.toml")) as f:
            command = shlex.split(re.search(r'^run = "(.*)"$', f.read(), re.M).group(1)) + [path]
        log = open(os.path.join(self.dir.name, member + ".log"), "a")
        env = dict(os.environ, LOG_LEVEL=self.log_level)
        self.processes[member] = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, env=env, stdin=subprocess.DEVNULL)
        log.close()
        self.record("controller started", member=member)

    def kill_controller(self, member):
        process = self.processes.pop(member, None)
        if process:
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.record("controller killed", member=member)

    async def restart_controller(self, member, pause_s=3.0):
        self.kill_controller(member)
        await asyncio.sleep(pause_s)
        self.start_controller(member)

    async def watch_processes(self):
        while True:
            await asyncio.sleep(0.2)
            for member, process in list(self.processes.items()):
                if process.poll() is not None:
                    self.breach("crash", member=member, code=process.returncode)
                    del self.processes[member]

    async def ready(self, member, timeout=20.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            client = Client(("127.0.0.1", self.serve_ports[member]))
            status, _, _ = await client.call("GET", "/ready", timeout=1.0)
            client.close()
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def begin(self):
        self.state = StateService(self.state_limits)
        self.cloud = Cloud(self, self.types, self.cloud_limits["rps"], self.cloud_limits["list_lag_s"])
        for member in self.members:
            self.servers.append(await self.state.serve(member, self.state_ports[member]))
            self.servers.append(await self.cloud.serve(member, self.cloud_ports[member]))
        for proxy in self.proxies.values():
            self.servers.append(await proxy.serve())
        for coroutine in (self.state.tick(), self.cloud.tick(), self.check_loop(), self.watch_processes()):
            self.spawn(coroutine)
        for member in self.members:
            self.start_controller(member)
        for member in self.members:
            if not await self.ready(member):
                raise RuntimeError(f"{member} does not get ready")
        self.record("all controllers ready")

    def end(self):
        for member in list(self.processes):
            self.kill_controller(member)
        for task in list(self.coroutines):
            task.cancel()
        for server in self.servers:
            server.close()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            subprocess.run(["cp", "-r", self.dir.name, logs], check=False)
        self.dir.cleanup()

    # The checker.

    def started(self, task, attempt, worker):
        self.starts += 1
        job = task.split("/")[0]
        spec = self.specs[job]
        self.record("task starts", task=task, attempt=attempt, machine=worker.name)
        others = [(w.name, a) for (t, a, w) in self.on_machine.get(job, ()) if t == task and w is not worker]
        if others:
            self.breach("ran_twice", task=task, machine=worker.name, others=others)
        if spec["Modelos"] is not None and worker.kind["Label"] not in spec["Modelos"] or spec["Parcela"] not in (None, worker.zone) \
                or worker.spot and not spec["Avulsas"]:
            self.breach("wrong_place", task=task, machine=worker.name)
        zones = [w.zone for (_, _, w) in self.on_machine.get(job, ())] + [worker.zone]
        if spec["Together"] and len(set(zones)) > 1:
            self.breach("wrong_place", task=task, zones=zones)
        if spec["Apart"] and zones.count(worker.zone) > (spec["Tarefas"] + 1) // 2:
            self.breach("wrong_place", task=task, zones=zones)
        self.on_machine.setdefault(job, set()).add((task, attempt, worker))
        self.check_cancelled()
        used = sum(self.specs[j]["Cpus"] * len(on) for j, on in self.on_machine.items() if self.specs[j]["Cuadrilla"] == spec["Cuadrilla"])
        if used > self.teams[spec["Cuadrilla"]][1] + EPSILON:
            self.breach("quota", team=spec["Cuadrilla"], used=used)

    def left(self, task, attempt, worker):
        self.on_machine.get(task.split("/")[0], set()).discard((task, attempt, worker))
        self.record("task leaves", task=task, attempt=attempt, machine=worker.name)

    def task_done(self, task, machine):
        self.done_tasks.add(task)

    def count_report(self, machine, node, status, size):
        self.report_status[status] = self.report_status.get(status, 0) + 1
        self.largest_report = max(self.largest_report, size)
        if status not in (200, 421):
            self.record("report not accepted", machine=machine, node=node, status=status, bytes=size)

    def check_cancelled(self):
        now = time.monotonic()
        for job, told in self.cancel_told.items():
            if now > told + self.workers["cancel_s"] and self.on_machine.get(job):
                where = [(t, w.name) for (t, _, w) in self.on_machine[job]]
                if not any(r == "ran_cancelled" and f.get("job") == job for r, f in self.broken):
                    self.breach("ran_cancelled", job=job, where=where, after_s=round(now - told, 1))

    async def check_loop(self):
        while True:
            await asyncio.sleep(0.2)
            self.check_cancelled()

    # Users.

    def job(self, ref, **fields):
        spec = {"Ref": ref, "Lote": "tally", "Cuadrilla": next(iter(self.teams)), "Feitio": "batch", "Precedencia": "high", "Tarefas": 1,
                "Cpus": 2.0, "Gpus": 0.0, "MemGb": 4.0, "Matriz": "img-1", "PullGb": 1.0, "Modelos": None, "Parcela": None,
                "Together": False, "Apart": False, "Avulsas": True, "PrevisaoS": 5.0, "MarcoS": 0.0, "GuardaS": 0.0, "PrazoS": None}
        spec.update(fields)
        return spec

    async def ask(self, method, path, body=None, member=None, timeout=5.0):
        member = member or random.choice([m for m in self.members if m in self.processes] or self.members)
        client = Client(("127.0.0.1", self.serve_ports[member]))
        status, headers, value = await client.call(method, path, body, timeout=timeout)
        client.close()
        return status, headers, value

    async def submit(self, spec, member=None, for_s=60.0):
        """Submits as a user does, with retries for 60 s. Returns the final status and the number of tries."""
        self.specs[spec["Ref"]] = spec
        self.record("submission sent", spec=spec)
        until, tries = time.monotonic() + for_s, 0
        while True:
            tries += 1
            status, headers, value = await self.ask("POST", "/api/jobs", spec, member)
            self.record("submission answered", job=spec["Ref"], status=status, value=value)
            if status in (200, 201, 400, 422):
                return status, tries, value
            pause = max(1.0, min(30.0, float(headers.get("retry-after", 0))))
            if time.monotonic() + pause > until:
                return status, tries, value
            await asyncio.sleep(pause)

    async def poll(self, ref, member=None):
        status, _, value = await self.ask("GET", f"/api/jobs/{ref}", member=member, timeout=2.0)
        return status, value

    async def cancel(self, ref, for_s=60.0, member=None):
        until = time.monotonic() + for_s
        self.record("cancellation sent", job=ref)
        while time.monotonic() < until:
            status, _, value = await self.ask("POST", f"/api/jobs/{ref}/cancel", member=member)
            self.record("cancellation answered", job=ref, status=status, value=value)
            if status == 200 and (value or {}).get("Estado") in ("aborted", "done"):
                if value["Estado"] == "aborted":
                    self.cancel_told.setdefault(ref, time.monotonic())
                return value["Estado"]
            await asyncio.sleep(1.0)
        return None

    async def until_state(self, ref, state, timeout):
        until = time.monotonic() + timeout
        last = None
        while time.monotonic() < until:
            status, value = await self.poll(ref)
            if status == 200 and value != last:
                self.record("poll answered", job=ref, value=value)
                last = value
            if status == 200 and value.get("Estado") == state:
                return True
            await asyncio.sleep(1.0)
        return False


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder, **options):
    """Runs a case: a coroutine that takes the world and returns whether the rule held. Exits with 0, 1 or 2."""

    async def main():
        world = World(os.path.join(folder, "record.txt"), **options)
        code = 2
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        try:
            await world.begin()
            held = await asyncio.wait_for(case(world), 112)
            code = 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # The case could not run.
            world.record("the case could not run", error=repr(error))
            sys.stderr.write(f"the case could not run: {error!r}\n")
        finally:
            world.end()
        world.record("ends", code=code, trouble=trouble())
        return code

    async def main_and_exit():
        code = await main()
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code], flush=True)
        # Leaves without closing each connection of the stand-ins one by one.
        os._exit(code)

    asyncio.run(main_and_exit())
