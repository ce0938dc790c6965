"""The homes that bind a host, from the routes of a configuration."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.catalog.configuration import Configuration, Route, RouteKind
from brackenladder.catalog.homes import ConfigurationHomes, HostHomes


def route(host: str, *homes: str) -> Route:
    name = f"{host}-{'-'.join(homes)}"
    return Route(name, host, f"/{name}/", RouteKind.SAFE, 1000, 500, homes=homes)


def homes_of(host: str, *routes: Route) -> HostHomes:
    return ConfigurationHomes(lambda: Configuration(1, routes, ())).of(host)


class HomesTest(TestCase):
    def test_a_host_without_homes_is_open_to_all_regions(self) -> None:
        self.assertTrue(homes_of("a", route("a"), route("b", "north")).permits("south"))

    def test_homes_bind_a_host_that_also_has_routes_without(self) -> None:
        homes = homes_of("a", route("a"), route("a", "north", "south"))
        self.assertEqual(
            [homes.permits(region) for region in ("north", "south", "east")], [True, True, False]
        )

    def test_the_homes_of_all_routes_bind_together(self) -> None:
        homes = homes_of("a", route("a", "north", "east"), route("a", "east", "south"))
        self.assertEqual(
            [homes.permits(region) for region in ("north", "south", "east")], [False, False, True]
        )
        nothing_in_common = homes_of("a", route("a", "north"), route("a", "east"))
        self.assertFalse(any(nothing_in_common.permits(region) for region in ("north", "east")))

    def test_a_host_that_no_route_names(self) -> None:
        self.assertFalse(homes_of("new", route("a")).permits("north"))
        self.assertFalse(ConfigurationHomes().of("a").permits("north"))

    def test_hosts_are_compared_as_requests_are(self) -> None:
        self.assertTrue(homes_of("A:80", route("a")).permits("north"))

    def test_what_is_breached(self) -> None:
        homes = homes_of("a", route("a", "north"))
        self.assertEqual(homes.forbidden("east", ["north", "south", "east"]), ["south"])
