"""Stand-ins for the users' platform: store, workers, machine list, client, and a launcher of the project's nodes.

Follows PROTOCOL.md and DEPLOY.md. Everything listens on 127.0.0.1 and runs in one process apart from the nodes.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import time

HOST = "127.0.0.1"
LEASE_MAX_MS = 6000
STOP_GRACE_MS = 900
GANG_WAIT_MS = 3000
CLOSED = object()  # a handler returns this to close the connection without an answer
SILENT = object()  # a handler returns this to leave the request unanswered


class Record:
    """record.txt: what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")
        self._file.flush()


async def read_message(reader):
    """First line, headers and body of one HTTP/1.1 message; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Calls handler(method, path, query, headers, body) for each request; it gives (status, bytes), CLOSED or SILENT."""

    def __init__(self, handler):
        self._handler = handler
        self._writers = set()
        self._server = None
        self.port = 0

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Ends as a killed process does: connections are reset and the port refuses new ones."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, query_text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
                result = await self._handler(method, path, query, headers, body)
                if result is SILENT:
                    await reader.read()
                    break
                if result is CLOSED:
                    break
                status, content = result
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def to_json(value):
    return json.dumps(value).encode()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = -1
        self.last_seq = None
        self.recent = collections.deque(maxlen=5)
        self.changed = asyncio.Event()

    def append(self, records):
        for record in records:
            self.records.append(record)
            key_length = record[0] if record else 0
            key, value = record[1 : 1 + key_length].decode(), record[1 + key_length :]
            if value:
                self.newest[key] = (len(self.records) - 1, value)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store. is_down(topic, part) tells whether a partition answers 503 at the moment."""

    def __init__(self, record, answer_delay=0.004):
        self._record = record
        self._delay = answer_delay
        self.partitions = collections.defaultdict(Partition)
        self.is_down = lambda topic, part: False
        self.server = HttpServer(self._handle)

    def partition(self, topic, part=0):
        return self.partitions[(topic, part)]

    def put(self, topic, key, value):
        self.partition(topic).append([bytes([len(key)]) + key.encode() + (to_json(value) if value is not None else b"")])

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(self._delay)
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        if self.is_down(topic, part):
            return 503, b"{}"
        partition = self.partition(topic, part)
        if path == "/log-append":
            return self._append(topic, part, partition, query, body)
        if path == "/log-read":
            return await self._read(partition, int(query["from"]), int(query.get("wait_ms", "0")))
        if path == "/log-newest":
            return self._newest(partition, query.get("after", ""))
        return 404, b"{}"

    def _append(self, topic, part, partition, query, body):
        end = len(partition.records)
        if "at" in query and int(query["at"]) != end:
            return 412, to_json({"end": end})
        seq = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query.get("seq", "0"))
            if epoch < partition.epoch:
                return 409, to_json({"reason": "fenced"})
            if epoch > partition.epoch:
                partition.epoch, partition.last_seq = epoch, None
                partition.recent.clear()
            if not body:
                # "A request with an empty body appends nothing and sets the epoch."
                return 200, to_json({"offset": end, "end": end})
            for earlier, answer in partition.recent:
                if earlier == seq:
                    self._record.write("store", topic, part, "epoch", epoch, "seq", seq, "is a repeat of an append, answered as before")
                    return answer
            if partition.last_seq is not None and seq != partition.last_seq + 1:
                self._record.write("store", topic, part, "epoch", epoch, "seq", seq, "does not follow", partition.last_seq)
                return 409, to_json({"reason": "seq", "seq": partition.last_seq + 1})
        records, position = [], 0
        while position + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        partition.append(records)
        answer = (200, to_json({"offset": end, "end": len(partition.records)}))
        if seq is not None:
            partition.last_seq = seq
            partition.recent.append((seq, answer))
        return answer

    async def _read(self, partition, start, wait_ms):
        if start >= len(partition.records) and wait_ms > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), wait_ms / 1000)
        content = struct.pack(">QQ", len(partition.records), 0)
        for record in partition.records[start:]:
            content += struct.pack(">I", len(record)) + record
        return 200, content

    @staticmethod
    def _newest(partition, after):
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {"key": key, "value": base64.b64encode(partition.newest[key][1]).decode(), "offset": partition.newest[key][0]}
            for key in keys[:500]
        ]
        return 200, to_json({"items": items, "has_more": len(keys) > 500, "end": len(partition.records)})


class Run:
    """A run on a worker. It ends at ends_at, or with its gang, or lasts until it is stopped."""

    def __init__(self, number, kind, duration, members):
        self.number = number
        self.started_at = time.monotonic()
        self.lasts = kind == "lasts"
        self.duration = duration
        self.members = members
        self.ends_at = self.started_at + duration if kind == "ms" else None


class Gang:
    """The members of one run of a gang: they work once all are present, and end together."""

    def __init__(self, members, duration):
        self.members, self.duration = members, duration
        self.present, self.ends_at, self.broken = set(), None, False
        self.alone_at = time.monotonic() + GANG_WAIT_MS / 1000

    def join(self, task):
        self.present.add(task)
        if len(self.present) == self.members:
            self.ends_at = time.monotonic() + self.duration

    def end(self):
        """How the members end now; None if they go on."""
        if self.ends_at is not None and time.monotonic() >= self.ends_at:
            return "done"
        if self.broken:
            return "broken"
        return "alone" if self.ends_at is None and time.monotonic() >= self.alone_at else None


class Observations:
    """What all workers have started and ended, and the rules TWICE and UNASKED as far as they can be seen from that."""

    def __init__(self, record):
        self.record = record
        self.running = collections.defaultdict(set)
        self.starts = collections.Counter()
        self.gangs = {}
        self.done = set()
        self.failed = collections.Counter()
        self.noted_done = set()
        self.violations = []

    def violate(self, text):
        self.violations.append(text)
        self.record.write("RULE BROKEN:", text)


class Worker:
    """
    One life of a machine. A spec has a part for each step of its job, separated by ";", the last one also for later steps: "ms:N" runs for
    N ms, "lasts" until it is stopped, and "gang:M:N" is a gang of M members that works for N ms.
    """

    def __init__(self, worker_id, machine, service, store, observations, cpu=16000, mem_mb=32768, rack="r1-1", kind="a"):
        self.id, self.machine, self.service, self.labels = worker_id, machine, service, [kind, rack]
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self._store, self._seen = store, observations
        self.server = HttpServer(self._handle)
        self.up = False
        # The worker takes start orders, and what it starts fails at once.
        self.fails_all = False
        self.state = "ready"
        self._seq = 0
        self._heartbeat = None

    async def start(self):
        """Starts a new incarnation under the same id and address."""
        self.born = int(time.time() * 1000)
        self._started = time.monotonic()
        self._token, self._lease_until, self._last_end = 0, 0, 0
        self._running, self._ended, self._highest_ended = {}, [], {}
        self._changed = asyncio.Event()
        self._seq = 0
        await self.server.start(self.server.port)
        self.up = True
        self._seen.record.write("worker", self.id, "starts")
        self._heartbeat = asyncio.ensure_future(self._beat())

    async def crash(self):
        self.up = False
        self._heartbeat.cancel()
        for task, run in self._running.items():
            self._seen.running[task].discard((self.id, run.number))
            self._break_gang(task, run)
            self._seen.record.write("worker", self.id, "crashes under", task, "run", run.number, f"after {time.monotonic() - run.started_at:.3f} s")
        self._running = {}
        await self.server.stop()

    def hosts(self, job):
        """Whether a task of the job runs here."""
        return any(task.startswith(job + ".") for task in self._running)

    def tasks(self):
        return list(self._running)

    def remove_entry(self):
        self._store.put("keyed.servers", self.id, None)

    async def _beat(self):
        while True:
            self._seq += 1
            self._store.put("keyed.servers", self.id, {
                "service": self.service, "address": f"{HOST}:{self.server.port}", "zone": "zone-a", "version": "v1", "slots": 8,
                "state": self.state, "cold_left_ms": 0, "seq": self._seq, "born": self.born, "machine": self.machine,
                "capacity": self.capacity, "labels": self.labels, "clock_ms": self._clock()})
            for _ in range(300):
                await asyncio.sleep(0.005)
                self._update()

    def _clock(self):
        return 1000 + int((time.monotonic() - self._started) * 1000)

    def _gang_of(self, task, run):
        return self._seen.gangs[(task.rsplit(".", 1)[0], run.number)]

    def _break_gang(self, task, run):
        if run.members and self._gang_of(task, run).end() != "done":
            self._gang_of(task, run).broken = True

    def _end(self, task, how):
        run = self._running.pop(task)
        if how != "done":
            self._break_gang(task, run)
        self._highest_ended[task] = max(self._highest_ended.get(task, 0), run.number)
        self._last_end += 1
        self._ended.append([self._last_end, task, run.number, how, ""])
        self._seen.running[task].discard((self.id, run.number))
        if how == "done":
            self._seen.done.add(task)
        if how == "failed":
            self._seen.failed[task] += 1
        self._seen.record.write("worker", self.id, task, "run", run.number, "ends", how)
        self._changed.set()
        self._changed = asyncio.Event()

    def _update(self):
        for task, run in list(self._running.items()):
            if self._clock() > self._lease_until:
                self._end(task, "lapsed")
            elif run.members and self._gang_of(task, run).end():
                self._end(task, self._gang_of(task, run).end())
            elif run.ends_at is not None and time.monotonic() >= run.ends_at:
                self._end(task, "done")

    async def _handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, b"{}"
        if headers.get("cornelquay-target-instance", self.id) != self.id:
            return 421, b"{}"
        call = json.loads(body)
        self._update()
        if call.get("fencing_token", 0) < self._token:
            return 409, to_json({"clock_ms": self._clock(), "reason": "fence"})
        self._token = call.get("fencing_token", 0)
        if path == "/run-start":
            return self._start_run(call)
        if path == "/run-stop":
            task, number = call["task"], call["run"]
            self._highest_ended[task] = max(self._highest_ended.get(task, 0), number)
            if task in self._running and self._running[task].number == number:
                self._end(task, "stopped")
            return 200, to_json({"clock_ms": self._clock()})
        if path == "/hold":
            return await self._hold(call)
        if path == "/pace":
            return 200, to_json({"clock_ms": self._clock()})
        return 404, b"{}"

    def _extend(self, call):
        if "deadline_ms" in call:
            self._lease_until = max(self._lease_until, min(call["deadline_ms"], self._clock() + LEASE_MAX_MS))

    def _start_run(self, call):
        task, number = call["task"], call["run"]
        refuse = lambda reason: (409, to_json({"clock_ms": self._clock(), "reason": reason}))
        if task in self._running and self._running[task].number == number:
            return 200, to_json({"clock_ms": self._clock()})
        if call["deadline_ms"] <= self._clock():
            return refuse("late")
        self._extend(call)
        if number <= self._highest_ended.get(task, 0):
            return refuse("old")
        self._seen.starts[task] += 1
        self._seen.record.write("worker", self.id, "starts", task, "run", number)
        if self._seen.running[task]:
            self._seen.violate(f"TWICE: {task} run {number} starts on {self.id} while {sorted(self._seen.running[task])} runs")
        if task in self._seen.noted_done:
            self._seen.violate(f"TWICE: {task} run {number} starts after an end done was taken note of")
        parts = call["spec"].split(";")
        kind, *numbers = parts[min(int(task.split(".")[2]), len(parts) - 1)].split(":")
        duration = int(numbers[-1]) / 1000 if numbers else 0
        run = Run(number, kind, duration, int(numbers[0]) if kind == "gang" else 0)
        self._running[task] = run
        if run.members:
            self._seen.gangs.setdefault((task.rsplit(".", 1)[0], number), Gang(run.members, duration)).join(task)
        self._seen.running[task].add((self.id, number))
        if self.fails_all:
            self._end(task, "failed")
        return 200, to_json({"clock_ms": self._clock()})

    async def _hold(self, call):
        self._extend(call)
        acknowledged = call.get("acked_upto", 0)
        for row in self._ended:
            if row[0] <= acknowledged and row[3] == "done":
                self._seen.noted_done.add(row[1])
        self._ended = [row for row in self._ended if row[0] > acknowledged]
        if not self._ended and call.get("wait_ms", 0) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), call["wait_ms"] / 1000)
        if not self.up:
            return CLOSED
        now = time.monotonic()
        rows = []
        for task, run in self._running.items():
            age = now - run.started_at
            percent = min(100, int(age * 100)) if run.lasts else min(99, int(100 * age / max(0.001, run.duration)))
            rows.append([task, run.number, "", percent, 0])
        return 200, to_json({"born": self.born, "clock_ms": self._clock(), "running": rows, "ended": self._ended[:500]})


class Machines:
    """The list of machines. Each worker is the life of one machine that stays in its pool."""

    def __init__(self, workers):
        self._workers = workers
        self.server = HttpServer(self._handle)

    async def _handle(self, method, path, query, headers, body):
        if path != "/machines":
            return 409, to_json({"reason": "busy"})
        rows = [{"machine": w.machine, "pool": w.service, "state": "up" if w.up else "down", "zone": "zone-a", "labels": w.labels,
                 "capacity": w.capacity, "id": w.id} for w in self._workers]
        return 200, to_json({"machines": rows, "next_token": ""})


def render(template, values):
    """The placeholders of DEPLOY.md that deploy/node.yaml uses: values and sections of present values."""

    def look_up(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: "" if look_up(match.group(1)) is None else str(look_up(match.group(1))), text)


def free_ports(count):
    """Ports that nothing listens on, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(10000, 30000)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            ports.append(port)
    return ports


class Node:
    """One process of the deploy file, with settings rendered from its template."""

    def __init__(self, name, folder, repository, store, machines, record, cpu_share=0.25):
        self.name, self._folder, self._record = name, folder, record
        self.ports = free_ports(4)
        values = {
            "node_name": name, "zone": "zone-a", "ip": HOST, "port_range": [self.ports[2], self.ports[3]],
            "listen": {"front": f"{HOST}:{self.ports[0]}", "readiness": f"{HOST}:{self.ports[1]}"},
            "platform": {"address": f"{HOST}:{store.server.port}", "call_bytes": 2097152, "record_bytes": 262144, "parts": 32},
            "cloud": {"address": f"{HOST}:{machines.server.port}", "duty_per_s": 64.0}, "advice": f"{HOST}:{free_ports(1)[0]}",
            "limits": {"cpu_share": cpu_share},
            "bounds": {"hold_max_ms": LEASE_MAX_MS, "stop_grace_ms": STOP_GRACE_MS, "status_s": 120, "move_s": 1.5, "upkeep_s": 2,
                       "lease_ttl_ms": 3000, "grace_s": 6},
        }
        with open(os.path.join(repository, "deploy/node.yaml"), encoding="utf-8") as template:
            settings = render(template.read(), values)
        self._settings = os.path.join(folder, name + ".yaml")
        with open(self._settings, "w", encoding="utf-8") as file:
            file.write(settings)
        # The command of deploy/system.toml, with the path of these settings.
        self._program = os.path.join(repository, "target/tools/cornelquay-jobd/cornelquay-jobd")
        self.process = None

    async def start(self):
        log = open(os.path.join(self._folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(self._program, self._settings, stdout=log, stderr=log)
        self._record.write("node", self.name, "starts, process", self.process.pid)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self._record.write("node", self.name, "SIGKILL")
            self.process.kill()
            await self.process.wait()

    def end(self):
        """Sends SIGKILL without waiting for the end, so that nothing can keep it from being sent."""
        if self.process and self.process.returncode is None:
            self.process.kill()

    async def terminate(self):
        self._record.write("node", self.name, "SIGTERM")
        self.process.terminate()
        code = await self.process.wait()
        self._record.write("node", self.name, "ended with", code)
        return code

    def log(self):
        with open(os.path.join(self._folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Client:
    """Sends calls as the users' clients do: a call without a final answer goes to another node."""

    def __init__(self, record, host="orders.example", key="key-1"):
        self._record, self._host, self._key = record, host, key

    async def call(self, node, method, path, body=None, budget_ms=3000, quiet=False):
        """The status and body of the answer; (0, b"") without one."""
        content = to_json(body) if body is not None else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nCornelquay-Credential: {self._key}\r\nCornelquay-Time-Budget-Ms: {budget_ms}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\nConnection: close\r\n\r\n")
        try:
            async def exchange():
                reader, writer = await asyncio.open_connection(HOST, node.ports[0])
                try:
                    writer.write(head.encode() + content)
                    await writer.drain()
                    return await read_message(reader)
                finally:
                    writer.close()
            message = await asyncio.wait_for(exchange(), budget_ms / 1000)
            result = (int(message[0].split(" ")[1]), message[2]) if message else (0, b"")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            result = (0, b"")
        if not quiet:
            self._record.write("client", method, path, "at", node.name, "->", result[0], result[1][:120].decode())
        return result

    async def submit(self, nodes, path, body, attempts=12):
        """Whether the job was accepted. Sends it again, at another node, until it has an answer of 2xx or 404."""
        for attempt in range(attempts):
            status, _ = await self.call(nodes[attempt % len(nodes)], "POST", path, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.4)
        return False


CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "q-orders", "host": "orders.example", "path_prefix": "/orders/", "service": "orders", "priority": 0, "attempts": 3,
                "stretch": 1.6, "slo_ms": 600}],
    "services": [{"name": "orders"}],
    "tenants": [{"name": "t-1", "api_keys": ["key-1"], "weight": 10, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    "limits": {},
}


class Deployment:
    """A small deployment: the store, a pool of workers, the list of machines and some nodes."""

    def __init__(self, folder, repository, record, node_count=3, worker_count=9, node_shares=None, other_kind=()):
        self.record, self.observations = record, Observations(record)
        self.store = Store(record)
        self.workers = [Worker(f"w-{n}", f"m-{n}", "orders", self.store, self.observations, rack=f"r1-{n // 4}", kind="b" if n in other_kind else "a")
                        for n in range(worker_count)]
        self.machines = Machines(self.workers)
        self._arguments = (folder, repository)
        self._count, self._shares = node_count, node_shares or [0.25] * node_count
        self.nodes = []

    async def start(self):
        await self.store.server.start()
        await self.machines.server.start()
        self.store.put("keyed.op", "config", CONFIGURATION)
        for worker in self.workers:
            await worker.start()
        folder, repository = self._arguments
        self.nodes = [Node(f"node-{n}", folder, repository, self.store, self.machines, self.record, self._shares[n]) for n in range(self._count)]
        for node in self.nodes:
            await node.start()

    async def ready(self, seconds=20):
        """Whether some node answers calls within @seconds."""
        probe = Client(self.record)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            statuses = [(await probe.call(node, "GET", "/orders/", quiet=True))[0] for node in self.nodes]
            if all(status == 200 for status in statuses):
                return True
            await asyncio.sleep(0.1)
        return False

    def waiting(self, jobs):
        """The jobs, of one task each, that neither run nor are done."""
        running = {task for worker in self.workers for task in worker.tasks()}
        return [job for job in jobs if f"{job}.0.0.0" not in running | self.observations.done]

    def used_cpu(self, demand):
        """The cpu that all running tasks ask for, if each asks for demand."""
        return sum(demand for worker in self.workers for _ in worker.tasks())

    def record_use(self):
        """Writes down what each worker runs."""
        for worker in self.workers:
            self.record.write("worker", worker.id, "is up" if worker.up else "is down", "and runs", *sorted(worker.tasks()))

    def record_store(self, wanted):
        """Writes down which keys each partition of the topic has."""
        for (topic, part), partition in sorted(self.store.partitions.items()):
            if topic == wanted and partition.records:
                self.record.write("store:", topic, part, "has", len(partition.records), "records with the keys", *sorted(partition.newest))

    def owner(self):
        """The node that owns the jobs by the newest record of the ownership log."""
        partition = self.store.partition("keyed.owner")
        if "owner" not in partition.newest:
            return None
        value = partition.newest["owner"][1]
        for node in self.nodes:
            if node.name.encode() in value:
                return node
        return None

    async def stop(self):
        for node in self.nodes:
            node.end()
        for node in self.nodes:
            await node.kill()
        for worker in self.workers:
            if worker.up:
                await worker.crash()


def run_case(case, seconds=110):
    """Runs case(folder, repository, record, trouble) and exits as a case has to: 0 held, 1 broken, 2 could not run."""
    import tempfile
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    repository = os.path.dirname(os.path.dirname(here))
    record = Record(os.path.join(here, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    keep = os.environ.get("KEEP_LOGS")

    async def limited():
        # A SIGTERM ends the case as a time-out does: its processes are ended, and it exits with 2.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(folder, repository, record, trouble), seconds)

    with contextlib.ExitStack() as stack:
        folder = keep or stack.enter_context(tempfile.TemporaryDirectory())
        os.makedirs(folder, exist_ok=True)
        try:
            code = asyncio.run(limited())
        except (Exception, asyncio.CancelledError) as error:  # any failure of the stand-ins means that the case could not run
            record.write("could not run:", repr(error))
            code = 2
    record.write("exit", code)
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
