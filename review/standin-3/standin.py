"""Stand-ins for the users' platform: store, registry, workers, control plane, advice service, operator and clients.

They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses and the real clock. The nodes are the project's own program, started
as the deploy file says. A case drives them from one asyncio loop and judges by what the stand-ins saw.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target", "tools", "cornelquay-jobd", "cornelquay-jobd")

# Bounds of the site lsp-kilkenny.
HOLD_MAX_MS = 6000
STOP_GRACE_MS = 900
CANCEL_MS = 3000
FINISH_S = 14
HEARTBEAT_S = 1.5
GANG_WAIT_S = 3.0
CHECKPOINT_S = 2.0
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
MOVE_S = 1.5
UPKEEP_S = 2.0

# Exit status of a case whose rule was broken; Python itself ends with 1 after an error.
BROKEN = 10

HOST = "jobs.example"
KEY = "key-of-brennan"
CPU, MEMORY = 16000, 32768


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def free_port():
    """A port below those that the kernel gives to outgoing connections, so that it stays free while its owner is down."""
    for _ in range(1000):
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("there is no free port")


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection to a stand-in; its requests are answered one after the other."""

    def __init__(self, server):
        self.server = server
        self.data = b""
        self.requests = asyncio.Queue()
        self.closed = False
        self.is_silent = False

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)
        if self.server.is_cut:
            transport.pause_reading()
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def connection_lost(self, error):
        self.closed = True
        self.server.connections.discard(self)
        self.task.cancel()

    def data_received(self, data):
        self.data += data
        while True:
            end = self.data.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.data[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.data) < end + 4 + length:
                return
            method, target = lines[0].split(" ")[:2]
            body = self.data[end + 4:end + 4 + length]
            self.data = self.data[end + 4 + length:]
            self.requests.put_nowait((method, target, headers, body))

    async def serve(self):
        while True:
            request = await self.requests.get()
            status, body = await self.server.handler(*request)
            if isinstance(body, dict):
                body = json.dumps(body).encode()
            await self.server.until_healed()
            if not self.closed and not self.is_silent:
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
                self.transport.write(head.encode() + body)


class Server:
    """A listening address that can be cut off (silently: bytes wait until the cut heals) or closed."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self.port = 0
        self.listener = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.port = self.port or free_port()
        self.listener = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port)

    def close(self):
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            connection.transport.abort()

    def cut(self):
        self.is_cut = True
        self.healed.clear()
        for connection in self.connections:
            connection.transport.pause_reading()

    def heal(self):
        self.is_cut = False
        for connection in list(self.connections):
            if not connection.transport.is_closing() and not connection.is_silent:
                connection.transport.resume_reading()
        self.healed.set()

    def silence(self):
        """All connections that are open now go silent for good, without a reset; new ones work."""
        for connection in self.connections:
            connection.is_silent = True
            connection.transport.pause_reading()

    async def until_healed(self):
        await self.healed.wait()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.grown = asyncio.Event()

    def add(self, records):
        offset = len(self.records)
        for record in records:
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset


class Store:
    """The platform's metadata store in its form "log"."""

    ANSWER_S = 0.004
    APPEND_S = 0.002

    def __init__(self):
        self.parts = {}
        self.server = Server(self.handle)

    def part(self, topic, number):
        return self.parts.setdefault((topic, number), Partition())

    def put(self, topic, key, value):
        """What the operator and the workers write."""
        part = self.part(topic, 0)
        key, value = key.encode(), value if isinstance(value, bytes) else json.dumps(value).encode()
        self.note(part, part.add([bytes([len(key)]) + key + value]), [bytes([len(key)]) + key + value])

    @staticmethod
    def note(part, offset, records):
        for number, record in enumerate(records):
            key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
            if value:
                part.newest[key] = (value, offset + number)
            else:
                part.newest.pop(key, None)

    def value(self, topic, key):
        found = self.part(topic, 0).newest.get(key)
        return found[0] if found else b""

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        arguments = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        topic, part = arguments.get("topic", ""), self.part(arguments.get("topic", ""), int(arguments.get("part", "0")))
        await asyncio.sleep(self.ANSWER_S / 2)
        if path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                answer = (403, {})
            else:
                await asyncio.sleep(self.APPEND_S)
                answer = self.append(topic, part, arguments, body)
        elif path == "/log-read":
            answer = await self.read(part, int(arguments.get("from", "0")), int(arguments.get("wait_ms", "0")))
        elif path == "/log-newest":
            answer = self.read_newest(part, arguments.get("after", ""))
        else:
            answer = (404, {})
        await asyncio.sleep(self.ANSWER_S / 2)
        return answer

    def append(self, topic, part, arguments, body):
        records = []
        while body:
            length = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + length])
            body = body[4 + length:]
        if "at" in arguments and int(arguments["at"]) != len(part.records):
            return 412, {"end": len(part.records)}
        if "producer" in arguments:
            epoch, sequence = int(arguments["epoch"]), int(arguments.get("seq", "0"))
            state = part.producers.get(arguments["producer"])
            if state and epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if state and epoch == state["epoch"]:
                if sequence in state["answers"]:
                    return 200, state["answers"][sequence]
                if sequence != state["last"] + 1:
                    return 409, {"reason": "seq", "expected": state["last"] + 1}
            else:
                state = part.producers[arguments["producer"]] = {"epoch": epoch, "answers": {}}
            state["last"] = sequence
        offset = part.add(records)
        if topic.startswith("keyed."):
            self.note(part, offset, records)
        answer = {"offset": offset, "end": len(part.records)}
        if "producer" in arguments:
            state["answers"][sequence] = answer
            for old in sorted(state["answers"])[:-5]:
                del state["answers"][old]
        return 200, answer

    @staticmethod
    async def read(part, first, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while first >= len(part.records) and time.monotonic() < end:
            try:
                await asyncio.wait_for(part.grown.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(part.records), 0)
        for record in part.records[first:]:
            if len(body) > 1 << 20:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    @staticmethod
    def read_newest(part, after):
        keys = [key for key in sorted(part.newest) if key > after]
        items = [{"key": key, "value": base64.b64encode(part.newest[key][0]).decode(), "offset": part.newest[key][1]} for key in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "end": len(part.records)}


class Worker:
    """A worker process on a machine. It may start again under its id, and then knows nothing of before."""

    def __init__(self, world, number, service, kind):
        self.world = world
        self.id = "i-%08x" % (0x7f3a91c0 + number)
        self.machine = "m-%05x" % (0x0a3f0 + number)
        self.service = service
        self.kind = kind
        self.rack = "r1-%d" % (1 + number // 4)
        self.zone = "ie-south-" + "abc"[number % 3]
        self.server = Server(self.handle)
        self.is_up = False
        self.sequence = 0
        self.heard_at = 0.0
        self.is_listed = False
        self.lives = 0

    # Life.
    async def start(self):
        self.lives += 1
        self.born = max(int(time.time() * 1000), getattr(self, "born", 0) + 1)
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.last_end = 0
        self.running = {}
        self.ended = []
        self.barred = {}
        self.woken = asyncio.Event()
        self.is_called = False
        await self.server.listen()
        self.is_up = True
        self.world.note("worker starts", worker=self.id, labels=self.labels(), born=self.born)
        self.beat()

    def crash(self):
        self.world.note("worker crashes", worker=self.id, runs=[[task, run["run"]] for task, run in self.running.items()])
        self.is_up = False
        lost = list(self.running.items())
        self.running = {}
        self.ended = []
        self.server.close()
        for task, run in lost:
            self.world.run_over(self, task, run, "crashed")

    def beat(self):
        """Writes the worker's entry into the registry, unless it is cut off from the store."""
        if self.is_up and not self.server.is_cut:
            self.sequence += 1
            self.heard_at = time.monotonic()
            self.is_listed = True
            self.world.store.put("keyed.servers", self.id, {
                "service": self.service, "address": "127.0.0.1:%d" % self.server.port, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "capacity": {"cpu": CPU, "mem_mb": MEMORY, "gpu": 0}, "labels": self.labels(),
                "clock_ms": self.clock(), "seq": self.sequence, "born": self.born})
        elif self.is_listed and time.monotonic() - self.heard_at > 3 * HEARTBEAT_S:
            self.is_listed = False
            self.world.store.put("keyed.servers", self.id, b"")

    def labels(self):
        return [self.kind, self.rack]

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    # Runs.
    def end(self, task, how):
        run = self.running.pop(task)
        run["timer"].cancel()
        self.last_end += 1
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.ended.append([self.last_end, task, run["run"], how, run["saved"]])
        self.world.note("run ends", task=task, run=run["run"], how=how, worker=self.id)
        self.world.run_over(self, task, run, how)
        self.woken.set()
        self.woken = asyncio.Event()

    def check_lease(self):
        if self.is_up and self.running and self.clock() > self.lease:
            for task in list(self.running):
                self.end(task, "lapsed")

    def rows(self):
        rows = []
        for task, run in self.running.items():
            done = 0.0 if run["began"] is None else min(1.0, (time.monotonic() - run["began"]) / run["work_s"])
            rows.append([task, run["run"], run["saved"], int(done * 100), run["cpu"]])
        return rows

    # Calls.
    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        if headers.get("cornelquay-target-instance") != self.id:
            return 421, {}
        if not self.is_called:
            self.is_called = True
            self.world.note("first call", worker=self.id, path=target)
        try:
            call = json.loads(body)
        except ValueError:
            return 400, {"clock_ms": self.clock()}
        if call.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = call.get("fencing_token", 0)
        if target == "/run-start":
            return self.run_start(call)
        if target == "/run-stop":
            return self.run_stop(call)
        if target == "/pace":
            return 200, {"clock_ms": self.clock()}
        if target == "/hold":
            return await self.hold(call)
        return 404, {}

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def run_start(self, call):
        task, number = call["task"], call["run"]
        if task in self.running and self.running[task]["run"] == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.barred.get(task, 0):
            self.extend(call["deadline_ms"])
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if call["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        if not self.world.is_ticket_valid(self, call):
            self.world.note("start rejected", task=task, run=number, worker=self.id, reason="ticket")
            return 409, {"clock_ms": self.clock(), "reason": "ticket"}
        self.extend(call["deadline_ms"])
        step = self.world.step_of(task)
        run = {"run": number, "saved": call.get("checkpoint", ""), "began": None, "work_s": step["work_s"], "cpu": step["cpu"], "at": time.monotonic()}
        run["timer"] = asyncio.get_running_loop().call_later(GANG_WAIT_S if step.get("gang") else step["work_s"], self.on_timer, task, run)
        self.running[task] = run
        self.world.note("run starts", task=task, run=number, worker=self.id, labels=self.labels())
        self.world.run_began(self, task, run, step)
        return 200, {"clock_ms": self.clock()}

    def on_timer(self, task, run):
        if self.running.get(task) is run:
            self.end(task, "alone" if run["began"] is None else "done")

    def work(self, task, run):
        """The run works from now on; for a gang, once all members are present. A task that lasts is at work after work_s and does not end."""
        run["began"] = time.monotonic()
        run["timer"].cancel()
        if not self.world.step_of(task).get("long_running"):
            run["timer"] = asyncio.get_running_loop().call_later(run["work_s"], self.on_timer, task, run)

    def run_stop(self, call):
        task, number = call["task"], call["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        if task in self.running and self.running[task]["run"] == number:
            self.end(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        self.extend(call.get("deadline_ms", 0))
        acknowledged = call.get("acked_upto", 0)
        for row in self.ended:
            if row[0] <= acknowledged:
                self.world.note("end acknowledged", task=row[1], run=row[2], how=row[3], worker=self.id)
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if not self.ended and call.get("wait_ms", 0) > 0:
            try:
                await asyncio.wait_for(self.woken.wait(), call["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": self.rows(), "ended": self.ended[:500]}


class Cloud:
    """The list of machines, and orders for them."""

    def __init__(self, world):
        self.world = world
        self.server = Server(self.handle)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.02)
        if method == "GET":
            rows = [{"machine": worker.machine, "pool": worker.service, "state": "up" if worker.is_up else "down", "zone": worker.zone,
                     "labels": worker.labels(), "capacity": {"cpu": CPU, "mem_mb": MEMORY, "gpu": 0}, "id": worker.id} for worker in self.world.workers]
            return 200, {"machines": rows, "next_token": None}
        return 409, {"reason": "busy"}


class Advice:
    """The advice service: one call at a time, after decide_ms and period_ms for each worker named."""

    DECIDE_S, PERIOD_S, VALID_S = 0.005, 0.002, 0.0

    def __init__(self, world):
        self.world = world
        self.server = Server(self.handle)
        self.turn = asyncio.Lock()
        self.good = set()
        self.tickets = {}

    async def handle(self, method, target, headers, body):
        call = json.loads(body)
        async with self.turn:
            await asyncio.sleep(self.DECIDE_S + self.PERIOD_S * len(call["workers"]))
        rows = []
        for worker in self.world.workers:
            if worker.id in call["workers"] and worker.id in self.good:
                ticket = "t-%d" % (len(self.tickets) + 1)
                # A ticket holds for one step during one life of the worker.
                self.tickets[ticket] = (call["step"], worker.id, worker.lives, time.monotonic() + self.VALID_S)
                rows.append([worker.id, ticket])
        self.world.note("advice", step=call["step"], workers=len(call["workers"]), good=[row[0] for row in rows])
        return 200, {"good": rows, "valid_ms": int(self.VALID_S * 1000)}


class World:
    """Everything that a case drives, and the record of what was seen."""

    def __init__(self, folder):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.started = time.monotonic()
        self.lines = []
        self.jobs = {}
        self.gangs = {}
        self.workers = []
        self.nodes = []
        self.on_start = None
        self.store = Store()
        self.cloud = Cloud(self)
        self.advice = Advice(self)

    def now(self):
        return time.monotonic() - self.started

    def note(self, event, **facts):
        line = "%8.3f %s %s" % (self.now(), event, json.dumps(facts))
        self.lines.append(line)
        print(line, flush=True)

    # Jobs, as the platform knows them.
    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    def is_ticket_valid(self, worker, call):
        if not self.advice.VALID_S:
            return True
        step, owner, life, until = self.advice.tickets.get(call.get("ticket"), ("", "", 0, 0))
        return step == call["task"].rpartition(".")[0] and owner == worker.id and life == worker.lives and time.monotonic() < until

    def run_began(self, worker, task, run, step):
        if not step.get("gang"):
            worker.work(task, run)
        else:
            gang = self.gangs.setdefault((task.rpartition(".")[0], run["run"]), {})
            gang[task] = (worker, run)
            if len(gang) == step["count"]:
                for member, (other, its_run) in gang.items():
                    other.work(member, its_run)
        if self.on_start:
            self.on_start(worker, task, run, step)

    def run_over(self, worker, task, run, how):
        step = self.step_of(task)
        if not step.get("gang"):
            return
        gang = self.gangs.get((task.rpartition(".")[0], run["run"]), {})
        gang.pop(task, None)
        # The members of a gang end together: all done, or the others broken.
        for member, (other, its_run) in list(gang.items()):
            if other.running.get(member) is its_run:
                gang.pop(member, None)
                other.end(member, "done" if how == "done" else "broken")

    def runs_of(self, job):
        return [task for worker in self.workers if worker.is_up for task in worker.running if task.startswith(job + ".")]

    # Set-up.
    async def begin(self, kinds, nodes=7, advice=None):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        self.note("begin")
        await self.store.server.listen()
        await self.cloud.server.listen()
        await self.advice.server.listen()
        route = self.route("r-cutlist", "/cutlist/")
        if advice:
            route["advice"] = advice
            self.advice.VALID_S = advice["valid_ms"] / 1000
        self.configure(7, [route])
        for number, kind in enumerate(kinds):
            worker = Worker(self, number, "workshop", kind)
            self.workers.append(worker)
            await worker.start()
        self.background = [asyncio.create_task(self.beats()), asyncio.create_task(self.leases())]
        for number in range(nodes):
            await self.start_node(number)
        await self.wait_until(self.all_ready, 20, "the nodes are not ready")

    @staticmethod
    def route(name, prefix):
        return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 600,
                "priority": 0, "service": "workshop", "attempts": 3, "stretch": 1.6, "public": False}

    def configure(self, version, routes):
        """What the operator writes; the store has acknowledged it when this returns."""
        self.store.put("keyed.op", "config", {
            "version": version, "routes": routes,
            "services": [{"name": "workshop", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "rejects_overload": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "brennan", "api_keys": [KEY], "weight": 10, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]})
        self.note("configuration", version=version, routes=[route["path_prefix"] for route in routes])

    async def beats(self):
        while True:
            for worker in self.workers:
                worker.beat()
                await asyncio.sleep(HEARTBEAT_S / len(self.workers))

    async def leases(self):
        while True:
            for worker in self.workers:
                worker.check_lease()
            await asyncio.sleep(0.02)

    async def start_node(self, number):
        node = {"name": "edge-ie-south-%s-%d" % ("abc"[number % 3], 1 + number // 3)}
        for name in ("callers", "readiness", "peer", "metrics"):
            node[name] = free_port()
        text = """name: %(name)s
zone: %(zone)s
callers: "127.0.0.1:%(callers)d"
readiness: "127.0.0.1:%(readiness)d"
peer-address: "127.0.0.1:%(peer)d"
peer-secret: replace-this-with-32-random-characters
metrics: "127.0.0.1:%(metrics)d"
store: "127.0.0.1:%(store)d"
store-call-bytes: 2097152
store-record-bytes: 262144
store-partitions: 32
control-plane: "127.0.0.1:%(cloud)d"
instance-orders-per-second: 64.0
advice: "127.0.0.1:%(advice)d"
cpu-share: 0.25
memory: 260MiB
descriptors: 4100
times:
  lease-most: 6000ms
  stop-grace: 900ms
  status-kept: 120s
  instance-move: 1.5s
  instance-maintenance: 2s
  instance-hand-over: 3000ms
  stop-most: 6s
scheduling:
  prediction: queue
  account-shares: rate
  admission: all
  slow-runs: restart
  capacity: forecast
log-format: json
""" % {**node, "zone": "ie-south-" + "abc"[number % 3], "store": self.store.server.port, "cloud": self.cloud.server.port,
            "advice": self.advice.server.port}
        path = os.path.join(self.temporary, node["name"] + ".yaml")
        with open(path, "w") as settings:
            settings.write(text)
        log = open(os.path.join(self.temporary, node["name"] + ".log"), "wb")
        node["process"] = await asyncio.create_subprocess_exec(NODE, path, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.nodes.append(node)

    async def all_ready(self):
        answers = [await self.request(node["readiness"], "GET", "/readiness", 1.0) for node in self.nodes]
        return all(answer and answer[0] == 200 for answer in answers)

    async def wait_until(self, condition, seconds, problem):
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(problem)
            await asyncio.sleep(0.1)

    def owner(self):
        """The node that wrote the newest record of the system's ownership log."""
        value = self.store.value("keyed.owner", "owner")
        for node in self.nodes:
            if node["name"].encode() in value[:64]:
                return node
        raise CannotRun("no node owns the jobs")

    # Clients.
    async def request(self, port, method, path, timeout, body=None):
        """The status and body of the answer; None if there is none in time, after which the client has left."""
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                data = json.dumps(body).encode() if body is not None else b""
                writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nCornelquay-Credential: %s\r\nCornelquay-Time-Budget-Ms: 3000\r\n"
                              "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (method, path, HOST, KEY, len(data))).encode() + data)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                return int(head.split(" ")[1]), await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def call(self, node, method, job, timeout=3.0, body=None):
        answer = await self.request(node["callers"], method, "/cutlist/" + job, timeout, body)
        self.note("client", method=method, job=job, node=node["name"], answer=answer[0] if answer else "none")
        return answer

    def define(self, job, steps):
        """Registers the job's steps, each with work_s, which only the workers know; returns the body of its submission."""
        self.jobs[job] = steps
        self.note("job", job=job, steps=steps)
        return {"spec": "cut list " + job, "steps": [{key: value for key, value in step.items() if key != "work_s"} for step in steps]}

    async def submit(self, job, steps, node=None):
        """Submits the job as a sound client does: again with the same id, at another node, until it is accepted."""
        body = self.define(job, steps)
        for attempt in range(5):
            chosen = node or self.nodes[(int(job, 16) + attempt) % len(self.nodes)]
            answer = await self.call(chosen, "POST", job, 3.0, body)
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("job %s was not accepted" % job)

    async def state(self, job):
        for node in self.nodes:
            answer = await self.call(node, "GET", job)
            if answer and answer[0] == 200:
                return json.loads(answer[1])["state"]
            if answer and answer[0] == 410:
                return "unknown"
        return "no answer"

    async def end(self):
        for node in self.nodes:
            process = node["process"]
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for worker in self.workers:
            worker.server.close()
        for server in (self.store.server, self.cloud.server, self.advice.server):
            server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def job_id(number):
    return "%016x" % (0x5c0e7a21d94b0000 + number)


def main(folder, case):
    """Runs @p case, a coroutine that returns the violations of its rule; TROUBLE=0 leaves out the disruption.

    Prints the record. Ends with BROKEN if the rule was broken, 0 if it held, and otherwise if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        world = World(folder)
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        code, verdict = 2, "the case could not run"
        try:
            async with asyncio.timeout(115):
                violations = await case(world, trouble)
            for violation in violations:
                world.note("VIOLATION", text=violation)
            code, verdict = (BROKEN, "the rule was broken") if violations else (0, "the rule held")
        except (CannotRun, TimeoutError) as problem:
            world.note("cannot run", problem=str(problem) or "took too long")
        except asyncio.CancelledError:
            world.note("cannot run", problem="stopped by a signal")
        finally:
            await world.end()
        world.note("result", verdict=verdict, trouble=trouble)
        return code

    sys.exit(asyncio.run(play()))
