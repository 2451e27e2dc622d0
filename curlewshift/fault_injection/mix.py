"""A day of any mix of troubles, drawn by a seed: another script's site and viewers, and these troubles at drawn times."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random

from lxml import etree

from curlewshift.standins.script import USUAL

# The first seconds are quiet, and so are the last ones of the day.
QUIET = 2.0


def mixed_script(base: Path, kinds: list[str], seed: int, out: Path) -> Path:
    """Writes `script.xml` beside a copy of its site into `out`. Raises `ValueError` for a kind that there is not."""
    for kind in kinds:
        if kind not in USUAL or kind == "peak":
            raise ValueError(f"there is no trouble {kind!r}, but {', '.join(name for name in USUAL if name != 'peak')}")
    out.mkdir(parents=True, exist_ok=True)
    tree = etree.parse(str(base))
    root, rng = tree.getroot(), Random(f"{seed} {' '.join(kinds)}")
    for element in [*root.iterfind("trouble"), *root.iterfind("announce")]:
        root.remove(element)
    length = float(root.get("lasts").removesuffix("s"))
    for kind in kinds:
        lasts = min(USUAL[kind][0], length / 3)
        at = rng.uniform(QUIET, max(QUIET + 0.1, length - lasts - QUIET))
        etree.SubElement(root, "trouble", kind=kind, at=f"{at:.2f}s", lasts=f"{lasts:g}s")
    site = base.parent / root.get("site")
    shutil.copyfile(site, out / site.name)
    root.set("site", site.name)
    root.set("seed", str(seed))
    path = out / "script.xml"
    tree.write(str(path), encoding="utf-8", xml_declaration=True, pretty_print=True)
    return path
