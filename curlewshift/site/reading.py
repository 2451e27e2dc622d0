"""XML files against their schema, and the units in them. Every mistake is told at once, with file and line.

Used for the site's settings and for rehearsal scripts. Raises `Mistakes`; nothing else comes of a bad file.
"""

from __future__ import annotations

import re
from pathlib import Path

from lxml import etree

MS = 1_000_000
SPANS = {"ms": MS, "s": 1000 * MS, "min": 60_000 * MS, "h": 3_600_000 * MS}
# kB a second
RATES = {"kB/s": 1.0, "MB/s": 1000.0, "kbit/s": 0.125, "Mbit/s": 125.0}
FORMS = {
    "span": "a time with its unit, such as 250ms, 5s or 2min",
    "rate": "a rate with its unit, such as 740kB/s or 6Mbit/s",
    "address": "host:port, such as 127.0.0.1:8080",
    "word": "1 to 64 letters, digits, dots, dashes or underscores",
    "share": "a number from 0 to 1",
    "positive": "a number above 0",
    "xs:positiveInteger": "a whole number above 0",
    "xs:nonNegativeInteger": "a whole number, 0 or more",
    "xs:boolean": "true or false",
    "xs:decimal": "a number",
}


class Mistakes(Exception):
    """All that is wrong with a file: (line, what) pairs, in the order of the file."""

    def __init__(self, path: Path | str, found: list[tuple[int, str]]):
        self.path, self.found = path, sorted(set(found))
        super().__init__("\n".join(f"{path}:{line}: {wrong}" for line, wrong in self.found))


def span(text: str) -> int:
    """Nanoseconds."""
    number, unit = re.fullmatch(r"([0-9.]+)([a-z]+)", text).groups()
    return round(float(number) * SPANS[unit])


def rate(text: str) -> float:
    """kB a second."""
    number, unit = re.fullmatch(r"([0-9.]+)(.+)", text).groups()
    return float(number) * RATES[unit]


def read_xml(path: Path | str, schema: Path) -> etree._Element:
    """The root element of a file that fits the schema. Raises `Mistakes`."""
    try:
        raw = Path(path).read_bytes()
    except OSError as wrong:
        raise Mistakes(path, [(0, f"the file cannot be read: {wrong.strerror}")]) from None
    # no entities and no network: a settings file is text and nothing else
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, huge_tree=False)
    try:
        root = etree.fromstring(raw, parser)
    except etree.XMLSyntaxError as wrong:
        raise Mistakes(path, [(wrong.lineno or 0, f"this is not XML: {wrong.msg}")]) from None
    form = etree.XMLSchema(etree.parse(str(schema)))
    if not form.validate(root):
        raise Mistakes(path, [(entry.line, plain(entry.message)) for entry in form.error_log if telling(entry.message)])
    return root


def telling(message: str) -> bool:
    """The schema says one mistake twice, once by pattern and once by type; the second has what was expected."""
    return "[facet" not in message or "maxInclusive" in message or "minInclusive" in message


def plain(message: str) -> str:
    value = re.match(r"Element '(.+?)', attribute '(.+?)': '(.*)' is not a valid value of the (?:atomic|list|local atomic) "
                     r"type '(.+?)'", message)
    if value:
        element, attribute, came, kind = value.groups()
        return f"{element}: {attribute} should be {FORMS.get(kind, kind)}, but is {came!r}"
    missing = re.match(r"Element '(.+?)': The attribute '(.+?)' is required", message)
    if missing:
        return f"{missing[1]}: {missing[2]} is missing"
    strange = re.match(r"Element '(.+?)', attribute '(.+?)': The attribute '.+?' is not allowed", message)
    if strange:
        return f"{strange[1]}: there is no {strange[2]} here"
    expected = re.match(r"Element '(.+?)': This element is not expected\. Expected is (?:one of )?\( (.+?) \)", message)
    if expected:
        return f"expected {expected[2].replace(', ', ' or ')} here, but {expected[1]} came"
    short = re.match(r"Element '(.+?)': Missing child element\(s\)\. Expected is (?:one of )?\( (.+?) \)", message)
    if short:
        return f"{short[1]}: {short[2].replace(', ', ' or ')} is missing inside"
    twice = re.match(r"Element '(.+?)': Duplicate key-sequence \['(.+?)'\]", message)
    if twice:
        return f"{twice[1]}: {twice[2]!r} is there twice"
    return message
