"""Node processes under test: configured only by what the deployment page documents, started and signalled."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from brackenladder.rehearsal.checker import ASK_WITHIN
from brackenladder.rehearsal.events import Journal, NodeEnded, NodeSignal, NodeUp, Said, Viewed, now
from brackenladder.rehearsal.plan import node_name
from brackenladder.rehearsal.scenario import Scenario
from brackenladder.rehearsal.standins.codecs import FAILED

READY_TIME = 20.0  # seconds within which a node must be ready
READY_POLL = 0.03  # seconds between two readiness checks
TERM_MARGIN = 0.7  # seconds after the longest deadline until SIGKILL follows SIGTERM
LONGEST_TERM = 3.0  # seconds; a longer deadline does not extend the time before SIGKILL
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
GROUPS = {"all": "all", "zone": "zone", "pod": "cell"}
SIGNALS = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "hup": signal.SIGHUP,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
}
ENDING_SIGNALS = ("kill", "term")  # the SIGNALS that end the process
MEMBERS_POLL = 0.25  # seconds between two queries of a node's membership view
MEMBERS_TIMEOUT = 1.0  # seconds; a paused node does not answer


class NodeError(Exception):
    """A node that does not start; the text says which and why."""


def settings_of(scenario: Scenario, number: int) -> dict[str, Any]:
    """The settings object of a node, with its documented keys; times in microseconds."""
    s = scenario
    micro = 1_000_000
    ratio = 1 / len(s.tenants)
    return {
        "callers": {"marks_retry": True},
        "classes": [
            {
                "name": c.name,
                "effect": EFFECTS[c.effect],
                "group": GROUPS[c.group] if c.effect == "keyed" else "all",
                "goal_time": round(c.aim_ms * 1000),
                "hard_limit": round(c.deadline_ms * 1000),
                "late_value": 0.2,
                "stream": False,
                "window": round(c.window_s * micro),
                "worth": 1.0,
            }
            for c in s.classes
        ],
        "dcs": list(s.zones),
        "deductions": {"cross_zone": 0.01, "peer": 0.01, "probe": 0.03, "waste": 0.04, "late_fail": 0.05},
        "discovery": s.discovery.how,
        "domain_type": "chain",
        "extra": {"passes_deadline": True},
        "goal": {"whole": 0.4, "worst_class": 0.1, "worst_tenant": 0.4, "worst_window": 0.1},
        "group_size": s.nodes,
        "kinds": ["std"],
        "layers": ["rehearsal"],
        "over_share_worth": 0.05,
        "policy_limits": {
            "cancel": True,
            "conn_idle": round(s.servers.idle_s * micro),
            "connect_timeout": round(s.limits.connect_ms * 1000),
            "max_attempts": s.limits.attempts,
            "max_open": 20_000,
            "max_retry_after": 2 * micro,
            "peers": True,
            "probing": True,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "report": {"columns": ["mean_ms", "concurrent", "err_ps"], "how": "on_probe"},
        "rules": {
            "answer_slack": round(s.rules.answer_ms * 1000),
            "ask_within": ASK_WITHIN,
            "cold": round(s.servers.warm_s * micro),
            "fall_multiple": s.rules.fall_multiple,
            "start_capacity": s.servers.cold_share,
            "stop_sending_within": round(s.rules.drain_ms * 1000),
            "tip_after": round(s.rules.fall_s * micro),
        },
        "self_index": number,
        "tenants": [
            {"name": name, "quota_rps": quota, "share": ratio}
            for name, quota in zip(s.tenants, tenant_quotas(s), strict=True)
        ],
        "tick": 5000,
        "tier": 0,
        "weights": "off",
        "worth_by": "request",
        "zone": number % len(s.zones),
    }


def tenant_quotas(s: Scenario) -> tuple[float, ...]:
    """Each tenant's quota, in requests a second."""
    return s.clients.quotas or (s.clients.rate / len(s.tenants) * 1.5,) * len(s.tenants)


def operator_text(scenario: Scenario, listen: str, discovery: str) -> str:
    """The operator file for a node that serves MessagePack-RPC."""
    lines = [
        "[rpc]",
        f'listen = "{listen}"',
        f'discovery = "{discovery}"',
        f"sockets = {scenario.limits.sockets // 2}",
    ]
    for klass in scenario.classes:
        lines += [
            f"[rpc.methods.{klass.name}]",
            f'class = "{klass.name}"',
            'tenant = "0.tenant"',
            'budget = "1"',
            'key = "0.key"' if klass.effect == "keyed" else 'key = ""',
            f'failures = ["{FAILED}"]',
        ]
    return "\n".join(lines) + "\n"


def members_text(socket_path: str, key: str, folder: Path | None, recovery: bool) -> str:
    """The operator file for a node with membership; `folder`: where it stores its state, if it does."""
    text = f'[control]\nsocket = "{socket_path}"\n\n[members]\nkey = "{key}"\n'
    if recovery:
        text += "[recovery]\n"
    if folder is not None:
        folder.mkdir(exist_ok=True)
        text += f'[state]\nfolder = "{folder}"\n'
    return text


def write_atomically(path: Path, text: str) -> None:
    """Writes the file under another name and renames it, so that no reader sees a part of it."""
    fresh = path.with_name(f"{path.name}.new")
    fresh.write_text(text)
    fresh.rename(path)


def unused_loopback_host(rng: Random) -> str:
    """A random loopback host, so that no other process takes the ports that are found free there."""
    for _ in range(50):
        host = f"127.{rng.randrange(16, 250)}.{rng.randrange(1, 250)}.{rng.randrange(1, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((host, 0))
            except OSError:
                break  # the system has no loopback address other than 127.0.0.1
            return host
    return "127.0.0.1"


def free_port(host: str, kind: socket.SocketKind) -> int:
    with socket.socket(type=kind) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class NodeProcess:
    """One node: its configuration, its process and the signals sent to it."""

    def __init__(
        self,
        scenario: Scenario,
        number: int,
        command: str,
        folder: Path,
        journal: Journal,
        rng: Random,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.number = number
        self.name = node_name(number)
        self.command = shlex.split(command) if command else [sys.executable, "-m", "brackenladder"]
        self.folder = folder
        self.journal = journal
        self.seed_rng = Random(f"node {seed} {number}")
        host = unused_loopback_host(rng)
        self.listen = f"{host}:{free_port(host, socket.SOCK_STREAM)}"
        self.datagrams = f"{host}:{free_port(host, socket.SOCK_DGRAM)}"
        self.rpc = f"{host}:{free_port(host, socket.SOCK_STREAM)}" if scenario.transport == "rpc" else ""
        # With RPC, the node's HTTP side gets an address where nothing listens, since discovery could not tell
        # its calls from those of the RPC side.
        self.unused_address = f"{host}:{free_port(host, socket.SOCK_STREAM)}"
        self.discovery: list[str] = []
        self.peers: list[str] = []
        self.known: dict[str, Any] = {}  # the server list in the configuration with which the process starts
        self.source = 0
        # Called with each pid at the start and at the end of its process.
        self.on_process_change: Callable[[int, bool], None] = lambda pid, runs: None
        self.process: asyncio.subprocess.Process | None = None
        self.signalled = ""
        self.crashed: list[int] = []  # exit codes of processes that the runner did not end
        self.starts = 0
        # The run's folder may have a longer path than a Unix socket allows.
        self.control = str(Path(tempfile.gettempdir()) / f"lb-{os.getpid()}-{rng.getrandbits(32):08x}")
        self.last_transition = -1  # time of the newest recorded view change, by the process's clock

    def write(self) -> Path:
        """Writes the configuration file, and the operator file if the node needs one; returns the first."""
        s = self.scenario
        table = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.unused_address if self.rpc else self.discovery[self.source],
            "seed": f"{self.seed_rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": s.limits.memory_mb, "sockets": s.limits.sockets},
            "peer_listen": self.datagrams,
            "peers": self.peers[:-1],
            "peers_all": self.peers[-1],
            "known": self.known,
            "settings": settings_of(s, self.number),
        }
        text = operator_text(s, self.rpc, self.discovery[self.source]) if self.rpc else ""
        if s.members:
            key = self.folder / "members.key"
            write_atomically(key, f"rehearsal-{self.folder.name:16.40}\n")
            state = self.folder / f"{self.name}.state" if s.recovery == "store" else None
            text += members_text(self.control, str(key), state, bool(s.recovery))
        if text:
            write_atomically(self.operator_file, text)
        path = self.folder / f"{self.name}.json"
        write_atomically(path, json.dumps(table))
        return path

    @property
    def operator_file(self) -> Path:
        return self.folder / f"{self.name}.toml"

    @property
    def clients_address(self) -> str:
        """Where clients connect: the RPC address if the node has one, else its HTTP address."""
        return self.rpc or self.listen

    async def start(self) -> None:
        """Starts the process and waits until it is ready; raises NodeError if that fails."""
        path = self.write()
        self.signalled = ""
        self.starts += 1
        environ = dict(os.environ) | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.listen,
            "LB_DISCOVERY": self.unused_address if self.rpc else self.discovery[self.source],
            "LB_CONFIG": str(path),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        try:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                *(
                    ("run", "--operator", str(self.operator_file))
                    if self.rpc or self.scenario.members
                    else ()
                ),
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # Ctrl-C reaches only the runner, which ends its nodes itself
            )
        except OSError as e:
            raise NodeError(f"{self.command[0]}: {e.strerror}") from None
        finally:
            log.close()
        self.on_process_change(self.process.pid, True)
        self.watcher = asyncio.create_task(self.watch(self.process))
        until = asyncio.get_running_loop().time() + READY_TIME
        while not await self.ready():
            if self.process.returncode is not None:
                raise NodeError(
                    f"{self.name} ended with status {self.process.returncode} before it was ready"
                )
            if asyncio.get_running_loop().time() > until:
                raise NodeError(f"{self.name} was not ready after {READY_TIME:g} s")
            await asyncio.sleep(READY_POLL)
        self.journal.add(NodeUp(now(), self.name))

    async def ready(self) -> bool:
        host, _, port = self.listen.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b" ")[1:2] == [b"200"]

    async def watch(self, process: asyncio.subprocess.Process) -> None:
        """Waits for the end of the process and records it."""
        code = await process.wait()
        self.on_process_change(process.pid, False)
        wanted = self.signalled == "kill" or (self.signalled == "term" and code == 0)
        if not wanted:
            self.crashed.append(code)
        self.journal.add(NodeEnded(now(), self.name, code, wanted))

    def signal(self, name: str) -> None:
        """Records and sends one of SIGNALS."""
        if self.process is None or self.process.returncode is not None:
            return
        if name in ENDING_SIGNALS:
            self.signalled = name
        self.journal.add(NodeSignal(now(), self.name, name))
        self.process.send_signal(SIGNALS[name])

    async def record_members(self) -> None:
        """Queries the node's membership view until the run ends, and records each change."""
        view: tuple[Any, ...] = ()
        while True:
            await asyncio.sleep(MEMBERS_POLL)
            try:
                async with asyncio.timeout(MEMBERS_TIMEOUT):
                    reader, writer = await asyncio.open_unix_connection(self.control, limit=1 << 24)
                    writer.write(b'{"version":1,"do":"members"}\n')
                    reply = json.loads(await reader.readline())
                    writer.close()
            except (OSError, TimeoutError, ValueError):
                continue
            if not reply.get("ok"):
                continue
            for transition in reply["transitions"]:
                if transition["at_us"] > self.last_transition:
                    self.last_transition = transition["at_us"]
                    about = node_name(transition["number"])
                    fields = (
                        transition["before"],
                        transition["after"],
                        transition["epoch"],
                        transition["incarnation"],
                    )
                    self.journal.add(
                        Said(now(), transition["at_us"], self.name, about, *fields, transition["reason"])
                    )
            own, members = reply["self"], reply["members"]
            states = tuple(m["state"] for m in members)
            seen = (own["state"], own["living"], states, tuple(m["epoch"] for m in members))
            if seen != view:
                view = seen
                self.journal.add(Viewed(now(), self.name, *seen))

    async def wait_ended(self, time: float) -> bool:
        """Waits up to `time` seconds for the end of the process; returns whether it has ended."""
        if self.process is None:
            return True
        try:
            async with asyncio.timeout(time):
                await self.watcher
        except TimeoutError:
            return False
        return True

    async def terminate(self) -> None:
        """Sends SIGTERM, then SIGKILL if the process does not end in time."""
        longest = max(c.deadline_ms for c in self.scenario.classes) / 1000
        self.signal("term")
        if not await self.wait_ended(min(longest, LONGEST_TERM) + TERM_MARGIN):
            self.signal("kill")
            await self.wait_ended(READY_TIME)

    async def end(self) -> None:
        """Kills the process at the end of the run."""
        if self.process is not None and self.process.returncode is None:
            self.signalled = "kill"
            self.process.kill()
            await self.watcher
        Path(self.control).unlink(missing_ok=True)
