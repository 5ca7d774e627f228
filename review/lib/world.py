"""A small deployment on loopback: the store, backend servers, relays and callers.

The relays are the project's own program, started as the deploy file says. The
store and the servers are stand-ins that follow the users' pages.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from proxy import Proxy

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
KEY = "3d3zji9n73hh2b9wu3fe"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run; one line each."""

    def __init__(self, folder):
        self.file_ = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start_ = time.monotonic()

    def line(self, text):
        self.file_.write(f"{time.monotonic() - self.start_:8.3f} {text}\n")

    def verdict(self, text):
        self.line(text)
        print(text)


def free_ports(ip, count):
    """The first of `count` free ports in a row, below 32768."""
    for _ in range(200):
        first = random.randrange(20000, 32000)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return first
        except OSError:
            continue
    raise RuntimeError("no free ports")


async def read_head(reader):
    """The start line and the fields of a message; none at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """A body with a length or in chunks; an empty one otherwise."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self):
        self.rows_ = {}
        self.version_ = 100
        self.changed_ = asyncio.Condition()

    async def start(self, ip, port):
        self.server_ = await asyncio.start_server(self.serve, ip, port)

    async def put(self, table, key, value):
        self.version_ += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows_[(table, key)] = {
            "table": table, "part": "", "key": key, "value": data, "ver": self.version_}
        async with self.changed_:
            self.changed_.notify_all()

    async def remove(self, table, key):
        """What an engine or the operator drops; returns when it is acknowledged."""
        self.version_ += 1
        self.rows_[(table, key)] = {"table": table, "part": "", "key": key,
                                    "ver": self.version_, "removed": True}
        async with self.changed_:
            self.changed_.notify_all()
        return time.monotonic()

    def answer(self, rows):
        return {"rows": rows, "has_more": False, "ver": self.version_,
                "now_ms": int(time.monotonic() * 1000)}

    def transact(self, body):
        call = json.loads(body)
        for each in call.get("expected_revision", []):
            row = self.rows_.get((each["table"], each["key"]))
            present = row["ver"] if row and not row.get("removed") else 0
            if present != each["ver"]:
                return 412, {"rows": [row] if row else [], "ver": self.version_}
        self.version_ += 1
        for each in call.get("puts", []):
            self.rows_[(each["table"], each["key"])] = dict(each, ver=self.version_)
        for each in call.get("remove", []):
            self.rows_[(each["table"], each["key"])] = dict(
                each, ver=self.version_, removed=True)
        return 200, {"ver": self.version_, "now_ms": int(time.monotonic() * 1000)}

    async def call(self, target, body):
        path, _, query = target.partition("?")
        given = dict(part.partition("=")[::2] for part in query.split("&") if part)
        table = given.get("table", "")
        if path.endswith("/rows-get"):
            rows = sorted((row for (name, _), row in self.rows_.items()
                           if name == table and not row.get("removed")),
                          key=lambda row: row["key"])
            return 200, self.answer(rows)
        if path.endswith("/rows-feed"):
            after = int(given["after"])
            end = time.monotonic() + int(given["wait_ms"]) / 1000
            while True:
                rows = sorted((row for (name, _), row in self.rows_.items()
                               if name == table and row["ver"] > after),
                              key=lambda row: row["ver"])
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.answer(rows)
                async with self.changed_:
                    try:
                        await asyncio.wait_for(self.changed_.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path.endswith("/rows-tx"):
            status, answer = self.transact(body)
            async with self.changed_:
                self.changed_.notify_all()
            return status, answer
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                status, answer = await self.call(head[0].split()[1], body)
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} X", {
                    "Content-Type": "application/json", "Store-Era": "1"},
                    json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Server:
    """A backend server: plain, or an engine of a stage. Sound unless `act_` says
    otherwise: a coroutine that may answer in another way and then returns True."""

    def __init__(self, name, service, stage=None, zone="lhr-a", record=None):
        self.name_, self.service_, self.stage_ = name, service, stage
        self.zone_, self.record_ = zone, record
        self.id_ = "i-" + name
        self.born_ = int(time.time() * 1000)
        self.state_ = "ready"
        self.act_ = None
        self.work_s_ = 0.015
        self.events_, self.gap_s_ = 18, 0.03
        self.runs_ = []
        self.arrivals_ = []
        self.connections_ = set()

    async def start(self, ip):
        self.ip_, self.port_ = ip, free_ports(ip, 1)
        await self.listen()

    async def listen(self):
        self.server_ = await asyncio.start_server(
            self.serve, self.ip_, self.port_, reuse_address=True)

    def entry(self):
        entry = {"service": self.service_, "address": f"{self.ip_}:{self.port_}",
                 "zone": self.zone_, "version": "v1", "slots": 16,
                 "state": self.state_, "cold_remaining_ms": 0, "born": self.born_,
                 "seq": 1}
        if self.stage_:
            entry["stage"] = self.stage_
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def ran(self, request_id, method):
        self.runs_.append(request_id)
        self.arrivals_.append((time.monotonic(), request_id))
        self.record_.line(f"run {request_id} {method} at {self.name_}")

    def answer_fields(self, fields):
        return {"Request-Id": fields.get("request-id", ""),
                "Instance-Id": self.id_,
                "Response-Signature": "3e1b.07.5a2.600.0." + fields.get("request-id", "")}

    async def serve(self, reader, writer):
        self.connections_.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.call(head[0], head[1], body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections_.discard(writer)
            writer.close()

    async def call(self, start, fields, body, writer):
        method, target, _ = start.split(" ", 2)
        if target == "/healthz":
            writer.write(message("HTTP/1.1 200 OK", {"Instance-Id": self.id_}))
        elif target.startswith("/gooseberrybeam/"):
            writer.write(message("HTTP/1.1 200 OK", {}))
        elif fields.get("expect-instance", self.id_) != self.id_:
            writer.write(message("HTTP/1.1 421 Misdirected Request",
                                 {"Instance-Id": self.id_}))
        elif self.act_ and await self.act_(self, method, fields, body, writer):
            return False
        elif fields.get("stage") == "prefill":
            await asyncio.sleep(self.work_s_)
            answer = {"kv_handle": "h" + fields.get("request-id", ""),
                      "tokens": 5200, "version": 1}
            writer.write(message("HTTP/1.1 200 OK", {
                "Request-Id": fields.get("request-id", ""),
                "Content-Type": "application/json"}, json.dumps(answer).encode()))
        elif self.stage_:
            await self.stream(fields, method, writer)
        else:
            self.ran(fields.get("request-id", ""), method)
            await asyncio.sleep(self.work_s_)
            text = b"" if method == "HEAD" else b"y" * 800
            writer.write(message("HTTP/1.1 200 OK", self.answer_fields(fields), text))
        await writer.drain()
        return True

    async def stream(self, fields, method, writer):
        first = int(fields.get("last-event-id", "0")) + 1
        self.ran(fields.get("request-id", ""), method)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.answer_fields(fields).items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, self.events_ + 1):
            await asyncio.sleep(self.gap_s_)
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Relay:
    """A process of the deploy file's role, with settings like the platform's."""

    def __init__(self, world, number, zone, memory_mb):
        self.world_, self.zone_ = world, zone
        self.name_ = f"edge-{zone}-{number}"
        self.ip_ = f"127.0.61.{number}"
        self.memory_mb_ = memory_mb
        self.process_ = None
        self.store_proxy_ = None
        self.ends_ = []

    def settings(self):
        port = self.world_.port_
        return {
            "node_name": self.name_, "role": "relay", "machine_class": "edge",
            "serves": ["edge"], "ip": self.ip_, "zone": self.zone_,
            "region": "pk-punjab",
            "zones": {zone: "pk-punjab" for zone in self.world_.zones_},
            "listen": {"front": f"{self.ip_}:{port}", "ready": f"{self.ip_}:{port + 1}"},
            "port_range": [port + 2, port + 17], "seeds": [], "bootstrap": True,
            "counts_as_loss": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": self.memory_mb_,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "split", "stream", "engine", "tenants", "quota", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
                "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
                "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
                "max_skew_ms": 5000, "fail_closed": False, "revoke_ms": 5000,
                "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
                "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 120000,
                "recovery_s": 12, "transit_ms": 120, "reuse_window_s": 3,
                "checks_fence": False, "lease_ms": 3000, "thaw_ms": 300},
            "provider": {
                "address": self.store_address(),
                "form": "table", "writes_per_s": 400, "reads_per_s": 2000,
                "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": 65536,
                "across": False, "retention_s": 20, "blob_bytes": 8388608,
                "blob_ms": 25.0, "blob_mb_s": 80.0}}

    def store_address(self):
        if self.store_proxy_:
            return f"{self.store_proxy_.ip_}:{self.store_proxy_.port_}"
        return f"{self.world_.store_ip_}:{self.world_.store_port_}"

    async def start(self):
        path = os.path.join(self.world_.folder_, self.name_ + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.world_.folder_, self.name_ + ".log"), "ab")
        self.process_ = await asyncio.create_subprocess_exec(
            *self.world_.command_, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"GOOSEBERRYBEAM_SETTINGS": path, "PATH": os.environ.get("PATH", ""),
                 "HOME": self.world_.folder_, "LANG": "C.UTF-8"})
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip_, self.world_.port_ + 1)
            writer.write(b"GET /gooseberrybeam/readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def is_running(self):
        return self.process_ is not None and self.process_.returncode is None

    def resident_mb(self):
        """Memory in use; 0 if the process is gone."""
        try:
            with open(f"/proc/{self.process_.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0

    def kill(self, number=signal.SIGKILL):
        if self.is_running():
            self.process_.send_signal(number)

    def last_words(self):
        with open(os.path.join(self.world_.folder_, self.name_ + ".log"), "rb") as file:
            lines = file.read().decode("utf-8", "replace").splitlines()
        return [line for line in lines if "terminate" in line or "what()" in line
                or "ssertion" in line or "Unexpected exception" in line][-2:]


class World:
    """All parts, and the platform that restarts what has ended."""

    def __init__(self, case_folder, relays=2, memory_mb=110):
        self.record_ = Record(case_folder)
        self.zones_ = ["lhr-a", "lhr-b"]
        self.store_ip_ = "127.0.60.1"
        self.folder_ = tempfile.mkdtemp(prefix="relay-review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.command_ = tomllib.load(file)["roles"]["relay"]["run"].split(" ")
        self.command_[0] = os.path.join(ROOT, self.command_[0])
        self.port_ = free_ports("127.0.61.1", 18)
        self.relays_ = [Relay(self, number + 1, self.zones_[number % 2], memory_mb)
                        for number in range(relays)]
        self.servers_ = []
        self.store_ = Store()
        self.store_port_ = free_ports(self.store_ip_, 1)
        self.is_over_ = False
        self.next_id_ = random.getrandbits(48)

    def add_server(self, name, service, stage=None):
        server = Server(name, service, stage, self.zones_[len(self.servers_) % 2],
                        self.record_)
        self.servers_.append(server)
        return server

    def route(self, name, kind, service, **more):
        route = {"name": "r-" + name, "host": HOST, "path_prefix": f"/{name}/",
                 "kind": kind, "timeout_ms": 1000, "target_latency_ms": 100,
                 "priority": 2, "service": service, "max_attempts": 2,
                 "public": False, "sticky": False, "resumable": False}
        route.update(more)
        return route

    def configuration(self):
        engine = {"slots": 16, "kv_tokens": 91723, "kv_token_bytes": 18432,
                  "link_mbps": 1100000.0, "moves": True, "backups": True,
                  "stride": 4, "most": 12, "kv_hold_s": 0.5, "role_switch_s": 6.0,
                  "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}
        return {
            "version": 7,
            "routes": [
                self.route("plan", "streaming", "drafting-llm", timeout_ms=14000,
                           target_latency_ms=900, gap_target_ms=300, priority=1,
                           sticky=True, resumable=True),
                self.route("summary", "streaming", "drafting-llm", timeout_ms=14000,
                           target_latency_ms=900, gap_target_ms=300, priority=1,
                           sticky=True, max_attempts=1),
                self.route("book", "non_idempotent", "booking-app"),
                self.route("check", "idempotent", "booking-app")],
            "services": [
                {"name": "drafting-llm", "health_path": "/healthz",
                 "max_connections": 180, "protocol": "h1", "tls": False,
                 "engine": engine},
                {"name": "booking-app", "health_path": "/healthz",
                 "max_connections": 110, "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1,
                         "unit": "token", "plain_tokens": 200,
                         "rate_per_s": 1355050, "burst": 1355050}]}

    async def put_proxies(self):
        """A proxy between each relay and the store; before `start`."""
        for number, relay in enumerate(self.relays_):
            relay.store_proxy_ = Proxy(self.store_ip_, self.store_port_)
            ip = f"127.0.63.{number + 1}"
            await relay.store_proxy_.start(ip, free_ports(ip, 1))

    async def start(self):
        await self.store_.start(self.store_ip_, self.store_port_)
        await self.store_.put("op", "config", self.configuration())
        for number, server in enumerate(self.servers_):
            await server.start(f"127.0.62.{number + 1}")
            await self.store_.put("servers", server.id_, server.entry())
        for relay in self.relays_:
            await relay.start()
        self.watch_ = asyncio.create_task(self.restart_ended())
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all([await relay.is_ready() for relay in self.relays_]):
                await asyncio.sleep(1.5)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("relays are not ready")

    async def restart_ended(self):
        """As the platform does: what exits or is killed is started again, and
        what exceeds its memory is killed."""
        while not self.is_over_:
            for relay in self.relays_:
                if relay.is_running():
                    used = relay.resident_mb()
                    if used > relay.memory_mb_:
                        relay.kill()
                        await relay.process_.wait()
                        relay.ends_.append("memory")
                        self.record_.line(
                            f"{relay.name_} used {used:.0f} MB of "
                            f"{relay.memory_mb_} MB and was killed by the platform")
                        await asyncio.sleep(0.3)
                        await relay.start()
                    continue
                relay.ends_.append(str(relay.process_.returncode))
                self.record_.line(f"{relay.name_} ended by itself with "
                                  f"{relay.process_.returncode}; {relay.last_words()}")
                await asyncio.sleep(0.3)
                await relay.start()
            await asyncio.sleep(0.02)

    async def stop(self):
        self.is_over_ = True
        await asyncio.gather(self.watch_, return_exceptions=True)
        for relay in self.relays_:
            relay.kill()
            if relay.process_:
                await relay.process_.wait()
        shutil.rmtree(self.folder_, ignore_errors=True)

    def make_id(self):
        self.next_id_ += 1
        return f"{self.next_id_:016x}"

    async def send(self, relay, method, path, body=b"", budget_ms=1000, more=None):
        """One attempt of a caller on a channel of its own."""
        caller = Caller(self, relay)
        answer = await caller.ask(method, path, body, budget_ms, more)
        caller.close()
        return answer

    def generation(self):
        part = f"{random.getrandbits(32):08x}"
        return {"Model": "m", "Token-Count": "5200,72",
                "Prompt-Prefix": f"5c1e07a2:200,{part}:5000"}


class Answer:
    """What a caller got for one request."""

    def __init__(self, request_id, was_kept):
        self.id_, self.was_kept_ = request_id, was_kept
        self.status_ = None     # Of the final answer; None: none came.
        self.text_ = b""
        self.is_complete_ = False
        self.is_cut_ = False    # The channel ended first.
        self.took_s_ = 0.0

    def describe(self):
        if self.is_complete_:
            return f"{self.status_}, {len(self.text_)} bytes"
        kept = " kept" if self.was_kept_ else ""
        begun = f" after the head of a {self.status_}" if self.status_ else ""
        return f"the{kept} channel ended{begun}" if self.is_cut_ else f"no answer{begun}"


class Caller:
    """A client of the pages; keeps its channel while it can."""

    def __init__(self, world, relay):
        self.world_, self.relay_ = world, relay
        self.writer_ = None
        self.answered_ = 0

    def close(self):
        if self.writer_:
            self.writer_.close()
        self.writer_, self.answered_ = None, 0

    async def ask(self, method, path, body=b"", budget_ms=1000, more=None):
        """Sends a request and waits until half a second after its time budget."""
        answer = Answer(self.world_.make_id(), self.answered_ > 0)
        start = time.monotonic()
        try:
            await asyncio.wait_for(self.exchange(answer, method, path, body, budget_ms, more),
                                   budget_ms / 1000 + 0.55)
        except asyncio.TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer.is_cut_ = True
        answer.took_s_ = time.monotonic() - start
        if not answer.is_complete_:
            self.close()
        self.world_.record_.line(
            f"sent {answer.id_} {method} {path} to {self.relay_.name_}: "
            f"{answer.describe()}, {answer.took_s_ * 1000:.0f} ms")
        return answer

    async def exchange(self, answer, method, path, body, budget_ms, more):
        if not self.writer_:
            self.reader_, self.writer_ = await asyncio.open_connection(
                self.relay_.ip_, self.world_.port_)
        fields = {"Host": HOST, "Request-Id": answer.id_,
                  "Deadline-Ms": str(budget_ms), "Authorization": "Token " + KEY}
        fields.update(more or {})
        self.writer_.write(message(f"{method} {path} HTTP/1.1", fields, body))
        await self.writer_.drain()
        while True:
            head = await read_head(self.reader_)
            if head is None:
                answer.is_cut_ = True
                return
            status = int(head[0].split()[1])
            if status >= 200:
                break
            # An interim answer; the final one follows.
            self.world_.record_.line(f"interim answer to {answer.id_}: {status}")
        answer.status_ = status
        answer.text_ = b"" if method == "HEAD" else await read_body(self.reader_, head[1])
        answer.is_complete_ = True
        self.answered_ += 1
        if head[1].get("connection", "").lower() == "close":
            self.close()


def play(case_folder, run, **options):
    """Runs a case; its exit code is that of `run.sh`."""
    async def main():
        world = World(case_folder, **options)
        try:
            return await asyncio.wait_for(run(world), 110)
        except Exception as error:  # The case could not be run.
            world.record_.verdict(f"not run: {error!r}")
            return NOT_RUN
        finally:
            await world.stop()
    sys.exit(asyncio.run(main()))
