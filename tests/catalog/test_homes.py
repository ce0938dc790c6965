"""The restrictions of a host by the home regions of its routes."""

from __future__ import annotations

from unittest import TestCase

from brackenladder.catalog.configuration import Configuration, Route, RouteKind
from brackenladder.catalog.homes import ConfigurationHomes, HostHomes


def route(host: str, *homes: str) -> Route:
    name = f"{host}-{'-'.join(homes)}"
    return Route(name, host, f"/{name}/", RouteKind.SAFE, 1000, 500, homes=homes)


def homes_of(host: str, *routes: Route) -> HostHomes:
    return ConfigurationHomes(lambda: Configuration(1, routes, ())).for_host(host)


class HomesTest(TestCase):
    def test_without_home_regions_all_regions_are_permitted(self) -> None:
        self.assertTrue(homes_of("a", route("a"), route("b", "north")).permits("south"))

    def test_routes_without_homes_do_not_lift_restrictions(self) -> None:
        homes = homes_of("a", route("a"), route("a", "north", "south"))
        self.assertEqual(
            [homes.permits(region) for region in ("north", "south", "east")], [True, True, False]
        )

    def test_restrictions_of_all_routes_combine(self) -> None:
        homes = homes_of("a", route("a", "north", "east"), route("a", "east", "south"))
        self.assertEqual(
            [homes.permits(region) for region in ("north", "south", "east")], [False, False, True]
        )
        nothing_in_common = homes_of("a", route("a", "north"), route("a", "east"))
        self.assertFalse(any(nothing_in_common.permits(region) for region in ("north", "east")))

    def test_unknown_host_permits_no_region(self) -> None:
        self.assertFalse(homes_of("new", route("a")).permits("north"))
        self.assertFalse(ConfigurationHomes().for_host("a").permits("north"))

    def test_host_names_are_normalised(self) -> None:
        self.assertTrue(homes_of("A:80", route("a")).permits("north"))

    def test_forbidden_regions(self) -> None:
        homes = homes_of("a", route("a", "north"))
        self.assertEqual(homes.forbidden("east", ["north", "south", "east"]), ["south"])
