"""XML files against their schema, and the units in them. Every mistake is told at once, with file and line.

Used for the site's settings and for rehearsal scripts. Raises `SiteErrors`; nothing else comes of a bad file.
"""

from __future__ import annotations

import re
from pathlib import Path

from lxml import etree

XS = "{http://www.w3.org/2001/XMLSchema}"
MS = 1_000_000
SPANS = {"ms": MS, "s": 1000 * MS, "min": 60_000 * MS, "h": 3_600_000 * MS}
# kB a second
RATES = {"kB/s": 1.0, "MB/s": 1000.0, "kbit/s": 0.125, "Mbit/s": 125.0}
FORMS = {
    "span": "a time with its unit, such as 250ms, 5s or 2min",
    "rate": "a rate with its unit, such as 740kB/s or 6Mbit/s",
    "address": "host:port, such as 127.0.0.1:8080",
    "word": "1 to 64 letters, digits, dots, dashes or underscores",
    "words": "names with spaces between",
    "share": "a number from 0 to 1",
    "positive": "a number above 0",
    "xs:positiveInteger": "a whole number above 0",
    "xs:nonNegativeInteger": "a whole number, 0 or more",
    "xs:boolean": "true or false",
    None: "an address of an ICE server, such as stun:host or turn:host:port",
    "xs:decimal": "a number",
}


class SiteErrors(Exception):
    """All that is wrong with a file: (line, what) pairs, in the order of the file."""

    def __init__(self, path: Path | str, errors: list[tuple[int, str]]):
        self.path, self.errors = path, sorted(set(errors))
        super().__init__("\n".join(f"{path}:{line}: {wrong}" for line, wrong in self.errors))


def parse_duration(text: str) -> int:
    """Nanoseconds."""
    number, unit = re.fullmatch(r"([0-9.]+)([a-z]+)", text).groups()
    return round(float(number) * SPANS[unit])


def parse_rate(text: str) -> float:
    """kB a second."""
    number, unit = re.fullmatch(r"([0-9.]+)(.+)", text).groups()
    return float(number) * RATES[unit]


def read_xml(path: Path | str, schema: Path, raw: bytes | None = None) -> etree._Element:
    """The root element of a file that fits the schema; of `raw` where its bytes are at hand. Raises `SiteErrors`."""
    try:
        raw = Path(path).read_bytes() if raw is None else raw
    except OSError as wrong:
        raise SiteErrors(path, [(0, f"the file cannot be read: {wrong.strerror}")]) from None
    # no entities and no network: a settings file is text and nothing else
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False)
    try:
        root = etree.fromstring(raw, parser)
    except etree.XMLSyntaxError as wrong:
        raise SiteErrors(path, [(wrong.lineno or 0, f"this is not XML: {wrong.msg}")]) from None
    tree = etree.parse(str(schema))
    form = etree.XMLSchema(tree)
    if not form.validate(root):
        types = types_of(tree)
        raise SiteErrors(path, [(entry.line, plain(entry.message, types)) for entry in form.error_log])
    return root


def types_of(schema) -> dict[tuple[str, str], str]:
    """The type's name, or the words allowed, of each attribute by element and attribute."""
    words = {
        kind.get("name"): ", ".join(value.get("value") for value in kind.iter(XS + "enumeration"))
        for kind in schema.iter(XS + "simpleType")
    }
    types = {}
    for element in schema.iter(XS + "element"):
        for attribute in element.iterfind(f"{XS}complexType/{XS}attribute"):
            kind = attribute.get("type")
            types[element.get("name"), attribute.get("name")] = words.get(kind) or kind
    return types


# What the schema's library says of the other mistakes, and how it is said to people.
WORDS = (
    (r"Element '(.+?)': The attribute '(.+?)' is required", lambda element, name: f"{element}: {name} is missing"),
    (
        r"Element '(.+?)', attribute '(.+?)': The attribute '.+?' is not allowed",
        lambda element, name: f"{element}: there is no {name} here",
    ),
    (
        r"Element '(.+?)': This element is not expected\. Expected is (?:one of )?\( (.+?) \)",
        lambda came, names: f"expected {names.replace(', ', ' or ')} here, but {came} came",
    ),
    (
        r"Element '(.+?)': Missing child element\(s\)\. Expected is (?:one of )?\( (.+?) \)",
        lambda element, names: f"{element}: {names.replace(', ', ' or ')} is missing inside",
    ),
    (r"Element '(.+?)': Duplicate key-sequence \['(.+?)'\]", lambda element, name: f"{element}: {name!r} is there twice"),
)


def plain(message: str, types: dict[tuple[str, str], str]) -> str:
    """One mistake as the schema's library tells it, in words for who wrote the file."""
    value = re.match(r"Element '(.+?)', attribute '(.+?)': (?:\[facet '.+?'\] The value )?'(.*?)' (?:is|has) ", message)
    if value:
        element, attribute, came = value.groups()
        kind = types.get((element, attribute), "")
        form = FORMS.get(kind) or (f"one of {kind}" if ", " in kind else "something else")
        return f"{element}: {attribute} should be {form}, but is {came!r}"
    for pattern, words in WORDS:
        said = re.match(pattern, message)
        if said:
            return words(*said.groups())
    return message
