"""Codecs of the node's protocols under split and malformed input, and its configuration file."""

import json
import struct
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from curlewshift.node import configuration, discovery, isup, rtsp

RTSP_MESSAGES = (
    b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n"
    b"Content-Length: 6\r\n\r\na\r\n\r\nb"
    + rtsp.release("9b1f03aa5c7e2d41", 41)
    + rtsp.answer(453, "1", "9b1f03aa5c7e2d41", fields="X-Pause: 700\r\n")
)
ID = bytes(range(8))
ISUP_MESSAGES = isup.set_up(ID, "clip", "aa", 900, 2, b"\0\xff") + isup.release(ID, isup.RESET) + isup.probed(ID, True)
RECORD = struct.pack(">I4sHBBBHIQ", 0x00C41F7A, bytes((10, 1, 0, 9)), 5080, 1, 0, 1, 2, 4500, 77)
FRAMES = struct.pack(">IQB", 9, 4, 0) + struct.pack(">IQB", 9 + 54, 5, 2) + RECORD * 2


def decode(reader, pieces):
    return [message for piece in pieces for message in reader.feed(piece)]


class SplitInput(unittest.TestCase):
    def test_messages_are_the_same_wherever_the_input_is_split(self):
        for data, kind, comparable in (
            (RTSP_MESSAGES, rtsp.Reader, lambda m: (m.method, m.status, m.fields, m.body)),
            (ISUP_MESSAGES, isup.Reader, lambda m: m),
            (FRAMES, discovery.Reader, lambda m: m),
        ):
            expected = [comparable(message) for message in decode(kind(), [data])]
            self.assertEqual(len(expected), 2 if kind is discovery.Reader else 3)
            for at in range(1, len(data)):
                self.assertEqual([comparable(message) for message in decode(kind(), [data[:at], data[at:]])], expected)
            self.assertEqual([comparable(m) for m in decode(kind(), [data[at : at + 1] for at in range(len(data))])], expected)

    def test_complete_messages_before_malformed_bytes_are_kept(self):
        for reader, data, error in (
            (rtsp.Reader(), RTSP_MESSAGES + b"\x91\xf5\n", rtsp.Malformed),
            (isup.Reader(), ISUP_MESSAGES + b"\xff\xff\x09", isup.Malformed),
            (discovery.Reader(), FRAMES + b"\xff" * 13, discovery.Malformed),
        ):
            with self.assertRaises(error) as raised:
                reader.feed(data)
            self.assertGreaterEqual(len(raised.exception.before), 2)

    def test_records_carry_id_address_and_weight(self):
        records = []
        discovery.each_record(RECORD, lambda *row: records.append(row))
        self.assertEqual(records, [("s-00c41f7a", ("10.1.0.9", 5080), 1, 0, 1, 2, 4.5, 77)])


class MalformedInput(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.one_of(st.binary(max_size=200), st.sampled_from([RTSP_MESSAGES, ISUP_MESSAGES, FRAMES, b"SETUP ", b"\r\n\r\n"])),
            max_size=6,
        )
    )
    def test_any_bytes_raise_at_most_malformed_and_the_buffer_is_bounded(self, pieces):
        for reader, error in (
            (rtsp.Reader(), rtsp.Malformed),
            (isup.Reader(), isup.Malformed),
            (discovery.Reader(), discovery.Malformed),
        ):
            try:
                for message in decode(reader, pieces):
                    if error is isup.Malformed:
                        isup.report_of(message[2])
            except error:
                pass
            self.assertLessEqual(len(reader.buffer), 17 * 1024)

    def test_invalid_lengths_and_headers_are_rejected_at_once(self):
        head = "SETUP rtsp://media/a RTSP/1.0\r\nCSeq: 1\r\n%s\r\n\r\n"
        for data in (
            head % "Content-Length: -1",
            head % "Content-Length: 60000000",
            head % "CSeq: 2",
            head % "Content-Length: 3000000000",
            head % "Content-Length: 1\r\nContent-Length: 1",
            head % "Content-Length : 1",
            "SIP/9.9 OK 200\r\n",
            "SETUP rtsp://" + "a" * 17000,
            "\x07noise",
        ):
            with self.assertRaises(rtsp.Malformed, msg=data[:60]):
                rtsp.Reader().feed(data.encode())
        for data in (
            b"\0\1",
            b"\0\x0a\x63" + ID,
            isup.encode(isup.RELEASE, ID, (47, b"\1"), (47, b"\1")),
            struct.pack(">HB", 12, 9) + ID + b"\x30\x00\x09",
            b"\xff\xff",
        ):
            with self.assertRaises(isup.Malformed):
                isup.Reader().feed(data)

    def test_a_report_keeps_only_valid_numbers(self):
        self.assertEqual(isup.report_of({isup.REPORT: b"x0:0.7;x1:nan;queue:-3;odd;x2:many;x3:1e99"}), {"x0": 0.7})


class InvalidConfigurations(unittest.TestCase):
    def test_an_incomplete_or_invalid_configuration_is_refused_in_one_line(self):
        good = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "seed": "0a",
            "limits": {"sockets": 256},
            "bulletin": "127.0.0.1:2",
            "known": {"no": 1, "items": [{"no": 1, "roster": {"full": True, "servers": []}}]},
            "settings": {"classes": [{"name": "a"}]},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c"
            path.write_text(json.dumps(good))
            self.assertEqual(configuration.read(path).listen, ("127.0.0.1", 1))
            for invalid in (
                *({key: value for key, value in good.items() if key != missing} for missing in good),
                {**good, "seed": "x"},
                {**good, "listen": 5},
                {**good, "settings": {}},
                [],
                {**good, "known": []},
            ):
                path.write_text(json.dumps(invalid))
                with self.assertRaises(configuration.InvalidConfiguration) as raised:
                    configuration.read(path)
                self.assertNotIn("\n", str(raised.exception))
            path.write_text("{")
            self.assertRaises(configuration.InvalidConfiguration, configuration.read, path)
            self.assertRaises(configuration.InvalidConfiguration, configuration.read, path / "none")


if __name__ == "__main__":
    unittest.main()
