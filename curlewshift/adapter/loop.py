"""The loop over batches of events, and one front for each instance that the bench runs."""

from __future__ import annotations

import traceback

from curlewshift.adapter.codec import Fields, Malformed, boot_of, fields_of, load_of, outcome_of, time_text
from curlewshift.deployment import Fleet, terms_of, use_of
from curlewshift.model import ListedServer, Server, Viewing
from curlewshift.rules import Rules


class Front:
    """One instance: maps ids of the protocol to objects, and implements the host interface that its rules act through."""

    def __init__(self, who: str, now: int, seed: int, boot: dict, reply: list[str]):
        self.who, self.clock, self.reply = who, now, reply
        self.fleet = Fleet(boot)
        self.servers = self.fleet.servers
        self.viewings: dict[int, Viewing] = {}
        self.report_names = (boot.get("telemetry") or {}).get("fields") or []
        terms = terms_of(boot, now, seed)
        self.packages = {package.name: package for package in terms.packages}
        self.rules = Rules(self, terms)

    # ---- the host interface, see curlewshift/host.py

    def now(self) -> int:
        return self.clock

    def tune_in(self, viewing, server, until):
        self._reply("issue", f"call={viewing.name}\tserver={server.name}\ttry_until_ms={time_text(until)}")

    def set_rung(self, viewing, rung):
        self._reply("set_level", f"call={viewing.name}\tgrade={rung}")

    def block(self, viewing, wait):
        self.viewings.pop(viewing.name, None)
        self._reply("not_now", f"call={viewing.name}\twait_ms={time_text(wait)}")

    def abort(self, viewing):
        self.viewings.pop(viewing.name, None)
        self._reply("surrender", f"call={viewing.name}")

    def probe(self, server):
        self._reply("poll", f"server={server.name}")

    def wake(self, at):
        self._reply("arm", f"nonce=tick\tinstant_ms={time_text(at)}")

    def _reply(self, name, rest):
        self.reply.append(f"{name}\twho={self.who}\t{rest}\n")

    # ---- events of the protocol, dispatched by name

    def dispatch(self, fields: Fields, lists: dict[int, list[Fields]]) -> None:
        handler = getattr(self, "on_" + fields.kind, None)
        if handler is None:
            raise Malformed(f"unknown message {fields.kind!r}")
        if fields.kind == "fleet":
            handler(fields, lists)
        else:
            handler(fields)

    def on_fleet(self, fields, lists):
        kind = fields.text("kind")
        if kind == "Error":
            return
        slot = fields.integer("slot")
        if slot not in lists:
            raise Malformed(f"fleet: no list has number {slot}")
        named, lines = set(), []
        for row in lists[slot]:
            server = self._listed(row)
            named.add(server.name)
            lines.append(ListedServer(server, row.text("readiness") == "on", row.time("up_since_ms", 0)))
        if kind != "Partial":
            lines += [ListedServer(server, False, server.started) for server in self.servers.values() if server.name not in named]
        self.rules.listed(lines, stale=kind == "Persisted")

    def on_query(self, fields):
        viewing = self._viewing(fields)
        self.viewings[viewing.name] = viewing
        self.rules.wanted(viewing)

    def on_open(self, fields):
        viewing = self._viewing(fields)
        self.viewings[viewing.name] = viewing
        self.rules.handed_over(viewing, self.fleet.server(fields.text("server")))

    def on_begun(self, fields):
        viewing = self.viewings.get(fields.integer("call"))
        if viewing is not None:
            self.rules.begun(viewing)

    def on_hint_update(self, fields):
        viewing = self.viewings.get(fields.integer("call"))
        server = self.servers.get(fields.text("server"))
        topic, level = fields.integer("topic"), fields.number("level")
        if server is None:
            return
        if topic == 1:
            self.rules.delivered(server, level)
        elif topic == 2 and viewing is not None:
            self.rules.rung_reported(viewing, int(level))
        elif topic == 3:
            self.rules.link_report_received(server, level)
        elif topic == 4:
            self.rules.uplink_report_received(server, level)

    def on_done(self, fields):
        viewing = self.viewings.get(fields.integer("call"))
        outcome = outcome_of(fields)
        report = load_of(fields, self.report_names)
        server = self.servers.get(fields.text("server"))
        if server is not None and report:
            self._report(server, report)
        if viewing is None or fields.integer("hop", 0) != max(viewing.tune_ins - 1, 0):
            return
        closed = fields.flag("closed") or viewing.ended
        if closed:
            del self.viewings[viewing.name]
        self.rules.ended(viewing, outcome, closed)

    def on_lapsed(self, fields):
        viewing = self.viewings.get(fields.integer("call"))
        if viewing is not None:
            self.rules.left(viewing)
            if viewing.server is None:
                del self.viewings[viewing.name]

    def on_fired(self, fields):
        if fields.text("nonce") == "tick":
            self.rules.tick()

    def on_echo(self, fields):
        server = self.servers.get(fields.text("server"))
        if server is not None:
            self._report(server, load_of(fields, self.report_names))
            self.rules.probed(server, outcome_of(fields))

    def on_message(self, fields):
        """Ignored, as fronts share no state in this adapter."""

    def _report(self, server, report):
        link, uplink = use_of(report)
        if link is not None:
            self.rules.link_report_received(server, link)
        if uplink is not None:
            self.rules.uplink_report_received(server, uplink)

    # ---- ids to objects

    def _viewing(self, fields) -> Viewing:
        package = self.packages.get(fields.text("class"))
        if package is None:
            raise Malformed(f"{fields.kind}: class={fields.text('class')!r} is not among the settings")
        return Viewing(
            name=fields.integer("call"),
            title=fields.text("title", ""),
            placement_hash=fields.hex_key("path_key"),
            package=package,
            ceiling=int(fields.number("ceiling_rung", package.top)),
            requested_at=self.clock,
            expires=fields.time("expires_ms", 0) or self.clock + package.patience,
            holders=self.fleet.holders(int(fields.number("base", 0)), int(fields.number("span", 1 << 30))),
            expected=fields.time("predicted_ms", 0),
            came_back=fields.flag("came_back"),
            moved=fields.flag("back_from_move"),
        )

    def _listed(self, row: Fields) -> Server:
        return self.fleet.place_listed(
            row.text("server"),
            row.integer("position", 0),
            row.text("rack_zone", ""),
            row.text("type", ""),
            row.number("heft", 1.0),
        )


class Bench:
    """All fronts of this process. They share only the input and output streams."""

    def __init__(self):
        self.fronts: dict[str, Front] = {}
        self.failed: set[str] = set()
        self.lists: dict[int, list[Fields]] = {}
        self.reply: list[str] = []
        self.now = 0

    def dispatch(self, fields: Fields) -> None:
        who = fields.text("who")
        if fields.kind == "up":
            self.failed.discard(who)
            seed = fields.integer("nonce64", 0)
            boot = boot_of(fields.text("boot_info"))
            self._run_guarded(who, lambda: self.fronts.__setitem__(who, Front(who, self.now, seed, boot, self.reply)))
            return
        front = self.fronts.get(who)
        if front is None:
            if who in self.failed or fields.kind == "teardown":
                return
            raise Malformed(f"{fields.kind}: instance {who} was never started")
        if fields.kind == "teardown":
            del self.fronts[who]
            self.failed.add(who)
            return
        front.clock = self.now
        self._run_guarded(who, lambda: front.dispatch(fields, self.lists))

    def _run_guarded(self, who, step):
        try:
            step()
        except Malformed:
            raise
        except Exception as error:  # the only place where an exception of the rules becomes a `fault` reply with its cause
            traceback.print_exc()
            self.fronts.pop(who, None)
            self.failed.add(who)
            self.reply.append(f"fault\twho={who}\treason_text={type(error).__name__}: {' '.join(str(error).split())}\n")


def serve(source, sink, errors) -> int:
    """Reads batches from `source` and writes replies to `sink` until the input ends; returns the exit status: 0, or 2 after a
    malformed line, which is named on `errors`."""
    bench, rows_left, slot, in_batch = Bench(), 0, -1, False
    number = 0
    try:
        for raw in source:
            number += 1
            line = raw.decode("utf-8").rstrip("\r\n")
            if not line:
                continue
            if line == "over_to_you":
                if not in_batch or rows_left:
                    raise Malformed("over_to_you out of place")
                in_batch = False
                sink.write("".join(bench.reply).encode() + b"finished\n")
                sink.flush()
                bench.reply.clear()
                continue
            fields = fields_of(line)
            if fields.kind == "round":
                if in_batch:
                    raise Malformed("round before the last batch was closed")
                in_batch, bench.now = True, fields.time("time_ms")
            elif not in_batch:
                raise Malformed(f"{fields.kind!r} outside a batch")
            elif rows_left:
                if fields.kind != "m":
                    raise Malformed(f"{fields.kind!r} where {rows_left} more list lines were due")
                fields.text("server"), fields.text("readiness")
                bench.lists[slot].append(fields)
                rows_left -= 1
            elif fields.kind == "snapshot_rows":
                slot, rows_left = fields.integer("slot"), fields.integer("items")
                bench.lists[slot] = []
            else:
                bench.dispatch(fields)
        if in_batch:
            raise Malformed("input ended inside a batch")
    except (Malformed, UnicodeDecodeError) as error:
        print(f"curlewshift: line {number}: {error}", file=errors)
        return 2
    return 0
