"""Load reports on answers, in the text form of the open request cost aggregation (ORCA) header.

`endpoint-load-metrics: TEXT named_metrics.link=0.71, named_metrics.uplink=0.6`. The names used here are `link` and
`uplink`: what is asked over what is given, also above 1. Anything else, and anything malformed, is skipped: a report
is a help and never a reason to fail an answer.
"""

from __future__ import annotations

HEADER = "endpoint-load-metrics"
NAMES = ("link", "uplink")


def encode_load(report: dict[str, float]) -> str:
    """A load report as a header value, in the text form of open request-cost."""
    return "TEXT " + ", ".join(f"named_metrics.{name}={value:.4f}" for name, value in report.items())


def decode_load(value: str) -> dict[str, float]:
    """The report in a header value; empty where it has another form, and without what cannot be read."""
    form, _, rest = value.partition(" ")
    if form != "TEXT":
        return {}
    report = {}
    for part in rest.split(","):
        name, _, text = part.strip().partition("=")
        name = name.removeprefix("named_metrics.")
        try:
            number = float(text)
        except ValueError:
            continue
        if name in NAMES and 0 <= number < 1e6:
            report[name] = number
    return report
