"""Client for the operator API of the control nodes.

A call is tried at one node after the other until a node answers definitely or time runs out.
"""

from __future__ import annotations

import asyncio
import json
import os
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import aiohttp
from attrs import frozen
from returns.result import Failure, Result, Success

from brackenladder.catalog.structuring import structure
from brackenladder.control_plane.operator_api import BASE_VERSION_HEADER
from brackenladder.control_plane.status import ControlStatus
from brackenladder.operator_client.errors import ControlError, NoAnswer, Refusal

# Limit of one request. A control node may wait 2.5 s for the outcome of a change before it answers that
# the outcome is unknown.
CALL_TIMEOUT_SECONDS = 4.0
DEFAULT_TIMEOUT_SECONDS = 15.0
FIRST_RETRY_PAUSE_SECONDS = 0.1
MAX_RETRY_PAUSE_SECONDS = 1.0
MAX_REDIRECTS = 2
RETRYABLE_STATUSES = frozenset({408, 429})  # these and every 5xx: another node may have a definite answer


@frozen
class Answer:
    """The HTTP answer of a control node."""

    status: int
    body: bytes
    node: str

    @property
    def document(self) -> Any:
        """The JSON object in the body, empty if the body is not one."""
        try:
            document = json.loads(self.body)
        except ValueError:
            return {}
        return document if isinstance(document, dict) else {}


class ControlClient:
    """Calls the operator API of several control nodes. Used with `async with`."""

    def __init__(self, nodes: tuple[str, ...], timeout_s: float = DEFAULT_TIMEOUT_SECONDS) -> None:
        self._nodes = nodes
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> ControlClient:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS))
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self._session.close()

    async def status(self) -> Result[ControlStatus, ControlError]:
        """Returns the status from the first node that answers."""
        answer = await self.call("GET", "/-/Status")
        return answer.bind(_read_status)

    async def statuses(self) -> dict[str, Result[ControlStatus, str]]:
        """Asks each node once for its status. A failure says why a node gave none."""
        answers = await asyncio.gather(
            *(self._call_node(node, "GET", "/-/Status", b"", None) for node in self._nodes)
        )
        return {
            node: answer.bind(lambda received: _read_status(received).alt(str))
            for node, answer in zip(self._nodes, answers, strict=True)
        }

    async def fetch(self) -> Result[bytes, ControlError]:
        """Returns the newest configuration as it was submitted, empty if there is none yet."""
        answer = await self.call("GET", "/-/Config.Fetch", accepted=frozenset({HTTPStatus.NOT_FOUND}))
        return answer.map(lambda received: received.body if received.status == HTTPStatus.OK else b"")

    async def replace(self, base: int, body: bytes) -> Result[int, ControlError]:
        """Replaces the whole configuration and returns the new version."""
        return (await self.call("POST", "/-/Config.Replace", body, base)).map(_acknowledged_version)

    async def update(self, base: int, body: bytes) -> Result[int, ControlError]:
        """Changes single items by name and returns the new version."""
        return (await self.call("POST", "/-/Config.Update", body, base)).map(_acknowledged_version)

    async def evacuate(self, zone: str, finish: bool = False) -> Result[None, ControlError]:
        """Begins or finishes the evacuation of a zone."""
        path = f"/-/Evacuations.{'Finish' if finish else 'Begin'}/{quote(zone, safe='')}"
        return (await self.call("POST", path)).map(lambda _: None)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        base: int | None = None,
        accepted: frozenset[int] = frozenset(),
    ) -> Result[Answer, ControlError]:
        """Returns the first definite answer: a 200, a status in `accepted`, or a refusal."""
        last_problem = "nothing was tried"
        pause = FIRST_RETRY_PAUSE_SECONDS
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        while True:
            for node in self._nodes:
                match await self._call_node(node, method, path, body, base):
                    case Success(answer):
                        return _definite_result(answer, accepted)
                    case Failure(problem):
                        last_problem = problem
                if loop.time() >= deadline:
                    return Failure(NoAnswer(self._nodes, last_problem))
            await asyncio.sleep(min(pause, max(0.0, deadline - loop.time())))
            pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)

    async def _call_node(
        self, node: str, method: str, path: str, body: bytes, base: int | None
    ) -> Result[Answer, str]:
        """Calls one node once. Fails if the answer is not definite, so that another node should be asked."""
        headers = {} if base is None else {BASE_VERSION_HEADER: str(base)}
        try:
            async with self._session.request(
                method, f"http://{node}{path}", data=body, headers=headers, max_redirects=MAX_REDIRECTS
            ) as received:
                answer = Answer(received.status, await received.read(), node)
        except TimeoutError:
            return Failure(f"{node}: no answer within {CALL_TIMEOUT_SECONDS:g} s")
        except (aiohttp.ClientError, OSError) as error:
            return Failure(f"{node}: {_reason(error)}")
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR or answer.status in RETRYABLE_STATUSES:
            return Failure(f"{node}: {answer.document.get('Error', f'status {answer.status}')}")
        return Success(answer)


def _reason(error: Exception) -> str:
    if isinstance(error, OSError) and error.errno:
        return os.strerror(error.errno)
    return str(error) or type(error).__name__


def _definite_result(answer: Answer, accepted: frozenset[int]) -> Result[Answer, ControlError]:
    if answer.status == HTTPStatus.OK or answer.status in accepted:
        return Success(answer)
    if answer.status == HTTPStatus.PRECONDITION_FAILED:
        reason = f"version {answer.document.get('Version', '?')} is in force, not the one that this builds on"
        return Failure(Refusal(answer.status, (reason,)))
    error = answer.document.get("Error", [])
    reasons = [error] if isinstance(error, str) else error
    return Failure(Refusal(answer.status, tuple(str(reason) for reason in reasons)))


def _acknowledged_version(answer: Answer) -> int:
    return int(answer.document.get("Version", 0))


def _read_status(answer: Answer) -> Result[ControlStatus, ControlError]:
    match structure(ControlStatus, answer.document):
        case Success(status):
            return Success(status)
        case faults:
            reasons = tuple(str(fault) for fault in faults.failure())
            return Failure(
                Refusal(answer.status, (f"{answer.node}: the status of another build", *reasons[:1]))
            )
