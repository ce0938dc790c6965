"""The configuration document on its way: compressing it, and parsing it once however often it is told."""

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

COMPRESS_ABOVE = 4096  # bytes


@frozen
class PackedDocument:
    """A document as it is sent."""

    data: bytes = b""
    compressed: bool = False


def pack(document: bytes) -> PackedDocument:
    """Compress a document if it is long."""
    if len(document) <= COMPRESS_ABOVE:
        return PackedDocument(document)
    return PackedDocument(zlib.compress(document), compressed=True)


def parse_document(document: bytes) -> Result[Configuration, object]:
    """Parse a document as the catalog holds it."""
    from brackenladder.catalog.configuration import parse_configuration

    return parse_configuration(document)


class CatalogReader:
    """Turns updates into configurations; keeps the newest one."""

    def __init__(self, parse: DocumentParser = parse_document) -> None:
        self.configuration: Configuration | None = None
        self.unreadable_revision = 0  # the newest whose document could not be parsed; 0: none
        self._parse = parse
        self._revision = 0  # of the newest update that was read

    def read(self, update: CatalogUpdate) -> bool:
        """Take a newer update; False if it leaves out a document that is not here.

        A document that cannot be parsed, which only a newer program would send, leaves the configuration as
        it was: what else the update tells still holds.
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
