"""Scripts with a mix of faults at random times: the site and the viewers of another script, and faults drawn by a seed."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

from lxml import etree

from curlewshift.standins.script import USUAL

# No fault is injected in the first and in the last seconds of the run.
QUIET_S = 2.0


def mixed_script(base: Path, kinds: list[str], seed: int, out: Path) -> Path:
    """Writes `script.xml` and a copy of its site file into `out`. Raises `ValueError` for an unknown kind of fault."""
    for kind in kinds:
        if kind not in USUAL or kind == "peak":
            raise ValueError(f"unknown trouble {kind!r}; the kinds are {', '.join(name for name in USUAL if name != 'peak')}")
    out.mkdir(parents=True, exist_ok=True)
    tree = etree.parse(str(base))
    root, rng = tree.getroot(), Random(f"{seed} {' '.join(kinds)}")
    for element in [*root.iterfind("trouble"), *root.iterfind("announce")]:
        root.remove(element)
    length = float(root.get("lasts").removesuffix("s"))
    for kind in kinds:
        duration = min(USUAL[kind][0], length / 3)
        at = rng.uniform(QUIET_S, max(QUIET_S + 0.1, length - duration - QUIET_S))
        etree.SubElement(root, "trouble", kind=kind, at=f"{at:.2f}s", lasts=f"{duration:g}s")
    site = base.parent / root.get("site")
    shutil.copyfile(site, out / site.name)
    root.set("site", site.name)
    root.set("seed", str(seed))
    path = out / "script.xml"
    tree.write(str(path), encoding="utf-8", xml_declaration=True, pretty_print=True)
    return path
