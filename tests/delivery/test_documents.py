"""Packing, sending and reading the configuration document."""

from __future__ import annotations

import unittest

from returns.result import Failure

from brackenladder.delivery.documents import CatalogReader, pack, parse_document
from brackenladder.delivery.messages import CatalogUpdate

DOCUMENT = (
    b'{"Version":7,"Routes":[{"Name":"r","Hostname":"a.example","PathPrefix":"/x/","Kind":"safe",'
    b'"TimeoutMs":4000,"TargetLatencyMs":800,"Priority":0,"Backend":"s","MaxAttempts":2}],'
    b'"Services":[{"Name":"s","HealthPath":"/healthz","MaxConnections":36}],'
    b'"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}'
)


class CatalogReaderTest(unittest.TestCase):
    def test_a_document_becomes_a_configuration(self) -> None:
        reader = CatalogReader()
        packed = pack(DOCUMENT)
        self.assertTrue(reader.read(CatalogUpdate(1, 1, packed.data, packed.compressed)))
        configuration = reader.configuration
        assert configuration is not None
        self.assertEqual(configuration.version, 7)
        self.assertEqual([route.name for route in configuration.routes], ["r"])

    def test_parsing_an_invalid_document_fails(self) -> None:
        self.assertIsInstance(parse_document(b"no document"), Failure)
