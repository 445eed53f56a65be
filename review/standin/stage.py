"""Stand-ins for the platform, its workers and its clients, for the scripts in review/.

Runs the store, the workers and the control plane of a small deployment on loopback ports, starts nodes with the command of the deploy
file and the settings of deploy/node.yaml, and offers a client. All of it speaks what the users' PROTOCOL.md says; no faults are
injected unless a case asks for them. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target/tools/cornelquay-jobd/cornelquay-jobd")
HOST = "jobs.example"
KEY = "key-1"
RECORD_BYTES = 262144  # record_bytes, call_bytes and keep_s of the settings example in DEPLOY.md
CALL_BYTES = 2097152
HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case cannot be carried out; says nothing about the rule."""


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server on a loopback port. The handler gets method, target, headers and body and returns status and body."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0
        self.server = None
        self.writers = set()
        self.dark = False  # takes connections and requests, and answers nothing, like a machine that has fallen silent

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port or self.port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the port and all connections, as the end of the process would."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                while self.dark:
                    await asyncio.sleep(0.1)
                line, headers, body = message
                method, target = line.split(" ")[:2]
                status, answer = await self.handler(method, target, headers, body)
                if status is None:
                    break
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def http_call(port, method, target, body=b"", headers=(), timeout=3.0):
    """Sends one request on a connection of its own; returns status and body, or (None, reason) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append("Host: 127.0.0.1")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
            return (None, b"connection ended") if message is None else (int(message[0].split(" ")[1]), message[2])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, b"no answer"
    except OSError as error:
        return None, str(error).encode()


class Connection:
    """A client's connection that stays open between its requests."""

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)

    async def call(self, method, target, headers, timeout):
        lines = [f"{method} {target} HTTP/1.1", "Content-Length: 0"] + [f"{name}: {value}" for name, value in headers]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            message = await asyncio.wait_for(read_message(self.reader), timeout)
        except asyncio.TimeoutError:
            message = None
        return (None, b"no answer") if message is None else (int(message[0].split(" ")[1]), message[2])


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = -1
        self.sequence = 0
        self.answers = {}
        self.grown = asyncio.Event()

    def add(self, record):
        key = record[1 : 1 + record[0]].decode("latin-1")
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def wake(self):
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """The platform's store: its log calls, as far as the nodes use them, with its limits on records and calls."""

    def __init__(self, stage):
        self.stage = stage
        self.partitions = {}
        self.server = Server(self.answer)
        self.refused_records = 0
        self.busy = False  # turns every call of the nodes away with 503, which means that nothing was done

    def partition(self, topic, part="0"):
        return self.partitions.setdefault((topic, part or "0"), Partition())

    def put(self, topic, key, value):
        """What the platform or the operator writes."""
        partition = self.partition(topic)
        partition.add(bytes([len(key)]) + key.encode() + value)
        partition.wake()

    async def answer(self, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = dict(item.partition("=")[::2] for item in query_text.split("&") if item)
        await asyncio.sleep(0.002)
        if self.busy:
            return 503, {}
        partition = self.partition(query.get("topic", ""), query.get("part", "0"))
        if path == "/log-append":
            return self.append(partition, query, body)
        if path == "/log-read":
            return await self.read(partition, query)
        if path == "/log-newest":
            return self.read_newest(partition, query)
        return 404, {}

    def append(self, partition, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        end = len(partition.records)
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + length]
            if length == 0 or len(record) != length:
                return 400, {"error": "malformed"}
            if length > RECORD_BYTES:
                self.refused_records += 1
                self.stage.note(f"store refused a record of {length} bytes with key {record[1:1 + record[0]].decode('latin-1')}")
                return 400, {"error": "record_bytes"}
            records.append(record)
            position += 4 + length
        if len(body) > CALL_BYTES:
            return 400, {"error": "call_bytes"}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query.get("seq") or 0)
            if epoch < partition.epoch:
                return 409, {"reason": "fenced"}
            if epoch > partition.epoch:
                partition.epoch, partition.answers = epoch, {}
            elif sequence in partition.answers:
                return partition.answers[sequence]
            elif records and sequence != partition.sequence + 1:
                return 409, {"reason": "seq", "seq": partition.sequence + 1}
            partition.sequence = sequence
        for record in records:
            partition.add(record)
        answer = (200, {"offset": end, "end": len(partition.records)})
        if "producer" in query and records:
            partition.answers[int(query["seq"])] = answer
            for old in sorted(partition.answers)[:-5]:
                del partition.answers[old]
        if records:
            partition.wake()
        return answer

    async def read(self, partition, query):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        while start >= len(partition.records) and time.monotonic() < deadline and not self.busy:
            try:
                await asyncio.wait_for(partition.grown.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.busy:
            return 503, {}
        end = len(partition.records)
        answer = [struct.pack(">QQ", end, 0)]
        size = 0
        for record in partition.records[start:]:
            if size + len(record) > 1024 * 1024 and size:
                break
            answer.append(struct.pack(">I", len(record)) + record)
            size += len(record) + 4
        return 200, b"".join(answer)

    def read_newest(self, partition, query):
        after = query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = partition.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1024 * 1024):
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return 200, {"items": items, "has_more": len(items) < len(keys), "end": len(partition.records)}


class Worker:
    """A worker. The spec of a job holds the run time of its tasks in ms, by step: "20000,300"; "2000-4000" is a range, "3000*2" a gang of two,
    "lasts" a task that lasts and is at work 0.7 s after its start."""

    def __init__(self, stage, number):
        self.stage = stage
        self.id = f"w{number:03d}{os.urandom(4).hex()}"
        self.machine = f"m{number:03d}"
        self.server = Server(self.answer)
        self.up = False
        self.seq = 0
        self.born = 0

    async def start(self):
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.origin = time.monotonic()
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.highest_run = {}
        self.token = 0
        self.lease_until = 0
        self.lapsed_at = 0.0
        self.changed = asyncio.Event()
        await self.server.start()
        self.up = True
        self.heartbeat()

    def crash(self):
        """Ends without notice: connections break, runs and everything the worker knew are gone."""
        self.up = False
        for task, run in self.running.items():
            self.stage.note(f"worker {self.id} crashes under {task} run {run['run']}")
        self.running = {}
        self.server.stop()

    def fall_silent(self):
        """Crashes so that connections stay open and nothing is answered any more."""
        self.up = False
        for task, run in self.running.items():
            self.stage.note(f"worker {self.id} crashes silently under {task} run {run['run']}")
        self.running = {}
        self.server.dark = True

    async def return_elsewhere(self):
        """Starts again under its id, at another address."""
        former = self.server
        self.server = Server(self.answer)
        await self.start()
        self.stage.note(f"worker {self.id} is back at 127.0.0.1:{self.server.port} instead of port {former.port}")
        return former

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    def heartbeat(self):
        self.seq += 1
        entry = {
            "service": "pool-a",
            "address": f"127.0.0.1:{self.server.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
            "machine": self.machine,
            "clock_ms": self.clock(),
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", "r1-1"],
        }
        self.heard_at = time.monotonic()
        self.stage.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.highest_run[task] = max(self.highest_run.get(task, 0), run["run"])
        self.ended.append([self.last_end, task, run["run"], how, "", time.monotonic()])
        self.stage.note(f"worker {self.id} ended {task} run {run['run']}: {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def update(self):
        now = time.monotonic()
        if self.clock() > self.lease_until:
            self.lapsed_at = now
        for task, run in list(self.running.items()):
            if now >= run["ends_at"]:
                self.end(task, "done")
            elif self.clock() > self.lease_until:
                self.end(task, "lapsed")

    def extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + HOLD_MAX_MS))

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    async def answer(self, method, target, headers, body):
        if headers.get("cornelquay-target-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body)
        if call.get("fencing_token", 0) < self.token:
            return self.refuse("fence")
        self.token = call.get("fencing_token", 0)
        self.update()
        if target == "/run-start":
            return self.run_start(call)
        if target == "/run-stop":
            task, run = call["task"], call["run"]
            self.highest_run[task] = max(self.highest_run.get(task, 0), run)
            if task in self.running and self.running[task]["run"] == run:
                self.end(task, "stopped")
            return 200, {"clock_ms": self.clock()}
        if target == "/hold":
            return await self.hold(call)
        return 200, {"clock_ms": self.clock()}

    def run_start(self, call):
        task, run = call["task"], call["run"]
        self.extend(call["deadline_ms"])
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest_run.get(task, 0):
            return self.refuse("old")
        if call["deadline_ms"] < self.clock():
            return self.refuse("late")
        times = call["spec"].split(",")
        text, _, gang = times[min(int(task.split(".")[2]), len(times) - 1)].partition("*")
        shortest, _, longest = text.partition("-")
        run_ms = float("inf") if text == "lasts" else random.uniform(int(shortest), int(longest or shortest))
        self.stage.note_start(self, task, run)
        self.running[task] = {"run": run, "ends_at": time.monotonic() + run_ms / 1000, "started_at": time.monotonic()}
        if gang:
            self.stage.join_gang(self, task, run, int(gang), run_ms / 1000)
        return 200, {"clock_ms": self.clock()}

    async def hold(self, call):
        self.extend(call.get("deadline_ms", 0))
        for row in self.ended:
            if row[0] <= call.get("acked_upto", 0) and row[3] == "done":
                # An end does not count as taken note of if the lease lapsed in between.
                if row[5] > self.lapsed_at:
                    self.stage.note_acknowledged(row[1], row[2], row[5])
        self.ended = [row for row in self.ended if row[0] > call.get("acked_upto", 0)]
        deadline = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            age = now - run["started_at"]
            length = max(0.001, run["ends_at"] - run["started_at"])
            percent = (100 if age > 0.7 else 0) if length == float("inf") else int(min(99, 100 * age / length))
            running.append([task, run["run"], "", percent, 100])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": [row[:5] for row in self.ended[:500]]}


class Stage:
    """One deployment: the platform, its workers and the nodes of the system."""

    def __init__(self, workers, nodes=3):
        self.began = time.monotonic()
        self.starts = 0
        self.started = {}
        self.acknowledged = []
        self.overlaps = []
        self.waves = {}
        self.upkeeps = set()
        self.in_upkeep = set()
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self)
        self.control_plane = Server(self.answer_control_plane)
        self.workers = [Worker(self, number) for number in range(workers)]
        self.node_count = nodes
        self.nodes = []
        self.ports = []

    def note(self, text):
        """Writes a line of the record, which run.sh keeps in record.txt."""
        print(f"{time.monotonic() - self.began:8.3f} {text}", flush=True)

    def join_gang(self, worker, task, run, size, run_s):
        """The members of a gang work from the moment at which all are there, and end done together."""
        worker.running[task]["ends_at"] = float("inf")
        step = task.rpartition(".")[0]
        members = [
            (other, name) for other in self.workers for name, item in other.running.items() if name.rpartition(".")[0] == step and item["run"] == run
        ]
        if len(members) == size:
            for other, name in members:
                other.running[name]["ends_at"] = time.monotonic() + run_s

    def note_start(self, worker, task, run):
        self.starts += 1
        self.note(f"worker {worker.id} started {task} run {run}")
        elsewhere = [other.id for other in self.workers if task in other.running]
        if elsewhere:
            self.overlaps.append(f"{task} run {run} starts while another run of it is running on {elsewhere[0]}")
        self.started.setdefault(task, []).append((time.monotonic(), run))

    def note_acknowledged(self, task, run, ended_at):
        """The end of a run that ended done is taken note of. Starts after the end are runs that should not have been."""
        self.acknowledged.append((task, run, ended_at))

    def repeated(self):
        """Tasks that were started after a run of theirs had ended done, if that end was taken note of then or later."""
        return [
            f"{task} run {other} starts {at - ended_at:.3f} s after run {run} ended done"
            for task, run, ended_at in self.acknowledged
            for at, other in self.started.get(task, [])
            if at > ended_at
        ]

    async def answer_control_plane(self, method, target, headers, body):
        if method != "GET":
            return self.change_machine(target, json.loads(body))
        machines = []
        for worker in self.workers:
            machines.append(
                {
                    "machine": worker.machine,
                    "pool": "pool-a",
                    "state": "upkeep" if worker in self.in_upkeep else "up" if worker.up else "down",
                    "zone": "zone-a",
                    "labels": ["a", "r1-1"],
                    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
                    "id": worker.id if worker.up else "",
                }
            )
        return 200, {"machines": machines, "next_token": ""}

    def change_machine(self, target, order):
        """Carries out an upkeep; there are no other pools to which a machine could move."""
        worker = next((worker for worker in self.workers if worker.machine == order.get("machine")), None)
        if worker is None or target != "/machine-upkeep":
            return 400, {}
        wave = self.waves.get(order.get("wave"), [])
        if worker.machine not in wave:
            return 409, {"reason": "wave"}
        if (order["wave"], worker.machine) in self.upkeeps:
            return 200, {}
        if worker in self.in_upkeep or not worker.up:
            return 409, {"reason": "busy"}
        self.upkeeps.add((order["wave"], worker.machine))
        self.in_upkeep.add(worker)
        self.note(f"upkeep of {worker.machine} begins, for wave {order['wave']}")
        worker.crash()
        self.store.put("keyed.servers", worker.id, b"")

        async def finish():
            await asyncio.sleep(2.0)
            worker.id = f"w{worker.machine[1:]}{os.urandom(4).hex()}"
            self.in_upkeep.discard(worker)
            await worker.start()
            self.note(f"upkeep of {worker.machine} has ended; its worker is {worker.id}")

        asyncio.ensure_future(finish())
        return 200, {}

    def write_wave(self, number, machines, duration_s, cap):
        self.waves[number] = machines
        self.store.put("keyed.op", f"wave/{number}", json.dumps({"wave": number, "machines": machines, "duration_s": duration_s, "cap": cap}).encode())
        self.note(f"wave {number}: {machines} within {duration_s} s")

    async def tick(self):
        while True:
            now = time.monotonic()
            for worker in self.workers:
                if not worker.up:
                    if worker.seq and now - worker.heard_at > 3 * HEARTBEAT_S and worker.id in self.store.partition("keyed.servers").newest:
                        self.store.put("keyed.servers", worker.id, b"")
                    continue
                worker.update()
                if now - worker.heard_at >= HEARTBEAT_S:
                    worker.heartbeat()
            await asyncio.sleep(0.005)

    def write_configuration(self):
        route = {
            "host": HOST,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "slo_ms": 600,
            "priority": 0,
            "service": "pool-a",
            "attempts": 3,
            "stretch": 1.6,
            "name": "queue",
            "path_prefix": "/queue/",
            "public": False,
        }
        configuration = {
            "version": 1,
            "routes": [route],
            "services": [{"name": "pool-a", "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-1", "api_keys": [KEY], "weight": 10, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
        }
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())

    async def start(self):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("the build of the deploy file is missing: " + NODE)
        await self.store.server.start()
        await self.control_plane.start()
        self.write_configuration()
        for worker in self.workers:
            await worker.start()
        self.ticker = asyncio.ensure_future(self.tick())
        for number in range(self.node_count):
            await self.start_node(number)
        deadline = time.monotonic() + 15
        for port, _ in self.ports:
            while (await http_call(port + 1, "GET", "/readiness", timeout=1.0))[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun("the nodes are not ready")
                await asyncio.sleep(0.1)
        self.note("all nodes are ready")

    def free_ports(self):
        """The first of four consecutive free ports."""
        import socket

        base = 21000 + (os.getpid() * 37 + len(self.ports) * 11) % 10000
        for port in range(base, 60000, 5):
            try:
                for offset in range(4):
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port + offset))
                return port
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def start_node(self, number):
        if number < len(self.ports):
            port, settings = self.ports[number]
        else:
            port = self.free_ports()
            settings = os.path.join(self.temporary, f"node-{number}.yaml")
            self.ports.append((port, settings))
            with open(settings, "w") as file:
                file.write(
                    f"""name: node-{number}
zone: zone-a
callers: "127.0.0.1:{port}"
readiness: "127.0.0.1:{port + 1}"
peer-address: "127.0.0.1:{port + 2}"
peer-secret: replace-this-with-32-random-characters
metrics: "127.0.0.1:{port + 3}"
store: "127.0.0.1:{self.store.server.port}"
store-call-bytes: {CALL_BYTES}
store-partitions: 32
control-plane: "127.0.0.1:{self.control_plane.port}"
instance-orders-per-second: 64.0
cpu-share: 0.25
times:
  lease-most: {HOLD_MAX_MS}ms
  stop-grace: 900ms
  status-kept: 120s
  instance-move: 1500ms
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
"""
                )
        log = open(os.path.join(self.temporary, f"node-{number}.log"), "ab")
        process = await asyncio.create_subprocess_exec(NODE, settings, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        if number < len(self.nodes):
            self.nodes[number] = process
        else:
            self.nodes.append(process)

    async def end(self):
        for process in self.nodes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def client(self, node, method, job, body=None, timeout=3.0, connection=None):
        """One client call at a node, on a connection of its own or on the given one; returns status and decoded body."""
        payload = json.dumps(body).encode() if body is not None else b""
        headers = [("Host", HOST), ("Cornelquay-Credential", KEY), ("Cornelquay-Time-Budget-Ms", str(int(timeout * 1000)))]
        if connection:
            status, answer = await connection.call(method, "/queue/" + job, headers, timeout)
        else:
            status, answer = await http_call(self.ports[node][0], method, "/queue/" + job, payload, headers, timeout)
        self.note(f"client: {method} {job} at node-{node} -> {status} {answer[:120].decode('latin-1')}")
        try:
            return status, json.loads(answer) if answer else {}
        except ValueError:
            return status, {}

    async def submit(self, node, job, body, seconds=10.0):
        """Hands a job in, again after a refusal or no answer, as clients do; returns whether it was accepted."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            status, _ = await self.client(node, "POST", job, body)
            if status is not None and 200 <= status < 300:
                return True
            node = (node + 1) % self.node_count
            await asyncio.sleep(0.5)
        return False

    def stored(self, topic="keyed.jobs"):
        return {key: len(value[1]) for (name, _), part in self.store.partitions.items() if name == topic for key, value in part.newest.items()}


HELD, CANNOT_RUN, BROKEN = 0, 2, 10  # run.sh turns BROKEN into 1, so that an error of Python never counts as a broken rule


def run_case(workers, scenario, nodes=3, limit_s=110):
    """Plays a scenario, a coroutine function that gets the stage and whether the disruption is to be made. Exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        stage = Stage(workers, nodes)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)

        async def start_and_play():
            await stage.start()
            return await scenario(stage, trouble)

        try:
            broken = await asyncio.wait_for(start_and_play(), limit_s)
            stage.note("result: " + ("the rule is broken: " + broken if broken else "the rule holds"))
            print("broken: " + broken if broken else "held", file=sys.stderr)
            return BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:
            stage.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            return CANNOT_RUN
        finally:
            await stage.end()

    sys.exit(asyncio.run(play()))
