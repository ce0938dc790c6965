"""Parsing of configurations: fields, defaults, and each kind of fault with its location."""

from __future__ import annotations

import unittest
from pathlib import PurePosixPath
from typing import Any

from catalog_samples import Document, full_configuration, route, text
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from brackenladder.catalog.configuration import (
    Configuration,
    ConfigurationParser,
    EngineSpec,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
    parse_configuration,
    parse_document,
)
from brackenladder.catalog.faults import ConfigurationFault, FaultKind


def parsed(document: Document) -> Configuration:
    return parse_configuration(text(document)).unwrap()


def faults(document: object) -> tuple[ConfigurationFault, ...]:
    return parse_configuration(text(document)).failure()


def fault_locations(document: object) -> dict[str, FaultKind]:
    return {fault.location: fault.kind for fault in faults(document)}


def with_route(**changes: Any) -> Document:
    document = full_configuration()
    document["Routes"][1] |= changes
    return document


def without_route_field(field: str) -> Document:
    document = full_configuration()
    del document["Routes"][1][field]
    return document


class ValidConfigurations(unittest.TestCase):
    def test_every_field_is_read(self) -> None:
        configuration = parsed(full_configuration())
        chat, bulk = configuration.routes
        self.assertEqual(configuration.version, 7)
        self.assertEqual(
            chat,
            Route(
                name="r-chat",
                host="ficu95.example",
                prefix="/pufi791/",
                kind=RouteKind.STREAMING,
                timeout_ms=3000,
                target_latency_ms=600,
                priority=0,
                split=(Target("model", 1.0),),
                max_attempts=2,
                sticky=True,
                resumable=True,
                gap_aim_ms=400,
                homes=("tt-north", "tt-south"),
            ),
        )
        self.assertEqual(bulk.split, (Target("model", 90), Target("cards", 10)))
        self.assertEqual(bulk.homes, ())
        engine = EngineSpec(64, 238350, 4, ("m",), 327680, 180000.0)
        self.assertEqual(
            configuration.services,
            (
                Service("model", "/healthz", 360, 3_000_000, 9.9, engine),
                Service("cards", "/healthz", 100, 0, 0.0, None),
            ),
        )
        self.assertEqual(configuration.limits, Limits(16384, 4194304, 3000, 15000))

    def test_optional_fields_may_be_missing(self) -> None:
        document = {
            "Version": 1,
            "Routes": [{"Name": "r", "Hostname": "h", "PathPrefix": "/", "TimeoutMs": 250, "Backend": "s"}],
            "Services": [{"Name": "s"}],
        }
        configuration = parsed(document)
        (only,) = configuration.routes
        self.assertEqual(only, Route("r", "h", "/", RouteKind.UNSAFE, 250, 250, split=(Target("s", 1.0),)))
        self.assertEqual(configuration.services, (Service("s"),))
        self.assertEqual(configuration.limits, Limits())

    def test_optional_fields_may_be_null(self) -> None:
        optional = (
            "Kind TargetLatencyMs Priority TrafficSplit MaxAttempts Sticky Resumable gap_aim_ms HomeRegions"
        )
        document = full_configuration(Routes=[route("r", **dict.fromkeys(optional.split()))], Limits=None)
        for field in ("HealthPath", "MaxConnections", "ColdStartS", "ColdPerS", "Engine"):
            document["Services"][0][field] = None
        configuration = parsed(document)
        self.assertEqual(configuration.routes[0].split, (Target("cards", 1.0),))
        self.assertEqual(configuration.services[0], Service("model"))

    def test_no_routes_and_no_services_is_valid(self) -> None:
        self.assertEqual(parsed({"Version": 1, "Routes": [], "Services": []}), Configuration(1, (), ()))

    def test_unknown_fields_are_ignored(self) -> None:
        document = full_configuration(Tenants=[{"Name": "t", "Quota": 3}], Remark={"a": [1, None]})
        document["Routes"][0]["Colour"] = "red"
        document["Services"][0]["Engine"]["Colour"] = ["red"]
        self.assertEqual(parsed(document), parsed(full_configuration()))

    def test_durations_may_be_fractions(self) -> None:
        configuration = parsed(with_route(TimeoutMs=15000.0, TargetLatencyMs=0.4, gap_aim_ms=12.5))
        bulk = configuration.routes[1]
        self.assertEqual((bulk.timeout_ms, bulk.target_latency_ms, bulk.gap_aim_ms), (15000, 1, 13))
        self.assertIs(type(bulk.timeout_ms), int)

    def test_integers_may_be_written_as_floats(self) -> None:
        configuration = parsed(full_configuration(version=9.0))  # type: ignore[arg-type]
        self.assertEqual((configuration.version, type(configuration.version)), (9, int))

    def test_unknown_route_kind_is_unsafe(self) -> None:
        self.assertIs(parsed(with_route(Kind="call")).routes[1].kind, RouteKind.UNSAFE)
        self.assertIs(parsed(with_route(Kind="safe")).routes[1].kind, RouteKind.SAFE)

    def test_target_with_weight_0_is_dropped(self) -> None:
        split = [{"Backend": "model", "Weight": 0}, {"Backend": "cards", "Weight": 0.5}]
        self.assertEqual(parsed(with_route(TrafficSplit=split)).routes[1].split, (Target("cards", 0.5),))

    def test_empty_split_uses_the_backend(self) -> None:
        bulk = parsed(with_route(TrafficSplit=[], Backend="cards")).routes[1]
        self.assertEqual(bulk.split, (Target("cards", 1.0),))

    def test_split_takes_precedence_over_backend(self) -> None:
        bulk = parsed(with_route(Backend="cards")).routes[1]
        self.assertEqual(bulk.split, (Target("model", 90), Target("cards", 10)))

    def test_host_is_normalised(self) -> None:
        self.assertEqual(parsed(with_route(Hostname="Ficu95.Example:8080")).routes[1].host, "ficu95.example")

    def test_limit_of_0_means_the_default(self) -> None:
        self.assertEqual(parsed(full_configuration(Limits={"IdleTimeoutMs": 0})).limits, Limits())


class Faults(unittest.TestCase):
    def assert_fault(self, document: object, location: str, kind: FaultKind) -> None:
        self.assertEqual(fault_locations(document), {location: kind})

    def test_truncated_document(self) -> None:
        body = text(full_configuration())
        for length in range(len(body)):
            (fault,) = parse_configuration(body[:length]).failure()
            self.assertEqual((fault.location, fault.kind), ("", FaultKind.MALFORMED))

    def test_other_json_values(self) -> None:
        for value in ([], [full_configuration()], "x", 7, None, True):
            self.assert_fault(value, "", FaultKind.MALFORMED)

    def test_unknown_service(self) -> None:
        split = [{"Backend": "model", "Weight": 1}, {"Backend": "gone", "Weight": 0}]
        location = "Routes[1].TrafficSplit[1].Backend"
        self.assert_fault(with_route(TrafficSplit=split), location, FaultKind.UNKNOWN_SERVICE)
        backend = with_route(TrafficSplit=None, Backend="gone")
        self.assert_fault(backend, "Routes[1].Backend", FaultKind.UNKNOWN_SERVICE)
        services = full_configuration()["Services"][:1]
        self.assert_fault(full_configuration(Services=services), location, FaultKind.UNKNOWN_SERVICE)

    def test_same_host_and_prefix(self) -> None:
        for host in ("ficu95.example", "FICU95.example", "ficu95.example:80"):
            document = with_route(Hostname=host, PathPrefix="/pufi791/")
            self.assert_fault(document, "Routes[1].PathPrefix", FaultKind.SAME_PLACE)

    def test_same_prefix_on_another_host_is_valid(self) -> None:
        self.assertEqual(len(parsed(with_route(Hostname="other", PathPrefix="/pufi791/")).routes), 2)

    def test_all_weights_0(self) -> None:
        for weights in ((0,), (0, 0), (0.0, 0)):
            split = [{"Backend": "model", "Weight": weight} for weight in weights]
            self.assert_fault(with_route(TrafficSplit=split), "Routes[1].TrafficSplit", FaultKind.NO_WEIGHT)

    def test_invalid_weights(self) -> None:
        weights = {
            -1: FaultKind.OUT_OF_RANGE,
            10**400: FaultKind.OUT_OF_RANGE,
            "1": FaultKind.WRONG_TYPE,
            None: FaultKind.WRONG_TYPE,
            True: FaultKind.WRONG_TYPE,
        }
        for weight, kind in weights.items():
            split = [{"Backend": "model", "Weight": 5}, {"Backend": "cards", "Weight": weight}]
            self.assert_fault(with_route(TrafficSplit=split), "Routes[1].TrafficSplit[1].Weight", kind)

    def test_negative_weight(self) -> None:
        split = [{"Backend": "model", "Weight": 5}, {"Backend": "cards", "Weight": -5}]
        location = "Routes[1].TrafficSplit[1].Weight"
        self.assert_fault(with_route(TrafficSplit=split), location, FaultKind.OUT_OF_RANGE)

    def test_invalid_timeout(self) -> None:
        for value, kind in ((0, FaultKind.OUT_OF_RANGE), (0.0, FaultKind.OUT_OF_RANGE)):
            self.assert_fault(with_route(TimeoutMs=value), "Routes[1].TimeoutMs", kind)
        for value in ("3000", None, True, [3000]):
            self.assert_fault(with_route(TimeoutMs=value), "Routes[1].TimeoutMs", FaultKind.WRONG_TYPE)
        self.assert_fault(with_route(TimeoutMs=-1), "Routes[1].TimeoutMs", FaultKind.OUT_OF_RANGE)
        self.assert_fault(without_route_field("TimeoutMs"), "Routes[1].TimeoutMs", FaultKind.MISSING)

    def test_duplicate_names(self) -> None:
        self.assert_fault(with_route(Name="r-chat"), "Routes[1].Name", FaultKind.DUPLICATE_NAME)
        document = full_configuration()
        document["Services"].append(dict(document["Services"][0]))
        self.assert_fault(document, "Services[2].Name", FaultKind.DUPLICATE_NAME)

    def test_a_route_and_a_service_may_share_a_name(self) -> None:
        self.assertEqual(parsed(with_route(Name="model")).routes[1].name, "model")

    def test_required_fields(self) -> None:
        for field in ("Name", "Hostname", "PathPrefix", "TimeoutMs"):
            self.assert_fault(without_route_field(field), f"Routes[1].{field}", FaultKind.MISSING)
        for field in ("Version", "Routes", "Services"):
            document = full_configuration()
            del document[field]
            self.assertEqual(fault_locations(document).get(field), FaultKind.MISSING)

    def test_route_without_a_target(self) -> None:
        self.assert_fault(with_route(TrafficSplit=None), "Routes[1].Backend", FaultKind.MISSING)
        self.assert_fault(with_route(TrafficSplit=[]), "Routes[1].Backend", FaultKind.MISSING)
        self.assert_fault(with_route(TrafficSplit=[], Backend=""), "Routes[1].Backend", FaultKind.MISSING)

    def test_prefixes_without_slashes(self) -> None:
        for prefix in ("a", "/a", "a/", "//a", "\\a/"):
            self.assert_fault(with_route(PathPrefix=prefix), "Routes[1].PathPrefix", FaultKind.OUT_OF_RANGE)
        self.assert_fault(with_route(PathPrefix=""), "Routes[1].PathPrefix", FaultKind.OUT_OF_RANGE)

    def test_invalid_versions(self) -> None:
        for version in ("7", None, True, 7.5, [7]):
            self.assert_fault(full_configuration() | {"Version": version}, "Version", FaultKind.WRONG_TYPE)
        for version in (-1, 2**63):
            self.assert_fault(full_configuration() | {"Version": version}, "Version", FaultKind.OUT_OF_RANGE)

    def test_wrong_types(self) -> None:
        wrong = {
            "Name": 3,
            "Hostname": ["h"],
            "PathPrefix": 3,
            "Kind": 1,
            "TargetLatencyMs": "800",
            "Priority": 1.5,
            "Backend": {},
            "TrafficSplit": {"Backend": "model", "Weight": 1},
            "MaxAttempts": "1",
            "Sticky": 1,
            "Resumable": "true",
            "gap_aim_ms": [],
            "HomeRegions": "tt-north",
        }
        for field, value in wrong.items():
            self.assert_fault(with_route(**{field: value}), f"Routes[1].{field}", FaultKind.WRONG_TYPE)

    def test_wrong_types_of_sections(self) -> None:
        for value in ({}, "x", 3, None, True):
            self.assertEqual(
                fault_locations(full_configuration(Routes=value)), {"Routes": FaultKind.WRONG_TYPE}
            )
        for value in ([], "x", 3, True):
            self.assertEqual(
                fault_locations(full_configuration(Limits=value)), {"Limits": FaultKind.WRONG_TYPE}
            )
        self.assertEqual(
            fault_locations(full_configuration(Routes=["r"])), {"Routes[0]": FaultKind.WRONG_TYPE}
        )

    def test_wrong_types_of_a_service(self) -> None:
        document = full_configuration()
        document["Services"][0]["Engine"]["Models"] = [{"Name": "m"}, {"Name": 3}]
        self.assert_fault(document, "Services[0].Engine.Models[1].Name", FaultKind.WRONG_TYPE)

    def test_all_faults_are_reported(self) -> None:
        document = full_configuration(version=-1)
        document["Routes"][0] |= {"TimeoutMs": 0, "Hostname": 3}
        document["Routes"][1] |= {"PathPrefix": "a", "TrafficSplit": [{"Backend": "model", "Weight": "x"}]}
        document["Routes"].append(route("third", PathPrefix="third/"))
        document["Services"][1]["MaxConnections"] = "many"
        self.assertEqual(
            fault_locations(document),
            {
                "Version": FaultKind.OUT_OF_RANGE,
                "Routes[0].TimeoutMs": FaultKind.OUT_OF_RANGE,
                "Routes[0].Hostname": FaultKind.WRONG_TYPE,
                "Routes[1].TrafficSplit[0].Weight": FaultKind.WRONG_TYPE,
                "Routes[2].PathPrefix": FaultKind.OUT_OF_RANGE,
                "Services[1].MaxConnections": FaultKind.WRONG_TYPE,
            },
        )

    def test_all_faults_between_items_are_reported(self) -> None:
        document = full_configuration()
        document["Routes"].append(route("r-chat", PathPrefix="/lohu930/", Backend="gone"))
        self.assertEqual(
            fault_locations(document),
            {
                "Routes[2].Name": FaultKind.DUPLICATE_NAME,
                "Routes[2].Backend": FaultKind.UNKNOWN_SERVICE,
                "Routes[2].PathPrefix": FaultKind.SAME_PLACE,
            },
        )

    def test_fault_as_text(self) -> None:
        (fault,) = faults(with_route(TimeoutMs=0))
        self.assertEqual(str(fault), "Routes[1].TimeoutMs: must be above 0")
        (fault,) = parse_configuration(b"{\n").failure()
        self.assertTrue(str(fault).startswith("document: not valid JSON"))
        self.assertNotIn("\n", str(fault))


class RepeatedParsing(unittest.TestCase):
    def test_shared_items_are_parsed_once(self) -> None:
        parser = ConfigurationParser()
        document = full_configuration()
        first = parser.parse(document).unwrap()
        second = parser.parse(document | {"Routes": [*document["Routes"], route("new")]}).unwrap()
        self.assertIs(second.routes[0], first.routes[0])
        self.assertEqual(second.routes[2].name, "new")

    def test_repeated_item_is_a_fault(self) -> None:
        document = full_configuration()
        document["Routes"].append(document["Routes"][0])
        kinds = {fault.kind for fault in parse_document(document).failure()}
        self.assertEqual(kinds, {FaultKind.DUPLICATE_NAME, FaultKind.SAME_PLACE})

    def test_removed_service_invalidates_reused_routes(self) -> None:
        parser = ConfigurationParser()
        document = full_configuration()
        parser.parse(document).unwrap()
        kinds = {fault.kind for fault in parser.parse(document | {"Services": []}).failure()}
        self.assertEqual(kinds, {FaultKind.UNKNOWN_SERVICE})

    def test_parser_is_usable_after_a_fault(self) -> None:
        parser = ConfigurationParser()
        self.assertIsInstance(parser.parse(with_route(TimeoutMs=0)), Failure)
        self.assertEqual(
            parser.parse(full_configuration()).unwrap(), parse_document(full_configuration()).unwrap()
        )


SCALARS = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=4)
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
)
PATHS = (
    ("Version",),
    ("Routes",),
    ("Routes", 0),
    *(("Routes", 1, field) for field in full_configuration()["Routes"][1]),
    ("Routes", 1, "TrafficSplit", 0),
    ("Routes", 1, "TrafficSplit", 0, "Weight"),
    ("Services",),
    *(("Services", 0, field) for field in full_configuration()["Services"][0]),
    ("Services", 0, "Engine", "Models", 0),
    ("Limits",),
    ("Limits", "IdleTimeoutMs"),
)


class ArbitraryDocuments(unittest.TestCase):
    @given(path=st.sampled_from(PATHS), value=ANYTHING)
    def test_any_value_in_any_field_is_parsed_or_refused(self, path: tuple[Any, ...], value: Any) -> None:
        document = full_configuration()
        holder: Any = document
        for step in path[:-1]:
            holder = holder[step]
        holder[path[-1]] = value
        result = parse_document(document)
        match result:
            case Success(configuration):
                self.assert_valid(configuration)
            case Failure(found):
                self.assertTrue(found)

    def assert_valid(self, configuration: Configuration) -> None:
        services = {service.name for service in configuration.services}
        for parsed_route in configuration.routes:
            self.assertGreater(parsed_route.timeout_ms, 0)
            self.assertGreaterEqual(parsed_route.max_attempts, 1)
            self.assertTrue(parsed_route.split)
            self.assertLessEqual({target.service for target in parsed_route.split}, services)
            self.assertTrue(all(target.weight > 0 for target in parsed_route.split))
            self.assertTrue(
                PurePosixPath(parsed_route.prefix).is_absolute() and parsed_route.prefix.endswith("/")
            )

    @given(body=st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_arbitrary_bytes_are_refused(self, body: bytes) -> None:
        self.assertIsInstance(parse_configuration(body), Failure)
