"""Route lookup by host and path."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from brackenladder.catalog.configuration import Configuration, Route, RouteKind, Target
from brackenladder.catalog.hosts import normalize_host
from brackenladder.catalog.routes import RouteTable


def route(host: str, prefix: str) -> Route:
    return Route(f"{host}{prefix}", host, prefix, RouteKind.SAFE, 1000, 100, split=(Target("s", 1.0),))


def table(*locations: tuple[str, str]) -> RouteTable:
    return RouteTable(Configuration(1, tuple(route(host, prefix) for host, prefix in locations), ()))


class Find(unittest.TestCase):
    def assert_found(self, routes: RouteTable, host: str, path: str, name: str | None) -> None:
        found = routes.find(host, path)
        self.assertEqual(found.name if found else None, name)

    def test_longest_prefix_wins(self) -> None:
        routes = table(("h", "/"), ("h", "/a/"), ("h", "/a/b/"), ("h", "/c/"))
        self.assert_found(routes, "h", "/a/b/c", "h/a/b/")
        self.assert_found(routes, "h", "/a/bc", "h/a/")
        self.assert_found(routes, "h", "/a/", "h/a/")
        self.assert_found(routes, "h", "/a", "h/")
        self.assert_found(routes, "h", "/b/a/", "h/")

    def test_no_route(self) -> None:
        routes = table(("h", "/a/"), ("i", "/b/"))
        for path in ("/b/", "/a", "", "a/", "*", "/A/"):
            self.assert_found(routes, "h", path, None)
        self.assert_found(routes, "j", "/a/", None)
        self.assert_found(routes, "", "/a/", None)

    def test_query_is_ignored(self) -> None:
        routes = table(("h", "/a/"), ("h", "/a/b/"))
        self.assert_found(routes, "h", "/a/?x=/a/b/", "h/a/")
        self.assert_found(routes, "h", "/a?/a/", None)
        self.assert_found(routes, "h", "/a/b?/", "h/a/")

    def test_path_is_not_decoded_or_normalised(self) -> None:
        routes = table(("h", "/a/"), ("h", "/%61b/"))
        self.assert_found(routes, "h", "/%61/x", None)
        self.assert_found(routes, "h", "//a/x", None)
        self.assert_found(routes, "h", "/x/../a/x", None)
        self.assert_found(routes, "h", "/%61b/x", "h/%61b/")

    def test_host_case_and_port_are_ignored(self) -> None:
        routes = table(("ficu95.example", "/a/"))
        for host in ("ficu95.example", "FICU95.Example", "ficu95.example:8144", "Ficu95.example:"):
            self.assert_found(routes, host, "/a/x", "ficu95.example/a/")
        for host in ("ficu95.example.org", "example", "ficu95.example:x", "ficu95.example:80:80"):
            self.assert_found(routes, host, "/a/x", None)

    def test_no_configuration(self) -> None:
        self.assert_found(RouteTable(None), "h", "/", None)

    @given(
        prefixes=st.lists(st.text("ab/", max_size=6).map(lambda text: f"/{text}/"), unique=True),
        path=st.text("ab/?", max_size=12).map(lambda text: f"/{text}"),
    )
    def test_against_linear_search(self, prefixes: list[str], path: str) -> None:
        matching = [prefix for prefix in prefixes if path.split("?")[0].startswith(prefix)]
        found = table(*(("h", prefix) for prefix in prefixes)).find("h", path)
        self.assertEqual(found.prefix if found else None, max(matching, key=len, default=None))


class NormalHost(unittest.TestCase):
    def test_addresses(self) -> None:
        cases = {
            "10.0.0.1:80": "10.0.0.1",
            "[2001:DB8::1]:80": "[2001:db8::1]",
            "[2001:db8::1]": "[2001:db8::1]",
            "2001:db8::1": "2001:db8::1",
            "": "",
        }
        for host, normal in cases.items():
            self.assertEqual(normalize_host(host), normal)

    @given(st.text(max_size=10))
    def test_port_is_ignored(self, host: str) -> None:
        if ":" not in host:
            self.assertEqual(normalize_host(f"{host}:8080"), normalize_host(host))
