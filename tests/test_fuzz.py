"""Arbitrary input to the HTTP listener and the parsers. Each request is answered by a 4xx or its connection ends: there is no
500, no traceback, no resource left open, and no tune-in (set-up attempt) at a server."""

import random
import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from curlewshift.client.caller import links_of
from curlewshift.signalling.conditions import refusal, tags_of
from curlewshift.signalling.fragments import fragment_text, parse_fragment
from curlewshift.signalling.sdp import InvalidDescription
from tests.sockets import SmallSite, an_offer, async_test, until

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)
FRAGMENT = fragment_text("abcd", "p" * 22, ["1 1 udp 2113929471 192.0.2.1 50000 typ host"], ended=True)
REQUEST = (
    b"POST /whep/clip/t?top=2 HTTP/1.1\r\nhost: x\r\ncontent-type: application/sdp\r\nprefer: wait=1\r\n"
    b"idempotency-key: k\r\nauthorization: Bearer x\r\ncontent-length: %d\r\n\r\n"
)


class ParserTest(unittest.TestCase):
    @DETERMINISTIC
    @given(
        st.one_of(
            st.text(max_size=300),
            st.builds(
                lambda at, text: FRAGMENT[:at] + text + FRAGMENT[at + len(text) :],
                st.integers(0, len(FRAGMENT)),
                st.text(max_size=9),
            ),
        )
    )
    def test_arbitrary_fragments(self, text):
        try:
            fragment = parse_fragment(text)
        except InvalidDescription as error:
            self.assertTrue(str(error))
        else:
            self.assertTrue(fragment.ufrag and fragment.pwd)

    def test_fragment_errors_name_the_fault(self):
        for change, expected in (
            (("a=ice-ufrag:abcd\r\n", ""), "ice-ufrag"),
            (("a=mid:0\r\n", ""), "no a=mid"),
            (("typ host", "typ"), "RFC 8839"),
            (("m=video", "\r\n\r\nhello"), "letter=value"),
            (("a=end-of-candidates", "a=end-of-candidates\r\na=candidate:1"), "after the end"),
        ):
            with self.subTest(change=change), self.assertRaises(InvalidDescription) as raised:
                parse_fragment(FRAGMENT.replace(*change))
            self.assertIn(expected, str(raised.exception))

    @DETERMINISTIC
    @given(st.text(alphabet='W/"*, abc\t', max_size=40))
    def test_conditions_pass_only_the_tags_they_name(self, header):
        tags = tags_of(header)
        status = refusal(header, '"now"', False)
        self.assertIn(status, (None, 400, 412))
        if status is None:
            self.assertIn('"now"', tags)
        self.assertEqual(refusal(None, '"now"', False), 428)
        self.assertIsNone(refusal('"old", "now"', '"now"', False))

    @DETERMINISTIC
    @given(st.text(max_size=80))
    def test_arbitrary_link_headers(self, header):
        self.assertIsInstance(links_of(header), dict)


class ListenerTest(unittest.TestCase):
    def corrupted_request(self, rng):
        """A request that is truncated, has a part removed, repeated or overwritten, ends in random bytes, or is random."""
        offer = an_offer()
        raw = bytearray(REQUEST % len(offer) + offer)
        corruption = rng.randrange(6)
        at = rng.randrange(len(raw))
        if corruption == 0:
            return bytes(raw[:at])
        if corruption == 1:
            return bytes(raw[:at] + raw[at + rng.randrange(1, 60) :])
        if corruption == 2:
            for _ in range(rng.randrange(1, 30)):
                raw[rng.randrange(len(raw))] = rng.randrange(256)
            return bytes(raw)
        if corruption == 3:
            return bytes(raw[:at] + raw[:at] + raw[at:])
        if corruption == 4:
            return bytes(raw[:at]) + rng.randbytes(rng.randrange(1, 3000))
        return rng.randbytes(rng.randrange(1, 400))

    @async_test
    async def test_corrupted_requests(self):
        rng, faults = random.Random(7), []
        async with SmallSite(servers=1).up() as site:
            site.front._connection_fault = faults.append
            statuses = []

            async def send(data):
                with anyio.move_on_after(3):
                    answers = await site.raw(data, end=True)
                    statuses.extend(int(part[:3]) for part in answers.split(b"HTTP/1.1 ")[1:] if part[:3].isdigit())

            async with anyio.create_task_group() as tasks:
                slots = anyio.CapacityLimiter(40)
                for _ in range(400):

                    async def send_in_slot(data=self.corrupted_request(rng)):
                        async with slots:
                            await send(data)

                    tasks.start_soon(send_in_slot)
            self.assertEqual(faults, [])
            self.assertEqual([status for status in statuses if status >= 500 and status != 503], [])
            self.assertGreater(sum(400 <= status < 500 for status in statuses), 100)
            await until(lambda: site.front.http_listener.busy == 0 and site.front.session_core.waiting == 0)
            self.assertEqual((await site.ask()).status, 201)

    @async_test
    async def test_complete_requests_of_unusual_parts(self):
        rng, faults = random.Random(8), []
        segments = ["whep", "whip", "session", "layer", "events", "clip", "paid", "t", "..", "%2e", "x" * 300, "", "ä", "?", "*"]
        async with SmallSite(servers=1).up() as site:
            site.front._connection_fault = faults.append
            statuses = []
            for _ in range(150):
                method = rng.choice(["GET", "POST", "PATCH", "DELETE", "OPTIONS", "HEAD", "PUT", "BREW"])
                path = "/" + "/".join(rng.choice(segments) for _ in range(rng.randrange(4)))
                headers = [
                    (name, rng.choice(["", "1", '"x"', "application/sdp", "wait=9", "Bearer x", "*"]))
                    for name in rng.sample(
                        [
                            "content-type",
                            "if-match",
                            "prefer",
                            "authorization",
                            "accept",
                            "idempotency-key",
                            "x-request-id",
                            "last-event-id",
                        ],
                        3,
                    )
                ]
                body = rng.choice([b"", b"{}", b"[1]", b"v=0", b"\xff\xfe", b"a" * 5000])
                head = f"{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
                head += "".join(f"{name}: {value}\r\n" for name, value in headers)
                answer = await site.raw(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
                statuses.append(int(answer[9:12]) if answer[9:12].isdigit() else 0)
            self.assertEqual(faults, [])
            self.assertEqual(sorted(set(statuses) - {200, 204, 400, 404, 405, 415, 422}), [])
            self.assertEqual(site.traffic.all("setup"), [])


if __name__ == "__main__":
    unittest.main()
