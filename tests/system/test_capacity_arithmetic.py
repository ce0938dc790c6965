"""The arithmetic of the capacity benchmark: percentiles, slopes, sizes and counts."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

BENCHMARKS = str(Path(__file__).parents[2] / "benchmarks")

sys.path.insert(0, BENCHMARKS)

from capacity.arithmetic import (  # noqa: E402
    TooFewValues,
    Verdict,
    fit_line,
    growth_exponent,
    per_unit,
    percentile,
    spread,
)
from capacity.meter import CountingCodec, Traffic  # noqa: E402
from capacity.target import TARGET, Size, twin  # noqa: E402
from capacity.workload import (  # noqa: E402
    configuration_document,
    hollow_server,
    replacing_order,
    updating_order,
)

from brackenladder.catalog.catalog import Catalog  # noqa: E402
from brackenladder.catalog.orders import Accepted  # noqa: E402
from brackenladder.control_plane.instances import parse_heartbeat  # noqa: E402
from brackenladder.delivery.messages import GatewayCount, ServersUpdate  # noqa: E402
from brackenladder.registry.records import ServerRecord, ServerState  # noqa: E402
from brackenladder.transport.framing import PREFIX_BYTES  # noqa: E402

SMALL = Size(gateways=3, servers=40, control_nodes=3, routes=12, zones=3)

sys.path.remove(BENCHMARKS)  # it has a module with the same name as the folder tests/rpc


class PercentileTest(unittest.TestCase):
    def test_nearest_rank(self) -> None:
        values = [float(value) for value in range(100, 0, -1)]
        self.assertEqual(percentile(values, 0.5), 50.0)
        self.assertEqual(percentile(values, 0.99), 99.0)
        self.assertEqual(percentile(values, 1.0), 100.0)

    def test_one_value_is_every_percentile(self) -> None:
        self.assertEqual(percentile([7.0], 0.5), 7.0)
        self.assertEqual(percentile([7.0], 0.99), 7.0)

    def test_no_values_and_invalid_shares_are_refused(self) -> None:
        self.assertRaises(TooFewValues, percentile, [], 0.5)
        self.assertRaises(ValueError, percentile, [1.0], 0.0)
        self.assertRaises(ValueError, percentile, [1.0], 1.5)

    def test_spread_includes_the_worst_value(self) -> None:
        figures = spread([3.0, 1.0, 2.0])
        self.assertEqual((figures.p50, figures.p99, figures.worst, figures.count), (2.0, 3.0, 3.0, 3))


class SlopeTest(unittest.TestCase):
    def test_a_straight_line_is_recovered(self) -> None:
        line = fit_line([30, 100, 300], [5 + 2 * size for size in (30, 100, 300)])
        self.assertAlmostEqual(line.fixed, 5)
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.at(490), 985)

    def test_scatter_is_averaged(self) -> None:
        line = fit_line([0, 0, 10, 10], [1, 3, 11, 13])
        self.assertAlmostEqual(line.fixed, 2)
        self.assertAlmostEqual(line.slope, 1)

    def test_one_size_has_no_slope(self) -> None:
        self.assertRaises(TooFewValues, fit_line, [30, 30], [1, 2])
        self.assertRaises(ValueError, fit_line, [30], [1, 2])

    def test_growth_exponents_of_constant_linear_and_quadratic_loads(self) -> None:
        sizes = [30, 100, 300]
        self.assertAlmostEqual(growth_exponent(sizes, [4, 4, 4]), 0)
        self.assertAlmostEqual(growth_exponent(sizes, [0.1 * size for size in sizes]), 1)
        self.assertAlmostEqual(growth_exponent(sizes, [0.1 * size * size for size in sizes]), 2)
        self.assertRaises(ValueError, growth_exponent, sizes, [0, 1, 2])

    def test_increase_per_unit(self) -> None:
        self.assertEqual(per_unit(100, 160, 30), 2)
        self.assertRaises(ValueError, per_unit, 1, 2, 0)

    def test_only_above_the_allowance_is_over(self) -> None:
        self.assertFalse(Verdict(0.013, 0.013).over)
        self.assertTrue(Verdict(0.014, 0.013).over)
        self.assertAlmostEqual(Verdict(10, 20).share, 0.5)


class SizeTest(unittest.TestCase):
    def test_a_gateway_is_linked_to_more_than_half_of_the_control_nodes(self) -> None:
        self.assertEqual([Size(1, 1, nodes, 1).links for nodes in (1, 3, 5, 9, 11)], [1, 3, 5, 5, 6])

    def test_links_are_shared_evenly(self) -> None:
        self.assertAlmostEqual(TARGET.subscribers, 490 * 5 / 9)

    def test_twins_keep_the_proportions(self) -> None:
        self.assertEqual(twin(490), TARGET)
        self.assertEqual((twin(30).servers, twin(30).control_nodes), (422, 3))
        self.assertEqual((twin(300).servers, twin(300).control_nodes), (4224, 7))


class TrafficTest(unittest.TestCase):
    def test_both_directions_are_counted_with_the_length_prefix(self) -> None:
        codec = CountingCodec()
        data = codec.encode(GatewayCount(1, 490))
        codec.decode(data)
        self.assertEqual(codec.sent.total_bytes, PREFIX_BYTES + len(data))
        self.assertEqual(codec.received.messages["GatewayCount"], 1)
        self.assertEqual(codec.received.total_bytes, codec.sent.total_bytes)

    def test_a_difference_has_only_later_traffic(self) -> None:
        traffic = Traffic()
        traffic.add("Ack", 10)
        before = traffic.copy()
        traffic.add("Ack", 12)
        traffic.add("Subscribe", 80)
        since = traffic.since(before)
        self.assertEqual((since.total_messages, since.total_bytes), (2, 92))
        self.assertEqual(since.plus(before).total_bytes, 102)

    def test_equal_records_are_shared_and_stay_equal(self) -> None:
        codec = CountingCodec(shared_records=True)
        record = ServerRecord("i-1", "api", "10.0.0.1:8080", "hall", 64, ServerState.READY, 7)
        updates = [codec.decode(codec.encode(ServersUpdate(number, True, (record,)))) for number in (1, 2)]
        assert isinstance(updates[0], ServersUpdate) and isinstance(updates[1], ServersUpdate)
        self.assertEqual(updates[1], ServersUpdate(2, True, (record,)))
        self.assertIs(updates[0].records[0], updates[1].records[0])


class WorkloadTest(unittest.TestCase):
    def test_heartbeats_are_parsed_and_their_numbers_increase(self) -> None:
        server = hollow_server(5, SMALL)
        first, second = (parse_heartbeat(server.id, server.body()).unwrap() for _ in range(2))
        self.assertEqual(second.seq, first.seq + 1)
        self.assertEqual((first.service, first.state), ("model1serve", ServerState.READY))
        server.state = "draining"
        self.assertEqual(parse_heartbeat(server.id, server.body()).unwrap().state, ServerState.DRAINING)

    def test_all_servers_differ(self) -> None:
        servers = [hollow_server(number, TARGET) for number in range(TARGET.servers)]
        self.assertEqual(len({server.id for server in servers}), TARGET.servers)
        self.assertEqual(len({server.address for server in servers}), TARGET.servers)

    def test_successive_changes_are_accepted(self) -> None:
        catalog = Catalog()
        self.assertEqual(catalog.apply(1, replacing_order(1, SMALL.routes)), Accepted(1))
        self.assertEqual(catalog.apply(2, updating_order(1, 2, route=3)), Accepted(2))
        self.assertEqual(catalog.apply(3, updating_order(2, 3, route=4)), Accepted(3))
        assert catalog.configuration is not None
        self.assertEqual(len(catalog.configuration.routes), SMALL.routes)

    def test_configuration_documents_are_deterministic(self) -> None:
        self.assertEqual(configuration_document(1, 8), configuration_document(1, 8))


if __name__ == "__main__":
    unittest.main()
