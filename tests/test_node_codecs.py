import json
import struct
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from curlewshift.node import configuration, discovery, isup, rtsp

VIEWER = (
    b"SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n"
    b"Content-Length: 6\r\n\r\na\r\n\r\nb"
    + rtsp.release("9b1f03aa5c7e2d41", 41)
    + rtsp.answer(453, "1", "9b1f03aa5c7e2d41", fields="X-Pause: 700\r\n")
)
ID = bytes(range(8))
SERVER = isup.set_up(ID, "clip", "aa", 900, 2, b"\0\xff") + isup.release(ID, isup.RESET) + isup.probed(ID, True)
RECORD = struct.pack(">I4sHBBBHIQ", 0x00C41F7A, bytes((10, 1, 0, 9)), 5080, 1, 0, 1, 2, 4500, 77)
FRAMES = struct.pack(">IQB", 9, 4, 0) + struct.pack(">IQB", 9 + 54, 5, 2) + RECORD * 2


def fed(reader, pieces):
    return [message for piece in pieces for message in reader.feed(piece)]


class EverySplit(unittest.TestCase):
    def test_messages_come_out_the_same_wherever_the_bytes_are_cut(self):
        for data, kind, plain in (
            (VIEWER, rtsp.Reader, lambda m: (m.method, m.status, m.fields, m.body)),
            (SERVER, isup.Reader, lambda m: m),
            (FRAMES, discovery.Reader, lambda m: m),
        ):
            whole = [plain(message) for message in fed(kind(), [data])]
            self.assertEqual(len(whole), 2 if kind is discovery.Reader else 3)
            for at in range(1, len(data)):
                self.assertEqual([plain(message) for message in fed(kind(), [data[:at], data[at:]])], whole)
            self.assertEqual([plain(m) for m in fed(kind(), [data[at : at + 1] for at in range(len(data))])], whole)

    def test_what_was_whole_before_the_noise_is_not_lost(self):
        for reader, data, wrong in (
            (rtsp.Reader(), VIEWER + b"\x91\xf5\n", rtsp.Malformed),
            (isup.Reader(), SERVER + b"\xff\xff\x09", isup.Malformed),
            (discovery.Reader(), FRAMES + b"\xff" * 13, discovery.Malformed),
        ):
            with self.assertRaises(wrong) as raised:
                reader.feed(data)
            self.assertGreaterEqual(len(raised.exception.before), 2)

    def test_records_tell_id_address_and_weight(self):
        told = []
        discovery.each_record(RECORD, lambda *row: told.append(row))
        self.assertEqual(told, [("s-00c41f7a", ("10.1.0.9", 5080), 1, 0, 1, 2, 4.5, 77)])


class Noise(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.one_of(st.binary(max_size=200), st.sampled_from([VIEWER, SERVER, FRAMES, b"SETUP ", b"\r\n\r\n"])), max_size=6
        )
    )
    def test_no_bytes_do_more_than_be_malformed_and_none_are_gathered_without_bound(self, pieces):
        for reader, wrong in (
            (rtsp.Reader(), rtsp.Malformed),
            (isup.Reader(), isup.Malformed),
            (discovery.Reader(), discovery.Malformed),
        ):
            try:
                for message in fed(reader, pieces):
                    if wrong is isup.Malformed:
                        isup.report_of(message[2])
            except wrong:
                pass
            self.assertLessEqual(len(reader.held), 17 * 1024)

    def test_lengths_and_heads_that_cannot_be_are_told_at_once(self):
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

    def test_a_report_keeps_what_is_a_number(self):
        self.assertEqual(isup.report_of({isup.REPORT: b"x0:0.7;x1:nan;queue:-3;odd;x2:many;x3:1e99"}), {"x0": 0.7})


class Told(unittest.TestCase):
    def test_a_configuration_without_a_part_is_refused_in_one_line(self):
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
            for spoilt in (
                *({key: value for key, value in good.items() if key != left} for left in good),
                {**good, "seed": "x"},
                {**good, "listen": 5},
                {**good, "settings": {}},
                [],
                {**good, "known": []},
            ):
                path.write_text(json.dumps(spoilt))
                with self.assertRaises(configuration.Unreadable) as raised:
                    configuration.read(path)
                self.assertNotIn("\n", str(raised.exception))
            path.write_text("{")
            self.assertRaises(configuration.Unreadable, configuration.read, path)
            self.assertRaises(configuration.Unreadable, configuration.read, path / "none")


if __name__ == "__main__":
    unittest.main()
