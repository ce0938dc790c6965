"""How a server answers one request: what it writes, in which portions, and where it breaks off."""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from attrs import frozen

from brackenladder.simulation.exchange.history import Run

LONG_BODY = 150_000  # bytes
OPEN_BODY = 1_200_000  # bytes: relayed as it comes
KEEP_ALIVE = "Keep-Alive: timeout=2"


class Manner(Enum):
    """What becomes of an answer."""

    WHOLE = auto()
    CHUNKED = auto()
    INTERIM = auto()  # one or two answers of the 1xx kind come first
    LAST = auto()  # the connection is closed behind it
    REJECTED = auto()  # the server says that it has not run the request
    FAILED = auto()  # 500
    PROMISED = auto()  # 503, without a word that it has not run
    CUT = auto()  # ends in the middle, in order
    RESET = auto()  # is reset in the middle
    DROPPED = auto()  # the connection is reset before any byte
    SILENT = auto()
    SECOND = auto()  # comes twice
    SURPLUS = auto()  # bytes that are no answer follow it
    STALE = auto()  # an answer of another request comes first
    NAMELESS = auto()  # carries no request id
    GARBLED = auto()  # is no HTTP
    UNFRAMED = auto()  # has no length, and ends with the connection
    UNFRAMED_RESET = auto()  # has none, and is reset


GOOD_WEIGHTS = {
    Manner.WHOLE: 50.0,
    Manner.CHUNKED: 15.0,
    Manner.LAST: 3.0,
    Manner.REJECTED: 4.0,
    Manner.INTERIM: 3.0,
    Manner.FAILED: 2.0,
    Manner.SECOND: 1.0,
    Manner.SURPLUS: 1.0,
    Manner.RESET: 1.0,
    Manner.DROPPED: 1.0,
}
BAD_WEIGHTS = {
    **dict.fromkeys(Manner, 3.0),
    Manner.WHOLE: 15.0,
    Manner.CHUNKED: 8.0,
}
STREAM_MANNERS = {
    Manner.CHUNKED,
    Manner.REJECTED,
    Manner.FAILED,
    Manner.PROMISED,
    Manner.CUT,
    Manner.RESET,
    Manner.DROPPED,
    Manner.SILENT,
    Manner.SURPLUS,
}


@frozen
class Step:
    """Bytes that are written after a pause, in microseconds."""

    pause: int
    data: bytes


@frozen
class Answer:
    """What a server does with a request. `manner` also says how it ends."""

    manner: Manner
    steps: tuple[Step, ...]


def draw_manner(random: Random, trouble: bool, streaming: bool) -> Manner:
    """How the next request is answered."""
    weights = BAD_WEIGHTS if trouble else GOOD_WEIGHTS
    if streaming:
        weights = {manner: weight for manner, weight in weights.items() if manner in STREAM_MANNERS}
    return random.choices(list(weights), list(weights.values()))[0]


def make_answer(run: Run, manner: Manner, random: Random, pieces: int, last_answer: bytes) -> Answer:
    """The answer to a run; `pieces`: of a stream, 0: it is none. `last_answer`: the connection's last one."""
    if pieces and manner in (Manner.CHUNKED, Manner.CUT, Manner.RESET, Manner.SURPLUS):
        return Answer(manner, _stream(run, manner, random, pieces))
    work = random.choice((0, 2_000, 20_000, 60_000)) + random.randrange(3_000)
    data = _bytes(run, manner, random, last_answer)
    return Answer(manner, _portions(random, work, data))


def _stream(run: Run, manner: Manner, random: Random, pieces: int) -> tuple[Step, ...]:
    run.status = 200
    head = _head(run, "200 OK", ("Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
    steps = [Step(random.randrange(30_000), head)]
    numbers = range(run.after_event + 1, pieces + 1)
    events = [event_of(run, number, pieces) for number in numbers]
    run.answer = b"".join(events)
    stalls_at = random.choice(numbers) if numbers and random.random() < 0.1 else 0
    for number, event in zip(numbers, events, strict=True):
        pause = 1_500_000 if number == stalls_at else random.randrange(5_000, 90_000)
        steps.append(Step(pause, b"%x\r\n%b\r\n" % (len(event), event)))
    if manner in (Manner.CUT, Manner.RESET):
        return _cut_steps(steps, random)
    steps.append(Step(0, b"0\r\n\r\n"))
    if manner is Manner.SURPLUS:
        steps.append(Step(0, b"more"))
    return tuple(steps)


def event_of(run: Run, number: int, pieces: int) -> bytes:
    """One event of a stream."""
    return b"id: %d\ndata: %b piece %d of %d\n\n" % (number, run.stamp.encode(), number, pieces)


def _cut_steps(steps: list[Step], random: Random) -> tuple[Step, ...]:
    kept = steps[: random.randint(1, len(steps))]
    last = kept[-1]
    return (*kept[:-1], Step(last.pause, last.data[: random.randrange(1, len(last.data))]))


def _bytes(run: Run, manner: Manner, random: Random, last_answer: bytes) -> bytes:
    if manner is Manner.REJECTED:
        run.executed, run.status = False, 503
        extra = ("X-Brackenladder-Not-Executed: true", "Content-Length: 0")
        return _head(run, "503 Service Unavailable", extra)
    if manner in (Manner.FAILED, Manner.PROMISED):
        run.status = 500 if manner is Manner.FAILED else 503
        return _head(run, f"{run.status} Trouble", ("Content-Length: 0",))
    if manner is Manner.GARBLED:
        return random.choice((b"\x16\x03\x01\x00\x00", b"HTTP/1.1 banana\r\n\r\n", b"SSH-2.0-x\r\n"))
    run.status = 200
    run.answer = _body(run, random)
    whole = _framed(run, manner)
    if manner in (Manner.CUT, Manner.RESET):
        return whole[: random.randrange(1, len(whole))]
    before = {
        Manner.INTERIM: b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
        Manner.STALE: last_answer,
    }
    after = {Manner.SECOND: whole, Manner.SURPLUS: b"HTTP/1.1 2"}
    return before.get(manner, b"") + whole + after.get(manner, b"")


def _framed(run: Run, manner: Manner) -> bytes:
    body = run.answer
    if manner is Manner.CHUNKED:
        half = len(body) // 2
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:]) if part)
        return _head(run, "200 OK", ("Transfer-Encoding: chunked",)) + chunks + b"0\r\n\r\n"
    if manner in (Manner.UNFRAMED, Manner.UNFRAMED_RESET):
        return _head(run, "200 OK", ("Connection: close",)) + body
    extra = ("Connection: close",) if manner is Manner.LAST else ()
    head = _head(run, "200 OK", (f"Content-Length: {len(body)}", *extra), manner is not Manner.NAMELESS)
    return head + body


def _head(run: Run, status: str, extra: tuple[str, ...], named: bool = True) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"X-Brackenladder-Response-Signature: {run.stamp}", KEEP_ALIVE, *extra]
    if named:
        lines.append(f"X-Brackenladder-Request-Id: {run.request_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _body(run: Run, random: Random) -> bytes:
    size = random.choice((0, 10, 10, 300, 300, 5_000, 5_000, LONG_BODY))
    if random.random() < 0.01:
        size = OPEN_BODY
    line = run.stamp.encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]


def _portions(random: Random, work: int, data: bytes) -> tuple[Step, ...]:
    """The bytes in a few writes; the rest of them follow some milliseconds behind."""
    steps: list[Step] = []
    pause = work
    while data:
        size = len(data) if random.random() < 0.6 else random.randint(1, len(data))
        steps.append(Step(pause, data[:size]))
        data = data[size:]
        pause = random.randrange(15_000)
    return tuple(steps)
