"""Simulated servers that read requests, run them and send responses of drawn kinds."""

from __future__ import annotations

import asyncio
from random import Random

from brackenladder.registry.records import ServerRecord, ServerState
from brackenladder.simulation.exchange.behaviour import (
    UNFRAMED_KINDS,
    Answer,
    AnswerKind,
    Step,
    draw_answer_kind,
    make_answer,
)
from brackenladder.simulation.exchange.control import ControlSide
from brackenladder.simulation.exchange.history import Disturbances, History, Run
from brackenladder.simulation.exchange.site import MISDIRECTED, SECOND, SERVER_PORT, ZONES
from brackenladder.simulation.streams import StreamEnd, StreamListener, StreamNetwork
from brackenladder.simulation.virtual_loop import Process

HEAD_END = b"\r\n\r\n"
SLOTS = 16
COPY_KINDS = (AnswerKind.REJECTED, AnswerKind.WHOLE, AnswerKind.CHUNKED, AnswerKind.PROMISED)
COPY_SHARE = 0.7  # fraction of the answers of `COPY_KINDS` that a repeating server sends a second time
CUT_SHARE = 0.4  # fraction of the repeated answers that are cut short
ANY_COPY_SHARE = 0.3  # fraction of the requests before whose answer the copy of another one is sent
HELD_SHARE = 0.8  # fraction of the repeated answers that are sent just before another answer
LATEST_COPY_SECONDS = 0.3  # a copy that is not held until the next request is sent within this time
SEND_BUFFER_TIME = SECOND  # microseconds for which an answer may remain in the server's send buffer
EARLY_SHARE = 0.2  # fraction of the requests with an incomplete body that a server begins early
END_OF_LINE = b"\r\n"
IDLE_SECONDS = 2.0  # idle time after which a server closes a connection, as its `Keep-Alive` header states


class Server:
    """A machine that runs one incarnation of a server after the other at the same address."""

    def __init__(
        self,
        number: int,
        zone: str,
        service: str,
        streams: StreamNetwork,
        control: ControlSide,
        history: History,
    ) -> None:
        self.number = number
        self.zone = zone
        self.region = ZONES[zone]
        self.service = service
        self.ip = f"10.2.0.{number + 1}"
        self.host = streams.add_host(self.ip, zone)
        self.process: Process | None = None
        self.incarnation = 0
        self.misbehaves = False  # whether the server answers in faulty ways
        self.rejects_share = 0.0  # fraction of the requests that it rejects because it is full
        self.repeats_answers = False  # whether it sends some answers a second time, late
        self.draining_since = 0
        self.disturbances = Disturbances()
        self.connections: list[ServerConnection] = []
        self.streams = streams
        self.history = history
        self.random = Random(streams.random.getrandbits(64))
        self._control = control
        self._listener: StreamListener | None = None

    @property
    def id(self) -> str:
        """The id of the current or latest incarnation."""
        return f"s{self.number}.{self.incarnation}"

    @property
    def up(self) -> bool:
        """Whether its process exists, frozen or not."""
        return self.process is not None

    def start(self, service: str | None = None, announced: bool = True) -> None:
        """Starts a new incarnation, perhaps of another service, and with `announced` reports it as ready."""
        for run in self.history.runs:
            if run.server == self.id and not run.replaced_at:
                run.replaced_at = self.streams.loop.microseconds
        self.incarnation += 1
        self.service = service or self.service
        self.draining_since = 0
        self.process = Process(self.id)
        self._listener = self.streams.listen(self.ip, SERVER_PORT, self._connected, self.process)
        if announced:
            self.announce()

    def announce(self) -> None:
        """Reports the incarnation as ready."""
        self._report(ServerState.READY)

    def crash(self) -> None:
        """Ends the process without any message."""
        if self.process is None:
            return
        process, self.process = self.process, None
        process.end()
        self._break_off(self.streams.loop.microseconds)
        self.connections.clear()
        self.streams.end_process(process)

    def _break_off(self, now: int) -> None:
        """Ends the current runs. Answers that may still be in the send buffer are lost."""
        for run in self.history.runs:
            if run.server != self.id:
                continue
            run.leaving = self.draining_since > 0
            run.crashed |= not run.ended_at or run.ended_at > now - SEND_BUFFER_TIME
            if not run.ended_at:
                run.cut = True
                run.ended_at = now

    def report_gone(self, server_id: str, service: str, deregistered: bool = True) -> None:
        """Reports to the control side that an incarnation has gone: that it deregistered, or timed out."""
        address = f"{self.ip}:{SERVER_PORT}"
        record = ServerRecord(
            server_id, service, address, self.zone, SLOTS, ServerState.GONE, 1, expired=not deregistered
        )
        self._control.update_server(record)

    def drain(self) -> None:
        """Reports the server as draining; it continues to serve."""
        self.draining_since = self.streams.loop.microseconds
        self._report(ServerState.DRAINING)

    def forget_idle(self) -> None:
        """Drops idle connections without notifying the gateways."""
        for connection in [connection for connection in self.connections if connection.idle]:
            connection.end.drop_silently()

    def reset_connections(self) -> None:
        """Resets one of the server's connections, drawn at random."""
        if self.connections:
            connection = self.random.choice(self.connections)
            if connection.run is not None:
                connection.run.cut = True
            connection.lose_sent_answer()
            connection.end.reset_by_network()

    def _report(self, state: ServerState) -> None:
        address = f"{self.ip}:{SERVER_PORT}"
        self._control.update_server(ServerRecord(self.id, self.service, address, self.zone, SLOTS, state, 1))

    def _connected(self) -> ServerConnection:
        return ServerConnection(self)


class ServerConnection(asyncio.Protocol):
    """A connection to a server that handles one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.id = server.id
        self.service = server.service
        self.run: Run | None = None  # the run in progress
        self.end: StreamEnd
        self._read = b""
        self._last_answer = b""
        # Answers that are sent again just before another one, by the id of their request.
        self._held_copies: dict[str, bytes] = {}
        self._latest_run: Run | None = None  # the run that began last
        self._missing_body_bytes = 0  # bytes of the request's body that have not been received
        self._idle_timer: asyncio.TimerHandle | None = None
        self._loop = server.streams.loop

    @property
    def idle(self) -> bool:
        """Whether no request is being read or run."""
        return self.run is None and not self._read

    def lose_sent_answer(self) -> None:
        """Notes that the answer of the latest run is lost if it may still be on its way."""
        run = self._latest_run
        if run is not None and run.ended_at > self._loop.microseconds - SEND_BUFFER_TIME:
            run.crashed = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.Protocol`."""
        assert isinstance(transport, StreamEnd)
        self.end = transport
        self.server.connections.append(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the current run, since most servers stop work when the caller disconnects."""
        if self in self.server.connections:
            self.server.connections.remove(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._end_run()

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if self._latest_run is not None and self._missing_body_bytes:
            self._latest_run.body += data[: self._missing_body_bytes]
            data, self._missing_body_bytes = (
                data[self._missing_body_bytes :],
                max(0, self._missing_body_bytes - len(data)),
            )
        self._read += data
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._next()

    def eof_received(self) -> None:
        """Begins, and breaks off, a request whose head ends with the connection.

        Python's own HTTP server takes the end of a connection for the end of a head.
        """
        head = self._read
        if self.run is not None or not head.endswith(END_OF_LINE):
            return
        if header_of(head, "x-brackenladder-expected-instance") != self.id:
            return
        run = self._new_run(head, b"")
        run.early = run.cut = True
        run.ended_at = self._loop.microseconds
        self.server.history.runs.append(run)

    def _next(self) -> None:
        head, found, rest = self._read.partition(HEAD_END)
        if self.run is not None or not found:
            return
        length = int(header_of(head, "content-length") or "0")
        if len(rest) < length and self.server.random.random() >= EARLY_SHARE:
            return
        self._read = rest[length:]
        run = self._new_run(head, rest[:length])
        self._latest_run, self._missing_body_bytes = run, max(0, length - len(rest))
        run.early = self._missing_body_bytes > 0
        self._begin(run, head)

    def _begin(self, run: Run, head: bytes) -> None:
        server, random = self.server, self.server.random
        self.run = run
        server.history.runs.append(run)
        expected = header_of(head, "x-brackenladder-expected-instance")
        if expected and expected != self.id:
            answer = _misdirected(run)
        else:
            event_count = int(header_of(head, "x-pieces") or "0")
            answer_kind = draw_answer_kind(random, server.misbehaves, bool(event_count))
            if random.random() < server.rejects_share:
                answer_kind = AnswerKind.REJECTED
            run.unframed = answer_kind in UNFRAMED_KINDS
            answer = make_answer(run, answer_kind, random, event_count, self._last_answer)
        copy = self._take_held_copy(run.request_id)
        if copy:
            self.end.write(copy)
        self._write(run, answer, 0)

    def _take_held_copy(self, request_id: str) -> bytes:
        """The answer to send again before that to this request: one to its own id, or now and then any."""
        held = self._held_copies
        if held and request_id not in held and self.server.random.random() < ANY_COPY_SHARE:
            return held.popitem()[1]
        return held.pop(request_id, b"")

    def _repeat_late(self, request_id: str, copy: bytes) -> None:
        """Sends an answer again, later: before the answer to the next request, or while none is open."""
        random = self.server.random
        if random.random() < CUT_SHARE:
            longest = random.choice((copy.index(HEAD_END) + 1, len(copy)))
            copy = copy[: random.randrange(1, longest)]
        if random.random() < HELD_SHARE:
            self._held_copies[request_id] = copy
        else:
            self._loop.call_later(random.uniform(0.0, LATEST_COPY_SECONDS), self._send_copy, copy)

    def _send_copy(self, copy: bytes) -> None:
        if not self.end.is_closing() and self.run is None:
            self.end.write(copy)

    def _new_run(self, head: bytes, body: bytes) -> Run:
        method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ")
        last_event = header_of(head, "last-event-id")
        return Run(
            number=len(self.server.history.runs) + 1,
            request_id=header_of(head, "x-brackenladder-request-id"),
            server=self.id,
            service=self.service,
            region=self.server.region,
            zone=self.server.zone,
            arrived_at=self._loop.microseconds,
            method=method,
            target=target,
            body=body,
            deadline_ms=int(header_of(head, "x-brackenladder-request-deadline-ms") or "0"),
            gateway=int(self.end.get_extra_info("peername")[0].rpartition(".")[2]) - 1,
            after_event=int(last_event or "0"),
        )

    def _write(self, run: Run, answer: Answer, step: int) -> None:
        """Writes the steps of the answer from `step` on, each after its pause."""
        if self.run is not run or self.end.is_closing():
            return
        if answer.answer_kind is AnswerKind.SILENT:
            return
        if step == len(answer.steps) or answer.answer_kind is AnswerKind.DROPPED:
            self._written(run, answer)
            return
        pause = answer.steps[step].pause
        self._loop.call_later(pause / SECOND, self._write_step, run, answer, step)

    def _write_step(self, run: Run, answer: Answer, step: int) -> None:
        if self.run is run and not self.end.is_closing():
            self.end.write(answer.steps[step].data)
            self._write(run, answer, step + 1)

    def _written(self, run: Run, answer: Answer) -> None:
        answer_kind = answer.answer_kind
        run.cut |= answer_kind in (
            AnswerKind.CUT,
            AnswerKind.RESET,
            AnswerKind.DROPPED,
            AnswerKind.UNFRAMED_RESET,
            AnswerKind.GARBLED,
        )
        run.complete = not run.cut
        self._last_answer = b"".join(step.data for step in answer.steps)
        self._end_run()
        server = self.server
        if server.repeats_answers and answer_kind in COPY_KINDS and server.random.random() < COPY_SHARE:
            self._repeat_late(run.request_id, self._last_answer)
        if answer_kind in (AnswerKind.RESET, AnswerKind.DROPPED, AnswerKind.UNFRAMED_RESET):
            self.end.reset_by_network()
        elif answer_kind in (AnswerKind.CUT, AnswerKind.LAST, AnswerKind.UNFRAMED, AnswerKind.GARBLED):
            self.end.close()
        elif self._read and not self._missing_body_bytes:
            self._next()
        else:
            self._start_idle_timer()

    def _end_run(self) -> None:
        run, self.run = self.run, None
        if run is not None and not run.ended_at:
            run.ended_at = self._loop.microseconds

    def _start_idle_timer(self) -> None:
        self._idle_timer = self._loop.call_later(IDLE_SECONDS, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.idle:
            self.end.close()


def _misdirected(run: Run) -> Answer:
    run.executed, run.status = False, MISDIRECTED
    lines = (
        f"HTTP/1.1 {MISDIRECTED} Misdirected Request",
        f"X-Brackenladder-Request-Id: {run.request_id}",
        "X-Brackenladder-Not-Executed: true",
        "Keep-Alive: timeout=2",
        "Content-Length: 0",
    )

    return Answer(AnswerKind.REJECTED, (Step(0, "\r\n".join(lines).encode() + HEAD_END),))


def header_of(head: bytes, name: str) -> str:
    """Returns the value of a header, or an empty string if it is missing."""
    for line in head.decode().split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            return value.strip()
    return ""
