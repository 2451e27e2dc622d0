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
    figure, (answers, rungs, use, troubles) = pyplot.subplots(
        4, 1, figsize=(11, 10), sharex=True, height_ratios=(3, 2, 2, 3))
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
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
