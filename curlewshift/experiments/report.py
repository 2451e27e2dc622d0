"""Report of an experiment: SVG charts and one self-contained HTML page."""

from __future__ import annotations

import io
from html import escape
from pathlib import Path

from curlewshift.experiments.experiment import Experiment
from curlewshift.experiments.table import Cell

STYLE = """body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}.wrong{color:#a00}"""


def chart(experiment: Experiment, result_cells: list[Cell], measure: str) -> str:
    """Chart of one measure against the first factor, one line for each combination of the others, as SVG text."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = experiment.name
    figure, panel = pyplot.subplots(figsize=(8, 4))
    first_factor = next(iter(experiment.factors))
    lines: dict[str, list[Cell]] = {}
    for cell in result_cells:
        if cell.measure == measure and cell.seeds:
            lines.setdefault(", ".join(f"{name} {level}" for name, level in cell.levels[1:]) or first_factor, []).append(cell)
    levels = experiment.factors[first_factor]
    numbers = all(_number(level) is not None for level in levels)
    for name, cells in lines.items():
        positions = [_number(cell.levels[0][1]) if numbers else levels.index(cell.levels[0][1]) for cell in cells]
        panel.errorbar(
            positions,
            [cell.median for cell in cells],
            yerr=[[cell.median - cell.low for cell in cells], [cell.high - cell.median for cell in cells]],
            marker="o",
            markersize=4,
            capsize=3,
            linewidth=1,
            label=name,
        )
    if not numbers:
        panel.set_xticks(range(len(levels)), levels, rotation=20)
    elif min(map(float, levels)) > 0 and max(map(float, levels)) / min(map(float, levels)) > 20:
        panel.set_xscale("log")
    panel.set_xlabel(first_factor)
    panel.set_ylabel(f"{measure} (median, 95%)")
    panel.legend(fontsize=7)
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def _number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def write_report(experiment: Experiment, result_cells: list[Cell], revision: str, out: Path) -> Path:
    """Writes `report.html` and a chart for each measure to `out`; returns the path of the page."""
    out.mkdir(parents=True, exist_ok=True)
    parts = [
        f"<h1>{escape(experiment.name)}</h1><p>{escape(experiment.question)}</p>"
        f"<p>Simulated, revision {escape(revision)}; {experiment.seeds} seeds; sizes "
        f"{escape(', '.join(f'{name} {value:g}' for name, value in experiment.sizes.items()))}.</p>"
    ]
    for measure in experiment.measures:
        svg = chart(experiment, result_cells, measure)
        (out / f"{measure}.svg").write_text(svg)
        rows = "".join(_row(cell) for cell in result_cells if cell.measure == measure)
        parts.append(
            f"<h2>{measure}</h2>{svg}<table><tr><th>levels</th><th>median</th><th>95%</th><th>seeds</th>"
            f"<th>against {escape(experiment.baseline or 'nothing')}</th><th>invalid runs</th></tr>{rows}</table>"
        )
    page = out / "report.html"
    page.write_text(
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{escape(experiment.name)}</title>"
        f"<style>{STYLE}</style>{''.join(parts)}</html>\n"
    )
    return page


def _row(cell: Cell) -> str:
    levels = ", ".join(f"{name} {level}" for name, level in cell.levels)
    difference = "" if cell.difference is None else "{:+.3f} ({:+.3f} to {:+.3f})".format(*cell.difference)
    row_class = " class='wrong'" if cell.invalid_runs else ""
    return (
        f"<tr{row_class}><td>{escape(levels)}</td><td>{cell.median:.3f}</td><td>{cell.low:.3f} to {cell.high:.3f}</td>"
        f"<td>{cell.seeds}</td><td>{difference}</td><td>{cell.invalid_runs or ''}</td></tr>"
    )
