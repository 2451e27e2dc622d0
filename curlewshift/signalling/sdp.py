"""Session descriptions (RFC 8866) as offered and answered over WHEP (draft-ietf-wish-whep, RFC 3264, RFC 8829).

Used by the front's HTTP listener, which rejects an invalid offer before any set-up is tried, and by the stand-ins (test doubles
of media servers and viewers).
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field

# Well above what browsers send; a longer description is rejected unparsed.
MAX_DESCRIPTION_CHARACTERS = 64 * 1024
FINGERPRINT = re.compile(r"[a-z0-9-]+ ([0-9A-F]{2}:)+[0-9A-F]{2}", re.IGNORECASE)
ICE_CHARS = re.compile(r"[A-Za-z0-9+/]+")


class InvalidDescription(Exception):
    """A session description or fragment is invalid. The text starts with the line number, unless that is 0."""

    def __init__(self, line: int, reason: str):
        super().__init__(f"line {line}: {reason}" if line else reason)


@dataclass(slots=True)
class Media:
    """A media section; `line` is the number of its "m=" line."""

    kind: str
    port: int
    line: int
    attributes: dict[str, list[str]] = field(default_factory=dict)


@dataclass(slots=True)
class Description:
    """A parsed session description: session-level attributes and media sections."""

    attributes: dict[str, list[str]]
    media: list[Media]

    def first(self, name: str, media: Media) -> str | None:
        """The first value of an attribute in this media section, or at session level if the section lacks it (RFC 8866, 5.13)."""
        values = media.attributes.get(name) or self.attributes.get(name)
        return values[0] if values else None


def parse(text: str) -> Description:
    """Parses the session-level and media-level attributes, in order. Raises `InvalidDescription`."""
    if len(text) > MAX_DESCRIPTION_CHARACTERS:
        raise InvalidDescription(0, f"the description is longer than {MAX_DESCRIPTION_CHARACTERS} characters")
    lines = text.split("\n")
    session: dict[str, list[str]] = {}
    media: list[Media] = []
    session_line_types = ""
    for number, raw in enumerate(lines, 1):
        line = raw.rstrip("\r")
        if not line:
            if any(rest.strip() for rest in lines[number:]):
                raise InvalidDescription(number, "an empty line inside the description")
            break
        kind, equals, value = line[0], line[1:2], line[2:]
        if equals != "=" or not kind.islower():
            raise InvalidDescription(number, f"expected letter=value, got {line[:40]!r}")
        if number == 1 and line != "v=0":
            raise InvalidDescription(1, f"expected 'v=0', got {line[:40]!r}")
        session_line_types += kind if not media else ""
        if kind == "m":
            media.append(_media(number, value))
        elif kind == "a":
            name, _, rest = value.partition(":")
            attributes = media[-1].attributes if media else session
            attributes.setdefault(name, []).append(rest)
    for kind, name in (("o", "origin"), ("s", "session name"), ("t", "time")):
        if kind not in session_line_types:
            raise InvalidDescription(0, f"the {name} line ({kind}=) is missing")
    return Description(session, media)


def _media(number: int, value: str) -> Media:
    parts = value.split()
    if len(parts) < 4:
        raise InvalidDescription(number, "expected 'm=kind port protocol formats'")
    port = parts[1].partition("/")[0]
    if not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise InvalidDescription(number, f"{parts[1]!r} is no port")
    if parts[2] not in ("UDP/TLS/RTP/SAVPF", "UDP/TLS/RTP/SAVP"):
        raise InvalidDescription(number, f"expected UDP/TLS/RTP/SAVPF, got {parts[2]!r}")
    return Media(parts[0], int(port), number)


# The signalling protocols, and the directions that the media of an offer may have in each: WHEP plays, WHIP publishes.
PLAYS, PUBLISHES = "whep", "whip"
DIRECTIONS = {PLAYS: ("recvonly", "sendrecv"), PUBLISHES: ("sendonly", "sendrecv")}


def checked_offer(text: str, protocol: str = PLAYS) -> Description:
    """Parses an offer and checks what WHEP requires of a player, or WHIP of a publisher (RFC 9725, 4.2 and 4.4). Raises
    `InvalidDescription`."""
    offer = parse(text)
    if not offer.media:
        raise InvalidDescription(0, "the offer has no media section (m=)")
    for media in offer.media:
        _check_transport(offer, media)
        if "rtcp-mux" not in media.attributes:
            raise InvalidDescription(media.line, "this media section has no a=rtcp-mux (RFC 9725, 4.4.1)")
        if not set(DIRECTIONS[protocol]) & media.attributes.keys():
            raise InvalidDescription(media.line, f"the offer has to be {' or '.join(DIRECTIONS[protocol])} here")
    _check_bundle(offer)
    return offer


def _check_transport(offer: Description, media: Media) -> None:
    for name in ("ice-ufrag", "ice-pwd", "fingerprint", "setup"):
        if offer.first(name, media) is None:
            raise InvalidDescription(media.line, f"this media section has no a={name}")
    ufrag, pwd = offer.first("ice-ufrag", media), offer.first("ice-pwd", media)
    if not 4 <= len(ufrag) <= 256 or not ICE_CHARS.fullmatch(ufrag):
        raise InvalidDescription(media.line, "a=ice-ufrag is not 4 to 256 ICE characters (RFC 8839, 5.4)")
    if not 22 <= len(pwd) <= 256 or not ICE_CHARS.fullmatch(pwd):
        raise InvalidDescription(media.line, "a=ice-pwd is not 22 to 256 ICE characters (RFC 8839, 5.4)")
    if not FINGERPRINT.fullmatch(offer.first("fingerprint", media)):
        raise InvalidDescription(media.line, "a=fingerprint is not 'hash XX:XX:...' (RFC 8122, 5)")
    if offer.first("setup", media) not in ("actpass", "active"):
        raise InvalidDescription(media.line, "a=setup of an offer has to be actpass, or active (RFC 9725, 4.4.5)")


def _check_bundle(offer: Description) -> None:
    """Checks that one bundle contains every media section and that their mids are unique (RFC 9143, 7.2; RFC 9725, 4.4.1)."""
    groups = [group.split()[1:] for group in offer.attributes.get("group", []) if group.split()[:1] == ["BUNDLE"]]
    if len(groups) != 1:
        raise InvalidDescription(0, f"the offer has {len(groups)} bundles (a=group:BUNDLE), it needs one")
    mids = []
    for media in offer.media:
        mid = media.attributes.get("mid", [""])[0]
        if not mid or mid in mids:
            raise InvalidDescription(media.line, f"a=mid of this media section is {'missing' if not mid else 'there twice'}")
        mids.append(mid)
        if mid not in groups[0]:
            raise InvalidDescription(media.line, f"this media section ({mid}) is not in the bundle")


def identity(offer: Description) -> str:
    """A hash of the ICE credentials and the fingerprint, equal for the same offer sent again."""
    media = offer.media[0]
    parts = [offer.first(name, media) or "" for name in ("ice-ufrag", "ice-pwd", "fingerprint")]
    return hashlib.blake2b("\n".join(parts).encode(), digest_size=16).hexdigest()


def offer_text(ufrag: str, pwd: str, fingerprint: str, protocol: str = PLAYS) -> str:
    """Encodes an offer with one video section."""
    return _text(
        [
            "v=0",
            f"o=- {int.from_bytes(ufrag.encode()[:6], 'big')} 1 IN IP4 127.0.0.1",
            "s=-",
            "t=0 0",
            "a=group:BUNDLE 0",
            "m=video 9 UDP/TLS/RTP/SAVPF 96",
            "c=IN IP4 0.0.0.0",
            "a=mid:0",
            f"a={DIRECTIONS[protocol][0]}",
            f"a=ice-ufrag:{ufrag}",
            f"a=ice-pwd:{pwd}",
            f"a=fingerprint:{fingerprint}",
            "a=setup:actpass",
            "a=rtcp-mux",
            "a=rtpmap:96 VP8/90000",
        ]
    )


def answer_text(offer: Description, ufrag: str, pwd: str, fingerprint: str, host: str, port: int) -> str:
    """Encodes a server's answer to every media section of the offer, with a single host candidate for the media."""
    lines = ["v=0", "o=- 1 1 IN IP4 127.0.0.1", "s=-", "t=0 0"]
    lines += [f"a=group:{group}" for group in offer.attributes.get("group", [])]
    for media in offer.media:
        lines += [f"m={media.kind} 9 UDP/TLS/RTP/SAVPF 96", "c=IN IP4 0.0.0.0"]
        lines += [f"a=mid:{mid}" for mid in media.attributes.get("mid", [])]
        lines += [
            "a=recvonly" if "sendonly" in media.attributes else "a=sendonly",
            f"a=ice-ufrag:{ufrag}",
            f"a=ice-pwd:{pwd}",
            f"a=fingerprint:{fingerprint}",
            "a=setup:passive",
            "a=rtcp-mux",
            f"a=candidate:1 1 tcp 2105458943 {host} {port} typ host tcptype passive",
        ]
    return _text(lines)


def candidate_of(answer: Description) -> tuple[str, int]:
    """Host and port of the answer's first candidate. Raises `InvalidDescription`."""
    value = answer.first("candidate", answer.media[0]) if answer.media else None
    parts = (value or "").split()
    if len(parts) < 6 or not parts[5].isdigit():
        raise InvalidDescription(0, "the answer has no candidate")
    return parts[4], int(parts[5])


def _text(lines: list[str]) -> str:
    return "\r\n".join(lines) + "\r\n"
