"""The day as a picture: answers, rungs, use and troubles over time, from the traffic."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

NS = 1_000_000_000


def draw_day(events: list[dict], path: Path) -> None:
    """Writes an SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    day = next(event for event in events if event["ev"] == "day")
    begins, lasts = day["begins"], day["lasts"] / NS

    def at(event):
        return (event["at"] - begins) / NS

    seconds = range(0, int(lasts) + 8)
    held = [event for event in events if event["ev"] == "held"]
    rows = 5 if held else 4
    figure, panels = pyplot.subplots(rows, 1, figsize=(11, 2.5 * rows), sharex=True, height_ratios=(3, 2, 2, 3, 3)[:rows])
    answers, rungs, use, troubles = panels[:4]
    bottom = [0] * len(seconds)
    for name, status, colour in (("plays", 201, "#3a7d44"), ("refused", 503, "#e3a72f"), ("failed", 502, "#b3312c")):
        counted = Counter(int(at(event)) for event in events if event["ev"] == "answer" and event["status"] == status)
        heights = [counted[second] for second in seconds]
        answers.bar(seconds, heights, 0.9, bottom, label=name, color=colour, align="edge")
        bottom = [low + height for low, height in zip(bottom, heights)]
    answers.set_ylabel("answers a second")
    answers.legend(loc="upper right")
    samples = [event for event in events if event["ev"] == "use"]
    times = [at(event) for event in samples]
    rungs.plot(times, [event["rung"] for event in samples], color="#2b5c8a")
    rungs.set_ylabel("mean rung played")
    rungs.set_ylim(bottom=0)
    use.plot(times, [event["asked"] / event["gives"] if event["gives"] else 0 for event in samples], label="mean")
    use.plot(times, [event["fullest"] for event in samples], label="fullest link", linewidth=0.8)
    use.axhline(1, color="#888", linewidth=0.6)
    use.set_ylabel("asked over given")
    use.legend(loc="upper right")
    befell = [event for event in events if event["ev"] == "trouble"]
    for row, event in enumerate(befell):
        troubles.barh(row, event["lasts"], left=at(event), color="#b0655a")
        troubles.text(at(event), row, " " + event["kind"], va="center", fontsize=8)
    troubles.set_ylabel("troubles")
    troubles.set_yticks([])
    troubles.set_xlabel("seconds of the day")
    troubles.set_xlim(0, lasts + 8)
    if held:
        _draw_room(panels[4], events, held, at, seconds)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_room(panel, events: list[dict], held: list[dict], at, seconds) -> None:
    """Room held and used (kB a second), and the value answered each second, by package."""
    for package in sorted({event["package"] for event in held}):
        rooms = Counter()
        for event in held:
            if event["package"] == package:
                rooms[int(at(event))] += event["room"]
        panel.plot(seconds, [rooms[second] for second in seconds], label=f"held for {package}")
    samples = [event for event in events if event["ev"] == "use"]
    for package in sorted({package for event in samples for package in event.get("used", {})}):
        panel.plot(
            [at(event) for event in samples],
            [event["used"].get(package, 0) for event in samples],
            linestyle=":",
            label=f"used by {package}",
        )
    panel.set_ylabel("kB a second")
    panel.legend(loc="upper left", fontsize=7)
    value = panel.twinx()
    package_of = {event["request"]: event["package"] for event in events if event["ev"] == "ask"}
    for package in sorted(set(package_of.values())):
        counted = Counter(
            int(at(event))
            for event in events
            if event["ev"] == "answer" and event["status"] == 201 and package_of.get(event["request"]) == package
        )
        value.step(seconds, [counted[second] for second in seconds], linewidth=0.6, where="post", label=package)
    value.set_ylabel("starts a second")
    panel.set_xlabel("seconds of the day")
