"""Parses HTTP responses from a client's connection in pieces of any size and detects how each one ends."""

from __future__ import annotations

from enum import Enum, auto

HEAD_END = b"\r\n\r\n"
NO_BODY = frozenset((204, 304))


class Framing(Enum):
    """How the end of a body is determined."""

    COUNTED = auto()
    CHUNKED = auto()
    CLOSED = auto()  # the end of the connection ends the body


class NoAnswer(Exception):
    """The data is not a valid response."""


class AnswerReader:
    """Parses the data of one connection. `status` is 0 until the head of a response has been received."""

    def __init__(self) -> None:
        self._data = b""
        self._begin()

    def _begin(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self._framing = Framing.COUNTED
        self._left = 0
        self._in_chunk = False

    @property
    def started(self) -> bool:
        """Whether any byte of the next response has been received."""
        return bool(self._data or self.status)

    def feed(self, data: bytes) -> None:
        """Parses data; raises `NoAnswer` if it is not a valid response."""
        self._data += data
        while not self.complete and self._step():
            pass

    def next(self) -> None:
        """Discards the current response. Remaining data belongs to the next one."""
        self._begin()

    def ended(self) -> bool:
        """Handles the end of the connection and returns whether the response is complete."""
        self.complete = self.complete or (self.status > 0 and self._framing is Framing.CLOSED)
        return self.complete

    def _step(self) -> bool:
        if not self.status:
            return self._read_head()
        if self._framing is Framing.CHUNKED:
            return self._read_chunk()
        size = self._left if self._framing is Framing.COUNTED else len(self._data)
        part, self._data = self._data[:size], self._data[size:]
        self.body += part
        if self._framing is Framing.COUNTED:
            self._left -= len(part)
            self.complete = self._left == 0
        return False

    def _read_head(self) -> bool:
        head, found, rest = self._data.partition(HEAD_END)
        if not found:
            return False
        first, *lines = head.decode("latin-1").split("\r\n")
        parts = first.split(" ", 2)
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
            raise NoAnswer(first)
        self._data = rest
        status = int(parts[1])
        if status < 200:
            return bool(rest)
        self.status = status
        self.headers = {
            name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
        }
        self._set_framing()
        return not self.complete

    def _set_framing(self) -> None:
        if "chunked" in self.headers.get("transfer-encoding", ""):
            self._framing = Framing.CHUNKED
        elif "content-length" in self.headers:
            self._left = int(self.headers["content-length"])
            self.complete = self._left == 0
        elif self.status in NO_BODY:
            self.complete = True
        else:
            self._framing = Framing.CLOSED

    def _read_chunk(self) -> bool:
        if not self._in_chunk:
            return self._read_size()
        if len(self._data) < self._left + 2:
            return False
        self.body += self._data[: self._left]
        self._data = self._data[self._left + 2 :]
        self._in_chunk = False
        self.complete = self._left == 0
        return True

    def _read_size(self) -> bool:
        line, found, rest = self._data.partition(b"\r\n")
        if not found:
            return False
        try:
            self._left = int(line, 16)
        except ValueError:
            raise NoAnswer(line.decode("latin-1")) from None
        self._data = rest
        self._in_chunk = True
        return True
