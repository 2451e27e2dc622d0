"""Coordinated load shedding on the channel: rounds and levels are bodies of one frame kind. Held by front/front.py.

A round is a member's measured load, a level the amount of shedding in a zone. Without peers the same object sheds by the load
of its own front alone.
"""

from __future__ import annotations

from random import Random
from typing import Annotated

import anyio
import msgspec
from msgspec import Meta

from curlewshift.membership.member import Member
from curlewshift.overload.overload import Overload
from curlewshift.overload.terms import OverloadTerms
from curlewshift.session_core.shedding import Shedding

KIND = 19
NS = 1_000_000_000
Count = Annotated[int, Meta(ge=0, lt=2**62)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Zone = Annotated[str, Meta(max_length=64)]


class Body(msgspec.Struct, array_like=True, omit_defaults=True):
    """A round (if `cut` is negative) or a level."""

    number: Count
    zone: Zone
    cut: Annotated[int, Meta(ge=-1, lt=2**20)] = -1
    why: Annotated[str, Meta(max_length=120)] = ""
    asks: Annotated[list[tuple[Annotated[int, Meta(ge=0, lt=2**20)], Amount]], Meta(max_length=128)] = []
    begun: Amount = 0.0
    short: Amount = 0.0


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


class OverloadProtocol(Shedding):
    """Driver of `Overload`. `channel` is None if the front has no peers."""

    overload_class = Overload

    def __init__(self, channel, front, local_name: str, names: frozenset[str], terms: OverloadTerms, log, rng: Random):
        super().__init__(lambda: front.session_core, front.site.packages)
        self.channel, self.front, self.names, self.log = channel, front, names, log
        self.life = channel.membership.local_member.life if channel is not None else 0
        self.message_count = self.malformed = 0
        self.overload = self.overload_class(self, local_name, front.site.packages, terms, rng)
        if channel is not None:
            channel.register_handler(KIND, self.handle_message)

    async def run(self) -> None:
        every = self.overload.terms.every / NS
        while True:
            try:
                self.round()
            except Exception as error:
                self.log.error("fault", what="overload", cause=repr(error), exc_info=error)
            await anyio.sleep(every)

    def handle_message(self, sender: Member, data: bytes) -> None:
        try:
            body = DECODER.decode(data)
        except msgspec.DecodeError:
            self.malformed += 1
            return
        if sender.name not in self.names:
            return
        if body.cut < 0:
            self.overload.receive_round(sender.name, sender.life, body.number, body.zone, body.asks, body.begun, body.short)
        else:
            self.overload.receive_level(body.zone, body.cut, body.why)

    # ---- the driver of `Overload`

    def now(self) -> int:
        return self.front.now()

    def wall(self) -> int:
        return self.front.wall()

    def members(self) -> list[str]:
        if self.channel is None:
            return []
        return [member.name for member in self.channel.membership.ring if member.name in self.names]

    def connections_refused(self) -> int:
        return self.front.gate.none_left + self.front.gate.dropped

    def _send(self, to: str, body: Body) -> None:
        member = self.channel.membership.members.get(to)
        if member is not None and member.is_present:
            self.channel.send(member, KIND, ENCODER.encode(body))

    def send_round(self, to: str, zone: str, asks: list[tuple[int, float]], begun: float, short: float) -> None:
        self.message_count += 1
        self._send(to, Body(self.message_count, zone, asks=asks, begun=begun, short=short))

    def send_level(self, to: str, zone: str, cut: int, why: str) -> None:
        self.message_count += 1
        self._send(to, Body(self.message_count, zone, cut, why[:120]))

    def level_changed(self, zone: str, cut: int, before: int, why: str) -> None:
        if not cut or not before:
            self.log.info("shedding" if cut else "sheds-no-more", zone=zone, cut=cut, of=self.overload.order.top, cause=why)

    def show(self) -> dict:
        return {**self.overload.show(), "malformed": self.malformed}
