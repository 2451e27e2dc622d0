"""Tables and a chart of a scale run."""

from __future__ import annotations

import itertools
from pathlib import Path

from rich.table import Table


def tables(figures: dict) -> list[Table]:
    usage = Table(title=f"a node of {figures['nodes']}, quiet")
    for column in ("part", "bytes/s mean", "worst", "datagrams/s", "core mean", "worst", "memory kB"):
        usage.add_column(column, justify="left" if column == "part" else "right")
    for part, row in figures["a_node"].items():
        size, count, core = (row.get(name, {}) for name in ("bytes_a_second", "datagrams_a_second", "core"))
        usage.add_row(
            part,
            *(_number(value) for value in (size.get("mean"), size.get("worst"), count.get("mean"))),
            *(_share(value) for value in (core.get("mean"), core.get("worst"))),
            _number(row.get("memory_kB")),
        )
    fault_table = Table(title="faults")
    for column in ("fault", "struck", "known after s", "agreed after s", "bytes/s while", "after", "worst", "core after"):
        fault_table.add_column(column, justify="left" if column == "fault" else "right")
    for fault in figures["faults"]:
        during, after = fault["while"]["all"], fault["after"]["all"]
        fault_table.add_row(
            fault["kind"],
            str(fault["struck"]),
            _number(fault["known_s"]),
            _number(fault["converged_s"]),
            _number(during["bytes_a_second"]["mean"]),
            _number(after["bytes_a_second"]["mean"]),
            _number(after["bytes_a_second"]["worst"]),
            _share(after.get("core", {}).get("mean")),
        )
    verdict = Table(title="verdict, from the relays and the real nodes' listeners")
    verdict.add_column("")
    verdict.add_column("", justify="right")
    for name, value in figures["verdict"].items():
        verdict.add_row(name.replace("_", " "), str(value))
    return [usage, fault_table, verdict]


def _number(value) -> str:
    return "" if value is None else f"{value:,.1f}" if isinstance(value, float) else f"{value:,}"


def _share(value) -> str:
    return "" if value is None else f"{100 * value:.3f}%"


def draw(seen: dict[int, int], stretches: list[tuple[str, float, float]], nodes: int, path: Path) -> None:
    """Writes an SVG: bytes per second and node over the run, as the relays saw them, with the stretches marked. `seen`: total
    bytes relayed up to each second."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, panel = pyplot.subplots(figsize=(11, 4))
    seconds = sorted(seen)
    if seconds:
        begins = seconds[0]
        rates = [
            max(0.0, (seen[later] - seen[earlier]) / (later - earlier) / nodes) for earlier, later in itertools.pairwise(seconds)
        ]
        panel.plot([second - begins for second in seconds[1:]], rates, color="#2b5c8a")
        for number, (name, begun, ended) in enumerate(stretches):
            panel.axvspan(begun - begins, ended - begins, color="#b0655a" if number % 2 else "#3a7d44", alpha=0.12)
            panel.text(begun - begins, panel.get_ylim()[1], " " + name, fontsize=7, rotation=90, va="top")
    panel.axhline(4000, color="#888", linewidth=0.6)
    panel.set_ylabel("bytes a second a node")
    panel.set_xlabel("seconds of the run")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
