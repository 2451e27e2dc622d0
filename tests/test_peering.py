"""Members that know each other over real sockets: a front under a flood of datagrams, and several processes under faults."""

import json
import re
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from random import Random

import structlog

from curlewshift.fault_injection.processes import free_ports
from curlewshift.membership.member import Rank
from curlewshift.membership.terms import default_membership_terms
from curlewshift.peering.wire import PeerSocket
from curlewshift.schedule.clock import SkewedClock
from curlewshift.site.site import ListenAddress, Peers
from tests.fake import MS, SECOND
from tests.sockets import SmallSite, async_test, until

ROOT = Path(__file__).resolve().parents[1]
FRONTS = 4


class FloodedPeerPort(unittest.TestCase):
    @async_test
    async def test_flood_of_garbage_at_the_peer_port_costs_no_viewing(self):
        ports = free_ports(2, Random(), socket.SOCK_DGRAM)
        peers = Peers([("127.0.0.1", ports[0])], default_membership_terms(200 * MS), 64_000)
        small = SmallSite(site={"peers": peers})
        small.site.front_addresses[0].peers_listen = small.site.front_addresses[0].peers_reach = ("127.0.0.1", ports[0])
        async with small.up() as site:
            other = PeerSocket(
                "test",
                ListenAddress("g", "", 0, ("127.0.0.1", ports[1]), ("127.0.0.1", ports[1])),
                peers,
                SkewedClock(),
                structlog.wrap_logger(structlog.ReturnLogger()),
                Random(1),
            )
            site.tasks.start_soon(other.run)
            membership, channel = site.front.peers.channel.membership, site.front.peers.channel
            await until(lambda: membership.size == 2 and other.channel.membership.size == 2)
            flood, rng = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), Random(2)
            with flood:
                for number in range(30):
                    for _ in range(300):
                        data = rng.choice((b"", b"CWP\x01", b"CWP\x02")) + rng.randbytes(rng.choice((0, 40, 1300)))
                        flood.sendto(data, ("127.0.0.1", ports[0]))
                    answered = await site.ask()
                    self.assertEqual(answered.status, 201, number)
            refused = channel.refused
            for why in ("oversized", "other-form", "other-version", "spoilt"):
                self.assertGreater(refused[why], 0, why)
            # the peer's clock is set back while it runs
            other.clock.skew(1.0, -600 * SECOND)
            await until(lambda: other.channel.membership.steady.stalls == 1)
            await until(
                lambda: (
                    membership.members["g"].rank is Rank.ALIVE
                    and membership.members["g"].last_seen_at > membership.now - 600 * MS
                )
            )
            await other.leave()
            await until(lambda: membership.members["g"].rank is Rank.LEFT)


class FencedActs(unittest.TestCase):
    @async_test
    async def test_server_refuses_an_act_of_an_earlier_tenure_without_counting_as_a_server_fault(self):
        async with SmallSite(servers=1).up() as site:
            server = next(iter(site.front.session_core.rules.servers))
            for number, accepted in ((7, True), (5, False), (7, True), (8, True)):
                site.front.server_pool.probe(server, f"probe/1;{number}")
                await until(lambda: site.traffic.all("act") and site.traffic.all("act")[-1]["number"] == number)
                self.assertEqual(site.traffic.all("act")[-1]["accepted"], accepted, number)
            site.front.server_pool.probe(server, "probe/2;1")
            await until(lambda: len(site.traffic.all("act")) == 5)
            self.assertEqual((site.traffic.all("act")[-1]["accepted"], server.fault_score), (True, 0.0))


class SeveralProcesses(unittest.TestCase):
    """`SCRIPT`: the faults that fit into a short fault injection run."""

    SCRIPT = """<rehearsal site="site.xml" lasts="11s" seed="3">
  <viewers each-second="8" come-again="0.9"><wants package="receipt" share="0.5" watches="3s"/>
    <wants package="review" share="0.5" watches="3s"/></viewers>
  <trouble kind="spoilt" at="0.5s" lasts="8s" size="0.1"/>
  <trouble kind="late" at="0.6s" lasts="8s" size="3"/>
  <trouble kind="pause" at="0.5s" lasts="4s" part="0.25"/>
  <trouble kind="clock-step" at="2s" part="0.25" size="600"/>
  <trouble kind="front-crash" at="7s" lasts="2s" part="0.25"/>
  <trouble kind="cut" at="9.2s" lasts="1.6s" part="0.5"/>
</rehearsal>
"""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        site = (ROOT / "examples" / "lease-site.xml").read_text().replace("f1 f2 f3 f4 f5", "f1 f2 f3")
        for number in range(FRONTS + 1, 9):
            site = re.sub(rf' *<front name="f{number}".*\n', "", site)
        (self.folder / "site.xml").write_text(site.replace('period="500ms"', 'period="250ms"').replace('"10s" most', '"5s" most'))
        (self.folder / "day.xml").write_text(self.SCRIPT)

    def rehearse(self, *more):
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "curlewshift",
                "rehearse",
                str(self.folder / "day.xml"),
                "--out",
                str(self.folder / "-".join(["out", *more[1:2]])),
                *more,
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def test_short_fault_injection_run_passes_and_fails_if_suspicions_are_not_refuted(self):
        regular, sabotaged = self.rehearse(), self.rehearse("--sabotage", "deaf-incarnation")
        output = [run.communicate(timeout=120) for run in (regular, sabotaged)]
        verdict = json.loads((self.folder / "out" / "verdict.json").read_text())
        members = verdict["members"]
        self.assertEqual(
            (regular.returncode, [rule["broken"] for rule in verdict["rules"].values()], members["broken"]),
            (0, [0] * 6, False),
            (output, members),
        )
        self.assertGreater(verdict["requests"], 40)
        self.assertGreater(members["spoilt"], 5)
        self.assertGreater(members["detected"], 0)
        self.assertGreater(members["agreed_times"], 0)
        # shared budgets and leases are checked from the servers' traffic
        self.assertEqual((verdict["bounds"]["overdrawn"], verdict["leases"]["overlaps"]), (0, 0), verdict)
        self.assertGreater(verdict["leases"]["acts"], 10)
        verdict = json.loads((self.folder / "out-deaf-incarnation" / "verdict.json").read_text())
        self.assertEqual((sabotaged.returncode, verdict["members"]["broken"]), (1, True), output)
        logged = [json.loads(line) for line in (self.folder / "out" / "f1.log").read_text().splitlines()]
        self.assertTrue(any(line["event"] == "member" and line["cause"] for line in logged))


if __name__ == "__main__":
    unittest.main()
