"""WHIP and WHEP at a running front: requests on sessions, tokens and TLS, and that no retry makes a second session."""

import base64
import json
import secrets
import ssl
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio
import jwt

from curlewshift.client import Caller, Failed, Refused, SyncCaller, Wrong
from curlewshift.exchange.client import RequestNotSent, ask, connect
from curlewshift.exchange.server import serve
from curlewshift.exchange.tls import client_context
from curlewshift.limits.permits import InvalidKeySet, PermitDenied, Permits, allow, read_keys
from curlewshift.signalling.events import EventReader
from curlewshift.signalling.fragments import CONTENT_TYPE as FRAGMENT
from curlewshift.signalling.fragments import fragment_text
from curlewshift.signalling.sdp import PUBLISHES, offer_text
from curlewshift.site.authority import AuthorityError, issue, make_authority
from tests.fake import SECOND
from tests.sockets import FINGERPRINT, SDP, SmallSite, an_offer, async_test, until

HOST_CANDIDATE = "1 1 udp 2113929471 192.0.2.1 50000 typ host"


class ClientSession:
    """A client's session, set up with a plain HTTP request."""

    def __init__(self, site, response, ufrag, pwd):
        self.site, self.path, self.etag = site, response.headers["location"], response.headers["etag"]
        self.ufrag, self.pwd, self.response = ufrag, pwd, response

    @classmethod
    async def of(cls, site, package_name="clip", **options):
        ufrag, pwd = secrets.token_hex(4), secrets.token_hex(12)
        response = await site.ask(package_name, offer=offer_text(ufrag, pwd, FINGERPRINT).encode(), **options)
        assert response.status == 201, response
        return cls(site, response, ufrag, pwd)

    async def ask(self, method, path="", headers=(), body=b""):
        return await ask("127.0.0.1", self.site.port, method, self.path + path, headers, body)

    async def patch(self, if_match, fragment=None, kind=FRAGMENT):
        fragment = fragment or fragment_text(self.ufrag, self.pwd, [HOST_CANDIDATE])
        match = [("if-match", if_match)] if if_match is not None else []
        return await self.ask("PATCH", "", [("content-type", kind), *match], fragment.encode())


class SessionPatches(unittest.TestCase):
    @async_test
    async def test_candidates_are_passed_to_the_session_s_server_if_the_etag_matches(self):
        async with SmallSite(servers=2).up() as site:
            session = await ClientSession.of(site)
            self.assertEqual((await session.patch(session.etag)).status, 204)
            patched, held = site.traffic.all("patch")[0], site.traffic.all("session")[0]
            self.assertEqual((patched["server"], patched["session"], patched["candidates"]), (held["server"], held["session"], 1))
            for status, if_match, fragment, kind in (
                (428, None, None, FRAGMENT),
                (412, '"other"', None, FRAGMENT),
                (400, "untagged", None, FRAGMENT),
                (412, f"W/{session.etag}", None, FRAGMENT),
                (415, session.etag, None, "text/plain"),
                (400, session.etag, "a=ice-ufrag:x", FRAGMENT),
                (400, session.etag, "hello", FRAGMENT),
            ):
                response = await session.patch(if_match, fragment, kind)
                self.assertEqual(response.status, status, (if_match, fragment, kind))
                self.assertEqual(response.headers["content-type"], "application/problem+json")
            self.assertEqual(len(site.traffic.all("patch")), 1)

    @async_test
    async def test_ice_restart_changes_the_etag_and_the_session_address_survives_rung_changes(self):
        async with SmallSite(servers=1).up() as site:
            session = await ClientSession.of(site)
            await session.ask("POST", "/layer", [], b'{"encodingId":"1"}')
            await until(lambda: site.traffic.all("layer"))
            ufrag, pwd = secrets.token_hex(4), secrets.token_hex(12)
            restarted = await session.patch("*", fragment_text(ufrag, pwd))
            self.assertEqual((restarted.status, restarted.headers["content-type"]), (200, FRAGMENT))
            self.assertIn(b"a=ice-ufrag:", restarted.body)
            self.assertNotEqual(restarted.headers["etag"], session.etag)
            old = await session.patch(session.etag, fragment_text(ufrag, pwd, [HOST_CANDIDATE]))
            self.assertEqual((old.status, old.headers["etag"]), (412, restarted.headers["etag"]))
            new = await session.patch(restarted.headers["etag"], fragment_text(ufrag, pwd, [HOST_CANDIDATE], ended=True))
            self.assertEqual(new.status, 204)

    @async_test
    async def test_patch_of_a_session_whose_server_died_gets_404_or_504(self):
        async with SmallSite(servers=1).up() as site:
            session = await ClientSession.of(site)
            site.servers["s0"].die()
            await until(lambda: site.traffic.all("dead"))
            self.assertIn((await session.patch(session.etag)).status, (404, 504))
            await until(lambda: not site.front.session_core.front_sessions)
            self.assertEqual((await session.patch(session.etag)).status, 404)

    @async_test
    async def test_patches_queued_at_a_hanging_server_are_answered_when_the_session_ends(self):
        async with SmallSite(servers=1).up() as site:
            session = await ClientSession.of(site)
            site.servers["s0"].freeze()
            statuses = []

            async def patch():
                statuses.append((await session.patch(session.etag)).status)

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(patch)
                await until(lambda: len(next(iter(site.front.session_core.front_sessions.values())).commands.waiting) == 2)
                self.assertEqual((await session.ask("DELETE")).status, 200)
                await until(lambda: len(statuses) == 2)
                site.servers["s0"].unfreeze()
            self.assertEqual(sorted(statuses)[1:], [404, 404])
            await until(lambda: not site.servers["s0"].sessions)

    @async_test
    async def test_options_headers_and_unsupported_methods_follow_the_specifications(self):
        async with SmallSite(servers=1, site={"ice_servers": ('<stun:192.0.2.9>; rel="ice-server"',)}).up() as site:
            session = await ClientSession.of(site)
            headers = session.response.headers
            self.assertEqual(headers["accept-patch"], FRAGMENT)
            self.assertEqual(headers["access-control-allow-origin"], "*")
            for relation in ("ice-server", "core:layer", "core:server-sent-events"):
                self.assertIn(relation, headers["link"])
            for method in ("GET", "PUT", "POST"):
                self.assertEqual((await session.ask(method)).status, 405)
            options = await session.ask("OPTIONS")
            self.assertEqual((options.status, options.headers["accept-patch"]), (204, FRAGMENT))
            endpoint = await ask("127.0.0.1", site.port, "OPTIONS", "/whep/clip/t")
            self.assertEqual((endpoint.status, endpoint.headers["accept-post"]), (204, "application/sdp"))
            self.assertIn("PATCH", endpoint.headers["access-control-allow-methods"])
            self.assertEqual((await ask("127.0.0.1", site.port, "GET", "/whep/clip/t")).status, 405)

    @async_test
    async def test_event_stream_reports_the_rung_and_the_end(self):
        async with SmallSite(servers=1).up() as site:
            session = await ClientSession.of(site)
            subscribed = await session.ask("POST", "/events", [], b'["layers","inactive"]')
            self.assertEqual(subscribed.status, 201)
            self.assertEqual((await session.ask("POST", "/events", [], b'{"a":1}')).status, 400)
            connection, reader, events = await connect("127.0.0.1", site.port, 1.0), EventReader(), []
            self.assertEqual((await connection.begin("GET", subscribed.headers["location"])).status, 200)

            async def listen():
                async for piece in connection.pieces():
                    events.extend(reader.feed(piece))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listen)
                await until(lambda: events)
                await session.ask("POST", "/layer", [], b'{"encodingId":"1"}')
                await until(lambda: len(events) == 2)
                await session.ask("DELETE")
            await connection.close()
            active = [json.loads(event.data)["0"]["active"][0]["encodingId"] for event in events[:2]]
            self.assertEqual((active, events[2].kind), (["2", "1"], "inactive"))


class Publishing(unittest.TestCase):
    @async_test
    async def test_publishing_is_counted_like_viewing_and_limited_by_seats(self):
        async with SmallSite(servers=1).up() as site:
            caller = Caller([f"http://127.0.0.1:{site.port}"])

            def offer():
                return offer_text(secrets.token_hex(4), secrets.token_hex(12), FINGERPRINT, PUBLISHES)

            sessions = [await caller.publish("camera", "t", offer(), patience=1) for _ in range(2)]
            server = next(iter(site.front.session_core.server_list.servers.values()))
            self.assertEqual(server.link.own, 2 * site.packages[2].rates[2])
            with self.assertRaises(Refused):
                await caller.publish("camera", "t", offer(), patience=0.5)
            await sessions[0].close()
            await (await caller.publish("camera", "t", offer(), patience=1)).close()
            with self.assertRaises(Wrong):
                await caller.play("camera", "t", an_offer().decode(), patience=0.5)
            with self.assertRaises(Wrong):
                await caller.publish("clip", "t", offer(), patience=0.5)
            with self.assertRaises(Wrong):
                await caller.publish("camera", "t", an_offer().decode(), patience=0.5)


class Retries(unittest.TestCase):
    @async_test
    async def test_same_offer_without_a_key_joins_the_first_request_and_another_does_not(self):
        async with SmallSite(servers=1).up() as site:
            offer = an_offer()
            first, repeated, other = await site.ask(offer=offer), await site.ask(offer=offer), await site.ask()
            self.assertEqual(first.headers["location"], repeated.headers["location"])
            self.assertNotEqual(first.headers["location"], other.headers["location"])
            self.assertEqual(len(site.traffic.all("setup")), 2)

    @async_test
    async def test_late_answer_to_a_withdrawn_tune_in_is_read_and_its_session_ended(self):
        async with SmallSite(servers=1).up() as site:
            server = site.servers["s0"]
            server.ignores_hang_ups = True
            server.freeze()
            self.assertEqual((await site.ask("paid")).status, 502)
            server.unfreeze()
            await until(lambda: site.traffic.all("session-end"))
            self.assertEqual(site.traffic.all("session-end")[0]["why"], "deleted")
            self.assertEqual(len(site.traffic.all("setup")), 1)

    @async_test
    async def test_session_end_at_a_hanging_server_is_retried_until_it_answers(self):
        async with SmallSite(servers=1).up() as site:
            session = await ClientSession.of(site)
            site.servers["s0"].freeze()
            self.assertEqual((await session.ask("DELETE")).status, 200)
            with mock.patch("curlewshift.front.server_pool.CALL_TIMEOUT_S", 0.1):
                await until(lambda: any(pending.silent for pending in site.front.session_core.session_ends.servers.values()))
            site.servers["s0"].unfreeze()
            await until(lambda: not site.servers["s0"].sessions)
            await until(lambda: not len(site.front.session_core.session_ends))

    @async_test
    async def test_redirect_counts_as_not_run_and_is_not_followed(self):
        async with SmallSite(servers=2).up() as site:
            site.servers["s0"].redirects = True
            statuses = [(await site.ask("paid")).status for _ in range(4)]
            self.assertEqual(statuses, [201] * 4)
            self.assertEqual({event["server"] for event in site.traffic.all("session")}, {site.servers["s1"].name})

    @async_test
    async def test_server_that_drains_during_the_request_moves_it_to_another(self):
        async with SmallSite(servers=2).up() as site:
            site.servers["s0"].freeze()
            site.servers["s1"].freeze()
            answers = []

            async def send_request():
                answers.append((await site.ask("paid")).status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_request)
                await until(lambda: site.traffic.all("setup"))
                name = site.traffic.all("setup")[0]["server"]
                draining = next(server for server in site.servers.values() if server.name == name)
                draining.draining = True
                for server in site.servers.values():
                    server.unfreeze()
            self.assertEqual(answers, [201])
            self.assertNotEqual(site.traffic.all("session")[0]["server"], name)

    @async_test
    async def test_client_that_leaves_while_the_answer_arrives_ends_the_session(self):
        async with SmallSite(servers=1).up() as site:
            for _ in range(20):
                connection = await site.call()
                with anyio.move_on_after(0.012):
                    await connection.ask("POST", "/whep/clip/t", [SDP], an_offer())
                await connection.close()
            await until(lambda: site.front.session_core.waiting == 0)
            with anyio.fail_after(6):
                await until(lambda: not site.servers["s0"].sessions, 6)
                await until(lambda: not site.front.session_core.front_sessions, 6)


class ConcurrentRequests(unittest.TestCase):
    @async_test
    async def test_2001_requests_under_faults_get_one_answer_and_at_most_one_paid_set_up_each(self):
        site = SmallSite(servers=3, patience=SECOND)
        for machine in site.site.machines:
            machine.streams, machine.link, machine.cores = 5000, 1e8, 64
        async with site.up():
            answers, packages = {}, {}

            async def ask_twice(number):
                offer, key = an_offer(), [("idempotency-key", f"k{number}"), ("x-request-id", f"q{number}")]
                package_name = "paid" if number % 3 else "clip"

                async def send_request(repeated):
                    response = await site.ask(package_name, key, offer)
                    answers.setdefault(number, []).append((response.status, response.headers.get("location")))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_request, False)
                    if number % 2:
                        tasks.start_soon(send_request, True)
                packages[number] = package_name

            async def inject_faults():
                server = site.servers["s0"]
                for _ in range(6):
                    server.loses_answers = "reset"
                    await anyio.sleep(0.1)
                    server.loses_answers = ""
                    server.freeze()
                    await anyio.sleep(0.15)
                    server.unfreeze()
                    server.redirects = True
                    await anyio.sleep(0.1)
                    server.redirects = False

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(inject_faults)
                slots = anyio.CapacityLimiter(60)
                for number in range(1334):

                    async def slot(number=number):
                        async with slots:
                            await ask_twice(number)

                    tasks.start_soon(slot)
            self.assertEqual(sum(map(len, answers.values())), 1334 + 667)
            for number, got in answers.items():
                self.assertEqual((len(got), len(set(got))), (1 + number % 2, 1), number)
                self.assertIn(got[0][0], (201, 502, 503))
            ran = {}
            for event in site.traffic.all("ran"):
                ran.setdefault(event["request"], []).append(event)
            paid_twice = [request for request, events in ran.items() if len(events) > 1 and packages[int(request[1:])] == "paid"]
            self.assertEqual(paid_twice, [])
            self.assertGreater(sum(got[0][0] == 201 for got in answers.values()), 600)


class ClientLibrary(unittest.TestCase):
    @async_test
    async def test_caller_reuses_its_key_after_a_lost_answer_and_follows_a_redirect(self):
        async with SmallSite(servers=1).up() as site:
            seen, mode = [], ["cut"]

            async def front(exchange):
                seen.append(exchange.headers.get("idempotency-key"))
                if mode[0] == "cut":
                    mode[0] = "redirect"
                    exchange.abort()
                elif mode[0] == "redirect":
                    mode[0] = "refuse"
                    await exchange.answer(307, [("location", f"http://127.0.0.1:{site.port}/whep/clip/t")])

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            site.tasks.start_soon(serve, listener.listeners[0], front, lambda fault: None)
            caller = Caller([f"http://127.0.0.1:{port}", "http://127.0.0.1:1"], seed=1)
            session = await caller.play("clip", "t", an_offer().decode())
            self.assertEqual((len(seen), len(set(seen))), (2, 1))
            self.assertEqual(session.front, f"http://127.0.0.1:{site.port}")
            await session.allow(1)
            await session.close()
            await session.close()
            await until(lambda: not site.servers["s0"].sessions)

    @async_test
    async def test_caller_retries_after_a_refusal_and_gives_up_on_a_failure(self):
        async with SmallSite(servers=1).up() as site:
            caller = Caller(["http://127.0.0.1:1", f"http://127.0.0.1:{site.port}"], seed=1)
            site.servers["s0"].draining = True
            started_at = time.monotonic()

            async def reopen():
                await anyio.sleep(0.3)
                site.servers["s0"].draining = False

            site.tasks.start_soon(reopen)
            await (await caller.play("clip", "t", an_offer().decode())).close()
            self.assertGreater(time.monotonic() - started_at, 0.6)
            site.servers["s0"].loses_answers = "reset"
            with self.assertRaises(Failed):
                await caller.play("paid", "t", an_offer().decode())

    def test_example_scripts_run_against_the_stand_ins(self):
        root = Path(__file__).resolve().parents[1]

        async def async_test():
            async with SmallSite(servers=1).up() as site:
                for script, arguments in (("watch.py", ("clip", "t")), ("publish.py", ("camera", "t"))):
                    ran = await anyio.run_process(
                        [sys.executable, str(root / "examples" / script), f"http://127.0.0.1:{site.port}", *arguments],
                        cwd=root,
                        check=False,
                        env={"PYTHONPATH": str(root)},
                    )
                    self.assertEqual(ran.returncode, 0, ran.stderr.decode())

        anyio.run(async_test)

    def test_synchronous_caller(self):
        with self.assertRaises(Failed):
            SyncCaller(["http://127.0.0.1:1"]).play("clip", "t", an_offer().decode(), patience=0.3)


SECRET = {"kty": "oct", "kid": "one", "k": base64.urlsafe_b64encode(b"s" * 32).decode().rstrip("=")}
OTHER = {"kty": "oct", "kid": "two", "k": base64.urlsafe_b64encode(b"t" * 32).decode().rstrip("=")}


def token(row=SECRET, **claims):
    all_claims = {"sub": "desk-1", "exp": time.time() + 60, **claims}
    return jwt.encode(
        {name: value for name, value in all_claims.items() if value is not None},
        base64.urlsafe_b64decode(row["k"] + "="),
        "HS256",
        headers={"kid": row["kid"]},
    )


class Tokens(unittest.TestCase):
    @property
    def now(self):
        return time.time_ns()

    def refused(self, authorization):
        with self.assertRaises(PermitDenied) as found:
            Permits(read_keys(json.dumps({"keys": [SECRET]}).encode())).read(authorization, self.now)
        return found.exception.status, found.exception.error

    def test_missing_and_invalid_tokens_are_refused(self):
        unsigned = jwt.encode({"sub": "x", "exp": time.time() + 60}, None, "none", headers={"kid": "one"})
        for authorization in (None, "", "Basic eDp5", "Bearer "):
            self.assertEqual(self.refused(authorization), (401, ""))
        for authorization in (
            "x",
            "a.b.c",
            unsigned,
            token(OTHER),
            token({**SECRET, "k": OTHER["k"]}),
            token(exp=time.time() - 60),
            token(exp=None),
            token(exp="soon"),
            token(nbf=time.time() + 99),
            token(sub=None),
            "x" * 9000,
            token(addresses=["nowhere"]),
            token(packages=5),
        ):
            self.assertEqual(self.refused(f"Bearer {authorization}"), (401, "invalid_token"), authorization[:60])

    def test_permit_is_limited_to_its_claims(self):
        permits = Permits(read_keys(json.dumps({"keys": [SECRET]}).encode()))
        permit = permits.read(f"Bearer {token(packages=['clip'], titles=['t'], addresses=['127.0.0.0/8'])}", self.now)
        allow(permit, "clip", "t", False, "127.0.0.9")
        for wanted in (
            ("paid", "t", False, "127.0.0.9"),
            ("clip", "u", False, "127.0.0.9"),
            ("clip", "t", True, "127.0.0.9"),
            ("clip", "t", False, "192.0.2.1"),
        ):
            with self.assertRaises(PermitDenied) as found:
                allow(permit, *wanted)
            self.assertEqual(found.exception.status, 403)

    def test_invalid_key_sets_are_rejected(self):
        for raw in (
            b"",
            b"{}",
            b'{"keys":[]}',
            b'{"keys":[{"kty":"RSA","kid":"a"}]}',
            b'{"keys":[{"kty":"oct"}]}',
            b'{"keys":[{"kty":"oct","kid":"a","k":"c2hvcnQ"}]}',
        ):
            with self.assertRaises(InvalidKeySet):
                read_keys(raw)

    @async_test
    async def test_refused_token_causes_no_tune_in_and_keys_are_reloaded_while_running(self):
        with tempfile.TemporaryDirectory() as folder:
            keys = Path(folder) / "keys.json"
            keys.write_text(json.dumps({"keys": [SECRET]}))
            async with SmallSite(servers=1, site={"token_keys": keys}).up() as site:
                bearer = [("authorization", f"Bearer {token()}")]
                refused = await site.ask()
                self.assertEqual((refused.status, refused.headers["www-authenticate"]), (401, "Bearer"))
                scope = await site.ask(headers=[("authorization", f"Bearer {token(packages=['paid'])}")])
                self.assertEqual(scope.status, 403)
                self.assertIn("insufficient_scope", scope.headers["www-authenticate"])
                self.assertEqual(site.traffic.all("setup"), [])
                session = await ClientSession.of(site, headers=bearer)
                self.assertEqual((await session.ask("DELETE")).status, 401)
                other = [("authorization", f"Bearer {token(sub='desk-2')}")]
                self.assertEqual((await session.ask("DELETE", "", other)).status, 403)
                keys.write_text("{half")
                await anyio.sleep(1.2)
                self.assertEqual((await site.ask(headers=bearer)).status, 201)
                keys.write_text(json.dumps({"keys": [OTHER]}))
                await until(lambda: "two" in site.front.permits.keys)
                self.assertEqual((await site.ask(headers=bearer)).status, 401)
                self.assertEqual((await site.ask(headers=[("authorization", f"Bearer {token(OTHER)}")])).status, 201)


class Tls(unittest.TestCase):
    @async_test
    async def test_tls_with_a_private_authority_rejects_wrong_names_and_reloads_certificates(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            authority = make_authority(folder / "ca", "a test's")
            with self.assertRaises(AuthorityError):
                make_authority(folder / "ca", "again")
            pem, key = issue(folder / "ca", ["127.0.0.1"], folder / "door")
            self.assertEqual(key.stat().st_mode & 0o77, 0)
            async with SmallSite(servers=1, site={"tls": (pem, key)}).up() as site:
                base, context = f"https://127.0.0.1:{site.port}", client_context(authority)
                await (await Caller([base], tls=context).play("clip", "t", an_offer().decode())).close()
                with self.assertRaises(RequestNotSent):
                    await connect("localhost", site.port, 1.0, context)
                with self.assertRaises(RequestNotSent):
                    await connect("127.0.0.1", site.port, 1.0, ssl.create_default_context())
                old = client_context(authority)
                old.minimum_version = ssl.TLSVersion.MINIMUM_SUPPORTED
                old.maximum_version = ssl.TLSVersion.TLSv1_1
                with self.assertRaises(RequestNotSent):
                    await connect("127.0.0.1", site.port, 1.0, old)
                plain = await site.raw(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                self.assertNotIn(b"HTTP/1.1 2", plain)
                issue(folder / "ca", ["localhost"], folder / "door")
                before = site.front.tls.file_state
                await until(lambda: site.front.tls.file_state != before)
                with self.assertRaises(RequestNotSent):
                    await connect("127.0.0.1", site.port, 1.0, context)
                await (await connect("localhost", site.port, 1.0, context)).close()


if __name__ == "__main__":
    unittest.main()
