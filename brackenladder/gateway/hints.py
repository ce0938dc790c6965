"""Reads a request's optional headers. A value that can't be parsed counts as absent."""

from __future__ import annotations

import re

from multidict import CIMultiDictProxy

from brackenladder.catalog.configuration import Route, RouteKind
from brackenladder.gateway.headers import MODEL, PROMPT_PREFIX, REQUEST_DEADLINE, TOKEN_USAGE
from brackenladder.placement.traits import CallTraits, PromptPart

MAX_PARTS = 64  # parts of a prompt; a header that names more is ignored
MAX_TOKENS = 100_000_000
MAX_DEADLINE_MS = 86_400_000

_NUMBER = re.compile(r"[0-9]{1,12}")
_USAGE = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")
_PART = re.compile(r"\s*([0-9A-Fa-f]{1,64}):([0-9]{1,9})\s*")


def read_deadline_ms(headers: CIMultiDictProxy[str]) -> int | None:
    """The client's timeout in milliseconds; None if it announces none."""
    value = headers.get(REQUEST_DEADLINE)
    if value is None:
        return None
    value = value.strip()
    if not _NUMBER.fullmatch(value):
        return None
    return min(int(value), MAX_DEADLINE_MS)


def read_prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    """The parts of a prompt in order, parsed from "ID:TOKENS,ID:TOKENS"."""
    if not value:
        return ()
    words = value.split(",")
    if len(words) > MAX_PARTS:
        return ()
    parts = []
    for word in words:
        match = _PART.fullmatch(word)
        if match is None:
            return ()
        parts.append(PromptPart(match[1].lower(), int(match[2])))
    return tuple(parts)


def read_traits(
    headers: CIMultiDictProxy[str],
    route: Route,
    exclude: frozenset[str] = frozenset(),
    request_bytes: int = 0,
) -> CallTraits:
    """The properties of a request that determine the choice of a server."""
    usage = _USAGE.fullmatch(headers.get(TOKEN_USAGE, ""))
    parts = read_prompt_parts(headers.get(PROMPT_PREFIX))
    prompt_tokens = int(usage[1]) if usage else sum([part.tokens for part in parts])
    return CallTraits(
        route=route,
        parts=parts,
        prompt_tokens=min(prompt_tokens, MAX_TOKENS),
        output_tokens=int(usage[2]) if usage else 0,
        request_bytes=request_bytes,
        model=headers.get(MODEL, ""),
        idempotent=is_idempotent(route),
        exclude=exclude,
    )


def is_idempotent(route: Route) -> bool:
    """Whether requests of this route may run more than once."""
    if route.kind is RouteKind.STREAMING:
        return route.resumable
    return route.kind is RouteKind.SAFE
