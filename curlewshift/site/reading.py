"""Reads XML files, validates them against a schema and converts units. All errors of a file are reported at once, with lines.

Used for site settings, rehearsal scripts (fault injection), experiments and size files. An invalid file raises `SiteErrors` only.
"""

from __future__ import annotations

import re
from pathlib import Path

from lxml import etree

XSD_NAMESPACE = "{http://www.w3.org/2001/XMLSchema}"
NS_PER_MS = 1_000_000
DURATION_UNITS = {"ms": NS_PER_MS, "s": 1000 * NS_PER_MS, "min": 60_000 * NS_PER_MS, "h": 3_600_000 * NS_PER_MS}
# in kB/s
RATE_UNITS = {"kB/s": 1.0, "MB/s": 1000.0, "kbit/s": 0.125, "Mbit/s": 125.0}
TYPE_DESCRIPTIONS = {
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
    """All errors of a file: `errors` has (line, text) pairs, ordered by line."""

    def __init__(self, path: Path | str, errors: list[tuple[int, str]]):
        self.path, self.errors = path, sorted(set(errors))
        super().__init__("\n".join(f"{path}:{line}: {error}" for line, error in self.errors))


def parse_duration(text: str) -> int:
    """Converts a duration with its unit to nanoseconds."""
    number, unit = re.fullmatch(r"([0-9.]+)([a-z]+)", text).groups()
    return round(float(number) * DURATION_UNITS[unit])


def parse_rate(text: str) -> float:
    """Converts a rate with its unit to kB/s."""
    number, unit = re.fullmatch(r"([0-9.]+)(.+)", text).groups()
    return float(number) * RATE_UNITS[unit]


def read_xml(path: Path | str, schema: Path, raw: bytes | None = None) -> etree._Element:
    """The root element of a file, validated against `schema`; `raw` replaces the content of the file. Raises `SiteErrors`."""
    try:
        raw = Path(path).read_bytes() if raw is None else raw
    except OSError as error:
        raise SiteErrors(path, [(0, f"the file cannot be read: {error.strerror}")]) from None
    # neither entities nor network access, against XML external entity and entity expansion attacks
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False)
    try:
        root = etree.fromstring(raw, parser)
    except etree.XMLSyntaxError as error:
        raise SiteErrors(path, [(error.lineno or 0, f"this is not XML: {error.msg}")]) from None
    tree = etree.parse(str(schema))
    validator = etree.XMLSchema(tree)
    if not validator.validate(root):
        types = attribute_types(tree)
        raise SiteErrors(path, [(entry.line, readable_message(entry.message, types)) for entry in validator.error_log])
    return root


def attribute_types(schema) -> dict[tuple[str, str], str]:
    """The type of each (element, attribute): its name, or the list of values if it is an enumeration."""
    enumerations = {
        kind.get("name"): ", ".join(value.get("value") for value in kind.iter(XSD_NAMESPACE + "enumeration"))
        for kind in schema.iter(XSD_NAMESPACE + "simpleType")
    }
    types = {}
    for element in schema.iter(XSD_NAMESPACE + "element"):
        for attribute in element.iterfind(f"{XSD_NAMESPACE}complexType/{XSD_NAMESPACE}attribute"):
            kind = attribute.get("type")
            types[element.get("name"), attribute.get("name")] = enumerations.get(kind) or kind
    return types


# Patterns of messages of the schema library (libxml2), and functions that give the readable text.
MESSAGE_PATTERNS = (
    (r"Element '(.+?)': The attribute '(.+?)' is required", lambda element, name: f"{element}: {name} is missing"),
    (
        r"Element '(.+?)', attribute '(.+?)': The attribute '.+?' is not allowed",
        lambda element, name: f"{element}: there is no {name} here",
    ),
    (
        r"Element '(.+?)': This element is not expected\. Expected is (?:one of )?\( (.+?) \)",
        lambda given, names: f"expected {names.replace(', ', ' or ')} here, but {given} came",
    ),
    (
        r"Element '(.+?)': Missing child element\(s\)\. Expected is (?:one of )?\( (.+?) \)",
        lambda element, names: f"{element}: {names.replace(', ', ' or ')} is missing inside",
    ),
    (r"Element '(.+?)': Duplicate key-sequence \['(.+?)'\]", lambda element, name: f"{element}: {name!r} is there twice"),
)


def readable_message(message: str, types: dict[tuple[str, str], str]) -> str:
    """Rewrites an error message of the schema library for the author of the file; an unknown message stays as it is."""
    value = re.match(r"Element '(.+?)', attribute '(.+?)': (?:\[facet '.+?'\] The value )?'(.*?)' (?:is|has) ", message)
    if value:
        element, attribute, given = value.groups()
        kind = types.get((element, attribute), "")
        expected = TYPE_DESCRIPTIONS.get(kind) or (f"one of {kind}" if ", " in kind else "something else")
        return f"{element}: {attribute} should be {expected}, but is {given!r}"
    for pattern, formatter in MESSAGE_PATTERNS:
        match = re.match(pattern, message)
        if match:
            return formatter(*match.groups())
    return message
