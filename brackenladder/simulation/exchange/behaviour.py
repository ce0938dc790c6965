"""Draws how a server answers: the bytes, the portions in which it writes them, and how the answer ends."""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from attrs import frozen

from brackenladder.simulation.exchange.history import Run
from brackenladder.simulation.exchange.site import NOT_RUN_STATUSES

LONG_BODY = 150_000  # bytes of a long response body
OPEN_BODY = 1_200_000  # bytes; large enough that gateways relay it while they receive it
KEEP_ALIVE = "Keep-Alive: timeout=2"


class AnswerKind(Enum):
    """The kinds of correct and faulty responses."""

    WHOLE = auto()
    CHUNKED = auto()
    INTERIM = auto()  # preceded by one or two 1xx responses
    LAST = auto()  # the connection is closed after the response
    REJECTED = auto()  # the server states that it has not executed the request
    REJECTED_LATE = auto()  # rejected when its deadline has passed in the server's queue
    FAILED = auto()  # status 500
    TIMED_OUT = auto()  # status 504 at the deadline; it may have run
    PROMISED = (
        auto()
    )  # runs, and has a status for requests that have not run, without the header that says so
    CUT = auto()  # the connection is closed in the middle of the response
    RESET = auto()  # the connection is reset in the middle of the response
    DROPPED = auto()  # the connection is reset before the first byte
    SILENT = auto()
    SECOND = auto()  # the response is sent twice
    SURPLUS = auto()  # followed by bytes that are no response
    STALE = auto()  # preceded by a response to another request
    NAMELESS = auto()  # without a request id
    GARBLED = auto()  # bytes that are not HTTP
    UNFRAMED = auto()  # has no length and ends with the connection
    UNFRAMED_RESET = auto()  # has no length, and the connection is reset


HEALTHY_WEIGHTS = {
    AnswerKind.WHOLE: 50.0,
    AnswerKind.CHUNKED: 15.0,
    AnswerKind.UNFRAMED: 6.0,
    AnswerKind.LAST: 3.0,
    AnswerKind.REJECTED: 4.0,
    AnswerKind.INTERIM: 3.0,
    AnswerKind.FAILED: 2.0,
    AnswerKind.TIMED_OUT: 0.5,
    AnswerKind.REJECTED_LATE: 0.5,
    AnswerKind.SECOND: 1.0,
    AnswerKind.SURPLUS: 1.0,
    AnswerKind.RESET: 1.0,
    AnswerKind.DROPPED: 1.0,
}
MISBEHAVING_WEIGHTS = {
    **dict.fromkeys(AnswerKind, 3.0),
    AnswerKind.WHOLE: 15.0,
    AnswerKind.CHUNKED: 8.0,
}
# Kinds that an event stream takes: its head, then event after event.
STREAMED_KINDS = frozenset(
    (
        AnswerKind.CHUNKED,
        AnswerKind.INTERIM,
        AnswerKind.LAST,
        AnswerKind.CUT,
        AnswerKind.RESET,
        AnswerKind.SECOND,
        AnswerKind.SURPLUS,
        AnswerKind.STALE,
        AnswerKind.NAMELESS,
        AnswerKind.UNFRAMED,
        AnswerKind.UNFRAMED_RESET,
    )
)
UNFRAMED_KINDS = frozenset((AnswerKind.UNFRAMED, AnswerKind.UNFRAMED_RESET))
# Kinds of a request for a stream that are written as a whole; a stream has no length.
UNSTREAMED_KINDS = frozenset(AnswerKind) - STREAMED_KINDS - {AnswerKind.WHOLE}
STREAM_ANSWER_KINDS = STREAMED_KINDS | UNSTREAMED_KINDS
REJECTED_KINDS = frozenset((AnswerKind.REJECTED, AnswerKind.REJECTED_LATE))
DEADLINE_KINDS = frozenset((AnswerKind.REJECTED_LATE, AnswerKind.TIMED_OUT))
INTERIM_HEADS = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
DEADLINE_SLACK = 20_000  # microseconds around the deadline in which a server answers that it has passed


@frozen
class Step:
    """Bytes to write after a pause in microseconds."""

    pause: int
    data: bytes


@frozen
class Answer:
    """What a server writes for a request. `answer_kind` also tells how to end the connection."""

    answer_kind: AnswerKind
    steps: tuple[Step, ...]


def draw_answer_kind(random: Random, misbehaves: bool, streaming: bool) -> AnswerKind:
    """Weighted draw by whether the server misbehaves; `streaming` allows only `STREAM_ANSWER_KINDS`."""
    weights = MISBEHAVING_WEIGHTS if misbehaves else HEALTHY_WEIGHTS
    if streaming:
        weights = {
            answer_kind: weight
            for answer_kind, weight in weights.items()
            if answer_kind in STREAM_ANSWER_KINDS
        }
    return random.choices(list(weights), list(weights.values()))[0]


def make_answer(
    run: Run, answer_kind: AnswerKind, random: Random, event_count: int, last_answer: bytes
) -> Answer:
    """Builds the response to a run.

    `event_count`: number of events of a stream, or 0 for other responses; `last_answer`: the previous
    response on the same connection.
    """
    if event_count and answer_kind in STREAMED_KINDS:
        return Answer(answer_kind, _stream(run, answer_kind, random, event_count, last_answer))
    work = random.choice((0, 2_000, 20_000, 60_000)) + random.randrange(3_000)
    if answer_kind in DEADLINE_KINDS:
        work = max(0, run.deadline_ms * 1000 + random.randint(-DEADLINE_SLACK, DEADLINE_SLACK))
    data = _bytes(run, answer_kind, random, last_answer)
    return Answer(answer_kind, _portions(random, work, data))


def _stream(
    run: Run, answer_kind: AnswerKind, random: Random, event_count: int, last_answer: bytes
) -> tuple[Step, ...]:
    run.status = 200
    unframed = answer_kind in UNFRAMED_KINDS
    head = _before(answer_kind, last_answer) + _stream_head(run, answer_kind)
    steps = [Step(random.randrange(30_000), head)]
    numbers = range(run.after_event + 1, event_count + 1)
    events = [encode_event(run, number, event_count) for number in numbers]
    run.answer = b"".join(events)
    stalls_at = random.choice(numbers) if numbers and random.random() < 0.1 else 0
    for number, event in zip(numbers, events, strict=True):
        pause = 1_500_000 if number == stalls_at else random.randrange(5_000, 90_000)
        if unframed:
            steps += _event_in_parts(random, pause, event)
        else:
            steps.append(Step(pause, b"%x\r\n%b\r\n" % (len(event), event)))
    if answer_kind in (AnswerKind.CUT, AnswerKind.RESET, AnswerKind.UNFRAMED_RESET):
        return _cut_steps(steps, random)
    if unframed:
        return tuple(steps)
    steps.append(Step(0, b"0\r\n\r\n"))
    if answer_kind is AnswerKind.SURPLUS:
        steps.append(Step(0, b"more"))
    if answer_kind is AnswerKind.SECOND:
        steps.append(Step(0, b"".join(step.data for step in steps)))
    return tuple(steps)


def _stream_head(run: Run, answer_kind: AnswerKind) -> bytes:
    framing = ["Connection: close" if answer_kind in UNFRAMED_KINDS else "Transfer-Encoding: chunked"]
    if answer_kind is AnswerKind.LAST:
        framing.append("Connection: close")
    named = answer_kind is not AnswerKind.NAMELESS
    return _head(run, "200 OK", ("Content-Type: text/event-stream", *framing), named)


def _before(answer_kind: AnswerKind, last_answer: bytes) -> bytes:
    """What a server sends before the answer to the request."""
    return {AnswerKind.INTERIM: INTERIM_HEADS, AnswerKind.STALE: last_answer}.get(answer_kind, b"")


def _event_in_parts(random: Random, pause: int, event: bytes) -> tuple[Step, Step]:
    middle = random.randrange(1, len(event))
    return Step(pause, event[:middle]), Step(random.randrange(30_000), event[middle:])


def encode_event(run: Run, number: int, event_count: int) -> bytes:
    """Encodes one event of a stream."""
    return b"id: %d\ndata: %b piece %d of %d\n\n" % (number, run.signature.encode(), number, event_count)


def _cut_steps(steps: list[Step], random: Random) -> tuple[Step, ...]:
    kept = steps[: random.randint(1, len(steps))]
    last = kept[-1]
    return (*kept[:-1], Step(last.pause, last.data[: random.randrange(len(last.data))]))


def _bytes(run: Run, answer_kind: AnswerKind, random: Random, last_answer: bytes) -> bytes:
    if answer_kind in REJECTED_KINDS:
        run.executed, run.status = False, random.choice(NOT_RUN_STATUSES)
        extra = ("X-Brackenladder-Not-Executed: true",)
        return _head(run, f"{run.status} Rejected", extra, last=("Content-Length: 0",))
    if answer_kind in (AnswerKind.FAILED, AnswerKind.TIMED_OUT, AnswerKind.PROMISED):
        failures = {AnswerKind.FAILED: 500, AnswerKind.TIMED_OUT: 504}
        run.status = failures.get(answer_kind) or random.choice(NOT_RUN_STATUSES)
        return _head(run, f"{run.status} Trouble", ("Content-Length: 0",))
    if answer_kind is AnswerKind.GARBLED:
        return random.choice((b"\x16\x03\x01\x00\x00", b"HTTP/1.1 banana\r\n\r\n", b"SSH-2.0-x\r\n"))
    run.status = 200
    run.answer = _body(run, random)
    complete = _framed(run, answer_kind)
    if answer_kind in (AnswerKind.CUT, AnswerKind.RESET):
        return complete[: random.randrange(1, len(complete))]
    after = {AnswerKind.SECOND: complete, AnswerKind.SURPLUS: b"HTTP/1.1 2"}
    return _before(answer_kind, last_answer) + complete + after.get(answer_kind, b"")


def _framed(run: Run, answer_kind: AnswerKind) -> bytes:
    body = run.answer
    if answer_kind is AnswerKind.CHUNKED:
        half = len(body) // 2
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:]) if part)
        return _head(run, "200 OK", ("Transfer-Encoding: chunked",)) + chunks + b"0\r\n\r\n"
    if answer_kind in UNFRAMED_KINDS:
        return _head(run, "200 OK", ("Connection: close",)) + body
    extra = ("Connection: close",) if answer_kind is AnswerKind.LAST else ()
    head = _head(
        run, "200 OK", (f"Content-Length: {len(body)}", *extra), answer_kind is not AnswerKind.NAMELESS
    )
    return head + body


def _head(
    run: Run, status: str, extra: tuple[str, ...], named: bool = True, last: tuple[str, ...] = ()
) -> bytes:
    lines = [f"HTTP/1.1 {status}", *extra, f"X-Brackenladder-Response-Signature: {run.signature}", KEEP_ALIVE]
    if named:
        lines.append(f"X-Brackenladder-Request-Id: {run.request_id}")
    lines += last
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _body(run: Run, random: Random) -> bytes:
    size = random.choice((0, 10, 10, 300, 300, 5_000, 5_000, LONG_BODY))
    if random.random() < 0.01:
        size = OPEN_BODY
    line = run.signature.encode() + b"\n"
    return (line * (size // len(line) + 1))[:size]


def _portions(random: Random, work: int, data: bytes) -> tuple[Step, ...]:
    """Splits data into a few writes. The first follows after `work`, the others some milliseconds later."""
    steps: list[Step] = []
    pause = work
    while data:
        size = len(data) if random.random() < 0.6 else random.randint(1, len(data))
        steps.append(Step(pause, data[:size]))
        data = data[size:]
        pause = random.randrange(15_000)
    return tuple(steps)
