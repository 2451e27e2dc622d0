import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from curlewshift.signalling.bodies import InvalidBody, ListNews, Note, decode, encode
from curlewshift.signalling.events import Event, EventReader, EventTooLong, encode_event
from curlewshift.signalling.loads import decode_load, encode_load
from curlewshift.signalling.sdp import InvalidDescription, answer_text, candidate_of, checked_offer, identity, offer_text, parse

FINGERPRINT = "sha-256 " + ":".join(["A5"] * 32)
OFFER = offer_text("abcd", "p" * 22, FINGERPRINT)
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)


class DescriptionTest(unittest.TestCase):
    def test_offer_is_parsed_and_answer_has_the_media_candidate(self):
        offer = checked_offer(OFFER)
        answer = parse(answer_text(offer, "efgh", "q" * 22, FINGERPRINT, "127.0.0.1", 4321))
        self.assertEqual(candidate_of(answer), ("127.0.0.1", 4321))
        self.assertEqual(answer.first("ice-ufrag", answer.media[0]), "efgh")
        self.assertEqual(answer.first("mid", answer.media[0]), "0")

    def test_identity_is_equal_for_the_same_credentials(self):
        again = checked_offer(OFFER.replace("s=-", "s=later"))
        other = checked_offer(offer_text("abce", "p" * 22, FINGERPRINT))
        self.assertEqual(identity(checked_offer(OFFER)), identity(again))
        self.assertNotEqual(identity(again), identity(other))

    def test_errors_name_the_line(self):
        for change, line, expected in (
            (("v=0", "v=1"), 1, "expected 'v=0'"),
            (("a=rtcp-mux\r\n", ""), 6, "a=rtcp-mux"),
            (("a=recvonly", "a=sendonly"), 6, "recvonly"),
            (("p" * 22, "p" * 21), 6, "ice-pwd"),
            (("a=setup:actpass", "a=setup:holdconn"), 6, "a=setup"),
            (("abcd", "ab d"), 6, "ice-ufrag"),
            (("sha-256 A5", "sha-256 G5"), 6, "fingerprint"),
            (("m=video 9", "m=video 70000"), 6, "no port"),
            (("UDP/TLS/RTP/SAVPF", "RTP/AVP"), 6, "SAVPF"),
            (("t=0 0", "t"), 4, "letter=value"),
            (("t=0 0\r\n", ""), 0, "the time line"),
            (("a=mid", "\r\na=mid"), 8, "empty line"),
        ):
            with self.subTest(change=change), self.assertRaises(InvalidDescription) as raised:
                checked_offer(OFFER.replace(*change))
            self.assertIn(expected, str(raised.exception))
            if line:
                self.assertTrue(str(raised.exception).startswith(f"line {line}:"), raised.exception)

    @DETERMINISTIC
    @given(
        st.one_of(
            st.text(max_size=400),
            st.builds(
                lambda at, text: OFFER[:at] + text + OFFER[at + len(text) :], st.integers(0, len(OFFER)), st.text(max_size=9)
            ),
        )
    )
    def test_arbitrary_text_is_parsed_or_rejected(self, text):
        try:
            identity(checked_offer(text))
        except InvalidDescription as error:
            self.assertTrue(str(error))


class EventTest(unittest.TestCase):
    EVENTS = [Event("full", "one\ntwo", "7"), Event("change", "", "8"), Event("note", "ä: b", "8")]

    @DETERMINISTIC
    @given(st.lists(st.integers(1, 9), max_size=60))
    def test_events_are_complete_for_any_split_of_the_bytes(self, cuts):
        raw, reader, events = b":\n\n" + b"".join(encode_event(event) for event in self.EVENTS), EventReader(), []
        for cut in cuts:
            events += reader.feed(raw[:cut])
            raw = raw[cut:]
        events += reader.feed(raw)
        self.assertEqual([(event.kind, event.data) for event in events], [(event.kind, event.data) for event in self.EVENTS])
        self.assertEqual(reader.last_id, "8")

    def test_too_long_event_is_rejected(self):
        reader = EventReader()
        with self.assertRaises(EventTooLong):
            for _ in range(40):
                reader.feed(b"data: " + b"x" * 500_000 + b"\n")


class BodyTest(unittest.TestCase):
    def test_load_report_round_trip_and_malformed_reports_are_empty(self):
        self.assertEqual(decode_load(encode_load({"link": 0.5, "uplink": 1.25})), {"link": 0.5, "uplink": 1.25})
        for bad in ("", "JSON {}", "TEXT", "TEXT link=x, =3, uplink=-1, cpu_utilization=0.4", "TEXT link=nan"):
            self.assertEqual(decode_load(bad), {}, bad)

    def test_body_of_another_type_is_rejected(self):
        update = ListNews("e", 3, [])
        self.assertEqual(decode(encode(update), ListNews), update)
        for raw in (b"", b"[]", b'{"epoch": 3}', b'{"epoch":"e","generation":"x","servers":[]}', b"\xff", b"[" * 9999):
            with self.subTest(raw=raw[:20]), self.assertRaises(InvalidBody) as raised:
                decode(raw, ListNews)
            self.assertIn("the body is not a ListNews", str(raised.exception))

    def test_unknown_fields_of_a_note_are_ignored(self):
        self.assertEqual(decode(b'{"share":0.5,"novel":[1]}', Note).share, 0.5)


if __name__ == "__main__":
    unittest.main()
