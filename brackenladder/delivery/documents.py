"""Compression of the configuration document, and parsing it once even if several control nodes send it."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen
from returns.result import Result

from brackenladder.delivery.messages import CatalogUpdate

if TYPE_CHECKING:
    from brackenladder.catalog.configuration import Configuration

DocumentParser = Callable[[bytes], "Result[Configuration, object]"]

COMPRESS_ABOVE = 4096  # bytes; longer documents are compressed


@frozen
class PackedDocument:
    """A document in the form in which it is sent."""

    data: bytes = b""
    compressed: bool = False


def pack(document: bytes) -> PackedDocument:
    """Compress a document that is longer than `COMPRESS_ABOVE`."""
    if len(document) <= COMPRESS_ABOVE:
        return PackedDocument(document)
    return PackedDocument(zlib.compress(document), compressed=True)


def parse_document(document: bytes) -> Result[Configuration, object]:
    """Parse a configuration document."""
    from brackenladder.catalog.configuration import parse_configuration

    return parse_configuration(document)


class CatalogReader:
    """Parses the documents of catalog updates; keeps the newest configuration."""

    def __init__(self, parse: DocumentParser = parse_document) -> None:
        self.configuration: Configuration | None = None
        self.unreadable_revision = 0  # the newest revision whose document could not be parsed; 0: none
        self._parse = parse
        self._revision = 0  # revision of the newest update that was read

    def read(self, update: CatalogUpdate) -> bool:
        """Read a newer update; False if it omits a document that is not known here.

        A document that cannot be parsed, which only a newer program version would send, leaves the
        configuration unchanged; the rest of the update still applies.
        """
        if update.document_revision > self._revision:
            if not update.document:
                return False
            self._read_document(update)
        self._revision = update.revision
        return True

    def _read_document(self, update: CatalogUpdate) -> None:
        configuration = self._configuration(update)
        if configuration is None:
            self.unreadable_revision = update.document_revision
        else:
            self.configuration = configuration

    def _configuration(self, update: CatalogUpdate) -> Configuration | None:
        try:
            document = zlib.decompress(update.document) if update.compressed else update.document
        except zlib.error:
            return None
        return self._parse(document).value_or(None)
