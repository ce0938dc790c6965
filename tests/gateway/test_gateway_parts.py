"""The pure parts of a gateway: events, framing, headers, hints and statuses."""

from __future__ import annotations

import unittest
from random import Random

from multidict import CIMultiDict, CIMultiDictProxy

from brackenladder.core.call import Failure
from brackenladder.gateway.answers import NOT_RUN_STATUSES, Failed, Refused, unserved_answer
from brackenladder.gateway.events import LARGEST_EVENT, EventParser, EventTooLarge
from brackenladder.gateway.exchange import origin_form
from brackenladder.gateway.framing import AnswerFraming
from brackenladder.gateway.headers import answer_headers, forwarded_lines
from brackenladder.gateway.hints import read_deadline_ms, read_prompt_parts
from brackenladder.gateway.outcomes import outcome_of
from brackenladder.gateway.resume import EventOrder
from brackenladder.gateway.server_protocol import DEFAULT_IDLE_SECONDS, idle_limit_seconds
from brackenladder.gateway.upstream import connection_share
from brackenladder.interface import Outcome


def headers(**values: str) -> CIMultiDictProxy[str]:
    return CIMultiDictProxy(CIMultiDict({key.replace("_", "-"): value for key, value in values.items()}))


class Events(unittest.TestCase):
    def test_any_segmentation_gives_the_same_events(self) -> None:
        body = b"versions: 2\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 30\ndata: id: 9\n\n"
        whole = EventParser().feed(body)
        self.assertEqual([one.id for one in whole], [1, 2, None, 30])
        self.assertEqual(b"".join(one.raw for one in whole), body)
        random = Random(5)
        for _ in range(200):
            parser, got, at = EventParser(), [], 0
            while at < len(body):
                size = random.randint(1, 9)
                got += parser.feed(body[at : at + size])
                at += size
            self.assertEqual((got, parser.rest), (whole, b""))

    def test_the_size_of_an_event_is_limited(self) -> None:
        with self.assertRaises(EventTooLarge):
            EventParser().feed(b"x" * (LARGEST_EVENT + 1))

    def test_order(self) -> None:
        order = EventOrder()
        self.assertEqual(order.pass_on(b"id: 1\n\nid: 2\n\n"), b"id: 1\n\nid: 2\n\n")
        self.assertEqual(order.pass_on(b"id: 2\n\nid: 3\n\nrest"), b"id: 3\n\nrest")
        self.assertEqual(order.last_id, 3)


class Framing(unittest.TestCase):
    def test_any_segmentation_ends_at_the_same_place(self) -> None:
        bodies = (
            b"Content-Length: 12\r\n\r\n0123456789ab",
            b"content-length:0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        )
        random = Random(3)
        for body in bodies:
            whole = b"HTTP/1.1 200 OK\r\nX-A: b\r\n" + body
            for _ in range(100):
                data, at, framing = whole + b"surplus", 0, AnswerFraming(False)
                while not framing.ended:
                    piece = data[: at + random.randint(1, 20)]
                    while at < len(piece) and not framing.ended:
                        at = framing.take(piece, at)
                self.assertEqual(at, len(whole))

    def test_bytes_like_the_last_chunk_inside_a_chunk_are_a_guess(self) -> None:
        framing = AnswerFraming(False)
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na0\r\n\r\n\r\n0\r\n\r\n"
        ends = []
        at = 0
        while at < len(data):
            at = framing.take(data, at)
            if framing.ended:
                ends.append(at)
        self.assertEqual(ends, [data.index(b"a0") + 6, len(data)])
        self.assertTrue(framing.guessed)

    def test_responses_without_a_body(self) -> None:
        for status, without_body in ((b"204", False), (b"304", False), (b"100", False), (b"200", True)):
            framing = AnswerFraming(without_body)
            head = b"HTTP/1.1 " + status + b" X\r\nContent-Length: 5\r\n\r\n"
            self.assertEqual(framing.take(head + b"more", 0), len(head))
            self.assertTrue(framing.ended)


class Hints(unittest.TestCase):
    def test_prompt_parts(self) -> None:
        parts = read_prompt_parts("5C1e:800, 91bd:410")
        self.assertEqual([(part.id, part.tokens) for part in parts], [("5c1e", 800), ("91bd", 410)])
        for unreadable in ("", "x", "5c:", "5c:-1", "5c:1,", "5c:1;91:2", ",".join(["a:1"] * 100)):
            self.assertEqual(read_prompt_parts(unreadable), ())

    def test_deadlines(self) -> None:
        self.assertEqual(read_deadline_ms(headers(X_Brackenladder_Request_Deadline_Ms="50")), 50)
        for unreadable in ("", "-5", "1.5", "soon", "9" * 40):
            told = headers(X_Brackenladder_Request_Deadline_Ms=unreadable)
            self.assertIsNone(read_deadline_ms(told))


class Headers(unittest.TestCase):
    def test_only_end_to_end_headers_are_forwarded(self) -> None:
        raw = (
            (b"Host", b"a"),
            (b"Connection", b"X-One, host, keep-alive"),
            (b"X-One", b"1"),
            (b"TE", b"trailers"),
            (b"X-Two", b"2"),
            (b"X-Two", b"3"),
        )
        self.assertEqual(forwarded_lines(raw), b"Host: a\r\nX-Two: 2\r\nX-Two: 3\r\n")
        self.assertEqual(forwarded_lines(raw, (b"x-two",)), b"Host: a\r\n")

    def test_protected_headers_are_forwarded_even_if_connection_names_them(self) -> None:
        names = (b"X-Brackenladder-Model", b"X-Brackenladder-Token-Usage", b"X-Brackenladder-Prompt-Prefix")
        kept = [(name, b"1") for name in names]
        raw = [(b"Connection", b"close, " + b", ".join(names).lower()), *kept]
        self.assertEqual(forwarded_lines(raw), b"".join(b"%b: %b\r\n" % one for one in kept))
        got = answer_headers(
            headers(Connection="close, X-A", X_A="1", Keep_Alive="timeout=3", X_B="\udcff", X_C="2")
        )
        self.assertEqual(dict(got), {"X-C": "2"})

    def test_targets(self) -> None:
        for target, path in (
            ("/a?b", "/a?b"),
            ("http://h/a?b", "/a?b"),
            ("http://h", ""),
            ("*", ""),
            ("h:80", ""),
        ):
            self.assertEqual(origin_form(target), path)

    def test_the_idle_timeout_of_a_server(self) -> None:
        self.assertAlmostEqual(idle_limit_seconds("timeout=5, max=10"), 4.3)
        self.assertAlmostEqual(idle_limit_seconds("timeout=1"), 0.3)
        self.assertEqual(idle_limit_seconds(None), DEFAULT_IDLE_SECONDS)
        self.assertEqual(idle_limit_seconds("timeout=x"), DEFAULT_IDLE_SECONDS)


class Statuses(unittest.TestCase):
    def test_outcomes(self) -> None:
        told = headers(X_Brackenladder_Not_Executed="true")
        self.assertIs(outcome_of(503, told), Outcome.REJECTED)
        self.assertIs(outcome_of(400, told), Outcome.REJECTED)
        for status in NOT_RUN_STATUSES:
            self.assertIs(outcome_of(status, told), Outcome.REJECTED)
            self.assertIs(outcome_of(status, headers()), Outcome.ERROR)
        self.assertIs(outcome_of(504, headers()), Outcome.TIMEOUT)
        self.assertIs(outcome_of(404, headers()), Outcome.OK)
        self.assertIs(outcome_of(200, told), Outcome.OK)

    def test_503_only_if_the_request_cannot_have_run(self) -> None:
        refused, given_up, expired = Refused(100_000), Failed(Failure.GIVEN_UP), Failed(Failure.EXPIRED)
        for ending in (refused, given_up, expired):
            self.assertEqual(unserved_answer(ending, False, False).status, 503)
        self.assertEqual(unserved_answer(refused, False, False).headers["Retry-After"], "0.100")
        self.assertEqual(unserved_answer(refused, True, False).status, 502)
        self.assertEqual(unserved_answer(given_up, True, False).status, 502)
        self.assertEqual(unserved_answer(given_up, True, True).status, 504)
        self.assertEqual(unserved_answer(expired, True, False).status, 504)

    def test_shares_of_the_connections(self) -> None:
        self.assertEqual(connection_share(360, 7), 41)
        self.assertEqual(connection_share(10, 7), 4)
        self.assertEqual(connection_share(10, 0), 8)
