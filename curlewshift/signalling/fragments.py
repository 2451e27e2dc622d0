"""Trickle ICE fragments (RFC 8840), which a client sends by PATCH to add candidates or to restart ICE (RFC 9725, 4.3)."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from curlewshift.signalling.sdp import ICE_CHARS, InvalidDescription

CONTENT_TYPE = "application/trickle-ice-sdpfrag"
MAX_FRAGMENT_CHARACTERS = 16 * 1024
MAX_CANDIDATES = 200
# RFC 8839, 5.1: foundation, component, transport, priority, address, port, typ, and extensions as name-value pairs
CANDIDATE = re.compile(
    r"[A-Za-z0-9+/]{1,32} [0-9]{1,5} [A-Za-z0-9-]+ [0-9]{1,10} \S+ [0-9]{1,5} typ [a-z0-9-]+( \S+ \S+)*", re.ASCII
)


@dataclass(slots=True)
class MediaSection:
    """The candidates of one media section, identified by its mid; `ended`: no more will follow."""

    mid: str
    candidates: list[str] = field(default_factory=list)
    ended: bool = False


@dataclass(slots=True)
class Fragment:
    """A parsed fragment: the ICE credentials and the candidates of each media section."""

    ufrag: str
    pwd: str
    parts: list[MediaSection]

    def restarts(self, ufrag: str) -> bool:
        """True if the fragment starts a new ICE session, that is, has another `ufrag` than the session in force."""
        return self.ufrag != ufrag


def parse_fragment(text: str) -> Fragment:
    """Parses a fragment; unknown attributes are ignored, as RFC 8840 (4.4) requires. Raises `InvalidDescription`."""
    if len(text) > MAX_FRAGMENT_CHARACTERS:
        raise InvalidDescription(0, f"the fragment is longer than {MAX_FRAGMENT_CHARACTERS} characters")
    ufrag = pwd = ""
    parts: list[MediaSection] = []
    has_media_line, count = False, 0
    for number, raw in enumerate(text.split("\n"), 1):
        line = raw.rstrip("\r")
        if not line:
            continue
        kind, equals, value = line[0], line[1:2], line[2:]
        if equals != "=" or not kind.islower():
            raise InvalidDescription(number, f"expected letter=value, got {line[:40]!r}")
        if kind == "m":
            # a pseudo "m=" line: its content is ignored, the attributes after it belong to the section
            has_media_line = True
            parts.append(MediaSection(""))
            continue
        if kind != "a":
            continue
        name, _, rest = value.partition(":")
        if name == "ice-ufrag":
            ufrag = _credential(number, "a=ice-ufrag", rest, 4)
        elif name == "ice-pwd":
            pwd = _credential(number, "a=ice-pwd", rest, 22)
        elif name == "mid":
            if not parts or parts[-1].mid:
                parts.append(MediaSection(""))
            parts[-1].mid = rest
        elif name in ("candidate", "end-of-candidates"):
            if not parts:
                raise InvalidDescription(number, f"a={name} before any media section (m= and a=mid)")
            count += 1
            if count > MAX_CANDIDATES:
                raise InvalidDescription(number, f"over {MAX_CANDIDATES} candidates")
            if name == "end-of-candidates":
                parts[-1].ended = True
            elif parts[-1].ended:
                raise InvalidDescription(number, "a candidate after the end of candidates")
            elif not CANDIDATE.fullmatch(rest):
                raise InvalidDescription(number, "a=candidate is not as RFC 8839, 5.1 has it")
            else:
                parts[-1].candidates.append(rest)
    if not ufrag or not pwd:
        raise InvalidDescription(0, "the fragment has no a=ice-ufrag and a=ice-pwd (RFC 8840, 4.4)")
    if has_media_line and any(not part.mid for part in parts):
        raise InvalidDescription(0, "a media section of the fragment has no a=mid")
    return Fragment(ufrag, pwd, parts)


def _credential(number: int, name: str, value: str, min_length: int) -> str:
    if not min_length <= len(value) <= 256 or not ICE_CHARS.fullmatch(value):
        raise InvalidDescription(number, f"{name} is not {min_length} to 256 ICE characters (RFC 8839, 5.4)")
    return value


def fragment_text(ufrag: str, pwd: str, candidates: list[str] = (), mid: str = "0", ended: bool = False) -> str:
    """Encodes a trickle ICE fragment."""
    lines = [f"a=ice-ufrag:{ufrag}", f"a=ice-pwd:{pwd}"]
    if candidates or ended:
        lines += ["m=video 9 UDP/TLS/RTP/SAVPF 0", f"a=mid:{mid}"]
        lines += [f"a=candidate:{candidate}" for candidate in candidates]
        lines += ["a=end-of-candidates"] * ended
    return "\r\n".join(lines) + "\r\n"
