"""Writes a search result as a fault injection script, so that it can be run again in the emulator and on sockets."""

from __future__ import annotations

import os
from pathlib import Path

from lxml import etree

from curlewshift.search.search import SearchResult


def write_result(found: SearchResult, path: Path) -> None:
    """Writes the script to `path`; its site is given relative to that folder."""
    script = found.script
    root = etree.Element(
        "rehearsal",
        site=os.path.relpath(script.site_path.resolve(), path.parent.resolve()),
        lasts=f"{script.lasts:g}s",
        seed=str(script.seed),
    )
    if found.broken or found.limit_exceeded:
        description = f"breaks {', '.join(found.broken) or 'off: ' + found.limit_exceeded}"
    else:
        description = f"service {found.service:.3f}, {found.gap:.3f} under an oracle's"
    root.append(etree.Comment(f" Found by search and shrunk; simulated: {description} "))
    viewers = etree.SubElement(
        root,
        "viewers",
        {
            "each-second": f"{script.each_second:g}",
            "come-again": f"{script.come_again:g}",
            "hang-up-and-retry": f"{script.hang_up:g}",
            "hang-up-and-leave": f"{script.leave:g}",
        },
    )
    for planned_viewing in script.planned_viewings:
        etree.SubElement(
            viewers,
            "wants",
            package=planned_viewing.package,
            share=f"{planned_viewing.share:g}",
            watches=f"{planned_viewing.watches:g}s",
        )
    for trouble in script.troubles:
        etree.SubElement(
            root,
            "trouble",
            kind=trouble.kind,
            at=f"{trouble.at:g}s",
            lasts=f"{trouble.lasts:g}s",
            part=f"{trouble.part:g}",
            size=f"{trouble.size:g}",
        )
    path.parent.mkdir(parents=True, exist_ok=True)
    etree.ElementTree(root).write(str(path), encoding="utf-8", xml_declaration=True, pretty_print=True)
