"""Finds where each response on a server connection ends, so that surplus bytes never reach the parser."""

from __future__ import annotations

import re
from enum import Enum, auto

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
NO_BODY_STATUSES = frozenset((204, 304))
LARGEST_HEAD = 262_144  # bytes; a longer head is left to the parser, which refuses it

_STATUS = re.compile(rb"HTTP/1\.[0-9] ([0-9]{3})")
_LENGTH = re.compile(rb"\r\nContent-Length:[ \t]*([0-9]{1,18})[ \t]*\r\n", re.IGNORECASE)
_CHUNKED = re.compile(rb"\r\nTransfer-Encoding:[^\r]*chunked[ \t]*\r\n", re.IGNORECASE)


class _Part(Enum):
    HEAD = auto()
    COUNTED = auto()  # a body with a Content-Length
    CHUNKS = auto()
    UNTIL_CLOSE = auto()  # no length is known: every byte until the connection closes belongs to the body


class AnswerFraming:
    """Finds the ends of heads and bodies in the bytes of a connection.

    `joined` says that a head holds a second status line: the start of one response and the head of another.
    `ended` says after each `take` whether the end of a body was reached. For a chunked body this is a guess
    (`guessed`), since a chunk may contain the bytes of the last chunk; the parser decides.
    """

    __slots__ = ("_without_body", "_part", "_head", "_left", "_last", "ended", "guessed", "joined")

    def __init__(self, without_body: bool) -> None:
        self._without_body = without_body  # the request was a HEAD, so the response has no body
        self.joined = False
        self.restart()

    @property
    def until_close(self) -> bool:
        """Whether the current body has no known length and ends when its connection closes."""
        return self._part is _Part.UNTIL_CLOSE

    def restart(self) -> None:
        """Expect the head of the next response."""
        self._part = _Part.HEAD
        self._head = b""
        self._left = 0
        self._last = b""
        self.ended = False
        self.guessed = False

    def take(self, data: bytes, begin: int) -> int:
        """The index in `data` at which the part that starts at `begin` ends; at most `len(data)`."""
        if self._part is _Part.HEAD:
            return self._take_head(data, begin)
        if self._part is _Part.COUNTED:
            return self._take_counted(data, begin)
        if self._part is _Part.CHUNKS:
            return self._take_chunks(data, begin)
        return len(data)

    def _take_head(self, data: bytes, begin: int) -> int:
        known = len(self._head)
        self._head += data[begin:]
        found = self._head.find(HEAD_END, max(0, known - len(HEAD_END)))
        if found < 0:
            if len(self._head) > LARGEST_HEAD:
                self._part = _Part.UNTIL_CLOSE
            return len(data)
        end = found + len(HEAD_END)
        self._read_head(self._head[:end])
        self._head = b""
        return begin + end - known

    def _read_head(self, head: bytes) -> None:
        status = _STATUS.match(head)
        self.joined = _STATUS.search(head, 1) is not None
        number = int(status[1]) if status else 0
        length = _LENGTH.search(head)
        if self._without_body or number in NO_BODY_STATUSES or 100 <= number < 200:
            self.ended = True
        elif _CHUNKED.search(head):
            self._part = _Part.CHUNKS
        elif length is not None:
            self._part = _Part.COUNTED
            self._left = int(length[1])
            self.ended = self._left == 0
        else:
            self._part = _Part.UNTIL_CLOSE

    def _take_counted(self, data: bytes, begin: int) -> int:
        size = min(self._left, len(data) - begin)
        self._left -= size
        self.ended = self._left == 0
        return begin + size

    def _take_chunks(self, data: bytes, begin: int) -> int:
        window = self._last + data[begin:] if self._last or begin else data
        found = window.find(LAST_CHUNK)
        self.ended = self.guessed = found >= 0
        end = found + len(LAST_CHUNK) if found >= 0 else len(window)
        taken = end - len(self._last)
        self._last = window[max(0, end - len(LAST_CHUNK) + 1) : end]
        return begin + taken
