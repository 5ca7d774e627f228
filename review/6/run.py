"""Two relays, a store that comes back from a copy, an engine that leaves.

Decode engine d-0 starts again under its id, later leaves and says so in all its
answers. Then the store comes back from a copy that is older than that start.
Counts requests that reach d-0 too late from a relay that had passed on such an
answer, and notes how their streams ended.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlparse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RELAYS = 2
DRAIN_S = 2.0  # drain_ms of the bounds
HEARTBEAT_S = 1.2
FIRST_BEAT_S = 0.8  # all times from the start of the traffic
COPY_AT_S = 2.1
RESTART_AT_S = 2.3
LEAVE_AT_S = 6.0
ENTRY_GONE_AT_S = 7.1  # less than a heartbeat later
DRILL_AT_S = 9.0
DRILL_FOR_S = 2.0  # the copy is 8.9 s old when the store is back
EXIT_AT_S = 12.0  # drain_ms after its entry was removed, and 2.9 s longer
END_AT_S = 13.0
RATE_PER_S = 6.5  # of each relay's callers; the sheet has 13 generations a second
EVENTS = 35
EVENT_S = 0.08
PREFILL_S = 0.09
DOWN_S = 0.3


def now():
    return time.monotonic()


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        if mark:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


def write_message(writer, first, fields, body=b""):
    fields = dict(fields, **{"Content-Length": len(body)})
    text = first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    writer.write(text.encode() + b"\r\n" + body)


class Store:
    """Rows of the empty part; linearizable; may come back from a copy."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 1
        self.is_away = False
        self.open = set()

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)

    def remove(self, table, key):
        self.version += 1
        self.rows[table, key] = (None, self.version)

    def copy(self):
        return dict(self.rows), self.version

    def go_away(self):
        self.is_away = True
        for writer in list(self.open):
            writer.close()

    def come_back(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.is_away = False

    def page(self, rows):
        entries = []
        for (table, key), (value, version) in sorted(rows, key=lambda x: x[1][1]):
            row = {"table": table, "part": "", "key": key, "ver": version}
            if value is None:
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(value.encode()).decode()
            entries.append(row)
        return json.dumps({"rows": entries, "has_more": False, "ver": self.version,
                           "now_ms": int(now() * 1000)})

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while not self.is_away:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await asyncio.sleep(0.004)
                status, text = await self.answer(first.split(" ")[1], body)
                if self.is_away:
                    break
                write_message(writer, f"HTTP/1.1 {status} X",
                              {"Store-Era": self.era, "Content-Type": "application/json"},
                              text.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.open.discard(writer)
        writer.close()

    async def answer(self, target, body):
        parsed = urlparse(target)
        query = {k: v[0] for k, v in parse_qs(parsed.query, keep_blank_values=True).items()}
        if parsed.path.endswith("/rows-get"):
            return 200, self.page([x for x in self.rows.items()
                                   if x[0][0] == query["table"] and x[1][0] is not None])
        if parsed.path.endswith("/rows-feed"):
            return await self.feed(query)
        if parsed.path.endswith("/rows-tx"):
            return self.transact(json.loads(body))
        return 404, ""

    async def feed(self, query):
        end = now() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        if after > self.version:
            return 410, ""
        era = self.era
        while True:
            rows = [x for x in self.rows.items() if x[0][0] == query["table"] and x[1][1] > after]
            if rows or now() >= end or self.is_away or era != self.era:
                return 200, self.page(rows)
            await asyncio.sleep(0.01)

    def transact(self, call):
        is_met, present = True, []
        for each in call["expected_revision"]:
            name = each["table"], each["key"]
            value, version = self.rows.get(name, (None, 0))
            is_met &= each["ver"] == (0 if value is None else version)
            if value is not None:
                present.append((name, (value, version)))
        if not is_met:
            return 412, self.page(present)
        self.version += 1
        for each in call["puts"]:
            text = base64.b64decode(each["value"]).decode()
            self.rows[each["table"], each["key"]] = (text, self.version)
        for each in call["remove"]:
            self.rows[each["table"], each["key"]] = (None, self.version)
        return 200, json.dumps({"ver": self.version, "now_ms": int(now() * 1000)})


class Server:
    """A sound engine."""

    def __init__(self, store, name, stage):
        self.store, self.name, self.stage = store, name, stage
        self.port = free_ports(1)
        self.born = int(time.time() * 1000)
        self.is_leaving = False
        self.has_left = False  # the store
        self.arrivals = []
        self.open = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def stop(self):
        self.listener.close()
        for writer in list(self.open):
            writer.transport.abort()

    def write_entry(self):
        """Writes what it wrote last, also after the store was restored."""
        if self.has_left:
            if self.store.rows.get(("servers", self.name), (None, 0))[0] is not None:
                self.store.remove("servers", self.name)
            return
        self.store.put("servers", self.name, json.dumps({
            "service": "llm", "address": f"127.0.0.1:{self.port}", "zone": "z1", "version": "1",
            "slots": 16, "state": "ready", "cold_remaining_ms": 0, "seq": int(now() * 1000),
            "stage": self.stage, "born": self.born}))

    async def beat(self, first_at):
        await asyncio.sleep(first_at - now())
        while True:
            if not self.store.is_away:
                self.write_entry()
            first_at += HEARTBEAT_S
            await asyncio.sleep(max(0, first_at - now()))

    async def restart(self):
        self.stop()
        await asyncio.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        await self.start()
        self.write_entry()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                await read_body(reader, fields)
                if first.startswith("DELETE "):
                    write_message(writer, "HTTP/1.1 200 X", {})
                    continue
                await self.run(fields, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.open.discard(writer)
        writer.close()

    async def run(self, fields, writer):
        request = fields.get("request-id", "")
        out = {"Request-Id": request, "Instance-Id": self.name}
        if self.is_leaving:
            out["Server-Leaving"] = "1"
        is_prefill = fields.get("stage") == "prefill"
        is_mine = fields.get("expect-instance") == self.name
        if not is_mine or is_prefill != (self.stage == "prefill"):
            write_message(writer, "HTTP/1.1 421 X", dict(out, **{"Not-Executed": "1"}))
            return
        self.arrivals.append((now(), request))
        if is_prefill:
            await asyncio.sleep(PREFILL_S)
            handle = json.dumps({"kv_handle": "%012x" % random.getrandbits(48), "tokens": 5000,
                                 "version": 1})
            write_message(writer, "HTTP/1.1 200 X", dict(out, **{"Content-Type": "application/json"}),
                          handle.encode())
            return
        out.update({"Response-Signature": self.name, "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked", "Weight-Versions": "1"})
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if number == 1:
                text = "".join(f"{k}: {v}\r\n" for k, v in out.items())
                writer.write(("HTTP/1.1 200 X\r\n" + text + "\r\n").encode())
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def free_ports(count):
    for _ in range(200):
        first = random.randrange(12000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sockets[-1].bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise OSError("no free ports")


class Relay:
    def __init__(self, number, folder, store_port):
        self.first = free_ports(20)
        self.name = f"edge-{number}"
        bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
                  "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                  "config_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
                  "fail_closed": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                  "budget_window_s": 10, "budget_slack": 56, "quota_window_s": 8,
                  "quota_over": 0.1, "quota_slack": 120000, "recovery_s": 12, "transit_ms": 120,
                  "reuse_window_s": 3, "checks_fence": False, "lease_ms": 3000, "thaw_ms": 300}
        settings = {
            "node_name": self.name, "role": "relay", "machine_class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": "z1", "region": "r1", "zones": {"z1": "r1"},
            "listen": {"front": f"127.0.0.1:{self.first}", "ready": f"127.0.0.1:{self.first + 1}"},
            "port_range": [self.first + 2, self.first + 17], "seeds": [], "bootstrap": True,
            "counts_as_loss": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "split", "stream",
                          "engine", "tenants", "quota", "platform"],
            "bounds": bounds,
            "provider": {"address": f"127.0.0.1:{store_port}", "form": "table",
                         "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
                         "part_writes_s": 200, "row_bytes": 65536, "across": False,
                         "retention_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0,
                         "blob_mb_s": 80.0}}
        path = os.path.join(folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, self.name + ".log"), "w")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "gooseberry-relay")], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "GOOSEBERRYBEAM_SETTINGS": path},
            stdout=self.log, stderr=subprocess.STDOUT)
        self.passed_on_at = None  # a leaving answer of d-0, at the caller

    async def wait_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.first + 1)
                write_message(writer, "GET /gooseberrybeam/readyz HTTP/1.1", {"Host": "x"})
                first, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in first:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


async def read_chunks(reader):
    while True:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b"", None)
        size = int(line, 16)
        await reader.readexactly(size + 2)
        if size == 0:
            return


async def send(relay, sent, ends):
    request = "%016x" % random.getrandbits(64)
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.first)
    except OSError:
        return
    sent[request] = (now(), relay)
    write_message(writer, "POST /summary/1 HTTP/1.1",
                  {"Host": "h.example", "Request-Id": request, "Deadline-Ms": 14000, "Model": "m",
                   "Token-Count": "5000,70", "Prompt-Prefix": f"aa:200,{request}:4800",
                   "Authorization": "Token key-one"}, b"b" * 5000)
    end = "no answer"
    try:
        first, fields = await asyncio.wait_for(read_head(reader), 14)
        is_told = fields.get("server-leaving") == "1" and fields.get("instance-id") == "d-0"
        if is_told and relay.passed_on_at is None:
            relay.passed_on_at = now()
        end = "cut in the stream"
        if fields.get("transfer-encoding") == "chunked":
            await asyncio.wait_for(read_chunks(reader), 14)
        else:
            await asyncio.wait_for(read_body(reader, fields), 14)
        end = first.split(" ")[1] + " whole"
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    writer.close()
    ends[request] = end


async def press(relay, sent, ends, end):
    tasks = set()
    while now() < end:
        task = asyncio.create_task(send(relay, sent, ends))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(RATE_PER_S))
    await asyncio.gather(*tasks)


def put_configuration(store):
    store.put("op", "config", json.dumps({
        "version": 7,
        "routes": [{"name": "summary", "host": "h.example", "path_prefix": "/summary/",
                    "kind": "streaming", "service": "llm", "timeout_ms": 14000,
                    "target_latency_ms": 900, "gap_target_ms": 300, "max_attempts": 1,
                    "priority": 1, "public": False, "sticky": True, "resumable": False}],
        "services": [{"name": "llm", "slots": 16, "health_path": "/healthz",
                      "max_connections": 180,
                      "engine": {"slots": 16, "kv_tokens": 91723, "stride": 2, "kv_hold_s": 0.5}}],
        "tenants": [{"name": "one", "api_keys": ["key-one"]}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}))


async def play(folder, record):
    store = Store()
    put_configuration(store)
    names = [("d-%d" % i, "decode") for i in range(4)] + [("p-%d" % i, "prefill") for i in range(3)]
    servers = [Server(store, name, stage) for name, stage in names]
    for each in servers:
        await each.start()
        each.write_entry()
    store_port = free_ports(1)
    listener = await asyncio.start_server(store.serve, "127.0.0.1", store_port)
    relays = []
    try:
        for i in range(RELAYS):
            relays.append(Relay(i, folder, store_port))
        for each in relays:
            if not await each.wait_ready():
                return 2
        await asyncio.sleep(1)
        start = now()
        for each in servers:
            asyncio.create_task(each.beat(start + FIRST_BEAT_S))
        sent, ends = {}, {}
        traffic = [asyncio.create_task(press(r, sent, ends, start + END_AT_S)) for r in relays]

        async def until(at):
            await asyncio.sleep(max(0, start + at - now()))

        leaver = servers[0]
        await until(COPY_AT_S)
        copy = store.copy()
        await until(RESTART_AT_S)
        await leaver.restart()
        await until(LEAVE_AT_S)
        # Some servers never report `draining`: their entry is removed.
        leaver.is_leaving = True
        await until(ENTRY_GONE_AT_S)
        leaver.has_left = True
        leaver.write_entry()
        await until(DRILL_AT_S)
        if TROUBLE:
            store.go_away()
            await asyncio.sleep(DRILL_FOR_S)
            store.come_back(copy)
            # The servers write again what they wrote at their next heartbeat.
            put_configuration(store)
            record.write(f"store back at {now() - start:.2f} s\n")
        await until(EXIT_AT_S)
        leaver.stop()
        record.write(f"d-0 ended at {now() - start:.2f} s\n")
        await asyncio.gather(*traffic)
        late = []
        for at, request in leaver.arrivals:
            sent_at, relay = sent[request]
            told = relay.passed_on_at
            if told is not None and sent_at > told + DRAIN_S:
                late.append((sent_at - start, at - start, relay.name, sent_at - told, ends[request]))
        kinds = sorted(set(ends.values()))
        record.write(f"sent {len(sent)}: "
                     + ", ".join(f"{k}: {list(ends.values()).count(k)}" for k in kinds) + "\n")
        for each in servers:
            record.write(f"{each.name}: {len(each.arrivals)} requests run\n")
        for each in relays:
            told = each.passed_on_at
            record.write(f"{each.name}: passed on an answer with Server-Leaving first at "
                         f"{'never' if told is None else format(told - start, '.2f')} s\n")
        for sent_at, at, relay, after, end in late:
            record.write(f"late: sent to {relay} at {sent_at:.3f} s, {after:.3f} s after that, "
                         f"reached d-0 at {at:.3f} s, end: {end}\n")
        record.write(f"{len(late)} requests reached d-0 more than {DRAIN_S} s after that\n")
        if all(each.passed_on_at is None for each in relays):
            return 2
        return 1 if late else 0
    finally:
        for each in relays:
            each.end()


def main():
    folder = tempfile.mkdtemp()
    path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
    code = 2
    try:
        with open(path, "w") as record:
            record.write(f"TROUBLE={int(TROUBLE)}\n")
            loop = asyncio.new_event_loop()
            code = loop.run_until_complete(asyncio.wait_for(play(folder, record), 100))
            record.write(f"exit {code}\n")
    except Exception as error:  # the case couldn't run
        code = 2
        print("not run:", repr(error), file=sys.stderr)
    finally:
        if not os.environ.get("KEEP"):
            shutil.rmtree(folder, ignore_errors=True)
        else:
            print(folder)
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main()
